package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/standin/relay"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// Guards against a reused connection that stays in use after it went silent: each round
// of probes would then need a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	m, err := upstream.Start(upstream.Options{Name: "u1", Primary: true})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	r, err := relay.Start(relay.Options{Target: m.ControlAddress()})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	c := NewClient("u1", r.Address())
	t.Cleanup(func() { _ = c.Close() })
	status := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := c.Status(ctx, "orders", false)
		return err
	}
	assert.NilError(t, status(5*time.Second))
	r.Blackhole(relay.ScopeExisting, true)
	assert.ErrorContains(t, status(100*time.Millisecond), "DeadlineExceeded")
	assert.NilError(t, status(5*time.Second))
	assert.NilError(t, status(5*time.Second))
}
