package managed

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/takeover"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// events writes one key=value line for each decision that touches a request or
// changes what the proxy believes. Lines about requests have a budget of lines and
// bytes a second; what is left out is counted in a line of its own.
type events struct {
	log *logrus.Logger
	// requests has the same output as log and counts the bytes it writes.
	requests *logrus.Logger
	written  *countingFormatter
	vm       string
	repeats  telemetry.Repeats

	mu sync.Mutex
	// maxLines and maxBytes are the budget of a second, lines and bytes what is
	// left of it. bytes may go below zero by one line.
	maxLines, maxBytes int
	lines, bytes       int
	second             int64
	omitted            map[Code]int
}

// countingFormatter counts the bytes of the lines that it formats.
type countingFormatter struct {
	logrus.Formatter
	bytes atomic.Int64
}

func (f *countingFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	line, err := f.Formatter.Format(entry)
	f.bytes.Add(int64(len(line)))
	return line, err
}

func newEvents(log *logrus.Logger, vm string) *events {
	written := &countingFormatter{Formatter: log.Formatter}
	requests := logrus.New()
	requests.SetOutput(log.Out)
	requests.SetFormatter(written)
	return &events{log: log, requests: requests, written: written, vm: vm, omitted: map[Code]int{}}
}

// setBudget replaces the budget of lines about requests.
func (e *events) setBudget(linesPerSecond, bytesPerSecond int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxLines, e.maxBytes = linesPerSecond, bytesPerSecond
}

// request starts a line that admit has let through.
func (e *events) request(event string) *logrus.Entry {
	return e.requests.WithFields(logrus.Fields{"event": event, "vm": e.vm})
}

func (e *events) line(event string) *logrus.Entry {
	return e.log.WithFields(logrus.Fields{"event": event, "vm": e.vm})
}

// state logs a change of what the proxy believes. Such lines are always written.
func (e *events) state(event string, fields logrus.Fields) {
	e.line(event).WithFields(fields).Info("state changed")
}

// admit takes one line from the budget of the current second. The size of a line
// is known once it is written, so that it is charged to the lines after it.
func (e *events) admit(code Code) bool {
	if !e.log.IsLevelEnabled(logrus.InfoLevel) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bytes -= int(e.written.bytes.Swap(0))
	if second := time.Now().Unix(); second != e.second {
		e.second, e.lines, e.bytes = second, e.maxLines, e.maxBytes
	}
	if e.lines > 0 && e.bytes > 0 {
		e.lines--
		return true
	}
	e.omitted[code]++
	return false
}

// summary logs what the budget left out since the last one.
func (e *events) summary() {
	e.mu.Lock()
	omitted := e.omitted
	e.omitted = map[Code]int{}
	e.mu.Unlock()
	if len(omitted) == 0 {
		return
	}
	fields := logrus.Fields{}
	for code, count := range omitted {
		fields["code_"+code.String()] = count
	}
	e.line("requests_omitted").WithFields(fields).Info("lines left out")
}

// failed logs a statement that was answered with an error.
func (e *events) failed(s *session, statement *Statement, reply Reply, took time.Duration) {
	if !e.admit(reply.Code) {
		return
	}
	e.request("request_failed").WithFields(logrus.Fields{
		"id": statement.ID, "database": s.host, "group": s.group(), "document": s.proxy.document().Version, "code": reply.Code.String(), "reason": reply.Text,
		"took_ms": took.Milliseconds(), "caller": s.caller.Address(), "statement": statement.Kind,
	}).WithFields(s.stages.fields()).Info("request failed")
}

// slow logs a statement that was answered later than its route aims for.
func (e *events) slow(s *session, statement *Statement, took time.Duration) {
	if !e.admit(CodeNone) {
		return
	}
	e.request("request_slow").WithFields(logrus.Fields{
		"id": statement.ID, "database": s.host, "group": s.group(), "took_ms": took.Milliseconds(),
		"caller": s.caller.Address(), "statement": statement.Kind,
	}).WithFields(s.stages.fields()).Info("request answered late")
}

// transactionEnded logs a transaction that the proxy ended between statements.
func (e *events) transactionEnded(s *session, reason string) {
	if e.admit(CodeAborted) {
		e.request("transaction_ended").WithFields(logrus.Fields{
			"database": s.host, "reason": reason, "caller": s.caller.Address(),
		}).Info("transaction ended by the proxy")
	}
}

func (e *events) reloaded(settings *config.ManagedSettings, restart bool) {
	e.state("reload", logrus.Fields{
		"log_level": settings.LogLevel, "log_lines_per_second": settings.LogLinesPerSecond, "log_bytes_per_second": settings.LogBytesPerSecond,
		"leaving_grace": settings.LeavingGrace, "shutdown_grace": settings.ShutdownGrace, "restart_needed": restart,
	})
}

