package managed

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/pace"
	"skylarkhinge.dev/skylarkhinge/core/takeover"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// events writes the structured log: one key=value line per decision that affects a request
// or changes the proxy's view of the system. Lines about requests are limited in number and
// bytes per second; the omitted ones are counted in a line of their own.
type events struct {
	log *logrus.Logger
	// requests writes to the same output as log and counts the bytes written.
	requests  *logrus.Logger
	formatter *countingFormatter
	vm        string
	repeats   telemetry.RepeatLimiter

	mu sync.Mutex
	// maxLines and maxBytes are the budget per second, linesLeft and bytesLeft what remains
	// of it. bytesLeft may become negative by the size of one line.
	maxLines, maxBytes   int
	linesLeft, bytesLeft int
	second               int64
	omitted              map[Code]int
}

// countingFormatter counts the bytes of the lines it formats.
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
	formatter := &countingFormatter{Formatter: log.Formatter}
	requests := logrus.New()
	requests.SetOutput(log.Out)
	requests.SetFormatter(formatter)
	return &events{log: log, requests: requests, formatter: formatter, vm: vm, omitted: map[Code]int{}}
}

// setBudget sets the per-second budget of lines about requests.
func (e *events) setBudget(linesPerSecond, bytesPerSecond int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxLines, e.maxBytes = linesPerSecond, bytesPerSecond
	// The present second may have begun with a larger budget.
	e.linesLeft, e.bytesLeft = min(e.linesLeft, linesPerSecond), min(e.bytesLeft, bytesPerSecond)
}

// request starts a log line about a request, after admit returned true.
func (e *events) request(event string) *logrus.Entry {
	return e.requests.WithFields(logrus.Fields{"event": event, "vm": e.vm})
}

// line starts a log line that is not rate-limited.
func (e *events) line(event string) *logrus.Entry {
	return e.log.WithFields(logrus.Fields{"event": event, "vm": e.vm})
}

// stateChanged logs a change of the proxy's view of the system. These lines are not
// rate-limited.
func (e *events) stateChanged(event string, fields logrus.Fields) {
	e.line(event).WithFields(fields).Info("state changed")
}

// admit takes one line from the budget of the current second and reports whether it may be
// written. The size of a line is known only after it is written, so it is charged to the
// next call.
func (e *events) admit(code Code) bool {
	if !e.log.IsLevelEnabled(logrus.InfoLevel) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bytesLeft -= int(e.formatter.bytes.Swap(0))
	if second := time.Now().Unix(); second != e.second {
		e.second, e.linesLeft, e.bytesLeft = second, e.maxLines, e.maxBytes
	}
	if e.linesLeft > 0 && e.bytesLeft > 0 {
		e.linesLeft--
		return true
	}
	e.omitted[code]++
	return false
}

