package takeover

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Durations of internal/managed in steps of half a second: an entry ends entrySteps after its process, and
// the member is removed missingSteps later.
const (
	entrySteps             = 6
	missingSteps           = 5
	endSlackSteps          = 20
	lossMemorySteps        = 120
	unknownDepartureSteps  = 24
	leavingStepsAtLeast    = 4
	leavingStepsMore       = 16
	groupMembers           = 3
	rounds                 = 80
	maxLosses, maxRestarts = 2, 1
)

// departures lets members leave, end for good, and be cut from the primary one by one.
type departures struct {
	cuts     [maxMembers][maxMembers]bool
	gateways [2]gatewayState
	holders  []*orderHolder
	// ends are the replicas that ended, changedAt is when members were last added or removed.
	ends             []memberEnd
	changedAt        int
	losses, restarts int
	// unlisted is set if entries of members that run may end; else proxies may restart. One that has
	// restarted does not know who runs without an entry.
	unlisted bool
	// changes counts the changes of the members.
	changes int
	// isolated is the number of the primary that stays cut off once the trouble has stopped, from 1.
	isolated int
	// copies are the replicas that held a reported commit and stayed, as far as its gateway knew; nil
	// if no replica stayed.
	copies map[entity.Position][]int
	// forgiven are the reported commits that the last order for each member may lose.
	forgiven [maxMembers][]entity.Position
}

// departure is the end of a member. One that leaves ends at endsAt; the entry is missing from
// missingSince on, which may be yet to come.
type departure struct {
	ended                        bool
	leftAt, endsAt, missingSince int
}

func (m *orderedMember) missing(step int) bool { return m.missingSince != 0 && m.missingSince <= step }

// memberEnd is the end or the restart of a replica. left is set if it was announced, lost if it was not and
// the member has not returned.
type memberEnd struct {
	member, noticed int
	lost, left      bool
}

// gatewayState is what one proxy knows.
type gatewayState struct {
	reported      reportedCommit
	recordedSince int
	// otherLostAt is when the entry of the other proxy was removed.
	otherLostAt, behindSince int
	// leavingAt is when it learned that a member leaves.
	leavingAt [maxMembers]int
	// announced are the members that the holder of announcedClaim has announced as leaving.
	announcedClaim uint64
	announced      [maxMembers]bool
}

// reportedCommit is that of internal/managed.
type reportedCommit struct {
	position entity.Position
	sent     int
}

func (c reportedCommit) newer(other reportedCommit) reportedCommit {
	if c.position.Less(other.position) {
		return other
	}
	return c
}

// announcement is what a holder has told the other proxy and been told by it.
type announcement struct {
	leaving                     [maxMembers]bool
	changes                     int
	term                        uint64
	answered, reports, departed bool
	recordedSince               int
	reported                    reportedCommit
	primary                     entity.Upstream
}

func (g *orderedGroup) memberLimit() int {
	if g.departures != nil {
		return maxMembers
	}
	return 5
}

func (g *orderedGroup) gateway() int {
	if g.departures == nil {
		return 0
	}
	return g.draw(2, "gateway")
}

// newMember returns the member that may join next.
func (g *orderedGroup) newMember(i int) int {
	if g.departures == nil {
		return 3 + i%2
	}
	listed := 0
	for j, m := range g.members {
		if !m.started && listed <= groupMembers && (g.calm || j < maxMembers-groupMembers) {
			return j
		}
		if !m.ended && !m.leaving {
			listed++
		}
	}
	return 0
}

func (g *orderedGroup) cutPair(i int) bool {
	return g.departures != nil && g.departures.cuts[g.primary][i]
}

func (g *orderedGroup) setCut(i int, cut bool) {
	d := g.departures
	d.cuts[g.primary][i], d.cuts[i][g.primary] = cut, cut
	g.note("m%d cut from m%d %v", i, g.primary, cut)
}

func (g *orderedGroup) membersChanged() {
	if g.departures != nil {
		g.departures.changedAt = g.step
		g.departures.changes++
	}
}

