package quota

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
	core "skylarkhinge.dev/skylarkhinge/core/quota"
)

// countingTransport answers each request with one token and counts them.
type countingTransport struct{ requests atomic.Int64 }

func (c *countingTransport) Ask(_ context.Context, _ string, request *core.Request) (core.Answer, error) {
	c.requests.Add(1)
	return core.Answer{Grants: make([]core.Grant, len(request.Wants))}, nil
}

func want(names ...string) *core.Request {
	request := &core.Request{From: "vm-0"}
	for _, name := range names {
		request.Wants = append(request.Wants, core.Want{Name: organisation.Name(name), Limits: core.Limits{Rate: 5, Burst: 2}, Tokens: 3, Urgent: 1})
	}
	return request
}

func listenLoopback(t *testing.T, serve func(context.Context, *core.Request) (core.Answer, bool)) *datagrams {
	t.Helper()
	d, err := listenDatagrams("127.0.0.1:0", serve)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = d.close() })
	return d
}

func grantAll(_ context.Context, request *core.Request) (core.Answer, bool) {
	var answer core.Answer
	for _, w := range request.Wants {
		answer.Grants = append(answer.Grants, core.Grant{Tokens: w.Tokens + w.Urgent, By: "vm-1"})
	}
	return answer, true
}

// Guards against a request or an answer that changes on its way, and against malformed
// datagrams that end the service.
func TestDatagramsCarryRequests(t *testing.T) {
	limiter, holder := listenLoopback(t, grantAll), listenLoopback(t, grantAll)
	address := limiter.conn.LocalAddr().String()
	stray, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	defer stray.Close()
	for _, message := range []string{"", "Q", "Q12345678", "Q12345678{", "A12345678{}", "F12345678"} {
		_, err = stray.Write([]byte(message))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	answer, err := holder.ask(ctx, address, want("press", "bindery"))
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Grants, []core.Grant{{Tokens: 4, By: "vm-1"}, {Tokens: 4, By: "vm-1"}})
}

// Guards against a limiter that counts as failed because a datagram was lost or a message does
// not fit one, and against a relay's failure that is repeated over HTTP.
func TestLostDatagramsAreRepeated(t *testing.T) {
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	refusing := listenLoopback(t, func(context.Context, *core.Request) (core.Answer, bool) { return core.Answer{}, false })
	fallback := &countingTransport{}
	s := New(Options{Self: "vm-0", Now: func() entity.Time { return 1 }, Transport: fallback})
	assert.NilError(t, s.ListenDatagrams("127.0.0.1:0"))
	defer s.Stop()
	ask := func(address string, request *core.Request) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := s.ask(ctx, address, request)
		return err
	}
	assert.NilError(t, ask(silent.LocalAddr().String(), want("press")))
	assert.Equal(t, fallback.requests.Load(), int64(1))
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprintf("organisation-%d", i))
	}
	assert.NilError(t, ask(silent.LocalAddr().String(), want(many...)))
	assert.Equal(t, fallback.requests.Load(), int64(2))
	assert.ErrorIs(t, ask(refusing.conn.LocalAddr().String(), want("press")), errRelayedFailed)
	assert.Equal(t, fallback.requests.Load(), int64(2))
}
