package managed_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

const (
	revocationTimeout = 2 * time.Second
	// outOfDate is what a proxy whose configuration has expired answers and reports.
	outOfDate = "out of date"
)

var organisationKeys = map[string][]string{"acme": {"u1"}}

// strict sets strict revocation.
func strict(s *config.ManagedSettings) {
	s.StrictRevocation, s.RevocationTimeout = true, revocationTimeout
}

// setOrganisations writes a configuration with organisations. Callers of boundedDB need no
// key.
func (f *fleet) setOrganisations(keys map[string][]string) {
	var list []standin.Organisation
	for name, held := range keys {
		list = append(list, standin.Organisation{Name: name, Keys: held})
	}
	f.store.SetOrganisations(list...)
	for i := range f.routes {
		f.routes[i].Anonymous = f.routes[i].Name == boundedDB
	}
	f.configure()
}

// newStrictFleet starts proxies with organisations and strict revocation.
func newStrictFleet(t testing.TB, proxies int) *fleet {
	f := newFleet(t, 0)
	f.adjust = strict
	f.observed = true
	f.connections = scarceConnections
	f.configure()
	f.setOrganisations(organisationKeys)
	for i := range proxies {
		f.nodes = append(f.nodes, f.start(i))
	}
	if proxies > 1 {
		f.awaitListed(proxies)
	}
	waitFor(t, 5*time.Second, "configuration", func() bool { return f.nodes[0].proxy.NotReadyReason() == "" })
	return f
}

// Guards against a proxy that refuses requests because the store turns it away, although
// other proxies confirm its configuration.
func TestPeersConfirmTheConfiguration(t *testing.T) {
	f := newStrictFleet(t, 3)
	n := f.nodes[2]
	f.store.RejectProxy(n.settings.VM)
	for end := time.Now().Add(2 * revocationTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, n.proxy.NotReadyReason(), "")
	}
	assert.Assert(t, len(n.log.find("event=store_lost")) > 0)
	f.setOrganisations(nil)
	waitFor(t, revocationTimeout, "the new configuration", func() bool { return len(n.log.find("event=document_relayed")) > 0 })
}

// Guards against a proxy without store and peers that serves requests by a configuration
// that has been replaced, also in open transactions and in sessions that a gateway serves,
// and that does not recover.
func TestCutOffProxyRefuses(t *testing.T) {
	f := newStrictFleet(t, 6)
	var own, remote *node // a gateway, and a proxy whose sessions a gateway serves
	for _, n := range f.nodes {
		before := f.handedOver()
		c := n.open(t, strictDB)
		c.eventually(5*time.Second, "WRITE a 1")
		if f.handedOver() == before {
			own = n
		} else {
			remote = n
		}
	}
	cut := []*node{own, remote}
	assert.Assert(t, own != nil && remote != nil)
	sessions := map[*node][3]*caller{}
	for _, n := range cut {
		sessions[n] = [3]*caller{n.open(t, strictDB), n.open(t, strictDB), n.open(t, boundedDB)}
		sessions[n][1].mustQuery("BEGIN")
		sessions[n][1].mustQuery("WRITE a 2")
		f.store.RejectProxy(n.settings.VM)
		n.cut.Store(true)
	}
	f.setOrganisations(nil)
	removed := time.Now()
	for _, n := range cut {
		idle, tx, anonymous := sessions[n][0], sessions[n][1], sessions[n][2]
		waitFor(t, revocationTimeout-time.Since(removed), "refusal", func() bool { return n.proxy.NotReadyReason() == "configuration is "+outOfDate })
		assert.Equal(t, idle.query("READ a").code, managed.CodeBusy)
		_, err := idle.try("READ a")
		assert.Assert(t, err != nil, "the session goes on")
		r := tx.query("WRITE a 3")
		assert.Equal(t, r.code, managed.CodeBusy)
		assert.Equal(t, r.state, managed.StateFailed)
		assert.Equal(t, tx.query("COMMIT").code, managed.CodeAborted)
		_, err = tx.try("READ a")
		assert.Assert(t, err != nil, "the session goes on")
		assert.Equal(t, len(f.executionsOf(tx)), 1)
		_, refused := n.connect(t, strictDB)
		assert.Equal(t, refused.Code, managed.CodeBusy)
		anonymous.mustQuery("READ a")
		waitFor(t, time.Second, "the log line", func() bool { return len(n.log.find("event=configuration_expired")) == 1 })
	}
	assert.DeepEqual(t, own.open(t, boundedDB).mustQuery("READ a").rows, []string{"1"})
	for _, n := range cut {
		f.store.AcceptProxy(n.settings.VM)
		waitFor(t, 5*time.Second, "ready again", func() bool { return n.proxy.NotReadyReason() == "" })
		waitFor(t, time.Second, "the log line", func() bool { return len(n.log.find("event=configuration_confirmed", "source=store")) > 0 })
	}
}

