package metastore

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

// fakeServer is a platform with one entry.
type fakeServer struct {
	platformpb.UnimplementedPlatformServer
	mu    sync.Mutex
	entry *platformpb.Entry
	calls int
	// swapResponse, if set, is returned by CompareAndSwap instead of a swap.
	swapResponse *platformpb.CompareAndSwapResponse
	// beforeChange runs before a swap and in Get, afterChange after a swap. Their errors
	// are returned to the client; nil hooks are skipped.
	beforeChange, afterChange func(ctx context.Context) error
	// watch implements Watch.
	watch func(grpc.ServerStreamingServer[platformpb.WatchEvent]) error
}

func runHook(ctx context.Context, hook func(context.Context) error) error {
	if hook == nil {
		return nil
	}
	return hook(ctx)
}

func (s *fakeServer) Get(ctx context.Context, _ *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	s.mu.Lock()
	s.calls++
	entry := s.entry
	s.mu.Unlock()
	return &platformpb.GetResponse{Entry: entry}, runHook(ctx, s.beforeChange)
}

func (s *fakeServer) CompareAndSwap(ctx context.Context, r *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if err := runHook(ctx, s.beforeChange); err != nil || s.swapResponse != nil {
		return s.swapResponse, err
	}
	s.mu.Lock()
	swapped := s.entry.GetRevision() == r.ExpectedRevision
	if swapped {
		s.entry = &platformpb.Entry{Key: r.Key, Value: r.Value, Revision: r.ExpectedRevision + 1}
	}
	response := &platformpb.CompareAndSwapResponse{Swapped: swapped, Entry: s.entry}
	s.mu.Unlock()
	return response, runHook(ctx, s.afterChange)
}

func (s *fakeServer) Lease(_ context.Context, r *platformpb.LeaseRequest) (*platformpb.LeaseResponse, error) {
	return &platformpb.LeaseResponse{Held: r.Operation == platformpb.LeaseRequest_OPERATION_RENEW, Holder: r.Holder, RemainingMs: r.TtlMs}, nil
}

func (s *fakeServer) ListVMs(context.Context, *platformpb.ListVMsRequest) (*platformpb.ListVMsResponse, error) {
	return &platformpb.ListVMsResponse{Revision: 3, Vms: []*platformpb.VM{
		{Name: "a", State: platformpb.VM_STATE_LEAVING, Role: platformpb.VM_ROLE_UPSTREAM}, {Name: "b", State: 99}}}, nil
}

func (s *fakeServer) Watch(_ *platformpb.WatchRequest, stream grpc.ServerStreamingServer[platformpb.WatchEvent]) error {
	return s.watch(stream)
}

// newTestClient starts a gRPC server on an in-memory listener for each entry of servers
// and returns a client of addresses. Dialing an address without a server fails.
func newTestClient(t *testing.T, servers map[string]*fakeServer, addresses ...string) *Client {
	t.Helper()
	listeners := map[string]*bufconn.Listener{}
	for address, server := range servers {
		listener := bufconn.Listen(1 << 20)
		listeners[address] = listener
		grpcServer := grpc.NewServer()
		platformpb.RegisterPlatformServer(grpcServer, server)
		go func() { _ = grpcServer.Serve(listener) }()
		t.Cleanup(grpcServer.Stop)
	}
	options := DefaultOptions(addresses)
	options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if listener, ok := listeners[address]; ok {
			return listener.DialContext(ctx)
		}
		return nil, errors.New("connection refused")
	}
	client, err := NewClient(options)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return client
}

