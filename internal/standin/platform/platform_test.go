package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

// manualClock is a clock that advances only when the test sets it.
type manualClock struct{ now time.Time }

func start(t *testing.T, options Options) (*Server, *manualClock, platformpb.PlatformClient) {
	t.Helper()
	c := &manualClock{now: time.Unix(1000, 0)}
	options.Now = func() time.Time { return c.now }
	s, err := Start(options)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	client, err := grpc.NewClient("passthrough:///"+s.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return s, c, platformpb.NewPlatformClient(client)
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func swap(t *testing.T, client platformpb.PlatformClient, key string, expected uint64, value string) *platformpb.CompareAndSwapResponse {
	t.Helper()
	response, err := client.CompareAndSwap(testContext(t), &platformpb.CompareAndSwapRequest{Key: key, ExpectedRevision: expected, Value: []byte(value)})
	assert.NilError(t, err)
	return response
}

// Guards against lost updates.
func TestCompareAndSwap(t *testing.T) {
	_, _, client := start(t, Options{})
	assert.Assert(t, !swap(t, client, "a", 1, "x").Swapped)
	first := swap(t, client, "a", 0, "x")
	assert.Assert(t, first.Swapped)
	assert.Equal(t, first.Entry.Revision, uint64(1))
	refused := swap(t, client, "a", 0, "y")
	assert.Assert(t, !refused.Swapped)
	assert.Equal(t, string(refused.Entry.Value), "x")
	assert.Assert(t, swap(t, client, "a", 1, "y").Swapped)
	got, err := client.Get(testContext(t), &platformpb.GetRequest{Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Entry.Value), "y")
	missing, err := client.Get(testContext(t), &platformpb.GetRequest{Key: "b"})
	assert.NilError(t, err)
	assert.Equal(t, missing.Entry.Revision, uint64(0))
	_, err = client.CompareAndSwap(testContext(t), &platformpb.CompareAndSwapRequest{Key: "b", Value: make([]byte, MaxValueBytes+1)})
	assert.Equal(t, status.Code(err), codes.InvalidArgument)
}

// Guards against a lease with two holders, or one that outlives its TTL.
func TestLease(t *testing.T) {
	_, clock, client := start(t, Options{})
	call := func(operation platformpb.LeaseRequest_Operation, holder string) *platformpb.LeaseResponse {
		response, err := client.Lease(testContext(t), &platformpb.LeaseRequest{Operation: operation, Name: "l", Holder: holder, TtlMs: 1000})
		assert.NilError(t, err)
		return response
	}
	const grant, renew, release = platformpb.LeaseRequest_OPERATION_GRANT, platformpb.LeaseRequest_OPERATION_RENEW, platformpb.LeaseRequest_OPERATION_RELEASE
	assert.Assert(t, call(grant, "a").Held)
	other := call(grant, "b")
	assert.Assert(t, !other.Held)
	assert.Equal(t, other.Holder, "a")
	clock.now = clock.now.Add(600 * time.Millisecond)
	assert.Assert(t, call(renew, "a").Held)
	clock.now = clock.now.Add(999 * time.Millisecond)
	assert.Equal(t, call(grant, "b").RemainingMs, uint32(1))
	clock.now = clock.now.Add(time.Millisecond)
	assert.Assert(t, !call(renew, "a").Held, "renewed after the end")
	assert.Assert(t, call(grant, "b").Held)
	assert.Equal(t, call(release, "a").Holder, "b")
	assert.Equal(t, call(release, "b").Holder, "")
	assert.Assert(t, call(grant, "a").Held)
}

// Guards against a watch that misses entries or reports keys outside of its
// prefix.
func TestWatch(t *testing.T) {
	s, _, client := start(t, Options{})
	s.Put("d/a", []byte("1"))
	s.Put("d/b", []byte("1"))
	s.Put("e/a", []byte("1"))
	stream, err := client.Watch(testContext(t), &platformpb.WatchRequest{Prefix: "d/"})
	assert.NilError(t, err)
	for _, key := range []string{"d/a", "d/b"} {
		event, err := stream.Recv()
		assert.NilError(t, err)
		assert.Equal(t, event.Entry.Key, key)
		assert.Assert(t, !event.Current)
	}
	event, err := stream.Recv()
	assert.NilError(t, err)
	assert.Assert(t, event.Current && event.Entry == nil)
	s.Put("e/a", []byte("2"))
	swap(t, client, "d/b", 1, "2")
	event, err = stream.Recv()
	assert.NilError(t, err)
	assert.Equal(t, event.Entry.Key, "d/b")
	assert.Equal(t, event.Entry.Revision, uint64(2))
	s.SetFaults(func(f *Faults) { f.Outage = true })
	_, err = stream.Recv()
	assert.Equal(t, status.Code(err), codes.Unavailable)
}

// Guards against a VM list that is visible before its lag has passed.
func TestListLag(t *testing.T) {
	s, clock, client := start(t, Options{ListLag: 2 * time.Second})
	list := func() *platformpb.ListVMsResponse {
		response, err := client.ListVMs(testContext(t), &platformpb.ListVMsRequest{})
		assert.NilError(t, err)
		return response
	}
	assert.NilError(t, s.SetVMs([]*platformpb.VM{{Name: "p1"}}))
	assert.Equal(t, list().Revision, uint64(0))
	clock.now = clock.now.Add(time.Second)
	assert.NilError(t, s.SetVMs([]*platformpb.VM{{Name: "p1", State: platformpb.VM_STATE_LEAVING}}))
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, list().Revision, uint64(1))
	assert.Equal(t, list().Vms[0].State, platformpb.VM_STATE_UNSPECIFIED)
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, list().Vms[0].State, platformpb.VM_STATE_LEAVING)
	assert.ErrorIs(t, s.SetVMs([]*platformpb.VM{{}}), errUnnamedVM)
}

