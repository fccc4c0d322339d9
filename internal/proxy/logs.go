package proxy

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// platformPeer is the peer field of log lines about calls to the platform.
const platformPeer = "platform"

// logEntry returns a log entry for an event. The peer is empty if the event concerns
// no other process.
func (p *Proxy) logEntry(event, step, peer string) *logrus.Entry {
	fields := logrus.Fields{"event": event, "step": step}
	if peer != "" {
		fields["peer"] = peer
	}
	return p.log.WithFields(fields)
}

// logFailure logs a failure that may persist, at a limited rate.
func (p *Proxy) logFailure(event, step, peer string, err error) {
	if entry, ok := p.rateLimitedEntry(event, step, peer); ok {
		entry.WithError(err).Warn("step failed")
	}
}

// rateLimitedEntry returns a log entry for an event that may repeat. It reports
// false if one with the same event, step and peer was logged shortly before. The
// next entry has the number of those dropped in between in the field omitted.
func (p *Proxy) rateLimitedEntry(event, step, peer string) (*logrus.Entry, bool) {
	omitted, ok := p.logLimiter.Admit(time.Now(), telemetry.Problem{Event: event, Step: step, Peer: peer})
	if !ok {
		p.observer.metrics.CountOmittedLine()
		return nil, false
	}
	entry := p.logEntry(event, step, peer)
	if omitted > 0 {
		entry = entry.WithField("omitted", omitted)
	}
	return entry, true
}

// reportRefusal logs and counts a document that the relay refused.
func (p *Proxy) reportRefusal(f docsync.Refusal) {
	p.observer.metrics.CountDocumentRefused(f.Service)
	peer := string(f.From)
	if peer == "" {
		peer = platformPeer
	}
	if entry, ok := p.rateLimitedEntry("document_refused", "offer_document", peer); ok {
		entry.WithFields(logrus.Fields{"service": f.Service, "revision": f.Revision, "in_force": f.CurrentRevision}).
			Warn("document refused")
	}
}

// eventSteps has the step field of the log line for each kind of core event.
var eventSteps = [...]string{
	core.EventPrimaryChanged:  "follow_primary",
	core.EventDocumentRefused: "put_document",
	core.EventDocumentInForce: "put_document",
	core.EventOwnerStarted:    "own_database",
	core.EventOwnerStopped:    "own_database",
	core.EventDrained:         "drain",
}

// maxQueuedEvents bounds the events that wait to be logged. It has room for a
// change of every database of a large document.
const maxQueuedEvents = 4096

// eventLog logs the core's events on a separate goroutine, since the core's loop
// must not block on a slow reader of the log.
type eventLog struct {
	proxy  *Proxy
	events chan core.Event
	done   chan struct{}
}

func newEventLog(p *Proxy) eventLog {
	return eventLog{proxy: p, events: make(chan core.Event, maxQueuedEvents), done: make(chan struct{})}
}

// enqueue queues an event. If the queue is full, the event is dropped and counted.
func (l *eventLog) enqueue(e *core.Event) {
	select {
	case l.events <- *e:
	default:
		l.proxy.observer.metrics.CountOmittedLine()
	}
}

// run logs events until close.
func (l *eventLog) run() {
	defer close(l.done)
	for e := range l.events {
		l.proxy.logEvent(&e)
	}
}

// close waits until the queued events are logged. No event may be enqueued after
// it.
func (l *eventLog) close() {
	close(l.events)
	<-l.done
}

func (p *Proxy) logEvent(e *core.Event) {
	entry := p.logEntry(e.Kind.String(), eventSteps[e.Kind], string(e.Upstream))
	if e.Service != "" {
		entry = entry.WithField("service", e.Service)
	}
	if e.Database != "" {
		entry = entry.WithField("database", e.Database)
	}
	if e.Term != 0 {
		entry = entry.WithField("term", e.Term)
	}
	if e.Revision != 0 {
		entry = entry.WithField("revision", e.Revision)
	}
	entry.Info("core event")
}

// logSettings logs the settings in effect, one field for each.
func (p *Proxy) logSettings() error {
	fields, err := settingsFields(p.options.Settings)
	if err != nil {
		return oops.With("step", "log_settings").Wrap(err)
	}
	p.logEntry("settings", "start", "").WithFields(fields).Info("settings in effect")
	return nil
}

func settingsFields(s *config.Settings) (logrus.Fields, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	// As float64, large numbers would be logged with an exponent.
	decoder.UseNumber()
	fields := logrus.Fields{}
	err = decoder.Decode(&fields)
	return fields, err
}