func (g *orderedGroup) leave(i int) {
	m := &g.members[i]
	if !m.started || m.ended || m.leaving {
		return
	}
	m.leaving = true
	if g.departures != nil {
		m.leftAt, m.endsAt = g.step, g.step+leavingStepsAtLeast+g.draw(leavingStepsMore, "leaves for")
		g.note("m%d leaves until %d", i, m.endsAt)
	}
}

// entryOf lets the entry of a member that has crashed end later, and lists one that has returned.
func (g *orderedGroup) entryOf(i int) {
	m, d := &g.members[i], g.departures
	switch {
	case d == nil:
	case m.down && m.missingSince == 0:
		m.missingSince = g.step + entrySteps
	case !m.down:
		d.ends = slices.DeleteFunc(d.ends, func(e memberEnd) bool { return e.member == i && e.lost })
		if i != g.primary {
			d.ends = append(d.ends, memberEnd{member: i, noticed: g.step})
			d.changes++
		}
		if m.lost {
			g.membersChanged()
		}
		m.missingSince, m.lost, m.listedAt = 0, false, g.nextRevision()
	}
}

// listPrimary lists a new primary. One that runs without an entry is left out.
func (g *orderedGroup) listPrimary() {
	if m := &g.members[g.primary]; g.departures != nil && m.missingSince != 0 && !m.ended {
		g.entryOf(g.primary)
	}
}

// depart lets members be cut from the primary, lost for good, or miss their entries while they run, and
// proxies restart.
func (g *orderedGroup) depart(i int) {
	d, m := g.departures, &g.members[i]
	if d == nil {
		return
	}
	switch g.draw(10, "departure") {
	case 0, 1, 2:
		if i != g.primary && m.started && !m.ended {
			g.setCut(i, !d.cuts[g.primary][i])
		}
	case 3, 4:
		for j := range g.members {
			if other := &g.members[j]; j != g.primary && other.started && !other.ended {
				g.setCut(j, !other.leaving)
			}
		}
	case 5:
		if m.started && !m.ended && d.losses < maxLosses && g.trouble("lost for good", 2) {
			d.losses++
			g.endMember(i, g.step+entrySteps)
		}
	case 6:
		if d.unlisted && m.started && !m.down && i != g.primary {
			if m.missing(g.step) {
				g.entryOf(i)
			} else {
				m.missingSince = g.step
			}
			g.note("m%d lives, missing %v", i, m.missingSince != 0)
		}
	case 7:
		if !d.unlisted && d.restarts < maxRestarts && g.trouble("restart", 2) {
			d.restarts++
			g.restartGateway(i % 2)
		}
	case 8, 9:
		g.leave(i)
	}
}

func (g *orderedGroup) endMember(i, missingSince int) {
	m := &g.members[i]
	m.ended, m.down, m.pauseTerm, m.starts = true, true, 0, m.starts+1
	if m.missingSince == 0 || m.missingSince > missingSince {
		m.missingSince = missingSince
	}
	g.note("m%d ends", i)
}

// restartGateway lets a proxy forget what it reported and what ended before.
func (g *orderedGroup) restartGateway(q int) {
	d := g.departures
	g.note("proxy %d restarts", q)
	d.gateways[q] = gatewayState{recordedSince: g.step}
	for i, m := range g.members {
		if m.leaving {
			d.gateways[q].leavingAt[i] = g.step
		}
	}
	if g.trouble("entry of the proxy ends", 2) {
		d.gateways[1-q].otherLostAt = g.step
	}
	g.commits = slices.DeleteFunc(g.commits, func(c *proxyCommit) bool { return c.gateway == q })
	for _, h := range d.holders {
		h.dead = h.dead || h.proxy == q
	}
}

