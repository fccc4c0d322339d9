package upstream

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	controlpb "skylarkhinge.dev/skylarkhinge/api/control/v1"
)

func controlClient(t *testing.T, m *Member) controlpb.UpstreamControlClient {
	t.Helper()
	client, err := grpc.NewClient("passthrough:///"+m.ControlAddress(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return controlpb.NewUpstreamControlClient(client)
}

func fence(t *testing.T, m *Member, term uint64, promoter string) *controlpb.FenceResponse {
	t.Helper()
	response, err := controlClient(t, m).Fence(testContext(t), &controlpb.FenceRequest{Term: term, Promoter: promoter})
	assert.NilError(t, err)
	return response
}

func promote(t *testing.T, m *Member, term uint64, promoter string, members ...string) *controlpb.PromoteResponse {
	t.Helper()
	response, err := controlClient(t, m).Promote(testContext(t), &controlpb.PromoteRequest{Term: term, Promoter: promoter, Members: members})
	assert.NilError(t, err)
	return response
}

func waitCaughtUp(t *testing.T, primary *Member, replicas ...*Member) {
	t.Helper()
	for _, m := range replicas {
		eventually(t, m.Name()+" catches up", func() bool { return m.Status().Applied == primary.Status().Log })
	}
}

// Guards against replicas that return other rows than the primary or accept
// writes.
func TestReplication(t *testing.T) {
	members := startGroup(t, Options{})
	c := connect(t, members[0])
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	waitCaughtUp(t, members[0], members[1:]...)
	replica := connect(t, members[1])
	assert.Equal(t, queryText(t, replica, "SELECT v FROM kv WHERE k = 'a'"), "1")
	expectError(t, replica, "25006", "UPDATE kv SET v = '2' WHERE k = 'a'")
	assert.Equal(t, queryText(t, replica, "SHOW transaction_read_only"), "on")
}

// Guards against a pause or an apply delay that loses or reorders entries, or
// shows them too early.
func TestPauseAndApplyDelay(t *testing.T) {
	members := startGroup(t, Options{})
	primary, replica := members[0], members[1]
	c := connect(t, primary)
	replica.PauseReplication(true)
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	waitCaughtUp(t, primary, members[2])
	assert.Equal(t, replica.Status().Log, Position{Term: 1})
	replica.SetApplyDelay(time.Hour)
	replica.PauseReplication(false)
	eventually(t, "the log arrives", func() bool { return replica.Status().Log == primary.Status().Log })
	assert.Equal(t, replica.Status().Applied, Position{Term: 1})
	assert.Equal(t, queryInt(t, connect(t, replica), "SELECT count(*) FROM kv"), 0)
	replica.SetApplyDelay(0)
	assert.Equal(t, queryInt(t, connect(t, replica), "SELECT count(*) FROM kv"), 1)
	assert.ErrorContains(t, replica.SetLag(MaxLag+1), "outside")
}

// Guards against entries that reach a replica before its lag has passed.
func TestLag(t *testing.T) {
	const lag = 50 * time.Millisecond
	members := startGroup(t, Options{Lag: lag})
	exec(t, connect(t, members[0]), "INSERT INTO kv (k, v) VALUES ('a', '1')")
	waitCaughtUp(t, members[0], members[1])
	age := time.Since(members[1].Committed()[0].At)
	assert.Assert(t, age >= lag, "entry arrived after %s", age)
}

// Guards against two promoters or two primaries in one term.
func TestOnePromoterPerTerm(t *testing.T) {
	members := startGroup(t, Options{})
	assert.Assert(t, !fence(t, members[1], 1, "p1").Accepted)
	assert.Assert(t, !promote(t, members[1], 2, "p1").Accepted, "promoted without a fence")
	assert.Assert(t, fence(t, members[1], 2, "p1").Accepted)
	assert.Assert(t, fence(t, members[1], 2, "p1").Accepted, "a repeated fence is accepted")
	assert.Assert(t, !fence(t, members[1], 2, "p2").Accepted)
	assert.Assert(t, !promote(t, members[1], 2, "p2").Accepted)
	assert.Assert(t, !promote(t, members[1], 3, "p1").Accepted)
	response := promote(t, members[1], 2, "p1", members[2].ControlAddress())
	assert.Assert(t, response.Accepted)
	assert.Assert(t, response.Status.Primary)
	eventually(t, "u3 follows", func() bool { return members[2].Status().Term == 2 })
	assert.Assert(t, !promote(t, members[2], 2, "p1").Accepted, "a follower of the term was promoted")
	assert.Assert(t, promote(t, members[1], 2, "p1").Accepted, "a repeated promotion is accepted")
	assert.Assert(t, fence(t, members[1], 3, "p2").Accepted)
	assert.Assert(t, !promote(t, members[1], 2, "p1").Accepted, "promoted in an old term")
}

// Guards against a member that follows no primary because the promoter that
// fenced it lost the term to another one.
func TestFollowsWinnerOfTerm(t *testing.T) {
	members := startGroup(t, Options{})
	assert.Assert(t, fence(t, members[2], 2, "loser").Accepted)
	assert.Assert(t, fence(t, members[0], 2, "winner").Accepted)
	assert.Assert(t, fence(t, members[1], 2, "winner").Accepted)
	assert.Assert(t, promote(t, members[1], 2, "winner", members[0].ControlAddress(), members[2].ControlAddress()).Accepted)
	waitCaughtUp(t, members[1], members[0], members[2])
	assert.Assert(t, !promote(t, members[2], 2, "loser").Accepted)
}

// Guards against a fenced primary that accepts or commits writes.
func TestFenceAbortsWrites(t *testing.T) {
	members := startGroup(t, Options{})
	open, reading, fresh := connect(t, members[0]), connect(t, members[0]), connect(t, members[0])
	exec(t, open, "BEGIN")
	exec(t, open, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	exec(t, reading, "BEGIN")
	exec(t, reading, "SELECT 1")
	assert.Assert(t, fence(t, members[0], 2, "p1").Accepted)
	expectError(t, open, "25006", "COMMIT")
	assert.Equal(t, open.PgConn().TxStatus(), byte('I'))
	expectError(t, reading, "25006", "INSERT INTO kv (k, v) VALUES ('b', '1')")
	expectError(t, fresh, "25006", "INSERT INTO kv (k, v) VALUES ('c', '1')")
	assert.Equal(t, len(members[0].Committed()), 0)
	assert.Equal(t, members[0].Executions("a"), Executions{Executed: 1})
}

// Guards against a former primary that rejoins and keeps the divergent tail of
// its old term.
func TestDivergentTailIsTruncated(t *testing.T) {
	members := startGroup(t, Options{})
	old, next, third := members[0], members[1], members[2]
	c := connect(t, old)
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('kept', '1')")
	waitCaughtUp(t, old, next, third)
	old.Isolate(true)
	exec(t, c, "UPDATE kv SET v = '2' WHERE k = 'kept'")
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('lost', '1')")
	for _, m := range members[1:] {
		assert.Assert(t, fence(t, m, 2, "p1").Accepted)
	}
	assert.Assert(t, promote(t, next, 2, "p1", old.ControlAddress(), third.ControlAddress()).Accepted)
	assert.DeepEqual(t, next.Status().History, []Position{{1, 0}, {2, 1}})
	exec(t, connect(t, next), "INSERT INTO kv (k, v) VALUES ('new', '1')")
	waitCaughtUp(t, next, third)
	assert.Assert(t, old.Status().Primary, "the isolated primary stepped down")
	old.Isolate(false)
	waitCaughtUp(t, next, old)
	assert.DeepEqual(t, old.Status().History, next.Status().History)
	assert.Equal(t, queryText(t, c, "SELECT v FROM kv WHERE k = 'kept'"), "1")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM kv"), 2)
	assert.DeepEqual(t, old.Committed(), next.Committed())
	assert.Equal(t, old.Executions("lost"), Executions{Executed: 1})
	expectError(t, c, "25006", "DELETE FROM kv WHERE k = 'kept'")
}

// Guards against a member that loses its log on a restart.
func TestRestartFromSnapshot(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	exec(t, connect(t, m), "INSERT INTO kv (k, v) VALUES ('a', '1')")
	m.Close()
	snapshot := m.Snapshot()
	again := startMember(t, Options{Name: "u1", Snapshot: &snapshot})
	assert.Equal(t, queryText(t, connect(t, again), "SELECT v FROM kv WHERE k = 'a'"), "1")
	assert.DeepEqual(t, again.Status(), m.Status())
}

// Guards against silenced connections that affect new connections or
// replication.
func TestSilencedControlConnection(t *testing.T) {
	members := startGroup(t, Options{})
	m := members[1]
	waitCaughtUp(t, members[0], m)
	exec(t, connect(t, members[0]), "INSERT INTO kv (k, v) VALUES ('a', '1')")
	waitCaughtUp(t, members[0], m)
	old := controlClient(t, m)
	_, err := old.Status(testContext(t), &controlpb.StatusRequest{})
	assert.NilError(t, err)
	assert.Equal(t, m.SilenceConnections(ScopeControl), 1)
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = old.Status(short, &controlpb.StatusRequest{})
	assert.ErrorContains(t, err, "DeadlineExceeded")
	_, err = controlClient(t, m).Status(testContext(t), &controlpb.StatusRequest{})
	assert.NilError(t, err)
	exec(t, connect(t, members[0]), "INSERT INTO kv (k, v) VALUES ('b', '1')")
	waitCaughtUp(t, members[0], m)
}
