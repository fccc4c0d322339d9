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

// slowProxy has a revision in force only from the third look on.
type slowProxy struct {
	peerpb.UnimplementedPeerServer
	looks atomic.Uint64
}

func (p *slowProxy) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	revision := min(p.looks.Add(1)-1, 2)
	return &peerpb.StatusResponse{Vm: "p1", Documents: []*peerpb.DocumentRevision{{Service: "shop", Revision: revision}}}, nil
}

// Guards against a put --wait that reports success before the revision is in
// force everywhere, or that does not say where it is missing.
func TestAwaitSpread(t *testing.T) {
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
	assert.NilError(t, awaitSpread(t.Context(), env, flags, "shop", 2))
	assert.Equal(t, proxy.looks.Load(), uint64(3))

	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	out.Reset()
	err = awaitSpread(ctx, env, flags, "shop", 3)
	assert.ErrorContains(t, err, "not yet in force on 1 of 1 proxies")
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("no")))
}
