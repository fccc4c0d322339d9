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

// platformPeer names the platform in log lines.
const platformPeer = "platform"

// line returns a log line of an event. The peer is empty if the event concerns
// no other process.
func (p *Proxy) line(event, step, peer string) *logrus.Entry {
	fields := logrus.Fields{"event": event, "step": step}
	if peer != "" {
		fields["peer"] = peer
	}
	return p.log.WithFields(fields)
}

// logFailure logs a failure that may go on for long.
func (p *Proxy) logFailure(event, step, peer string, err error) {
	if entry, ok := p.limitedLine(event, step, peer); ok {
		entry.WithError(err).Warn("step failed")
	}
}

// limitedLine returns a log line of an event that may repeat for long. It
// reports false if a line with the same event, step and peer was logged
// shortly before; omitted tells how many were left out.
func (p *Proxy) limitedLine(event, step, peer string) (*logrus.Entry, bool) {
	omitted, ok := p.repeats.Admit(time.Now(), telemetry.Problem{Event: event, Step: step, Peer: peer})
	if !ok {
		p.observer.metrics.LineOmitted()
		return nil, false
	}
	entry := p.line(event, step, peer)
	if omitted > 0 {
		entry = entry.WithField("omitted", omitted)
	}
	return entry, true
}

// reportRefusal logs and counts a document that the relay did not take.
func (p *Proxy) reportRefusal(f docsync.Refusal) {
	p.observer.metrics.DocumentRefused(f.Service)
	peer := string(f.From)
	if peer == "" {
		peer = platformPeer
	}
	if entry, ok := p.limitedLine("document_refused", "offer_document", peer); ok {
		entry.WithFields(logrus.Fields{"service": f.Service, "revision": f.Revision, "in_force": f.CurrentRevision}).
			Warn("document not taken")
	}
}

// eventSteps names the step of each event of the core.
var eventSteps = [...]string{
	core.EventPrimaryChanged:  "follow_primary",
	core.EventDocumentRefused: "put_document",
	core.EventDocumentInForce: "put_document",
	core.EventOwnerStarted:    "own_database",
	core.EventOwnerStopped:    "own_database",
	core.EventDrained:         "drain",
}

// maxQueuedEvents bounds the events that wait to be logged. A change of all
// databases of a large document fits.
const maxQueuedEvents = 4096

// eventLog writes the core's events on a goroutine of its own, since the loop
// of the core must not wait for a reader of the log.
type eventLog struct {
	proxy  *Proxy
	events chan core.Event
	ended  chan struct{}
}

func newEventLog(p *Proxy) eventLog {
	return eventLog{proxy: p, events: make(chan core.Event, maxQueuedEvents), ended: make(chan struct{})}
}

// put queues an event. If the queue is full, the line is left out and counted.
func (l *eventLog) put(e *core.Event) {
	select {
	case l.events <- *e:
	default:
		l.proxy.observer.metrics.LineOmitted()
	}
}

// run logs events until close.
func (l *eventLog) run() {
	defer close(l.ended)
	for e := range l.events {
		l.proxy.logEvent(&e)
	}
}

// close waits until the queued events are logged. No event may be put after it.
func (l *eventLog) close() {
	close(l.events)
	<-l.ended
}

func (p *Proxy) logEvent(e *core.Event) {
	entry := p.line(e.Kind.String(), eventSteps[e.Kind], string(e.Upstream))
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
	p.line("settings", "start", "").WithFields(fields).Info("settings in effect")
	return nil
}

func settingsFields(s *config.Settings) (logrus.Fields, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	// Numbers keep their form; as floats, large ones would get an exponent.
	decoder.UseNumber()
	fields := logrus.Fields{}
	err = decoder.Decode(&fields)
	return fields, err
}