// logOmitted logs the number of lines omitted since the previous call, by code.
func (e *events) logOmitted() {
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

// requestFailed logs a statement that was answered with an error.
func (e *events) requestFailed(s *session, statement *Statement, reply Reply, took time.Duration) {
	if !e.admit(reply.Code) {
		return
	}
	e.request("request_failed").WithFields(logrus.Fields{
		"id": statement.ID, "database": s.databaseName, "group": s.databaseGroup(), "document": s.proxy.document().Version, "code": reply.Code.String(), "reason": reply.Text,
		"took_ms": took.Milliseconds(), "caller": s.caller.Address(), "statement": statement.Kind,
	}).WithFields(s.identity.logFields()).WithFields(s.stages.logFields()).Info("request failed")
}

// requestSlow logs a statement that took longer than its route's target latency.
func (e *events) requestSlow(s *session, statement *Statement, took time.Duration) {
	if !e.admit(CodeNone) {
		return
	}
	e.request("request_slow").WithFields(logrus.Fields{
		"id": statement.ID, "database": s.databaseName, "group": s.databaseGroup(), "took_ms": took.Milliseconds(),
		"caller": s.caller.Address(), "statement": statement.Kind,
	}).WithFields(s.identity.logFields()).WithFields(s.stages.logFields()).Info("request answered late")
}

// callerUnknown logs that the configuration lists no organisation with a caller's key. The
// key itself never appears in a log line.
func (e *events) callerUnknown(s *session, version uint64) {
	if !e.admit(CodeUnauthenticated) {
		return
	}
	e.request("caller_unknown").WithFields(logrus.Fields{
		"database": s.databaseName, "document": version, "key_digest": s.identity.digestPrefix(), "caller": s.caller.Address(),
	}).Info("key is unknown")
}

// databaseUnknown logs a session that was refused for lack of a route.
func (e *events) databaseUnknown(s *session) {
	if !e.admit(CodeUnknownDatabase) {
		return
	}
	e.request("database_unknown").WithFields(logrus.Fields{
		"database": s.databaseName, "document": s.proxy.document().Version, "caller": s.caller.Address(),
	}).Info("no route for this database")
}

// transactionEnded logs a transaction that the proxy aborted between statements.
func (e *events) transactionEnded(s *session, reason string) {
	if e.admit(CodeAborted) {
		e.request("transaction_ended").WithFields(logrus.Fields{
			"database": s.databaseName, "reason": reason, "caller": s.caller.Address(),
		}).Info("transaction ended by the proxy")
	}
}

func (e *events) reloaded(settings *config.ManagedSettings, restart bool) {
	e.stateChanged("reload", logrus.Fields{
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

func (e *events) primaryChanged(db entity.Database, from, to *member, term uint64, reason string) {
	e.stateChanged("primary_changed", logrus.Fields{
		"database": db, "from": memberName(from), "to": memberName(to), "term": term, "reason": reason,
	})
}

func (e *events) primaryMissed(db entity.Database, m *member, misses int, err error) {
	e.line("primary_missed").WithFields(logrus.Fields{
		"database": db, "peer": m.name, "misses": misses,
	}).WithError(err).Warn("primary did not answer")
}

func (e *events) memberChanged(db entity.Database, m Member) {
	e.stateChanged("upstream_listed", logrus.Fields{
		"database": db, "peer": m.Name, "address": m.Address, "leaving": m.Leaving, "primary": m.Primary,
		"availability_zone": m.AvailabilityZone, "slots": m.Slots,
	})
}

func (e *events) memberMissing(db entity.Database, name entity.Upstream) {
	e.stateChanged("upstream_missing", logrus.Fields{"database": db, "peer": name})
}

// memberGone logs a member that is not used any more, with the log that it held in its latest status.
func (e *events) memberGone(db entity.Database, m *member) {
	e.stateChanged("upstream_gone", logrus.Fields{
		"database": db, "peer": m.name, "leaving": m.leavingSince != 0, "received": formatPosition(m.received),
	})
}

func (e *events) paceBegan(db entity.Database, name entity.Upstream, reason string, limit int) {
	e.stateChanged("upstream_limit_began", logrus.Fields{"database": db, "peer": name, "reason": reason, "limit": limit})
}

func (e *events) paceEnded(db entity.Database, name entity.Upstream, l *pace.Limit, at entity.Time) {
	e.stateChanged("upstream_limit_ended", logrus.Fields{
		"database": db, "peer": name, "took_ms": l.Duration(at).Milliseconds(), "largest": l.Largest(),
	})
}

func (e *events) memberFailed(db entity.Database, name entity.Upstream, step string, err error) {
	e.rateLimited("upstream_failed", step, string(name), logrus.Fields{"database": db}, err)
}

func (e *events) storeFailed(step string, err error) {
	e.rateLimited("store_failed", step, "store", nil, err)
}

func (e *events) storeLost(step string, err error) {
	e.line("store_lost").WithField("step", step).WithError(err).Warn("store does not answer")
}

func (e *events) storeRegained(after time.Duration) {
	e.stateChanged("store_regained", logrus.Fields{"after_ms": after.Milliseconds()})
}

// storeListed logs a listing of the store: its revision and what it shows.
func (e *events) storeListed(at Revision, entries []Change) {
	var version uint64
	upstreams, proxies := 0, 0
	for i := range entries {
		switch c := &entries[i]; {
		case c.Document != nil:
			version = c.Document.Version
		case c.Member != nil:
			upstreams++
		case strings.HasPrefix(c.Key, vmPrefix):
			proxies++
		}
	}
	e.stateChanged("store_listed", logrus.Fields{
		"epoch": at.Epoch, "revision": at.Number, "document": version, "upstreams": upstreams, "proxies": proxies,
	})
}

// storeRestored logs that the store went back to an earlier state, with the revision up to
// which this proxy had applied its changes and the one of the new listing.
func (e *events) storeRestored(applied, listed Revision) {
	e.line("store_restored").WithFields(logrus.Fields{
		"epoch_before": applied.Epoch, "applied": applied.Number, "epoch": listed.Epoch, "revision": listed.Number,
	}).Warn("the store was restored from a backup")
}

// watcherBehind logs that a watcher has read less of the store than this proxy.
func (e *events) watcherBehind(watcher entity.VM, applied, read Revision) {
	e.rateLimited("watcher_behind", "follow_watcher", string(watcher), logrus.Fields{
		"epoch": applied.Epoch, "applied": applied.Number, "watcher_epoch": read.Epoch, "watcher_revision": read.Number,
	}, nil)
}

func (e *events) entryRefused(key string, err error) {
	e.rateLimited("entry_refused", "decode", key, nil, err)
}

// rateLimited logs a recurring failure at most once per telemetry.RepeatInterval.
func (e *events) rateLimited(event, step, peer string, fields logrus.Fields, err error) {
	omitted, ok := e.repeats.Admit(time.Now(), telemetry.Problem{Event: event, Step: step, Peer: peer})
	if !ok {
		return
	}
	e.line(event).WithFields(fields).WithFields(logrus.Fields{"step": step, "peer": peer, "omitted": omitted}).
		WithError(err).Warn("step failed")
}

func (e *events) documentInForce(doc *Document, outdated bool) {
	e.stateChanged("document_in_force", logrus.Fields{"version": doc.Version, "routes": len(doc.Routes), "bytes": len(doc.Source), "outdated": outdated})
}

func (e *events) documentRelayed(from entity.VM, version uint64) {
	e.stateChanged("document_relayed", logrus.Fields{"peer": from, "version": version})
}

// watcherChanged logs the proxy that store changes are read from, "none" if they come from
// the store itself.
func (e *events) watcherChanged(watcher entity.VM) {
	if watcher == "" {
		watcher = "none"
	}
	e.stateChanged("watcher_changed", logrus.Fields{"peer": watcher})
}

func (e *events) proxiesChanged(count int) {
	e.stateChanged("proxies_changed", logrus.Fields{"proxies": count})
}

func (e *events) membersOutdated(db entity.Database, added int, applied, read Revision) {
	e.stateChanged("members_outdated", logrus.Fields{"database": db, "added": added, "applied": applied.Number, "read": read.Number})
}

func (e *events) takeoverBegan(db entity.Database, reason string, fence uint64) {
	e.stateChanged("takeover_began", logrus.Fields{"database": db, "reason": reason, "fence": fence})
}

func (e *events) takeoverStep(db entity.Database, v *takeover.View, d takeover.Decision, fence uint64) {
	e.line("takeover_step").WithFields(logrus.Fields{
		"database": db, "decision": d.Step, "target": d.Target, "reason": d.Reason, "term": d.Term, "fence": fence, "members": formatMembers(v.Members),
		"reported": formatPosition(v.Reported), "reports_complete": v.ReportsComplete,
	}).Info("takeover decided")
}

// formatMembers formats what the members reported to a takeover.
func formatMembers(members []takeover.Member) string {
	var b strings.Builder
	for i := range members {
		m := &members[i]
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(m.Name) + "=")
		if !m.Reached {
			b.WriteString("unanswered")
		} else {
			b.WriteString(formatPosition(m.Received))
		}
		if m.Primary {
			b.WriteString("/primary")
		}
		if m.PauseTerm != 0 {
			b.WriteString("/paused")
		}
		if m.Leaving {
			b.WriteString("/leaving")
		}
	}
	return b.String()
}

func formatPosition(p entity.Position) string { return fmt.Sprintf("%d.%d", p.Term, p.Offset) }

// takeoverAnnounced logs that another proxy announced a takeover, and the newest commit that this
// proxy had reported to a caller by then.
func (e *events) takeoverAnnounced(db entity.Database, claim Revision, reported entity.Position) {
	e.stateChanged("takeover_announced", logrus.Fields{"database": db, "claim": claim.Number, "reported": formatPosition(reported)})
}

// takeoverEnded logs the end of a takeover and the number of orders that may still take effect.
func (e *events) takeoverEnded(db entity.Database, outcome string, fence uint64, open int) {
	e.stateChanged("takeover_ended", logrus.Fields{"database": db, "outcome": outcome, "fence": fence, "open_orders": open})
}

// ordersOpen logs the targets of the open orders after they changed.
func (e *events) ordersOpen(db entity.Database, record *orderRecord) {
	e.stateChanged("orders_open", logrus.Fields{
		"database": db, "targets": record.Targets, "concluded": record.Concluded, "claim": record.Claim, "revision": record.revision.Number,
	})
}

// promotionEffective logs that the target of an order leads, and the time since the order was sent.
func (e *events) promotionEffective(db entity.Database, target entity.Upstream, fence uint64, after time.Duration) {
	e.stateChanged("promotion_effective", logrus.Fields{"database": db, "peer": target, "fence": fence, "after_ms": after.Milliseconds()})
}

// commitConfirmed logs a commit that was reported to its caller only after other upstreams than the
// primary were found to hold it.
func (e *events) commitConfirmed(s *session, statement *Statement, db entity.Database, c *commit, after time.Duration) {
	if !e.admit(CodeNone) {
		return
	}
	e.request("commit_confirmed").WithFields(commitFields(s, statement, db, c)).WithFields(logrus.Fields{
		"after_ms": after.Milliseconds(), "holders": c.holders,
	}).Info("commit confirmed")
}

// commitInDoubt logs an acknowledged commit that a promotion may have lost.
func (e *events) commitInDoubt(s *session, statement *Statement, db entity.Database, c *commit, evidence *takeover.Evidence) {
	if !e.admit(CodeInDoubt) {
		return
	}
	e.request("commit_in_doubt").WithFields(commitFields(s, statement, db, c)).WithFields(logrus.Fields{
		"targets": evidence.Ordered, "claimed": evidence.Claimed, "departing": evidence.Departing, "uncertain": evidence.Uncertain,
	}).Info("commit may be lost")
}

func commitFields(s *session, statement *Statement, db entity.Database, c *commit) logrus.Fields {
	return logrus.Fields{
		"id": statement.ID, "route": s.databaseName, "group": db, "peer": c.primary.name, "position": formatPosition(c.position), "took_ms": c.took.Milliseconds(),
	}
}

func (e *events) promotionOrdered(db entity.Database, target entity.Upstream, fence uint64, err error) {
	fields := logrus.Fields{"database": db, "peer": target, "fence": fence}
	if err != nil {
		e.line("promotion_ordered").WithFields(fields).WithError(err).Warn("promotion call failed")
		return
	}
	e.stateChanged("promotion_ordered", fields)
}

func (e *events) logPool(u poolUsage) {
	e.line("pool").WithFields(logrus.Fields{
		"database": u.database, "share": u.share, "open": u.open, "idle": u.idle, "running": u.running,
		"primary_open": u.primaryOpen, "primary_running": u.primaryRunning, "queued": u.queued,
	}).Info("pool in use")
}

func (e *events) logStoreCalls(calls logrus.Fields) {
	if calls != nil {
		e.line("store_calls").WithFields(calls).Info("calls to the store")
	}
}

func (e *events) memberResumed(db entity.Database, name entity.Upstream, err error) {
	entry := e.line("upstream_resumed").WithFields(logrus.Fields{"database": db, "peer": name})
	if err != nil {
		entry.WithError(err).Warn("resume failed")
		return
	}
	entry.Info("state changed")
}
