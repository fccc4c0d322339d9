// Package platform is a stand-in for the platform's key-value service and its
// list of VMs, with fault switches. It is meant for tests and the demo only and
// listens on loopback.
package platform

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

// MaxValueBytes is the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Options describe the service.
type Options struct {
	// Address is the listening address; empty means a free port on loopback.
	Address string
	// Limits bound the calls per second; the zero value means no bound.
	Limits Limits
	// ListLag is the time after which a change of the VM list is visible.
	ListLag time.Duration
	// Now is the clock of leases, the list and the rate limits; nil means time.Now.
	Now func() time.Time
}

// Limits are the calls per second that the service serves. Each pending watch
// counts as one read a second.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Faults are the fault switches.
type Faults struct {
	// Outage makes each call fail with Unavailable and ends the watches.
	Outage bool `json:"outage"`
	// StoreOutage is an outage of all calls but ListVMs.
	StoreOutage bool `json:"store_outage"`
	// Delay passes before each answer.
	Delay time.Duration `json:"delay"`
	// DropResponses is the number of calls, writes or leases, whose change takes
	// effect while the answer is an error.
	DropResponses int `json:"lose_answers"`
}

// Server is a running platform.
type Server struct {
	platformpb.UnimplementedPlatformServer
	options  Options
	listener net.Listener
	grpc     *grpc.Server
	stop     chan struct{}
	group    sync.WaitGroup

	mu       sync.Mutex
	entries  map[string]*platformpb.Entry
	leases   map[string]lease
	lists    []vmList
	revision uint64
	watching int
	faults   Faults
	counters map[string]uint64
	writes   bucket
	reads    bucket
	// changed is closed and replaced on each change of an entry or a switch.
	changed chan struct{}
}

type lease struct {
	holder string
	until  time.Time
}

// vmList is a version of the VM list and when it becomes visible.
type vmList struct {
	vms      []*platformpb.VM
	revision uint64
	visible  time.Time
}

// Start listens and serves until Close.
func Start(options Options) (*Server, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, oops.In("platform").With("step", "listen", "address", options.Address).Wrap(err)
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return nil, oops.In("platform").With("step", "listen").Errorf("address %s is not on loopback", options.Address)
	}
	s := &Server{
		options:  options,
		listener: l,
		stop:     make(chan struct{}),
		entries:  map[string]*platformpb.Entry{},
		leases:   map[string]lease{},
		counters: map[string]uint64{},
		writes:   bucket{rate: options.Limits.WritesPerSecond},
		reads:    bucket{rate: options.Limits.ReadsPerSecond},
		changed:  make(chan struct{}),
	}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(2*MaxValueBytes),
		grpc.UnaryInterceptor(s.unary),
		grpc.StreamInterceptor(s.stream))
	platformpb.RegisterPlatformServer(s.grpc, s)
	s.group.Go(func() { _ = s.grpc.Serve(l) })
	return s, nil
}

// Address returns the listening address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the service and its connections.
func (s *Server) Close() {
	close(s.stop)
	s.grpc.Stop()
	s.group.Wait()
}

// broadcast wakes the watches. The caller holds mu.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults changes the fault switches.
func (s *Server) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.broadcast()
}

// Calls returns the calls per method since the start, for instance "Get".
// Refused calls count too.
func (s *Server) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counters)
}

// Watches returns the number of pending watches.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

var errOutage = status.Error(codes.Unavailable, "the platform is out of service")

// admit counts a call and applies outage and rate limits.
func (s *Server) admit(method string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[method]++
	if s.faults.Outage || s.faults.StoreOutage && method != "ListVMs" {
		return errOutage
	}
	limit, load := &s.reads, s.watching
	if isWrite(method) {
		limit, load = &s.writes, 0
	}
	if !limit.take(s.options.Now(), load) {
		return status.Error(codes.ResourceExhausted, "rate limit of the platform")
	}
	return nil
}

func isWrite(method string) bool { return method == "CompareAndSwap" || method == "Lease" }

func (s *Server) unary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	method := info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]
	if err := s.admit(method); err != nil {
		return nil, err
	}
	response, err := handler(ctx, request)
	if err := s.delay(ctx); err != nil {
		return nil, err
	}
	if err == nil && isWrite(method) && s.loseAnswer() {
		return nil, status.Error(codes.Unavailable, "the answer was lost")
	}
	return response, err
}

func (s *Server) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	method := info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]
	if err := s.admit(method); err != nil {
		return err
	}
	return handler(srv, stream)
}

func (s *Server) delay(ctx context.Context) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

// Get returns one entry. A missing key has revision 0.
func (s *Server) Get(_ context.Context, request *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &platformpb.GetResponse{Entry: s.entry(request.Key)}, nil
}

// entry returns a key's entry, which is never changed in place. The caller holds mu.
func (s *Server) entry(key string) *platformpb.Entry {
	if entry, ok := s.entries[key]; ok {
		return entry
	}
	return &platformpb.Entry{Key: key}
}