func blockUntilDone(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func failWith(code codes.Code) func(context.Context) error {
	return func(context.Context) error { return status.Error(code, "injected") }
}

// Guards against a lost response that is reported as "no effect", on which an operator or
// a promoter would act, and against a rejected call that is reported as an unknown outcome.
func TestErrorKinds(t *testing.T) {
	cases := []struct {
		name            string
		before, after   func(context.Context) error
		getErr, swapErr error
	}{
		{"answer lost after the change", nil, failWith(codes.Unavailable), nil, ErrUnknownOutcome},
		{"no answer after the change", nil, blockUntilDone, nil, ErrUnknownOutcome},
		{"unavailable", failWith(codes.Unavailable), nil, ErrUnavailable, ErrUnknownOutcome},
		{"no answer", blockUntilDone, nil, ErrUnavailable, ErrUnknownOutcome},
		{"rate limited", failWith(codes.ResourceExhausted), nil, ErrRateLimited, ErrRateLimited},
		{"refused", failWith(codes.InvalidArgument), nil, ErrRefused, ErrRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newTestClient(t, map[string]*fakeServer{"up": {beforeChange: c.before, afterChange: c.after}}, "up")
				_, err := client.Get(t.Context(), "k")
				assert.Assert(t, errors.Is(err, c.getErr), "%v", err)
				_, err = client.CompareAndSwap(t.Context(), "k", 0, []byte("v"))
				assert.Assert(t, errors.Is(err, c.swapErr), "%v", err)
				detail, ok := oops.AsOops(err)
				assert.Assert(t, ok)
				assert.Equal(t, detail.Context()["step"], "compare_and_swap")
				assert.Equal(t, detail.Context()["peer"], "up")
			})
		})
	}
}

// Guards against calls that fail or have an unknown outcome because one address is down
// while another one works.
func TestAddressesAreTriedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &fakeServer{}
		client := newTestClient(t, map[string]*fakeServer{"up": server}, "down", "up")
		swap, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("v"))
		assert.NilError(t, err)
		assert.DeepEqual(t, swap, SwapResult{Swapped: true, Entry: Entry{Key: "k", Value: []byte("v"), Revision: 1}})
		swap, err = client.CompareAndSwap(t.Context(), "k", 5, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, swap, SwapResult{Entry: Entry{Key: "k", Value: []byte("v"), Revision: 1}})
		_, err = client.Get(t.Context(), "other")
		assert.ErrorContains(t, err, `answer for key "k" instead of "other"`)

		unreachable := newTestClient(t, nil, "down", "down2")
		_, err = unreachable.CompareAndSwap(t.Context(), "k", 0, nil)
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	})
}

// Guards against a retry of a call that may have been applied or was rejected, and
// against accepting a response that does not match the request.
func TestNoSecondRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, hook := range []func(context.Context) error{failWith(codes.Unavailable), failWith(codes.ResourceExhausted), failWith(codes.InvalidArgument)} {
			first, second := &fakeServer{afterChange: hook}, &fakeServer{}
			client := newTestClient(t, map[string]*fakeServer{"first": first, "second": second}, "first", "second")
			_, err := client.CompareAndSwap(t.Context(), "k", 0, nil)
			assert.Assert(t, err != nil)
			assert.Equal(t, first.calls+second.calls, 1)
		}
		for _, entry := range []*platformpb.Entry{nil, {Key: "k", Revision: 4}, {Key: "other", Revision: 5}} {
			server := &fakeServer{swapResponse: &platformpb.CompareAndSwapResponse{Swapped: true, Entry: entry}}
			client := newTestClient(t, map[string]*fakeServer{"up": server}, "up")
			_, err := client.CompareAndSwap(t.Context(), "k", 4, nil)
			assert.Assert(t, errors.Is(err, ErrUnknownOutcome), "%v", err)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		unreachable := newTestClient(t, nil, "down")
		_, err := unreachable.Lease(t.Context(), LeaseRequest{})
		assert.Assert(t, errors.Is(err, ErrUnavailable))
		_, err = unreachable.ListVMs(t.Context())
		assert.Assert(t, errors.Is(err, ErrUnavailable))
	})
	_, err := NewClient(Options{})
	assert.ErrorContains(t, err, "no platform address")
}

// Guards against calls that keep using a connection after it stopped responding.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &fakeServer{beforeChange: blockUntilDone}
		client := newTestClient(t, map[string]*fakeServer{"up": server}, "up")
		first, err := client.endpoints[0].connection()
		assert.NilError(t, err)
		start := time.Now()
		_, err = client.Get(t.Context(), "k")
		assert.Assert(t, errors.Is(err, ErrUnavailable))
		assert.Equal(t, time.Since(start), client.options.CallTimeout)
		second, err := client.endpoints[0].connection()
		assert.NilError(t, err)
		assert.Assert(t, first != second)

		client.Close()
		_, err = client.CompareAndSwap(t.Context(), "k", 0, nil)
		assert.ErrorContains(t, err, "client is closed")
	})
}

