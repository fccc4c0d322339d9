package managed

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// TakeoverPath is the HTTP path at which a proxy hears of a takeover from its holder.
const TakeoverPath = "/takeover"

const (
	// announceTimeout bounds the wait for other proxies before an order is sent. A round trip
	// between regions takes about 30 ms.
	announceTimeout = 150 * time.Millisecond
	// announcementTTL is how long an announced takeover counts as open without word from the store.
	announcementTTL = maxTakeover
)

// Announcement tells another proxy that a takeover has begun, sooner than the store does and also if
// the store does not serve that proxy.
type Announcement struct {
	Database entity.Database `json:"database"`
	// Epoch and Claim are the revision of the claim.
	Epoch uint64 `json:"epoch"`
	Claim uint64 `json:"claim"`
	// Leaving are the upstreams of the database that have announced their shutdown.
	Leaving []UpstreamProcess `json:"leaving,omitempty"`
}

// UpstreamProcess is one process of an upstream.
type UpstreamProcess struct {
	Name        entity.Upstream `json:"name"`
	Incarnation int64           `json:"incarnation"`
}

// AnnouncementReply tells the holder of a claim what a proxy knows.
type AnnouncementReply struct {
	// Reported is the newest commit that the proxy has reported to a caller, zero if there is none, nil
	// if the proxy is of a version that does not record it. The commit was sent ReportedMS ago.
	// It is known to have at least the position AtLeast.
	Reported   *entity.Position `json:"reported,omitempty"`
	ReportedMS int64            `json:"reported_ms,omitempty"`
	AtLeast    entity.Position  `json:"at_least"`
	// RecordedMS is the time in ms for which the proxy has recorded that.
	RecordedMS int64 `json:"recorded_ms"`
	// Departed is set if the proxy remembers that a replica has ended.
	Departed bool `json:"departed,omitempty"`
	// Primary is the primary that has answered the proxy a call sent PrimaryMS ago, empty if none has.
	Primary   entity.Upstream `json:"primary,omitempty"`
	PrimaryMS int64           `json:"primary_ms,omitempty"`
}

// announcer tells the other gateways of a database about a takeover, and collects what they know.
type announcer struct {
	db    *database
	claim Revision

	mu sync.Mutex
	// leaving are the upstreams announced as leaving, changedAt is when the members had changed last by
	// then. answers are the replies since then.
	leaving   []UpstreamProcess
	changedAt entity.Time
	answers   map[entity.VM]gatewayAnswer
	// reported is the newest commit of all replies. primaries are the primaries that answered other proxies
	// calls sent at the given times. departed is set if a proxy remembers that a replica has ended.
	reported  reportedCommit
	primaries map[entity.Upstream]entity.Time
	departed  bool
	askedAt   entity.Time
	// round is closed when the gateways asked last have answered or their time has passed.
	round chan struct{}
}

// gatewayAnswer is a reply to an announcement. The gateway has recorded since a time what it reports;
// reports is set if it has reported a commit since.
type gatewayAnswer struct {
	known, reports bool
	recordedSince  entity.Time
}

func newAnnouncer(d *database, claim Revision) *announcer {
	done := make(chan struct{})
	close(done)
	return &announcer{db: d, claim: claim, answers: map[entity.VM]gatewayAnswer{}, primaries: map[entity.Upstream]entity.Time{}, round: done}
}

// announce asks the gateways that have not answered since the members last changed. It does not wait for
// them.
func (a *announcer) announce() {
	a.db.mu.Lock()
	gateways, leaving, changedAt := a.db.gateways, a.db.leavingProcesses(), a.db.replicasChangedAt()
	a.db.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.isOutdated(leaving, changedAt)
	select {
	case <-a.round:
	default:
		if !changed {
			return
		}
	}
	if changed {
		a.leaving, a.changedAt, a.answers = leaving, changedAt, map[entity.VM]gatewayAnswer{}
	}
	at := now()
	// An announcement ends at its receivers.
	again := at.Sub(a.askedAt) >= announcementTTL/2
	if again {
		a.askedAt = at
	}
	gateways = slices.DeleteFunc(slices.Clone(gateways), func(g gateway.Proxy) bool {
		return !a.isOther(g) || a.answers[g.VM].known && !again
	})
	if len(gateways) == 0 {
		return
	}
	message := Announcement{a.db.name, a.claim.Epoch, a.claim.Number, leaving}
	round := make(chan struct{})
	a.round = round
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	var asked sync.WaitGroup
	for _, g := range gateways {
		asked.Go(func() { a.ask(ctx, g, message, changedAt) })
	}
	go func() {
		asked.Wait()
		cancel()
		close(round)
	}()
}

// isOutdated reports whether the members have changed since the answers: a proxy may have counted one as
// evidence that does not stay any more. The mutex is held.
func (a *announcer) isOutdated(leaving []UpstreamProcess, changedAt entity.Time) bool {
	return !slices.Equal(leaving, a.leaving) || changedAt != a.changedAt
}