// CompareAndSwap stores a value if the key's revision matches.
func (s *Server) CompareAndSwap(_ context.Context, request *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	if len(request.Value) > MaxValueBytes {
		return nil, status.Errorf(codes.InvalidArgument, "the value has %d bytes, more than %d", len(request.Value), MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entry(request.Key)
	if current.Revision != request.ExpectedRevision {
		return &platformpb.CompareAndSwapResponse{Entry: current}, nil
	}
	next := &platformpb.Entry{Key: request.Key, Value: slices.Clone(request.Value), Revision: current.Revision + 1}
	s.entries[request.Key] = next
	s.broadcast()
	return &platformpb.CompareAndSwapResponse{Swapped: true, Entry: next}, nil
}

// Lease grants, renews or releases a lease.
func (s *Server) Lease(_ context.Context, request *platformpb.LeaseRequest) (*platformpb.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	current, held := s.leases[request.Name]
	held = held && now.Before(current.until)
	mine := held && current.holder == request.Holder
	switch request.Operation {
	case platformpb.LeaseRequest_OPERATION_GRANT:
		if held && !mine {
			return leaseResponse(current, now, request.Holder), nil
		}
	case platformpb.LeaseRequest_OPERATION_RENEW:
		if !mine {
			return leaseResponse(current, now, request.Holder), nil
		}
	case platformpb.LeaseRequest_OPERATION_RELEASE:
		if mine {
			delete(s.leases, request.Name)
			current = lease{}
		}
		return leaseResponse(current, now, request.Holder), nil
	default:
		return nil, status.Error(codes.InvalidArgument, "unknown lease operation")
	}
	current = lease{holder: request.Holder, until: now.Add(time.Duration(request.TtlMs) * time.Millisecond)}
	s.leases[request.Name] = current
	return leaseResponse(current, now, request.Holder), nil
}

// leaseResponse describes a lease as seen by a caller. An expired one has no holder.
func leaseResponse(l lease, now time.Time, caller string) *platformpb.LeaseResponse {
	left := l.until.Sub(now)
	if l.holder == "" || left <= 0 {
		return &platformpb.LeaseResponse{}
	}
	return &platformpb.LeaseResponse{Held: l.holder == caller, Holder: l.holder, RemainingMs: uint32(left.Milliseconds())}
}

// Watch streams changes of keys under a prefix, the current entries first.
// Changes that follow each other closely may arrive as the last one only.
func (s *Server) Watch(request *platformpb.WatchRequest, stream grpc.ServerStreamingServer[platformpb.WatchEvent]) error {
	s.addWatch(1)
	defer s.addWatch(-1)
	sent := map[string]uint64{}
	for first := true; ; first = false {
		news, changed, err := s.news(request.Prefix, sent)
		if err != nil {
			return err
		}
		for _, entry := range news {
			if err := s.delay(stream.Context()); err != nil {
				return err
			}
			if err := stream.Send(&platformpb.WatchEvent{Entry: entry, Current: !first}); err != nil {
				return err
			}
			sent[entry.Key] = entry.Revision
		}
		if first {
			if err := stream.Send(&platformpb.WatchEvent{Current: true}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		case <-s.stop:
			return errOutage
		}
	}
}

func (s *Server) addWatch(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching += n
}

// news returns the entries under a prefix that were not sent, by key, and a
// channel that is closed on the next change.
func (s *Server) news(prefix string, sent map[string]uint64) ([]*platformpb.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage || s.faults.StoreOutage {
		return nil, nil, errOutage
	}
	var out []*platformpb.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) && entry.Revision > sent[key] {
			out = append(out, entry)
		}
	}
	slices.SortFunc(out, func(a, b *platformpb.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.changed, nil
}

// ListVMs returns the newest list that is old enough to be visible.
func (s *Server) ListVMs(context.Context, *platformpb.ListVMsRequest) (*platformpb.ListVMsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for len(s.lists) > 1 && !s.lists[1].visible.After(now) {
		s.lists = s.lists[1:]
	}
	if len(s.lists) == 0 || s.lists[0].visible.After(now) {
		return &platformpb.ListVMsResponse{}, nil
	}
	return &platformpb.ListVMsResponse{Vms: s.lists[0].vms, Revision: s.lists[0].revision}, nil
}

var errNoName = errors.New("a VM has no name")

// SetVMs replaces the VM list. The change is visible after the list's lag.
func (s *Server) SetVMs(vms []*platformpb.VM) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	copies := make([]*platformpb.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Name == "" {
			return oops.In("platform").With("step", "set VMs").Wrap(errNoName)
		}
		copies = append(copies, proto.Clone(vm).(*platformpb.VM))
	}
	s.revision++
	visible := s.options.Now().Add(s.options.ListLag)
	s.lists = append(s.lists, vmList{vms: copies, revision: s.revision, visible: visible})
	return nil
}

// SetListLag changes the lag of later changes of the list.
func (s *Server) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.ListLag = lag
}

// Put stores a value as an operator outside of the rate limits and faults would.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &platformpb.Entry{Key: key, Value: slices.Clone(value), Revision: s.entry(key).Revision + 1}
	s.entries[key] = next
	s.broadcast()
	return next.Revision
}

// bucket is a token bucket that holds one second of calls.
type bucket struct {
	rate   int
	tokens float64
	last   time.Time
}

// take takes a token. load is subtracted from the rate.
func (b *bucket) take(now time.Time, load int) bool {
	if b.rate == 0 {
		return true
	}
	if b.last.IsZero() {
		b.tokens, b.last = float64(b.rate), now
	}
	rate := float64(max(0, b.rate-load))
	b.tokens = min(float64(b.rate), b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