// Guards against lost fields and wrong units in leases and VM lists.
func TestLeaseAndList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newTestClient(t, map[string]*fakeServer{"up": {}}, "up")
		lease, err := client.Lease(t.Context(), LeaseRequest{Operation: LeaseRenew, Name: "n", Holder: "h", TTL: 1500 * time.Millisecond})
		assert.NilError(t, err)
		assert.DeepEqual(t, lease, Lease{Held: true, Holder: "h", Remaining: 1500 * time.Millisecond})
		_, err = client.Lease(t.Context(), LeaseRequest{TTL: -time.Second})
		assert.Assert(t, errors.Is(err, ErrRefused))
		list, err := client.ListVMs(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, VMList{Revision: 3, VMs: []VM{{Name: "a", State: VMLeaving, Role: VMUpstream}, {Name: "b"}}})
	})
}

// Guards against watches that lose events, or that wait forever on a connection that
// stopped responding.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := &platformpb.Entry{Key: "p/k", Value: []byte("v"), Revision: 4}
		server := &fakeServer{entry: entry}
		server.watch = func(stream grpc.ServerStreamingServer[platformpb.WatchEvent]) error {
			_ = stream.Send(&platformpb.WatchEvent{Entry: entry})
			_ = stream.Send(&platformpb.WatchEvent{Current: true})
			<-stream.Context().Done()
			return stream.Context().Err()
		}
		client := newTestClient(t, map[string]*fakeServer{"up": server}, "down", "up")
		err := client.Watch(t.Context(), "p/", nil)
		assert.Assert(t, errors.Is(err, ErrUnavailable))
		assert.ErrorContains(t, err, "connection refused")
		var events []WatchEvent
		start := time.Now()
		// The server answers probes for 10 s and then stops responding.
		server.beforeChange = func(ctx context.Context) error {
			if time.Since(start) < 10*time.Second {
				return nil
			}
			return blockUntilDone(ctx)
		}
		err = client.Watch(t.Context(), "p/", func(event WatchEvent) error {
			events = append(events, event)
			return nil
		})
		assert.ErrorContains(t, err, "stopped responding")
		assert.Assert(t, errors.Is(err, ErrUnavailable))
		assert.Equal(t, time.Since(start), 10*time.Second+client.options.CallTimeout)
		assert.Assert(t, slices.EqualFunc(events, []WatchEvent{{Entry: Entry{Key: "p/k", Value: []byte("v"), Revision: 4}}, {Synced: true}},
			func(a, b WatchEvent) bool { return a.Entry.Revision == b.Entry.Revision && a.Synced == b.Synced }))

		client.preferredIndex.Store(1)
		stop := errors.New("stop")
		assert.Equal(t, client.Watch(t.Context(), "p/", func(WatchEvent) error { return stop }), stop)
		err = client.Watch(t.Context(), "q/", func(WatchEvent) error { return nil })
		assert.ErrorContains(t, err, `outside of "q/"`)
		server.watch = func(grpc.ServerStreamingServer[platformpb.WatchEvent]) error { return nil }
		client.preferredIndex.Store(1)
		err = client.Watch(t.Context(), "p/", func(WatchEvent) error { return nil })
		assert.ErrorContains(t, err, "ended the watch")
	})
}

// Guards against waits outside their bounds, and overflow after many failures.
func TestBackoff(t *testing.T) {
	b := NewBackoff(100*time.Millisecond, 2*time.Second, 1)
	limits := []time.Duration{100, 200, 400, 800, 1600, 2000, 2000}
	for range 100 {
		limits = append(limits, 2000)
	}
	for _, limit := range limits {
		wait := b.Next()
		assert.Assert(t, wait >= limit*time.Millisecond/2 && wait <= limit*time.Millisecond, "%v", wait)
	}
	b.Reset()
	assert.Assert(t, b.Next() <= 100*time.Millisecond)
}
