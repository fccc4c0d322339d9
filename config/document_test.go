package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core"
)

// example reads a file of docs/examples.
func example(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "docs", "examples", name))
	assert.NilError(t, err)
	return data
}

// Guards against wrong rank indexes, lost users and wrong units in the conversion to
// the core's types.
func TestCoreService(t *testing.T) {
	doc, err := DecodeDocument(example(t, "castellano-shop.json"))
	assert.NilError(t, err)
	doc.Ranks[0], doc.Ranks[2] = doc.Ranks[2], doc.Ranks[0]
	service, err := doc.CoreService(7)
	assert.NilError(t, err)
	assert.Equal(t, service.Name, "castellano-shop")
	assert.Equal(t, service.Revision, uint64(7))
	assert.Equal(t, service.RetryRatio, 0.2)
	assert.Equal(t, service.Ranks[0].Name, "checkout")
	assert.Equal(t, service.Ranks[0].Target, 300*time.Millisecond)
	assert.Equal(t, service.Ranks[2].Name, "browsing")
	assert.DeepEqual(t, service.Classes[0], core.Class{Name: "checkout-write", Rank: 0, Ack: core.AckMajority,
		Ledger: true, Timeout: 5 * time.Second, Cost: 15 * time.Millisecond})
	assert.DeepEqual(t, service.Classes[4], core.Class{Name: "catalog-read", Rank: 2, ReadOnly: true, Repeatable: true,
		MaxAge: 5 * time.Second, Timeout: 3 * time.Second, Cost: 5 * time.Millisecond})
	assert.DeepEqual(t, service.Databases[0].Users, []core.UserClass{{User: "checkout", Class: "checkout-write"}})
	assert.Equal(t, service.Databases[1].Upstreams[2], core.UpstreamSpec{Name: "shop-catalog-3", Slots: 3, Connections: 40})

	doc.Classes[0].Rank = "missing"
	_, err = doc.CoreService(8)
	assert.ErrorContains(t, err, `$.classes[0].rank is "missing"`)
}

// Guards against published examples that the decoder rejects, and wrong defaults.
func TestExamples(t *testing.T) {
	doc, err := DecodeDocument(example(t, "olarizu-workshop.json"))
	assert.NilError(t, err)
	assert.Equal(t, doc.Classes[2].Ack, AckPrimary)
	assert.Equal(t, doc.Classes[3].Repeatable, true)
	settings, err := DecodeSettings(example(t, "settings.json"))
	assert.NilError(t, err)
	want := DefaultSettings()
	want.VM, want.AvailabilityZone, want.Region = "proxy-alava-1", "alava-1", "alava"
	want.AdvertisePeerAddress = want.PeerAddress
	want.PlatformAddresses = []string{"127.0.0.1:7400", "127.0.0.1:7401"}
	assert.DeepEqual(t, *settings, want)

	settings, err = DecodeSettings([]byte(`{"vm": "v", "availability_zone": "z", "region": "r", "peer_address": "10.0.0.1:1", "platform_addresses": ["10.0.0.2:1"]}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.AdvertisePeerAddress, "10.0.0.1:1")
}