func memberName(m *member) entity.Upstream {
	if m == nil {
		return "none"
	}
	return m.name
}

func (e *events) leaderChanged(db entity.Database, from, to *member, term uint64, reason string) {
	e.state("primary_changed", logrus.Fields{
		"database": db, "from": memberName(from), "to": memberName(to), "term": term, "reason": reason,
	})
}

func (e *events) leaderMissed(db entity.Database, m *member, misses int, err error) {
	e.line("primary_missed").WithFields(logrus.Fields{
		"database": db, "peer": m.name, "misses": misses,
	}).WithError(err).Warn("primary did not answer")
}

func (e *events) memberChanged(db entity.Database, m Member) {
	e.state("upstream_listed", logrus.Fields{
		"database": db, "peer": m.Name, "address": m.Address, "leaving": m.Leaving, "primary": m.Primary,
		"availability_zone": m.AvailabilityZone, "slots": m.Slots,
	})
}

func (e *events) memberMissing(db entity.Database, name entity.Upstream) {
	e.state("upstream_missing", logrus.Fields{"database": db, "peer": name})
}

func (e *events) memberGone(db entity.Database, name entity.Upstream) {
	e.state("upstream_gone", logrus.Fields{"database": db, "peer": name})
}

func (e *events) memberFailed(db entity.Database, name entity.Upstream, step string, err error) {
	e.limited("upstream_failed", step, string(name), logrus.Fields{"database": db}, err)
}

func (e *events) storeFailed(step string, err error) {
	e.limited("store_failed", step, "store", nil, err)
}

func (e *events) storeLost(step string, err error) {
	e.line("store_lost").WithField("step", step).WithError(err).Warn("store does not answer")
}

func (e *events) storeRegained(after time.Duration) {
	e.state("store_regained", logrus.Fields{"after_ms": after.Milliseconds()})
}

func (e *events) entryProblem(key string, err error) {
	e.limited("entry_refused", "decode", key, nil, err)
}

// limited logs a failure that may go on for long, at most once per
// telemetry.RepeatInterval.
func (e *events) limited(event, step, peer string, fields logrus.Fields, err error) {
	omitted, ok := e.repeats.Admit(time.Now(), telemetry.Problem{Event: event, Step: step, Peer: peer})
	if !ok {
		return
	}
	e.line(event).WithFields(fields).WithFields(logrus.Fields{"step": step, "peer": peer, "omitted": omitted}).
		WithError(err).Warn("step failed")
}

func (e *events) documentInForce(version uint64, routes int, outdated bool) {
	e.state("document_in_force", logrus.Fields{"version": version, "routes": routes, "outdated": outdated})
}

func (e *events) relayed(from entity.VM, version uint64) {
	e.state("document_relayed", logrus.Fields{"peer": from, "version": version})
}

// following logs the proxy that changes of the store come from, none for the store.
func (e *events) following(watcher entity.VM) {
	if watcher == "" {
		watcher = "none"
	}
	e.state("watcher_changed", logrus.Fields{"peer": watcher})
}

func (e *events) proxiesChanged(count int) {
	e.state("proxies_changed", logrus.Fields{"proxies": count})
}

func (e *events) takeoverBegan(db entity.Database, reason string, fence uint64) {
	e.state("takeover_began", logrus.Fields{"database": db, "reason": reason, "fence": fence})
}

func (e *events) takeoverStep(db entity.Database, d takeover.Decision, fence uint64) {
	e.line("takeover_step").WithFields(logrus.Fields{
		"database": db, "decision": d.Step, "target": d.Target, "reason": d.Reason, "term": d.Term, "fence": fence,
	}).Info("takeover decided")
}

func (e *events) takeoverEnded(db entity.Database, fence uint64) {
	e.state("takeover_given_up", logrus.Fields{"database": db, "fence": fence})
}

func (e *events) promoted(db entity.Database, target entity.Upstream, fence uint64, err error) {
	fields := logrus.Fields{"database": db, "peer": target, "fence": fence}
	if err != nil {
		e.line("promotion_ordered").WithFields(fields).WithError(err).Warn("promotion call failed")
		return
	}
	e.state("promotion_ordered", fields)
}

func (e *events) pool(u poolUsage) {
	e.line("pool").WithFields(logrus.Fields{
		"database": u.database, "share": u.share, "open": u.open, "idle": u.idle, "running": u.running,
		"primary_open": u.primaryOpen, "primary_running": u.primaryRunning, "queued": u.queued,
	}).Info("pool in use")
}

func (e *events) resumed(db entity.Database, name entity.Upstream, err error) {
	entry := e.line("upstream_resumed").WithFields(logrus.Fields{"database": db, "peer": name})
	if err != nil {
		entry.WithError(err).Warn("resume failed")
		return
	}
	entry.Info("state changed")
}