// endMembers ends members whose time has come, removes those missing for long, and lets the proxies
// learn who leaves.
func (g *orderedGroup) endMembers() {
	d := g.departures
	if d == nil {
		return
	}
	for i := range g.members {
		m := &g.members[i]
		if m.endsAt != 0 && m.endsAt <= g.step && !m.ended {
			g.endMember(i, g.step)
		}
		if !m.lost && m.missingSince != 0 && g.step >= m.missingSince+missingSteps {
			m.lost = true
			g.note("m%d is removed", i)
			g.membersChanged()
			d.ends = append(d.ends, memberEnd{i, g.step, !m.leaving && i != g.primary, m.leaving && i != g.primary})
		}
		for q := range d.gateways {
			if known := &d.gateways[q].leavingAt[i]; m.leaving && *known == 0 && (g.step-m.leftAt >= 2 || g.draw(2, "learns") == 1) {
				*known = g.step
			}
		}
	}
}

// leaves reports whether a proxy knows that a member leaves.
func (g *orderedGroup) leaves(q, i int) bool {
	if g.departures == nil {
		return g.members[i].leaving
	}
	return g.departures.gateways[q].leavingAt[i] != 0
}

// endsKnown returns the ends that a proxy has noticed since its start and remembers.
func (g *orderedGroup) endsKnown(q int) []memberEnd {
	d := g.departures
	return slices.DeleteFunc(slices.Clone(d.ends), func(e memberEnd) bool {
		return e.noticed < d.gateways[q].recordedSince || g.step-e.noticed > lossMemorySteps
	})
}

// departing is that of internal/managed.
func (g *orderedGroup) departing(c *proxyCommit, claim uint64) []entity.Upstream {
	if g.departures == nil {
		return nil
	}
	q := &g.departures.gateways[c.gateway]
	var departing, missing, announced []entity.Upstream
	stays := false
	for i, m := range g.members {
		switch {
		case !m.started || m.lost || i == g.known.primary:
		case q.leavingAt[i] != 0:
			departing = append(departing, upstream(i))
			if q.announced[i] {
				announced = append(announced, upstream(i))
			}
		case m.missing(g.step):
			missing = append(missing, upstream(i))
		default:
			stays = true
		}
	}
	switch {
	case stays:
		departing = append(departing, missing...)
	case len(missing) == 0 && claim != 0 && claim == q.announcedClaim && len(announced) < len(departing):
		return announced
	case len(missing) == 0:
		return nil
	}
	for _, e := range g.endsKnown(c.gateway) {
		if e.lost || e.left && c.written < e.noticed+endSlackSteps {
			departing = append(departing, upstream(e.member))
		}
	}
	slices.Sort(departing)
	return slices.Compact(departing)
}

// recordReported records a reported commit at its gateway.
func (g *orderedGroup) recordReported(c *proxyCommit) {
	d := g.departures
	if d == nil {
		return
	}
	q := &d.gateways[c.gateway]
	q.reported = q.reported.newer(reportedCommit{c.position, c.written})
	var copies []int
	stays := false
	for i, m := range g.members {
		if m.started && !m.lost && !g.leaves(c.gateway, i) && !m.missing(g.step) && i != g.primary {
			stays = true
			if m.holds(c.position) {
				copies = append(copies, i)
			}
		}
	}
	if stays && copies == nil {
		copies = []int{}
	}
	d.copies[c.position] = copies
}

// forgivable returns the reported commits that the promotion of a target may lose: the replicas that stayed and
// held them have ended or are not listed, and so is the primary lost.
func (g *orderedGroup) forgivable(h *orderHolder, v *View, target int) (positions []entity.Position) {
	if g.departures == nil {
		return nil
	}
	for _, p := range g.reported {
		copies, ok := g.departures.copies[p]
		held := !ok || copies != nil && len(copies) == 0
		for i, m := range g.members {
			out := m.ended || m.lost || i == h.replaced && !v.LeaderAnswers
			held = held || m.started && m.holds(p) && (i == target || !out)
		}
		if !held {
			positions = append(positions, p)
		}
	}
	if slices.Contains(h.targets(), upstream(target)) {
		positions = append(positions, g.departures.forgiven[target]...)
	}
	g.departures.forgiven[target] = positions
	return positions
}

