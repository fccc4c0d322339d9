package config

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/docs/schemas"
)

func compileSchema(t *testing.T, data []byte) *jsonschema.Schema {
	t.Helper()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	assert.NilError(t, err)
	compiler := jsonschema.NewCompiler()
	assert.NilError(t, compiler.AddResource("schema.json", value))
	schema, err := compiler.Compile("schema.json")
	assert.NilError(t, err)
	return schema
}

// sampleEdit is an edit of a valid example that replaces the first occurrence of old.
type sampleEdit struct {
	old, new string
	// fault is the start of the first fault; empty if the edited input is valid.
	fault string
	// schemaAccepts is set for faults that a JSON Schema can't express.
	schemaAccepts bool
}

var documentSamples = []sampleEdit{
	{old: `"retry_ratio": 0.2,`, new: ``},
	{old: `, "kept_share": 0.2`, new: ``},
	{old: `"ledger": true, `, new: `"repeatable": true, "ledger": false, `},
	{old: `, "timeout": "5s", "expected_cost": "15ms"`, new: ``},
	{old: `"users": {"checkout": "checkout-write"}`, new: `"users": {}`},
	{old: `"127.0.1.1:5432"`, new: `"[fd00::1]:5432"`},
	{old: `"service": "castellano-shop",`, new: ``, fault: `$.service is missing`},
	{old: `"castellano-shop"`, new: `"Castellano"`, fault: `$.service is "Castellano"`},
	{old: `"castellano-shop"`, new: `"a/b"`, fault: `$.service is "a/b"`},
	{old: `"castellano-shop"`, new: `null`, fault: `$.service is null`},
	{old: `"max_queued"`, new: `"max_queue"`, fault: `$.max_queue is 10000, allowed: no such field`},
	{old: `"max_queued": 10000`, new: `"max_queued": "10000"`, fault: `$.max_queued is "10000"`},
	{old: `"max_queued": 10000`, new: `"max_queued": 0`, fault: `$.max_queued is 0`},
	{old: `"max_queued": 10000`, new: `"max_queued": 1.5`, fault: `$.max_queued is 1.5`},
	{old: `"max_queued": 10000`, new: `"max_queued": 1e4`, fault: `$.max_queued is 1e4`, schemaAccepts: true},
	{old: `"retry_ratio": 0.2`, new: `"retry_ratio": 1.01`, fault: `$.retry_ratio is 1.01`},
	{old: `"retry_ratio": 0.2`, new: `"retry_ratio": 0.2, "retry_ratio": 0.3`, fault: `$.retry_ratio is repeated with 0.3`, schemaAccepts: true},
	{old: `"worth": 5000`, new: `"worth": 0`, fault: `$.ranks[0].worth is 0`},
	{old: `"worth": 5000`, new: `"worth": 1`, fault: `$.ranks[2].worth is 1`, schemaAccepts: true},
	{old: `"300ms"`, new: `300`, fault: `$.ranks[0].target_latency is 300`},
	{old: `"300ms"`, new: `"300"`, fault: `$.ranks[0].target_latency is "300", allowed: a whole number with a unit`},
	{old: `"300ms"`, new: `"300 ms"`, fault: `$.ranks[0].target_latency is "300 ms"`},
	{old: `"300ms"`, new: `"0.3s"`, fault: `$.ranks[0].target_latency is "0.3s"`},
	{old: `"300ms"`, new: `"300d"`, fault: `$.ranks[0].target_latency is "300d"`},
	{old: `"300ms"`, new: `"300us"`, fault: `$.ranks[0].target_latency is "300us"`, schemaAccepts: true},
	{old: `"300ms"`, new: `"999999999999999h"`, fault: `$.ranks[0].target_latency is`, schemaAccepts: true},
	{old: `"kept_share": 0.2`, new: `"kept_share": 0.61`, fault: `$.ranks is a list with kept shares of 1.01 in total`, schemaAccepts: true},
	{old: `"kept_share": 0.2`, new: `"kept_share": -0.1`, fault: `$.ranks[0].kept_share is -0.1`},
	{old: `"name": "royalties", "worth"`, new: `"name": "browsing", "worth"`, fault: `$.ranks[2].name is "browsing"`, schemaAccepts: true},
	{old: `"rank": "checkout"`, new: `"rank": "till"`, fault: `$.classes[0].rank is "till"`, schemaAccepts: true},
	{old: `"access": "write"`, new: `"access": "append"`, fault: `$.classes[0].access is "append"`},
	{old: `"access": "write"`, new: `"access": "write", "max_age": "1s"`, fault: `$.classes[0].max_age is "1s"`},
	{old: `"max_age": "200ms"`, new: `"ack": "primary"`, fault: `$.classes[1].ack is "primary"`},
	{old: `"max_age": "200ms"`, new: `"ledger": true`, fault: `$.classes[1].ledger is true`},
	{old: `"ledger": true`, new: `"ledger": true, "repeatable": true`, fault: `$.classes[0].ledger is true`},
	{old: `"ledger": true`, new: `"ledger": 1`, fault: `$.classes[0].ledger is 1`},
	{old: `"expected_cost": "15ms"`, new: `"expected_cost": "6s"`, fault: `$.classes[0].expected_cost is "6s"`, schemaAccepts: true},
	{old: `"checkout-read"`, new: `"checkout-write"`, fault: `$.classes[1].name is "checkout-write"`, schemaAccepts: true},
	{old: `"users": {"checkout": "checkout-write"}`, new: `"users": {"till": "none"}`, fault: `$.databases[0].users.till is "none"`, schemaAccepts: true},
	{old: `"users": {"checkout": `, new: `"users": {"check out": `, fault: `$.databases[0].users["check out"] is a user`},
	{old: `"default_class": "checkout-read"`, new: `"default_class": "other"`, fault: `$.databases[0].default_class is "other"`, schemaAccepts: true},
	{old: `"name": "shop-catalog-1"`, new: `"name": "shop-orders-1"`, fault: `$.databases[1].upstreams[0].name is "shop-orders-1"`, schemaAccepts: true},
	{old: `"127.0.1.2:5432"`, new: `"127.0.1.1:5432"`, fault: `$.databases[0].upstreams[1].address is`, schemaAccepts: true},
	{old: `"upstreams": [`, new: `"upstreams": [{"name": "x", "address": "127.0.1.9:1", "control_address": "127.0.1.9:2", "availability_zone": "a", "slots": 1, "connections": 9}, `, fault: `$.databases[0].upstreams is an array of 4, allowed: an odd number`},
	{old: `"127.0.1.2:7432"`, new: `"127.0.1.1:7432"`, fault: `$.databases[0].upstreams[1].control_address is`, schemaAccepts: true},
	{old: `"127.0.1.1:5432"`, new: `"localhost:5432"`, fault: `$.databases[0].upstreams[0].address is "localhost:5432"`},
	{old: `"127.0.1.1:5432"`, new: `"127.0.1.1:65536"`, fault: `$.databases[0].upstreams[0].address is "127.0.1.1:65536"`},
	{old: `"127.0.1.1:5432"`, new: `"127.0.1.256:5432"`, fault: `$.databases[0].upstreams[0].address is "127.0.1.256:5432"`},
	{old: `"name": "shop_catalog"`, new: `"name": "shop_orders"`, fault: `$.databases[1].name is "shop_orders"`, schemaAccepts: true},
	{old: `"slots": 3`, new: `"slots": 19`, fault: `$.databases[0].upstreams[0].slots is 19, allowed: at most 18`, schemaAccepts: true},
	{old: `"connections": 40`, new: `"connections": true`, fault: `$.databases[0].upstreams[0].connections is true`},
	{old: `"ranks": [`, new: `"ranks": {}, "old": [`, fault: `$.ranks is an object with 0 fields`},
}

