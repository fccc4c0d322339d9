package managed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

const (
	// slowLink is the bandwidth of a small VM: 10 Mbit/s in bytes a second.
	slowLink = 10_000_000 / 8
	// largeRoutes is the number of routes of a configuration near the platform's limit of 1 MB.
	largeRoutes = 4200
	// largeFleet has 12 proxies in each of three availability zones, of which ten follow.
	largeFleet = 36
	// applyLimit is the time within which a configuration must be in force on every proxy.
	applyLimit = 5 * time.Second
)

// newSlowLinkFleet starts proxies with slow links and strict revocation, and waits until they
// share their watches.
func newSlowLinkFleet(t testing.TB, proxies int) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.linkBandwidth = slowLink
	f.adjust = func(s *config.ManagedSettings) {
		s.StrictRevocation, s.RevocationTimeout = true, applyLimit
	}
	f.setOrganisations(organisationKeys)
	f.startSharing(proxies)
	return f
}

// startSharing starts proxies and waits until they share their watches.
func (f *fleet) startSharing(proxies int) {
	f.t.Helper()
	for i := range proxies {
		f.nodes = append(f.nodes, f.start(i))
	}
	waitFor(f.t, 15*time.Second, "proxies that follow", func() bool {
		return len(f.followers()) == max(0, proxies-watchingProxies)
	})
}

// addIdleRoutes adds routes that nobody uses.
func (f *fleet) addIdleRoutes(count int) {
	random := rand.New(rand.NewPCG(1, uint64(len(f.routes))))
	for range count {
		f.routes = append(f.routes, route(fmt.Sprintf("%08x", random.Uint32()), managed.SessionConsistency, 2, time.Second))
	}
	f.configure()
}

// awaitVersion waits until the latest configuration is in force on all nodes, and returns how
// long that took.
func (f *fleet) awaitVersion(limit time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	waitFor(f.t, limit, fmt.Sprintf("version %d", f.version), func() bool {
		for _, n := range f.nodes {
			if len(n.log.find("event=document_in_force", "outdated=false", fmt.Sprintf("version=%d ", f.version))) == 0 {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// Guards against time limits that cut answers on their way, so that the proxies of small VMs
// fill their links with answers that never arrive.
func TestLargeConfigurationsTakeEffectOverSlowLinks(t *testing.T) {
	f := newSlowLinkFleet(t, largeFleet)
	f.addIdleRoutes(largeRoutes)
	f.configure()
	t.Logf("two versions in force after %v", f.awaitVersion(applyLimit))
	for _, n := range f.nodes {
		assert.Equal(t, n.proxy.NotReadyReason(), "")
		assert.Equal(t, len(n.log.find("event=configuration_expired")), 0)
	}
}

// Guards against followers that get their first configuration uncompressed.
func TestLargeFirstConfigurationTakesEffectOverSlowLinks(t *testing.T) {
	f := newSlowLinkFleet(t, 0)
	f.store.RemoveConfiguration()
	f.startSharing(largeFleet)
	f.addIdleRoutes(largeRoutes)
	t.Logf("in force after %v", f.awaitVersion(applyLimit))
}

// Guards against a listing that is cut on its way, so that a proxy which starts on a small VM
// never has a configuration.
func TestProxyStartsWithALargeConfigurationOverASlowLink(t *testing.T) {
	f := newSlowLinkFleet(t, 0)
	f.store.Put("unrelated/large", make([]byte, 1_500_000))
	f.addIdleRoutes(largeRoutes)
	f.nodes = append(f.nodes, f.start(0))
	f.awaitVersion(applyLimit)
}

// Guards against a watch whose answer is longer than the client reads, and which is repeated
// from the same revision for ever.
func TestManyLargeVersionsTakeEffect(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitListed(3)
	f.store.SetFault(standin.StoreUnavailable)
	f.addIdleRoutes(largeRoutes)
	for range 5 {
		f.configure()
	}
	time.Sleep(time.Second)
	f.store.SetFault(standin.StoreHealthy)
	f.awaitVersion(applyLimit)
}

// Guards against versions that accumulate at the store faster than a proxy reads them.
func TestQuickSuccessionOfLargeVersionsOverSlowLinks(t *testing.T) {
	f := newSlowLinkFleet(t, largeFleet)
	f.addIdleRoutes(largeRoutes)
	for range 12 {
		f.configure()
		time.Sleep(330 * time.Millisecond)
	}
	t.Logf("the last version in force after %v", f.awaitVersion(applyLimit))
}
