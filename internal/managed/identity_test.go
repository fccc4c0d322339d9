package managed

import (
	"fmt"
	"testing"

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
	document := &Document{Organisations: directory}
	var suspected suspectedGateways
	order := func(name organisation.Name) []gateway.Proxy {
		s := &session{identity: callerIdentity{organisation: name, document: document}}
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