var settingsSamples = []sampleEdit{
	{old: `"seed": 0,`, new: ``},
	{old: `"advertise_peer_address": "127.0.0.1:6433",`, new: ``},
	{old: `"vm": "proxy-alava-1",`, new: ``, fault: `$.vm is missing`},
	{old: `"platform_addresses": [`, new: `"platform_addresses": [], "x": [`, fault: `$.platform_addresses is an array of 0`},
	{old: `"127.0.0.1:7401"`, new: `"127.0.0.1:7400"`, fault: `$.platform_addresses[1] is "127.0.0.1:7400", allowed: each`},
	{old: `"30s"`, new: `"2h"`, fault: `$.drain_timeout is "2h"`, schemaAccepts: true},
	{old: `"info"`, new: `"loud"`, fault: `$.log_level is "loud", allowed: "debug" or`},
	{old: `"seed": 0`, new: `"seed": 9007199254740992`, fault: `$.seed is 9007199254740992`},
	{old: `16777216`, new: `1023`, fault: `$.max_request_bytes is 1023`},
	{old: `"127.0.0.1:6434"`, new: `"127.0.0.1:6432"`, fault: `$.metrics_address is "127.0.0.1:6432"`, schemaAccepts: true},
	{old: `"advertise_peer_address": "127.0.0.1:6433"`, new: `"advertise_peer_address": "0.0.0.0:6433"`, fault: `$.advertise_peer_address is "0.0.0.0:6433"`, schemaAccepts: true},
}

// Guards against a decoder that accepts invalid input or reports the wrong path, and
// schemas that accept or reject other inputs than the decoder.
func TestSchemasAgreeWithDecoder(t *testing.T) {
	cases := []struct {
		file    string
		schema  *jsonschema.Schema
		samples []sampleEdit
		decode  func([]byte) error
	}{
		{"castellano-shop.json", compileSchema(t, schemas.Document), documentSamples,
			func(data []byte) error { _, err := DecodeDocument(data); return err }},
		{"olarizu-workshop.json", compileSchema(t, schemas.Document), []sampleEdit{{}},
			func(data []byte) error { _, err := DecodeDocument(data); return err }},
		{"settings.json", compileSchema(t, schemas.Settings), settingsSamples,
			func(data []byte) error { _, err := DecodeSettings(data); return err }},
	}
	for _, c := range cases {
		valid := string(example(t, c.file))
		for _, s := range c.samples {
			t.Run(c.file+" "+s.new, func(t *testing.T) {
				assert.Assert(t, strings.Contains(valid, s.old))
				data := []byte(strings.Replace(valid, s.old, s.new, 1))
				value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
				assert.NilError(t, err)
				schemaAccepts := c.schema.Validate(value) == nil
				assert.Equal(t, schemaAccepts, s.fault == "" || s.schemaAccepts)
				err = c.decode(data)
				if s.fault == "" {
					assert.NilError(t, err)
					return
				}
				var faults *Error
				assert.Assert(t, errors.As(err, &faults))
				assert.Assert(t, strings.HasPrefix(faults.Faults[0].String(), s.fault), err.Error())
			})
		}
	}
}
