package cli

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
)

// slowProxy reports revisions 0, 1 and 2 on the first three status calls, then 2.
type slowProxy struct {
	peerpb.UnimplementedPeerServer
	statusCalls atomic.Uint64
}

func (p *slowProxy) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	revision := min(p.statusCalls.Add(1)-1, 2)
	return &peerpb.StatusResponse{Vm: "p1", Documents: []*peerpb.DocumentRevision{{Service: "shop", Revision: revision}}}, nil
}

// Guards against a put --wait that reports success before the revision is in force on all
// proxies, or that does not report on which it is not.
func TestAwaitRollout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	proxy := &slowProxy{}
	peerpb.RegisterPeerServer(server, proxy)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	var out bytes.Buffer
	env := &Environment{Stdout: &out}
	flags := &peerFlags{proxies: []string{listener.Addr().String()}}
	assert.NilError(t, awaitRollout(t.Context(), env, flags, "shop", 2))
	assert.Equal(t, proxy.statusCalls.Load(), uint64(3))

	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	out.Reset()
	err = awaitRollout(ctx, env, flags, "shop", 3)
	assert.ErrorContains(t, err, "not yet in force on 1 of 1 proxies")
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("no")))
}