// forgive forgets the reported commits that an order may lose.
func (g *orderedGroup) forgive(o *platformOrder) {
	g.reported = slices.DeleteFunc(g.reported, func(p entity.Position) bool {
		lost := slices.Contains(o.forgiven, p) && !g.members[o.target].holds(p)
		if lost {
			g.note("%v is lost for good", p)
		}
		return lost
	})
}

// announce is that of internal/managed.
func (h *orderHolder) announce() {
	d := h.g.departures
	if d == nil || h.dead {
		return
	}
	if !slices.Contains(d.holders, h) {
		d.holders = append(d.holders, h)
	}
	a := &h.announcement
	if h.outdated() {
		a.leaving, a.changes, a.term, a.answered = h.leaving(), d.changes, h.term, false
	}
	if a.answered || h.g.trouble("announcement lost", 3) {
		return
	}
	other := &d.gateways[1-h.proxy]
	other.announcedClaim, other.announced = h.claim, a.leaving
	for i, leaving := range a.leaving {
		if leaving && other.leavingAt[i] == 0 {
			other.leavingAt[i] = h.g.step
		}
	}
	if h.g.trouble("answer to the announcement lost", 5) {
		return
	}
	a.answered, a.recordedSince, a.reports = true, other.recordedSince, other.reported.position != entity.Position{}
	a.departed = a.departed || h.g.replicaDeparted(1-h.proxy)
	a.reported = a.reported.newer(other.reported)
	if !h.g.members[h.g.primary].down && h.g.draw(2, "reaches the primary") == 1 {
		a.primary = upstream(h.g.primary)
	}
}

func (h *orderHolder) leaving() (leaving [maxMembers]bool) {
	for i, m := range h.g.members {
		leaving[i] = m.started && !m.lost && h.g.leaves(h.proxy, i)
	}
	return leaving
}

// outdated reports whether the members or the primary have changed since the answer.
func (h *orderHolder) outdated() bool {
	a := &h.announcement
	return a.leaving != h.leaving() || a.changes != h.g.departures.changes || a.term != h.term
}

// newestReported is that of internal/managed.
func (h *orderHolder) newestReported() (reported entity.Position, complete bool) {
	own, a := &h.g.departures.gateways[h.proxy], &h.announcement
	newest := own.reported.newer(a.reported)
	return newest.position, !h.outdated() && a.answered && (own.otherLostAt == 0 || own.otherLostAt < newest.sent) &&
		(own.reported.position != entity.Position{} || own.recordedSince < newest.sent) && (a.reports || a.recordedSince < newest.sent)
}

// replicaDeparted reports whether a proxy remembers that a replica has ended.
func (g *orderedGroup) replicaDeparted(q int) bool { return len(g.endsKnown(q)) > 0 }

func (h *orderHolder) reportsChanged(v *View, target entity.Upstream) bool {
	if h.g.departures == nil || v.LeaderHealthy && !h.progress.LeaderStalled() {
		return false
	}
	h.announce()
	reported, complete := h.newestReported()
	return v.ReportsComplete && !complete || v.Reported != reported &&
		slices.ContainsFunc(v.Members, func(m Member) bool { return m.Name == target && m.Received.Less(reported) })
}

const stepTime = time.Second / 2

func (h *orderHolder) viewDepartures(v *View) {
	g, d := h.g, h.g.departures
	if d == nil {
		return
	}
	v.IncompleteFor = time.Duration(g.step-d.changedAt) * stepTime
	ends := g.endsKnown(h.proxy)
	for _, e := range ends {
		if e.lost {
			v.ReplicaLost, v.LostFor = true, time.Duration(g.step-e.noticed)*stepTime
		}
	}
	v.Reported, v.ReportsComplete = h.newestReported()
	v.ReportedAtLeast = v.Reported
	v.Departed = h.announcement.departed || g.replicaDeparted(h.proxy) ||
		!v.ReportsComplete && g.step-d.gateways[h.proxy].recordedSince < unknownDepartureSteps
}

