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

// Lookback is how long before a request the lines reach that explain it: a
// takeover with its detection takes a few seconds.
const Lookback = 6 * time.Second

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Log is the lines of one or several proxies.
type Log struct {
	Lines []Line
	// Malformed counts the lines that could not be read.
	Malformed int
}

// Read reads log lines. Damaged ones are counted and skipped.
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

// Explanation is the way from a request to its cause.
type Explanation struct {
	// Requests are the lines of the request itself, Context those of the same
	// time that changed what a proxy believed of its database.
	Requests, Context []Line
	Cause             string
}

// contextEvents are the events that explain requests. Those of the store and of
// configurations count for the request's own proxy only.
var contextEvents = map[string]bool{
	"primary_changed": true, "primary_missed": true, "takeover_began": true, "takeover_step": true,
	"takeover_given_up": true, "promotion_ordered": true, "upstream_listed": true, "upstream_missing": true,
	"upstream_gone": true, "upstream_failed": true, "upstream_resumed": true, "pool": true,
}

var ownEvents = map[string]bool{
	"store_lost": true, "store_regained": true, "store_failed": true, "document_in_force": true,
	"proxies_changed": true, "shutdown_began": true, "shutdown_ended": true, "started": true, "requests_omitted": true,
}

// Explain returns the walk of a request. The error is ErrUnknownRequest if no
// line has its id.
func Explain(log Log, id string) (Explanation, error) {
	var w Explanation
	for _, line := range log.Lines {
		if line.Fields["id"] == id {
			w.Requests = append(w.Requests, line)
		}
	}
	if len(w.Requests) == 0 {
		return w, fmt.Errorf("%w: %q", ErrUnknownRequest, id)
	}
	request := &w.Requests[len(w.Requests)-1]
	from := request.Time.Add(-request.Milliseconds("took_ms") - Lookback)
	until := request.Time.Add(time.Second)
	for _, line := range log.Lines {
		if line.Time.Before(from) || line.Time.After(until) {
			continue
		}
		ofDatabase := contextEvents[line.Event()] && line.Fields["database"] == request.Fields["group"]
		if ofDatabase && (line.Event() != "pool" || line.VM() == request.VM()) ||
			ownEvents[line.Event()] && line.VM() == request.VM() {
			w.Context = append(w.Context, line)
		}
	}
	w.Cause = cause(request, w.Context)
	return w, nil
}

// cause names the cause of a request's end by the fields of its line and the last
// change of belief before it.
func cause(request *Line, context []Line) string {
	change := lastChange(request, context)
	switch request.Fields["code"] {
	case "":
		return "answered late: " + stages(request)
	case "busy":
		if request.Fields["lagged"] != "" {
			return "not run: no replica held the floor " + floor(request) + " and the primary had no free slot in time; " + stages(request) + change
		}
		return "not run: no slot of " + request.Fields["group"] + " was free in time; " + stages(request) + change
	case "lagging":
		return "not run: no upstream held the floor " + floor(request) + change
	case "in_doubt":
		return "outcome unknown: " + request.Fields["peer"] + " got the statement and did not answer; " + stages(request) + change
	case "aborted":
		return "rolled back: the transaction's connection to " + request.Fields["peer"] + " failed" + change
	case "read_only":
		return "rolled back: " + request.Fields["peer"] + " is no longer the primary" + change
	case "timeout":
		return "no answer of " + request.Fields["peer"] + " within the statement's time; " + stages(request) + change
	case "unknown_database":
		return "no route in the configuration in force" + change
	}
	return request.Fields["code"] + ": " + request.Fields["reason"] + change
}

func floor(l *Line) string { return l.Fields["floor_term"] + "." + l.Fields["floor_offset"] }

func stages(l *Line) string {
	return fmt.Sprintf("waited %s ms in the queue, %s ms for a connection, %s ms for a proof, ran %s ms",
		l.Fields["queue_ms"], l.Fields["connect_ms"], l.Fields["proof_ms"], l.Fields["run_ms"])
}

// changeEvents are the changes of belief that a cause names.
var changeEvents = map[string]bool{
	"primary_changed": true, "takeover_began": true, "promotion_ordered": true, "store_lost": true,
	"primary_missed": true, "document_in_force": true,
}

// lastChange describes the last change of belief before the request's end.
func lastChange(request *Line, context []Line) string {
	for i := len(context) - 1; i >= 0; i-- {
		line := &context[i]
		if !changeEvents[line.Event()] || line.Time.After(request.Time) {
			continue
		}
		before := request.Time.Sub(line.Time).Milliseconds()
		return fmt.Sprintf("; %d ms before, %s logged %s %s", before, line.VM(), line.Event(), detail(line))
	}
	return ""
}

func detail(l *Line) string {
	var parts []string
	for _, key := range []string{"reason", "from", "to", "peer", "term", "fence", "version", "step"} {
		if value := l.Fields[key]; value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

// Print writes the walk, one line each: time, VM, event and fields.
func (w Explanation) Print(out io.Writer) error {
	lines := append(append([]Line(nil), w.Context...), w.Requests...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := range lines {
		l := &lines[i]
		if _, err := fmt.Fprintf(out, "%s %s %s %s\n", l.Time.Format("15:04:05.000"), l.VM(), l.Event(), fields(l)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", w.Cause)
	return err
}

// fields returns the remaining fields in the order of their names.
func fields(l *Line) string {
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
