package managed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// Guards against proxies that each use the connections meant for all of them: a change of
// the count went unnoticed because it was compared with itself.
func TestProxyCountReportsChanges(t *testing.T) {
	at := time.Unix(100, 0)
	c := proxyRegistry{listed: map[string]gateway.Proxy{}}
	assert.Equal(t, c.count(), 1)
	c.listed["a"], c.listed["b"], c.listed["c"] = gateway.Proxy{}, gateway.Proxy{}, gateway.Proxy{}
	assert.Assert(t, c.update(at))
	assert.Equal(t, c.count(), 3)
	assert.Assert(t, !c.update(at))
}

// Guards against connection shares that grow when all entries vanish together, as when the
// store revokes leases.
func TestProxyCountOutlastsVanishedEntries(t *testing.T) {
	at := time.Unix(100, 0)
	c := proxyRegistry{listed: map[string]gateway.Proxy{"a": {}, "b": {}}}
	c.update(at)
	clear(c.listed)
	assert.Assert(t, !c.update(at.Add(peakHoldTime)))
	assert.Equal(t, c.count(), 2)
	assert.Assert(t, c.update(at.Add(peakHoldTime+time.Second)))
	assert.Equal(t, c.count(), 1)
}
