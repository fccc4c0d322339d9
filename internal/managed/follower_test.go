package managed

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
	"skylarkhinge.dev/skylarkhinge/core/revocation"
)

// logPeers answers polls from the log of a watcher. The watcher is suspended for pause
// before its answer is sent.
type logPeers struct {
	Peers
	log   *watchLog
	pause time.Duration
}

func (p *logPeers) Changes(ctx context.Context, _ string, poll Poll) (PeerChanges, error) {
	answer, err := p.log.waitForChanges(ctx, poll)
	if err != nil {
		return PeerChanges{}, err
	}
	time.Sleep(p.pause)
	return PeerChanges{Revision: Revision{answer.Epoch, answer.Revision}, Age: AgeFromMillis(*answer.Age, nil)}, nil
}

func newTestProxy(peers Peers) *Proxy {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := config.DefaultManagedSettings()
	return New(Options{Settings: &settings, Log: log, Peers: peers})
}

// Guards against a follower that takes the old confirmation of a watcher for a new one: of
// a watcher that lost the store and only renews its lease, that got its own configuration
// from another proxy, or that was suspended before its answer was sent.
func TestFollowerKeepsTheAgeOfItsWatcher(t *testing.T) {
	const age, pause = time.Second, 50 * time.Millisecond
	watcher := newTestProxy(nil)
	confirmed := now().Add(-age)
	watcher.watchLog.append(Revision{Number: 1}, Revision{Number: 2}, nil, confirmed)
	watcher.watchLog.recordContact()
	watcher.confirmConfiguration(now(), 0, "vm-9")
	follower := newTestProxy(&logPeers{log: watcher.watchLog, pause: pause})
	s := newStoreSync(follower)
	s.revision = Revision{Number: 2}
	u, err := s.pollWatcher(context.Background(), gateway.Proxy{})
	assert.NilError(t, err)
	s.confirm(u.sent, u.age)
	at := now()
	got, atLeast := follower.configurationAge(at), at.Sub(confirmed)
	assert.Assert(t, got >= atLeast && got < atLeast+pollWait+time.Second, "%v, not %v", got, atLeast)
}

// Guards against a follower that reads changes again because its watcher has read less of
// the store.
func TestFollowerKeepsItsRevisionAtAWatcherBehind(t *testing.T) {
	watcher := newTestProxy(nil)
	watcher.watchLog.append(revision(1), revision(12), nil, now())
	s := newStoreSync(newTestProxy(&logPeers{log: watcher.watchLog}))
	s.revision = revision(20)
	u, err := s.pollWatcher(context.Background(), gateway.Proxy{})
	assert.NilError(t, err)
	assert.Equal(t, u.revision, revision(20))
}

// Guards against a follower that skips the changes of a restored store up to the revision that
// it had reached before.
func TestFollowerListsAgainWhenItsWatcherReadsARestoredStore(t *testing.T) {
	watcher := newTestProxy(nil)
	watcher.watchLog.append(Revision{Epoch: 2, Number: 10}, Revision{Epoch: 2, Number: 12}, nil, now())
	s := newStoreSync(newTestProxy(&logPeers{log: watcher.watchLog}))
	s.revision = Revision{Epoch: 1, Number: 20}
	_, err := s.pollWatcher(context.Background(), gateway.Proxy{})
	assert.ErrorIs(t, err, ErrCompacted)
}

// Guards against watches that a change ends together and that stay in step, so that no proxy
// has confirmed the configuration shortly before the store fails.
func TestWaitsAfterAChangeAreSpread(t *testing.T) {
	p := newTestProxy(nil)
	settings := *p.settings()
	settings.StrictRevocation = true
	p.applySettings(&settings)
	directory, err := organisation.NewDirectory(nil)
	assert.NilError(t, err)
	p.currentDocument.Store(&Document{Version: 1, Organisations: directory})
	s := newStoreSync(p)
	at := now()
	p.confirmConfiguration(at, 0, storeSource)
	policy, strict := p.revocationPolicy()
	assert.Assert(t, strict)
	assert.Equal(t, s.waitForWatch(at), policy.WatchWait)
	s.endedByChange = true
	shortest, longest := policy.WatchWait, time.Duration(0)
	for range 200 {
		wait := s.waitForWatch(at)
		shortest, longest = min(shortest, wait), max(longest, wait)
	}
	assert.Assert(t, longest <= policy.WatchWait)
	assert.Assert(t, shortest < policy.WatchWait/4 && longest > policy.WatchWait*3/4, "%v to %v", shortest, longest)
}

// announcingPeers announce a configuration. Document fails while unavailable is set.
type announcingPeers struct {
	Peers
	document    *Document
	unavailable bool
}

func (p *announcingPeers) Changes(_ context.Context, _ string, poll Poll) (PeerChanges, error) {
	answer := PeerChanges{Revision: Revision{poll.After.Epoch, poll.After.Number + 1}, DocumentVersion: p.document.Version}
	answer.Changes = []Change{{Revision: answer.Revision.Number, Key: vmPrefix + "vm-9", Value: []byte("{}")}}
	return answer, nil
}

func (p *announcingPeers) Document(context.Context, string, uint64) (PeerDocument, error) {
	if p.unavailable {
		return PeerDocument{}, errNoAnswer
	}
	return PeerDocument{Document: p.document}, nil
}

// Guards against a follower that takes its configuration for the current one although it has
// not got the one that its watcher announced, and against other changes that wait for it.
func TestFollowerConfirmsNothingWithoutTheAnnouncedConfiguration(t *testing.T) {
	peers := &announcingPeers{document: &Document{Version: 9}, unavailable: true}
	p := newTestProxy(peers)
	p.currentDocument.Store(&Document{Version: 7})
	s := newStoreSync(p)
	s.revision, s.mustList, s.watcherName = revision(20), false, "vm-1"
	follow := func() {
		u, err := s.pollWatcher(context.Background(), gateway.Proxy{VM: "vm-1"})
		assert.NilError(t, err)
		s.applyUpdate(context.Background(), &u)
	}
	follow()
	assert.Equal(t, p.configurationAge(now()), revocation.Never)
	assert.Equal(t, s.revision, revision(20))
	assert.Equal(t, len(p.proxies.listed), 1)
	peers.unavailable = false
	follow()
	assert.Equal(t, p.document().Version, uint64(9))
	assert.Equal(t, s.revision, revision(21))
	assert.Assert(t, p.configurationAge(now()) != revocation.Never)
}