// Guards against a proxy that takes its configuration for the store's although that one
// could not be decoded, that logs it more than once, or that asks the store all the time.
func TestRefusedConfigurationIsNotConfirmed(t *testing.T) {
	f := newStrictFleet(t, 1)
	n := f.nodes[0]
	before := f.store.Calls()
	f.setOrganisations(map[string][]string{"a": {"shared"}, "b": {"shared"}})
	waitFor(t, revocationTimeout, "refusal", func() bool { return n.proxy.NotReadyReason() != "" })
	time.Sleep(revocationTimeout / 2)
	assert.Equal(t, len(n.log.find("event=document_refused")), 1)
	assert.Assert(t, f.store.Calls()-before < 12, "%d calls", f.store.Calls()-before)
	f.setOrganisations(organisationKeys)
	waitFor(t, revocationTimeout, "ready again", func() bool { return n.proxy.NotReadyReason() == "" })
}

// Guards against more calls to the store where revocation is not strict, or where the
// configuration has no organisations.
func TestCallsToTheStoreWithoutStrictRevocation(t *testing.T) {
	const idle = 4 * time.Second
	lax, plain, strictly := newFleet(t, 0), newFleet(t, 0), newFleet(t, 0)
	plain.adjust, strictly.adjust = strict, strict
	lax.setOrganisations(organisationKeys)
	strictly.setOrganisations(organisationKeys)
	fleets := []*fleet{lax, plain, strictly}
	before := make([]int, len(fleets))
	for _, f := range fleets {
		f.nodes = append(f.nodes, f.start(0))
	}
	time.Sleep(time.Second) // registration
	for i, f := range fleets {
		before[i] = f.store.Calls()
	}
	time.Sleep(idle)
	calls := func(i int) int { return fleets[i].store.Calls() - before[i] }
	// A watch waits 3.5 s, as before this setting existed; with strict revocation 0.54 s.
	assert.Assert(t, calls(0) <= 2 && calls(1) <= 2, "%d, %d calls", calls(0), calls(1))
	assert.Assert(t, calls(2) >= 6 && calls(2) <= 9, "%d calls", calls(2))
}

// Guards against an age that is lost between two proxies, and against a configuration that
// is sent again although the other proxy has it.
func TestConfigurationWithItsAge(t *testing.T) {
	f := newStrictFleet(t, 1)
	client, address := platform.NewPeerClient(), f.nodes[0].settings.MetricsAddress
	answer, err := client.Document(context.Background(), address, uint64(f.version)-1)
	assert.NilError(t, err)
	assert.Equal(t, answer.Document.Version, uint64(f.version))
	assert.Assert(t, answer.Age > 0 && answer.Age < revocationTimeout)
	answer, err = client.Document(context.Background(), address, uint64(f.version))
	assert.NilError(t, err)
	assert.Assert(t, answer.Document == nil && answer.Age > 0 && answer.Age < revocationTimeout)
	// A proxy that knows no watcher begins to watch 0.4 s after its first listing.
	var changes managed.PeerChanges
	waitFor(t, 2*time.Second, "the proxy watches the store", func() bool {
		changes, err = client.Changes(context.Background(), address, managed.Poll{After: managed.Revision{Number: 1 << 40}, WithDocument: true, Wait: time.Millisecond})
		return err == nil
	})
	assert.Assert(t, changes.Age > 0 && changes.Age < revocationTimeout)
}

// Guards against waits that add up to more than the maximum age at proxies that follow a
// watcher, also while one watcher has lost the store and another one does not answer.
func TestFollowersStayConfirmed(t *testing.T) {
	f := newFleet(t, 0)
	f.adjust = func(s *config.ManagedSettings) { s.StrictRevocation = true }
	f.setOrganisations(organisationKeys)
	for i := range sharingProxies {
		f.nodes = append(f.nodes, f.start(i))
	}
	waitFor(t, 15*time.Second, "proxies that follow", func() bool { return len(f.followers()) == sharingProxies-watchingProxies })
	watchers := map[string]*node{}
	for _, n := range f.followers() {
		watchers[n.watcher()] = nil
	}
	for _, n := range f.nodes {
		if _, ok := watchers[n.settings.VM]; ok {
			watchers[n.settings.VM] = n
		}
	}
	before := len(f.expiries()) // until the first listing, nothing is confirmed
	i := 0
	for vm, n := range watchers {
		if i++; i == 1 {
			f.store.RejectProxy(vm)
		} else if i == 2 {
			n.ignorePeers.Store(true)
		}
	}
	time.Sleep(config.DefaultManagedSettings().RevocationTimeout + time.Second)
	assert.Equal(t, len(f.expiries()), before, "%v", f.expiries())
}

// expiries returns the log lines of expired configurations of all proxies.
func (f *fleet) expiries() []string {
	var lines []string
	for _, n := range f.nodes {
		lines = append(lines, n.log.find("event=configuration_expired")...)
	}
	return lines
}
