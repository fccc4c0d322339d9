package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// managedSample has every required setting and one optional one.
const managedSample = `{
  "vm": "vm-0", "availability_zone": "a", "region": "r", "availability_zones": {"a": "r"},
  "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
  "store_address": "127.0.0.1:3", "promotion_address": "127.0.0.1:4",
  "leaving_grace_ms": 2500
}`

// Guards against missing defaults and wrong units.
func TestManagedDefaults(t *testing.T) {
	settings, err := DecodeManagedSettings([]byte(managedSample))
	assert.NilError(t, err)
	assert.Equal(t, settings.LeavingGrace, 2500*time.Millisecond)
	assert.Equal(t, settings.ShutdownGrace, 6*time.Second)
	assert.Equal(t, settings.LogLinesPerSecond, 20)
	assert.Equal(t, settings.LogBytesPerSecond, 16384)
	assert.DeepEqual(t, settings.Regions, map[string]string{"a": "r"})
}

// Guards against faults without the path of their field, and a decoder that stops at
// the first fault.
func TestManagedFaults(t *testing.T) {
	text := strings.NewReplacer(`"vm": "vm-0"`, `"vm": ""`, `"leaving_grace_ms": 2500`, `"log_bytes_per_second": 10, "unknown": 1`,
		`"ready_address": "127.0.0.1:2"`, `"ready_address": "127.0.0.1:1"`).Replace(managedSample)
	_, err := DecodeManagedSettings([]byte(text))
	var faults *Error
	assert.Assert(t, errors.As(err, &faults))
	for _, path := range []string{"$.vm", "$.log_bytes_per_second", "$.unknown", "$.ready_address"} {
		assert.ErrorContains(t, err, path)
	}
}

// Guards against reloadable settings that a reload does not apply.
func TestManagedReload(t *testing.T) {
	old := DefaultManagedSettings()
	old.VM = "vm-0"
	next := old
	next.LogLevel, next.LogLinesPerSecond, next.LogBytesPerSecond = LogDebug, 1, 2048
	next.ShutdownGrace, next.LeavingGrace = time.Second, 2*time.Second
	merged, restart := old.MergeReloadable(&next)
	assert.DeepEqual(t, merged, &next)
	assert.Assert(t, !restart)
	next.VM = "vm-1"
	merged, restart = old.MergeReloadable(&next)
	assert.Equal(t, merged.VM, "vm-0")
	assert.Assert(t, restart)
}