func (h *orderHolder) viewBehind(v *View) {
	if h.g.departures == nil {
		return
	}
	q := &h.g.departures.gateways[h.proxy]
	switch {
	case v.LeaderAnswers || !v.Behind():
		q.behindSince = 0
	case q.behindSince == 0:
		q.behindSince = h.g.step
	default:
		v.BehindFor = time.Duration(h.g.step-q.behindSince) * stepTime
	}
}

// playDepartures plays a game of several takeovers while members leave. Once the trouble has stopped, the
// group takes writes again, if a replica holds what was reported also while the primary stays cut off.
func playDepartures(t *rapid.T) {
	d := &departures{changedAt: -lossMemorySteps, copies: map[entity.Position][]int{}}
	d.gateways = [2]gatewayState{{recordedSince: -lossMemorySteps}, {recordedSince: -lossMemorySteps}}
	g := &orderedGroup{t: t, newcomers: true, departures: d}
	d.unlisted = g.draw(2, "unlisted") == 1
	g.begin()
	for range 8 {
		for range 1 + g.draw(8, "steps") {
			g.advance()
		}
		g.takeOver()
	}
	g.calmDown()
	for round := 0; !g.takesWrites(); round++ {
		if round == rounds {
			g.t.Fatalf("m%d takes no writes, orders for %v are open\n%s", g.primary, g.record.targets, strings.Join(g.trace, "\n"))
		}
		g.advance()
		g.takeOver()
	}
}

// calmDown ends the trouble. Members that leave still end.
func (g *orderedGroup) calmDown() {
	d, reported := g.departures, entity.Position{}
	for _, q := range d.gateways {
		if reported.Less(q.reported.position) {
			reported = q.reported.position
		}
	}
	g.calm, d.cuts = true, [maxMembers][maxMembers]bool{}
	successor := false
	for i := range g.members {
		m := &g.members[i]
		if m.cut = false; m.started && !m.ended && (m.down || m.missingSince != 0) {
			m.down, m.pauseTerm = false, 0
			g.entryOf(i)
		}
		successor = successor || i != g.primary && m.started && !m.ended && !m.leaving && !m.end().Less(reported) &&
			!slices.ContainsFunc(g.reported, func(p entity.Position) bool { return !m.holds(p) })
	}
	if successor && !g.members[g.primary].ended && g.draw(2, "stays cut off") == 1 {
		d.isolated = g.primary + 1
		for i := range g.members {
			g.setCut(i, i != g.primary)
		}
		g.write()
	}
	for range groupMembers {
		g.join(g.newMember(0))
	}
	for _, o := range slices.Clone(g.orders) {
		if !o.carried {
			g.carryOut(o)
		}
	}
	g.note("calm, isolated %v", d.isolated != 0)
}

// neededTakeover returns the kind of the takeover that a proxy begins once the trouble has stopped.
func (g *orderedGroup) neededTakeover() int {
	switch {
	case g.members[g.primary].down:
		return 1
	case g.departures.isolated == g.primary+1:
		return 3
	case g.members[g.primary].leaving:
		return 0
	}
	return 4
}

// takesWrites reports whether a write is reported within a few steps.
func (g *orderedGroup) takesWrites() bool {
	p := &g.members[g.primary]
	if p.down || p.leaving || len(g.record.targets) > 0 || g.departures.isolated == g.primary+1 || g.any(func(m orderedMember) bool { return m.pauseTerm != 0 }) {
		return false
	}
	g.commits = nil
	g.write()
	position := p.end()
	for range 4 {
		g.advance()
		for range 4 {
			g.confirm(-1)
		}
	}
	return slices.Contains(g.reported, position)
}

// Guards against a promotion that loses a commit which only replicas that left, or were lost, had received.
func TestDeparturesKeepReportedCommits(t *testing.T) {
	for range 10 {
		rapid.Check(t, playDepartures)
	}
}
