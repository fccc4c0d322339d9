package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrUnknownRequest means that no line has the request's id.
var ErrUnknownRequest = errors.New("no line has this request")

// Lookback is the period before a request in which lines are considered as its context.
// Detecting a failed primary and promoting a replica takes a few seconds.
const Lookback = 6 * time.Second

// maxLineBytes is the maximum length of a log line. Read fails on longer lines.
const maxLineBytes = 1 << 20

// Log holds the log lines of one or more proxies, ordered by time.
type Log struct {
	Lines []Line
	// Malformed is the number of lines that could not be parsed.
	Malformed int
}

// Read reads log lines and sorts them by time. Malformed lines are counted and skipped.
func Read(in io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		line, err := ParseLine(scanner.Text())
		if err != nil {
			log.Malformed++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, scanner.Err()
}

// Explanation is the cause of a request's outcome with the log lines that show it.
type Explanation struct {
	// Requests are the lines of the request itself. Context are the lines around the same
	// time that report state changes of its database or its proxy.
	Requests, Context []Line
	// Cause describes the cause in one line.
	Cause string
}

// databaseEvents are the events about a database that can explain a request, whichever proxy
// logged them. The event pool counts only if the request's own proxy logged it.
var databaseEvents = map[string]bool{
	"primary_changed": true, "primary_missed": true, "takeover_began": true, "takeover_announced": true, "takeover_step": true,
	"takeover_ended": true, "promotion_ordered": true, "promotion_effective": true, "orders_open": true, "upstream_listed": true, "upstream_missing": true,
	"upstream_gone": true, "upstream_failed": true, "upstream_resumed": true, "pool": true,
}

// proxyEvents are the events that can explain a request only if its own proxy logged them,
// such as events of the store and of documents.
var proxyEvents = map[string]bool{
	"store_lost": true, "store_regained": true, "store_failed": true, "store_restored": true, "document_in_force": true,
	"proxies_changed": true, "shutdown_began": true, "shutdown_ended": true, "started": true, "requests_omitted": true,
	"configuration_expired": true, "configuration_confirmed": true, "limiter_failed": true,
}

// organisationEvents are the events that can explain a request only if its own proxy logged
// them about the request's organisation.
var organisationEvents = map[string]bool{"quota_limited": true, "quota_unlimited": true}

// Explain explains the last logged request with an id. It returns ErrUnknownRequest if no
// line has the id.
func Explain(log Log, id string) (Explanation, error) {
	var e Explanation
	for _, line := range log.Lines {
		if line.Fields["id"] == id {
			e.Requests = append(e.Requests, line)
		}
	}
	if len(e.Requests) == 0 {
		return e, fmt.Errorf("%w: %q", ErrUnknownRequest, id)
	}
	request := &e.Requests[len(e.Requests)-1]
	from := request.Time.Add(-request.Milliseconds("took_ms") - Lookback)
	until := request.Time.Add(time.Second)
	for _, line := range log.Lines {
		if line.Time.Before(from) || line.Time.After(until) {
			continue
		}
		// A state change names the database group in its field database, a request in group.
		ofDatabase := databaseEvents[line.Event()] && line.Fields["database"] == request.Fields["group"]
		if ofDatabase && (line.Event() != "pool" || line.VM() == request.VM()) ||
			proxyEvents[line.Event()] && line.VM() == request.VM() ||
			organisationEvents[line.Event()] && line.VM() == request.VM() && line.Fields["organisation"] == request.Fields["organisation"] {
			e.Context = append(e.Context, line)
		}
	}
	e.Cause = cause(request, e.Context)
	return e, nil
}

// cause describes why a request ended as it did, from the fields of its line and the last
// state change before it.
func cause(request *Line, context []Line) string {
	change := lastChange(request, context)
	switch request.Fields["code"] {
	case "":
		return "answered late: " + formatStages(request)
	case "busy":
		return causeOfRefusal(request, context) + change
	case "unauthenticated":
		return "not run: no organisation of configuration " + request.Fields["document"] + " holds the caller's key" + change
	case "lagging":
		return "not run: no upstream held the floor " + formatFloor(request) + change
	case "in_doubt":
		return "outcome unknown: " + request.Fields["peer"] + " got the statement and did not answer; " + formatStages(request) + change
	case "aborted":
		return "rolled back: the transaction's connection to " + request.Fields["peer"] + " failed" + change
	case "read_only":
		return "rolled back: " + request.Fields["peer"] + " is no longer the primary" + change
	case "timeout":
		return "no answer of " + request.Fields["peer"] + " within the statement's time; " + formatStages(request) + change
	case "unknown_database":
		return "no route in the configuration in force" + change
	}
	return request.Fields["code"] + ": " + request.Fields["reason"] + change
}

// Parts of the reasons that a proxy gives for refusing a request before it is queued.
const (
	quotaReason   = "quota of the organisation"
	expiredReason = "configuration may be out of date"
)

// causeOfRefusal describes why a request was not run for lack of capacity or permission.
func causeOfRefusal(request *Line, context []Line) string {
	reason := request.Fields["reason"]
	switch {
	case strings.Contains(reason, quotaReason):
		return "not run: the quota of " + request.Fields["organisation"] + " is used up" + formatQuota(request, context) +
			"; waited " + request.Fields["took_ms"] + " ms for it"
	case strings.Contains(reason, expiredReason):
		return "not run: the proxy's configuration was not confirmed as current, so that keys cannot be verified"
	case request.Fields["lagged"] != "":
		return "not run: no replica held the floor " + formatFloor(request) + " and the primary had no free slot in time; " + formatStages(request)
	}
	return "not run: no slot of " + request.Fields["group"] + " was free in time; " + formatStages(request)
}

// formatQuota returns the quota and the limiter of the request's organisation as its proxy
// last logged them.
func formatQuota(request *Line, context []Line) string {
	for i := len(context) - 1; i >= 0; i-- {
		if l := &context[i]; l.Event() == "quota_limited" && !l.Time.After(request.Time) {
			return fmt.Sprintf(" (%s/s, burst %s, limiter %s)", l.Fields["rate"], l.Fields["burst"], l.Fields["peer"])
		}
	}
	return ""
}

// formatFloor returns the floor of a read: the minimum log position that it must see.
func formatFloor(l *Line) string { return l.Fields["floor_term"] + "." + l.Fields["floor_offset"] }

// formatStages returns the time that the request spent in each stage. A proof shows that
// the upstream is still the primary.
func formatStages(l *Line) string {
	return fmt.Sprintf("waited %s ms in the queue, %s ms for a connection, %s ms for a proof, ran %s ms",
		l.Fields["queue_ms"], l.Fields["connect_ms"], l.Fields["proof_ms"], l.Fields["run_ms"])
}

// changeEvents are the state changes that are named as part of a cause.
var changeEvents = map[string]bool{
	"primary_changed": true, "takeover_began": true, "promotion_ordered": true, "store_lost": true,
	"primary_missed": true, "document_in_force": true, "store_restored": true,
}

// lastChange describes the last state change before the request's end.
func lastChange(request *Line, context []Line) string {
	for i := len(context) - 1; i >= 0; i-- {
		line := &context[i]
		if !changeEvents[line.Event()] || line.Time.After(request.Time) {
			continue
		}
		before := request.Time.Sub(line.Time).Milliseconds()
		return fmt.Sprintf("; %d ms before, %s logged %s %s", before, line.VM(), line.Event(), formatDetails(line))
	}
	return ""
}

// formatDetails returns the fields of a line that are relevant to a cause.
func formatDetails(l *Line) string {
	var parts []string
	for _, key := range []string{"reason", "from", "to", "peer", "term", "fence", "version", "step", "epoch", "applied"} {
		if value := l.Fields[key]; value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

// Print writes the lines in order of time, with time, VM, event and fields, and then the
// cause.
func (e Explanation) Print(out io.Writer) error {
	lines := append(append([]Line(nil), e.Context...), e.Requests...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := range lines {
		l := &lines[i]
		if _, err := fmt.Fprintf(out, "%s %s %s %s\n", l.Time.Format("15:04:05.000"), l.VM(), l.Event(), formatFields(l)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", e.Cause)
	return err
}

// formatFields returns the fields that Print does not print separately, sorted.
func formatFields(l *Line) string {
	var parts []string
	for key, value := range l.Fields {
		switch key {
		case "time", "level", "msg", "event", "vm":
		default:
			parts = append(parts, key+"="+value)
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
