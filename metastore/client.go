package metastore

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

// Options configure a Client.
type Options struct {
	// Addresses are IP addresses with ports. The client prefers one of them and switches
	// to the next when a call there gets no response.
	Addresses []string
	// CallTimeout is the time limit of one attempt of a call at one address.
	CallTimeout time.Duration
	// WatchProbeInterval is the interval of the reads that check whether the connection
	// of a watch still responds.
	WatchProbeInterval time.Duration
	// ReconnectBase and ReconnectMax are the shortest and the longest wait between
	// connection attempts, before jitter.
	ReconnectBase, ReconnectMax time.Duration
	// Dial opens connections instead of TCP if it is set; tests use it.
	Dial DialFunc
}

// DefaultOptions returns the options of the daemon. A watch whose connection stopped
// responding is detected within 3 s (probe interval plus call timeout), because a
// document must be in force within 5 s.
func DefaultOptions(addresses []string) Options {
	return Options{
		Addresses:          addresses,
		CallTimeout:        time.Second,
		WatchProbeInterval: 2 * time.Second,
		ReconnectBase:      50 * time.Millisecond,
		ReconnectMax:       2 * time.Second,
	}
}

// Client is the gRPC client of the platform. It implements Store and Directory and is
// safe for concurrent use.
type Client struct {
	options   Options
	dial      func(address string) (*grpc.ClientConn, error)
	endpoints []*endpoint
	// preferredIndex, modulo the number of endpoints, is the index of the endpoint that
	// calls try first. It is incremented when that endpoint does not respond.
	preferredIndex atomic.Uint64
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// NewClient returns a client that connects on first use. The caller must close it.
func NewClient(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("no platform address")
	}
	client := &Client{options: options, dial: dialer(options)}
	for _, address := range options.Addresses {
		client.endpoints = append(client.endpoints, &endpoint{address: address, dial: client.dial,
			drainTimeout: options.CallTimeout, retired: map[*grpc.ClientConn]*time.Timer{}})
	}
	return client, nil
}