// Guards against rate limits that are not enforced or never recover.
func TestRateLimits(t *testing.T) {
	_, clock, client := start(t, Options{Limits: Limits{ReadsPerSecond: 3, WritesPerSecond: 1}})
	get := func() codes.Code {
		_, err := client.Get(testContext(t), &platformpb.GetRequest{Key: "a"})
		return status.Code(err)
	}
	for range 3 {
		assert.Equal(t, get(), codes.OK)
	}
	assert.Equal(t, get(), codes.ResourceExhausted)
	swap(t, client, "a", 0, "x")
	_, err := client.CompareAndSwap(testContext(t), &platformpb.CompareAndSwapRequest{Key: "b"})
	assert.Equal(t, status.Code(err), codes.ResourceExhausted)
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, get(), codes.OK)
}

// Guards against a dropped response whose change did not take effect, and
// against calls that are not counted.
func TestFaultsAndCounters(t *testing.T) {
	s, _, client := start(t, Options{})
	s.SetFaults(func(f *Faults) { f.DropResponses = 1 })
	_, err := client.CompareAndSwap(testContext(t), &platformpb.CompareAndSwapRequest{Key: "a", Value: []byte("x")})
	assert.Equal(t, status.Code(err), codes.Unavailable)
	got, err := client.Get(testContext(t), &platformpb.GetRequest{Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Entry.Value), "x")
	s.SetFaults(func(f *Faults) { f.Outage = true })
	_, err = client.Get(testContext(t), &platformpb.GetRequest{Key: "a"})
	assert.Equal(t, status.Code(err), codes.Unavailable)
	s.SetFaults(func(f *Faults) { f.Outage, f.Delay = false, time.Hour })
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Get(short, &platformpb.GetRequest{Key: "a"})
	assert.Equal(t, status.Code(err), codes.DeadlineExceeded)
	assert.DeepEqual(t, s.Calls(), map[string]uint64{"CompareAndSwap": 1, "Get": 3})
}

// Guards against admin requests that are accepted without effect.
func TestAdmin(t *testing.T) {
	s, _, client := start(t, Options{})
	post := func(path, kind, body string) int {
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		request.Header.Set("Content-Type", kind)
		response := httptest.NewRecorder()
		s.AdminHandler().ServeHTTP(response, request)
		return response.Code
	}
	const form = "application/x-www-form-urlencoded"
	assert.Equal(t, post("/vms", "application/json", `{"vms":[{"name":"p1","address":"127.0.0.1:7000","state":"STATE_LIVE","role":"ROLE_PROXY"}]}`), http.StatusOK)
	list, err := client.ListVMs(testContext(t), &platformpb.ListVMsRequest{})
	assert.NilError(t, err)
	assert.Equal(t, list.Vms[0].Address, "127.0.0.1:7000")
	assert.Equal(t, post("/put?key=k", "text/plain", "value"), http.StatusOK)
	got, err := client.Get(testContext(t), &platformpb.GetRequest{Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Entry.Value), "value")
	assert.Equal(t, post("/fault", form, "outage=perhaps"), http.StatusBadRequest)
	assert.Equal(t, post("/fault", form, "unknown=1"), http.StatusBadRequest)
	assert.Equal(t, post("/fault", form, "outage=true&delay=1ms&lose-answers=1&list-lag=1s"), http.StatusOK)
	_, err = client.Get(testContext(t), &platformpb.GetRequest{Key: "k"})
	assert.Equal(t, status.Code(err), codes.Unavailable)
}
