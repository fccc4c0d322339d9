package managed

import (
	"fmt"
	"runtime"
	"testing"
	"weak"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Guards against sessions of one organisation that spread over the gateways of a zone,
// against organisations that all use the same gateway, and against a suspected gateway that
// is preferred because it is the organisation's.
func TestOrganisationPrefersOneGateway(t *testing.T) {
	var gateways []gateway.Proxy
	for i := range 4 {
		gateways = append(gateways, gateway.Proxy{VM: entity.VM(fmt.Sprintf("vm-%d", i)), AvailabilityZone: "zone-0"})
	}
	rate := 1.0
	entries := []organisation.Entry{{Name: "acme", Rate: &rate}}
	for i := range 40 {
		entries = append(entries, organisation.Entry{Name: organisation.Name(fmt.Sprintf("org-%d", i)), Rate: &rate})
	}
	directory, err := organisation.NewDirectory(entries)
	assert.NilError(t, err)
	var suspected suspectedGateways
	order := func(name organisation.Name) []gateway.Proxy {
		s := &session{identity: callerIdentity{organisation: name, directory: directory}}
		return suspected.moveSuspectedLast(gateway.OrderByDistance(gateways, gateways[0], s.gatewayOrderKey(len(gateways))))
	}
	used := map[entity.VM]int{}
	for i := range 40 {
		name := organisation.Name(fmt.Sprintf("org-%d", i))
		first := order(name)[0].VM
		assert.Equal(t, order(name)[0].VM, first)
		used[first]++
	}
	assert.Equal(t, len(used), len(gateways), "%v", used)
	preferred := order("acme")[0].VM
	suspected.add(preferred)
	assert.Equal(t, order("acme")[len(gateways)-1].VM, preferred)
}

// Guards against idle sessions that keep every large configuration in memory by which they were
// identified.
func TestIdleSessionsKeepNoConfiguration(t *testing.T) {
	p := newTestProxy(nil)
	var sessions []*session
	var replaced []weak.Pointer[Document]
	for version := range uint64(3) {
		doc := &Document{Version: version + 1, Source: make([]byte, 1<<20)}
		p.setDocument(doc)
		replaced = append(replaced, weak.Make(doc))
		idle := &session{proxy: p}
		assert.Assert(t, idle.identify())
		sessions = append(sessions, idle)
	}
	runtime.GC()
	assert.Assert(t, replaced[0].Value() == nil && replaced[1].Value() == nil)
	runtime.KeepAlive(sessions)
}