// Close closes all connections. Calls in progress and later calls fail.
func (c *Client) Close() {
	for _, e := range c.endpoints {
		e.close()
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	response, peer, err := call(ctx, c, "get", false, func(ctx context.Context, api platformpb.PlatformClient) (*platformpb.GetResponse, error) {
		return api.Get(ctx, &platformpb.GetRequest{Key: key})
	})
	if err != nil {
		return Entry{}, err
	}
	entry, err := entryFromProto(response.GetEntry(), key)
	if err != nil {
		return Entry{}, callError(ErrUnavailable, "get", peer, err)
	}
	return entry, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (SwapResult, error) {
	request := &platformpb.CompareAndSwapRequest{Key: key, Value: value}
	request.ExpectedEpoch, request.ExpectedRevision = splitRevision(expected)
	response, peer, err := call(ctx, c, "compare_and_swap", true, func(ctx context.Context, api platformpb.PlatformClient) (*platformpb.CompareAndSwapResponse, error) {
		return api.CompareAndSwap(ctx, request)
	})
	if err != nil {
		return SwapResult{}, err
	}
	entry, err := entryFromProto(response.GetEntry(), key)
	if err == nil && response.GetSwapped() && entry.Revision <= expected {
		err = fmt.Errorf("stored at revision %d after %d", entry.Revision, expected)
	}
	if err != nil {
		return SwapResult{}, callError(ErrUnknownOutcome, "compare_and_swap", peer, err)
	}
	return SwapResult{Swapped: response.GetSwapped(), Entry: entry}, nil
}

var leaseOperations = [...]platformpb.LeaseRequest_Operation{
	LeaseGrant:   platformpb.LeaseRequest_OPERATION_GRANT,
	LeaseRenew:   platformpb.LeaseRequest_OPERATION_RENEW,
	LeaseRelease: platformpb.LeaseRequest_OPERATION_RELEASE,
}

// Lease implements Store.
func (c *Client) Lease(ctx context.Context, request LeaseRequest) (Lease, error) {
	millis := request.TTL.Milliseconds()
	if millis < 0 || millis > math.MaxUint32 {
		return Lease{}, callError(ErrRefused, "lease", "", fmt.Errorf("time to live of %v is out of range", request.TTL))
	}
	message := &platformpb.LeaseRequest{Operation: leaseOperations[request.Operation],
		Name: request.Name, Holder: request.Holder, TtlMs: uint32(millis)}
	response, _, err := call(ctx, c, "lease", true, func(ctx context.Context, api platformpb.PlatformClient) (*platformpb.LeaseResponse, error) {
		return api.Lease(ctx, message)
	})
	if err != nil {
		return Lease{}, err
	}
	return Lease{Held: response.GetHeld(), Holder: response.GetHolder(),
		Remaining: time.Duration(response.GetRemainingMs()) * time.Millisecond}, nil
}

// ListVMs implements Directory.
func (c *Client) ListVMs(ctx context.Context) (VMList, error) {
	response, _, err := call(ctx, c, "list_vms", false, func(ctx context.Context, api platformpb.PlatformClient) (*platformpb.ListVMsResponse, error) {
		return api.ListVMs(ctx, &platformpb.ListVMsRequest{})
	})
	if err != nil {
		return VMList{}, err
	}
	return vmListFromProto(response), nil
}

// call tries a call at each address, starting with the preferred one, until one
// responds, rejects the call, or may have applied it. mutates is set for calls that
// change the platform's state. It also returns the address that responded.
func call[T any](ctx context.Context, c *Client, step string, mutates bool, invoke func(context.Context, platformpb.PlatformClient) (T, error)) (T, string, error) {
	var lastErr error
	first := c.preferredIndex.Load()
	for index := first; index < first+uint64(len(c.endpoints)); index++ {
		e := c.endpoints[index%uint64(len(c.endpoints))]
		response, err := attempt(ctx, c, e, step, mutates, invoke)
		if err == nil {
			return response, e.address, nil
		}
		lastErr = err
		if errors.Is(err, ErrRateLimited) || errors.Is(err, ErrRefused) {
			break
		}
		c.preferredIndex.CompareAndSwap(index, index+1)
		if errors.Is(err, ErrUnknownOutcome) || ctx.Err() != nil {
			break
		}
	}
	var none T
	return none, "", lastErr
}

// attempt makes a call at one endpoint.
func attempt[T any](ctx context.Context, c *Client, e *endpoint, step string, mutates bool, invoke func(context.Context, platformpb.PlatformClient) (T, error)) (T, error) {
	var none T
	conn, err := e.connection()
	if err != nil {
		return none, callError(ErrUnavailable, step, e.address, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	trackedCtx, sent := withSentFlag(callCtx)
	response, err := invoke(trackedCtx, platformpb.NewPlatformClient(conn))
	if err == nil {
		return response, nil
	}
	if status.Code(err) == codes.DeadlineExceeded {
		// The connection may be dead although a new one would work.
		e.replace(conn)
	}
	return none, callError(classifyError(err, sent.Load(), mutates), step, e.address, err)
}

// entryFromProto converts an entry and checks that it has the requested key. No entry
// means that the key does not exist.
func entryFromProto(message *platformpb.Entry, key string) (Entry, error) {
	if message == nil || (message.GetKey() == "" && message.GetRevision() == 0) {
		return Entry{Key: key}, nil
	}
	if message.GetKey() != key {
		return Entry{}, fmt.Errorf("answer for key %q instead of %q", message.GetKey(), key)
	}
	return Entry{Key: key, Value: message.GetValue(), Revision: orderedRevision(message.GetEpoch(), message.GetRevision())}, nil
}

func vmFromProto(message *platformpb.VM) VM {
	vm := VM{Name: message.GetName(), Address: message.GetAddress(), AvailabilityZone: message.GetAvailabilityZone()}
	switch message.GetState() {
	case platformpb.VM_STATE_LIVE:
		vm.State = VMLive
	case platformpb.VM_STATE_LEAVING:
		vm.State = VMLeaving
	}
	switch message.GetRole() {
	case platformpb.VM_ROLE_PROXY:
		vm.Role = VMProxy
	case platformpb.VM_ROLE_UPSTREAM:
		vm.Role = VMUpstream
	}
	return vm
}