// isOther reports whether a gateway is another proxy that can be asked.
func (a *announcer) isOther(g gateway.Proxy) bool {
	p := a.db.proxy
	return p.options.Peers != nil && g.VM != p.self().VM && g.StatusAddress != ""
}

// ask announces the takeover to a gateway. changedAt is when the members had changed last by then.
func (a *announcer) ask(ctx context.Context, g gateway.Proxy, message Announcement, changedAt entity.Time) {
	asked := now()
	reply, err := a.db.proxy.options.Peers.Announce(ctx, g.StatusAddress, message)
	if err != nil {
		a.db.proxy.events.rateLimited("announcement_failed", "announce", string(g.VM), nil, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.departed = a.departed || reply.Departed
	if reply.Primary != "" {
		a.primaries[reply.Primary] = max(a.primaries[reply.Primary], asked.Add(-time.Duration(reply.PrimaryMS)*time.Millisecond))
	}
	answer := gatewayAnswer{known: true, recordedSince: entity.Never}
	if reply.Reported != nil {
		answer.recordedSince = now().Add(-time.Duration(reply.RecordedMS) * time.Millisecond)
		answer.reports = !reply.Reported.IsZero()
		a.reported = a.reported.newer(reportedCommit{*reply.Reported, reply.AtLeast, asked.Add(-time.Duration(reply.ReportedMS) * time.Millisecond)})
	}
	if !a.isOutdated(message.Leaving, changedAt) {
		a.answers[g.VM] = answer
	}
}

// leavingProcesses returns the members that have announced their shutdown, by name. The mutex is held.
func (d *database) leavingProcesses() []UpstreamProcess {
	var leaving []UpstreamProcess
	for _, m := range d.members {
		if m.leavingSince != 0 {
			leaving = append(leaving, UpstreamProcess{m.name, m.entry.Incarnation})
		}
	}
	slices.SortFunc(leaving, func(a, b UpstreamProcess) int { return cmp.Compare(a.Name, b.Name) })
	return leaving
}

// wait waits until the gateways asked last have answered or their time has passed.
func (a *announcer) wait() {
	a.mu.Lock()
	round := a.round
	a.mu.Unlock()
	<-round
}

// newestReported returns the newest commit known to have been reported to a caller. complete is set if no
// later one was: all gateways have answered and know which upstreams leave, and what those that have
// restarted or failed reported before is not newer. The database's mutex is held.
func (a *announcer) newestReported() (newest reportedCommit, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.db
	newest = d.reported.newer(a.reported)
	complete = d.proxy.fleetKnown.Load() && !a.isOutdated(d.leavingProcesses(), d.replicasChangedAt()) &&
		(d.gatewayLostAt == 0 || d.gatewayLostAt < newest.sent) &&
		(!d.reported.position.IsZero() || d.recordedSince < newest.sent)
	for _, g := range d.gateways {
		if g.VM != d.proxy.self().VM {
			answer := a.answers[g.VM]
			complete = complete && answer.known && (answer.reports || answer.recordedSince < newest.sent)
		}
	}
	return newest, complete
}

// replicaDeparted reports whether this proxy or another one remembers that a replica has ended. The
// database's mutex is held.
func (a *announcer) replicaDeparted(at entity.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.departed || a.db.replicaDeparted(at)
}

// reached reports whether a primary has answered another proxy a call that was sent after a time.
func (a *announcer) reached(primary entity.Upstream, after entity.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.primaries[primary] > after
}

// ServeTakeover records a takeover that another proxy announces, and answers with the commits that this
// proxy has reported to callers. From then on it reports none without evidence.
func (p *Proxy) ServeTakeover(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	d := p.databases[a.Database]
	p.mu.Unlock()
	reply := AnnouncementReply{Reported: &entity.Position{}}
	if d != nil {
		reply = d.applyAnnouncement(a)
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(reply)
}

// applyAnnouncement records an announced claim, unless the store has told of its end already, and which
// upstreams leave.
func (d *database) applyAnnouncement(a Announcement) AnnouncementReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	for _, leaving := range a.Leaving {
		if m := d.members[leaving.Name]; m != nil && m.entry.Incarnation <= leaving.Incarnation {
			d.setLeaving(m, at)
		}
	}
	reported := d.reported.position
	reply := AnnouncementReply{Reported: &reported, RecordedMS: at.Sub(d.recordedSince).Milliseconds(), Departed: d.replicaDeparted(at)}
	if !reported.IsZero() {
		reply.AtLeast = d.reported.atLeast
		reply.ReportedMS = at.Sub(d.reported.sent).Milliseconds()
	}
	if d.primary != nil && d.primaryAnsweredAt != 0 {
		reply.Primary, reply.PrimaryMS = d.primary.name, at.Sub(d.primaryAnsweredAt).Milliseconds()
	}
	claim := Revision{a.Epoch, a.Claim}
	if claim.before(d.claimRemovedAt) || claim.before(d.announced) {
		return reply
	}
	d.announcedLeaving = a.Leaving
	if d.announced != claim {
		d.proxy.events.takeoverAnnounced(d.name, claim, reported)
	}
	d.announced, d.announcedUntil = claim, at.Add(announcementTTL)
	return reply
}
