package managed

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// departingNow returns the replicas that depart for a commit of the believed primary that is sent now.
func departingNow(d *database) []entity.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departing(&commit{primary: d.primary, sent: now()}, now())
}

// Guards against replicas whose word counts although they take their log with them, and against
// commits that cannot be reported because nothing else is left.
func TestDepartingReplicas(t *testing.T) {
	const listed, leaving, missing = 0, 1, 2
	for _, c := range []struct {
		name   string
		states map[entity.Upstream]int
		// lost and ended are set if a replica z was removed, after an announcement or without one.
		lost, ended bool
		want        []entity.Upstream
	}{
		{"all stay", map[entity.Upstream]int{"b": listed, "c": listed}, false, false, nil},
		{"one leaves", map[entity.Upstream]int{"b": leaving, "c": listed}, false, false, []entity.Upstream{"b"}},
		{"one is missing", map[entity.Upstream]int{"b": listed, "c": missing}, false, false, []entity.Upstream{"c"}},
		{"one was lost", map[entity.Upstream]int{"b": listed}, true, false, []entity.Upstream{"z"}},
		{"one has left", map[entity.Upstream]int{"b": listed}, false, true, []entity.Upstream{"z"}},
		{"all leave", map[entity.Upstream]int{"b": leaving, "c": leaving}, true, false, nil},
		{"all are missing", map[entity.Upstream]int{"b": missing, "c": missing}, false, false, nil},
		{"one leaves, the other is missing", map[entity.Upstream]int{"b": leaving, "c": missing}, false, false, []entity.Upstream{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDirectoryTest()
			d.putMember(Member{Name: "a"}, 0, Revision{})
			lead(d, "a")
			for name, state := range c.states {
				d.putMember(Member{Name: name, Leaving: state == leaving}, 0, Revision{})
				if state == missing {
					d.removeMember(name)
				}
			}
			d.mu.Lock()
			if c.lost {
				recordEnd(d.lostReplicas, now(), "z")
			}
			if c.ended {
				recordEnd(d.ended, now(), "z")
			}
			d.mu.Unlock()
			assert.DeepEqual(t, departingNow(d), c.want)
		})
	}
}

// Guards against the word of a replica that leaves while the holder of a takeover takes another one,
// which leaves as well, for one that stays.
func TestHolderKnowsLessReplicasToLeave(t *testing.T) {
	d := newDirectoryTest()
	d.putMember(Member{Name: "a"}, 0, Revision{})
	lead(d, "a")
	for _, name := range []entity.Upstream{"b", "c"} {
		d.putMember(Member{Name: name, Leaving: true}, 0, Revision{})
	}
	assert.Equal(t, len(departingNow(d)), 0)
	d.applyAnnouncement(Announcement{Database: d.name, Epoch: 2, Claim: 15, Leaving: []UpstreamProcess{{Name: "b"}}})
	assert.DeepEqual(t, departingNow(d), []entity.Upstream{"b"})
}

// Guards against a takeover that takes the commits that it knows for all that were reported, and against
// one that never does because a proxy has restarted.
func TestNewestReportedCommitIsCertain(t *testing.T) {
	const restarted, lately = 10 * time.Second, 5 * time.Second
	answer := func(reported uint64, sentAgo time.Duration) AnnouncementReply {
		return AnnouncementReply{
			Reported: &entity.Position{Term: 1, Offset: reported}, ReportedMS: sentAgo.Milliseconds(), RecordedMS: restarted.Milliseconds(),
		}
	}
	none := AnnouncementReply{Reported: &entity.Position{}, RecordedMS: restarted.Milliseconds()}
	for _, c := range []struct {
		name    string
		own     reportedCommit
		answers []AnnouncementReply
		change  func(*database)
		want    bool
	}{
		{"all have reported", reportedCommit{position: entity.Position{Term: 1, Offset: 5}, sent: now()}, []AnnouncementReply{answer(6, lately), answer(7, lately)}, nil, true},
		{"one does not answer", reportedCommit{position: entity.Position{Term: 1, Offset: 5}, sent: now()}, []AnnouncementReply{answer(7, lately)}, nil, false},
		{"one is of an earlier version", reportedCommit{}, []AnnouncementReply{answer(7, lately), {}}, nil, false},
		{"one has restarted, a later commit is known", reportedCommit{}, []AnnouncementReply{none, answer(7, lately)}, nil, true},
		{"one has restarted, none is known", reportedCommit{}, []AnnouncementReply{none, answer(7, 2*restarted)}, nil, false},
		{"one has failed, none is known", reportedCommit{}, []AnnouncementReply{answer(6, lately), answer(7, lately)},
			func(d *database) { d.gatewayLostAt = now() }, false},
		{"a replica leaves of which they do not know", reportedCommit{}, []AnnouncementReply{answer(6, lately), answer(7, lately)},
			func(d *database) { d.members["b"] = &member{name: "b", leavingSince: now()} }, false},
		{"a replica has ended since", reportedCommit{}, []AnnouncementReply{answer(6, lately), answer(7, lately)},
			func(d *database) { d.departedAt = now() }, false},
		{"a replica has joined since", reportedCommit{}, []AnnouncementReply{answer(6, lately), answer(7, lately)},
			func(d *database) { d.membersChangedAt = now() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDirectoryTest()
			others := []gateway.Proxy{{VM: "x", StatusAddress: "x"}, {VM: "y", StatusAddress: "y"}}
			d.proxy.options.Peers = &answeringPeers{answers: c.answers}
			a := newAnnouncer(d, Revision{2, 15})
			a.changedAt = d.replicasChangedAt()
			for i := range c.answers {
				a.ask(t.Context(), others[i], Announcement{Database: d.name}, d.replicasChangedAt())
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			// The monitor does not use the database.
			d.isGateway = false
			d.proxy.fleetKnown.Store(true)
			d.reported, d.recordedSince = c.own, now().Add(-restarted)
			d.gateways = append(others, d.proxy.self())
			if c.change != nil {
				c.change(d)
			}
			_, complete := a.newestReported()
			assert.Equal(t, complete, c.want)
		})
	}
}

// answeringPeers answers announcements in turn.
type answeringPeers struct {
	Peers
	answers []AnnouncementReply
}

func (p *answeringPeers) Announce(context.Context, string, Announcement) (AnnouncementReply, error) {
	answer := p.answers[0]
	p.answers = p.answers[1:]
	return answer, nil
}

// Guards against the word of a replaced primary that leaves.
func TestReplacedPrimaryDeparts(t *testing.T) {
	d := newDirectoryTest()
	for _, name := range []entity.Upstream{"a", "b", "c"} {
		d.putMember(Member{Name: name, Leaving: name == "a"}, 0, Revision{})
	}
	lead(d, "b")
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.DeepEqual(t, d.departing(&commit{primary: d.members["a"], sent: now()}, now()), []entity.Upstream{"a"})
}
