// Package platform is a stand-in for the platform's key-value service, its
// leases and its list of VMs, with fault switches. It is meant for tests and the
// demo only and listens on loopback.
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

// MaxValueBytes is the maximum size of a stored value.
const MaxValueBytes = 1 << 20

// Options configure the service.
type Options struct {
	// Address is the listening address; empty means a free port on loopback.
	Address string
	// Limits are the rate limits; a zero field means no limit.
	Limits Limits
	// ListLag is the delay until a change of the VM list becomes visible.
	ListLag time.Duration
	// Now is the clock for leases, the VM list and the rate limits; nil means
	// time.Now.
	Now func() time.Time
}

// Limits are the calls per second that the service accepts. Each pending watch
// counts as one read per second.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Faults are the states of the fault switches.
type Faults struct {
	// Outage makes every call fail with Unavailable and ends the watches.
	Outage bool `json:"outage"`
	// StoreOutage is like Outage for all calls except ListVMs.
	StoreOutage bool `json:"store_outage"`
	// Delay is added before each response to an accepted call and before each
	// watch event that has an entry.
	Delay time.Duration `json:"delay"`
	// DropResponses is the number of following CompareAndSwap and Lease calls
	// that take effect but fail with Unavailable, as if the response were lost.
	DropResponses int `json:"lose_answers"`
}

// Server is a running stand-in of the platform.
type Server struct {
	platformpb.UnimplementedPlatformServer
	options  Options
	listener net.Listener
	grpc     *grpc.Server
	stop     chan struct{}
	wg       sync.WaitGroup

	mu sync.Mutex
	// epoch is the number of restores. The entries written since then have it.
	epoch          uint64
	entries        map[string]*platformpb.Entry
	leases         map[string]lease
	vmLists        []vmList
	vmListRevision uint64
	watchCount     int
	faults         Faults
	callCounts     map[string]uint64
	writeBucket    tokenBucket
	readBucket     tokenBucket
	// changed is closed and replaced whenever an entry or a fault switch
	// changes.
	changed chan struct{}
}

// lease is a granted lease, which may have expired.
type lease struct {
	holder    string
	expiresAt time.Time
}

// vmList is a version of the VM list and the time at which it becomes visible.
type vmList struct {
	vms       []*platformpb.VM
	revision  uint64
	visibleAt time.Time
}

// Start starts the service, which runs until Close. It fails if the address is
// not on loopback.
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
		options:     options,
		listener:    l,
		stop:        make(chan struct{}),
		entries:     map[string]*platformpb.Entry{},
		leases:      map[string]lease{},
		callCounts:  map[string]uint64{},
		writeBucket: tokenBucket{ratePerSecond: options.Limits.WritesPerSecond},
		readBucket:  tokenBucket{ratePerSecond: options.Limits.ReadsPerSecond},
		changed:     make(chan struct{}),
	}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(2*MaxValueBytes),
		grpc.UnaryInterceptor(s.unaryInterceptor),
		grpc.StreamInterceptor(s.streamInterceptor))
	platformpb.RegisterPlatformServer(s.grpc, s)
	s.wg.Go(func() { _ = s.grpc.Serve(l) })
	return s, nil
}

// Address returns the listening address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the service and closes its connections and watches.
func (s *Server) Close() {
	close(s.stop)
	s.grpc.Stop()
	s.wg.Wait()
}

// broadcast wakes all watches. The caller holds mu.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults changes the fault switches. change runs under the server's lock.
func (s *Server) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.broadcast()
}

// Calls returns the number of calls since the start by method, for instance
// "Get". Rejected calls count too.
func (s *Server) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// Watches returns the number of pending watches.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchCount
}

var errOutage = status.Error(codes.Unavailable, "the platform is out of service")

// admit counts a call and rejects it during an outage or beyond the rate limit.
func (s *Server) admit(method string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCounts[method]++
	if s.faults.Outage || s.faults.StoreOutage && method != "ListVMs" {
		return errOutage
	}
	bucket, load := &s.readBucket, s.watchCount
	if isWrite(method) {
		bucket, load = &s.writeBucket, 0
	}
	if !bucket.take(s.options.Now(), load) {
		return status.Error(codes.ResourceExhausted, "rate limit of the platform")
	}
	return nil
}

func isWrite(method string) bool { return method == "CompareAndSwap" || method == "Lease" }

func (s *Server) unaryInterceptor(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	method := info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]
	if err := s.admit(method); err != nil {
		return nil, err
	}
	response, err := handler(ctx, request)
	if err := s.delay(ctx); err != nil {
		return nil, err
	}
	if err == nil && isWrite(method) && s.dropResponse() {
		return nil, status.Error(codes.Unavailable, "the answer was lost")
	}
	return response, err
}

func (s *Server) streamInterceptor(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	method := info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]
	if err := s.admit(method); err != nil {
		return err
	}
	return handler(srv, stream)
}

// delay waits for Faults.Delay or until the context ends.
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

// dropResponse reports whether to drop this response, and counts DropResponses
// down.
func (s *Server) dropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

// Get returns the entry of a key. A missing key has revision 0.
func (s *Server) Get(_ context.Context, request *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &platformpb.GetResponse{Entry: s.entry(request.Key)}, nil
}

// entry returns the entry of a key. Entries are replaced, never modified in
// place. The caller holds mu.
func (s *Server) entry(key string) *platformpb.Entry {
	if entry, ok := s.entries[key]; ok {
		return entry
	}
	return &platformpb.Entry{Key: key}
}

// CompareAndSwap stores a value if the key's revision equals the expected one.
// Otherwise it returns the current entry.
func (s *Server) CompareAndSwap(_ context.Context, request *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	if len(request.Value) > MaxValueBytes {
		return nil, status.Errorf(codes.InvalidArgument, "the value has %d bytes, more than %d", len(request.Value), MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entry(request.Key)
	if current.Revision != request.ExpectedRevision || current.Epoch != request.ExpectedEpoch {
		return &platformpb.CompareAndSwapResponse{Entry: current}, nil
	}
	return &platformpb.CompareAndSwapResponse{Swapped: true, Entry: s.put(request.Key, request.Value)}, nil
}

// Lease grants, renews or releases a lease and returns its state.
func (s *Server) Lease(_ context.Context, request *platformpb.LeaseRequest) (*platformpb.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	current, held := s.leases[request.Name]
	held = held && now.Before(current.expiresAt)
	heldByCaller := held && current.holder == request.Holder
	switch request.Operation {
	case platformpb.LeaseRequest_OPERATION_GRANT:
		if held && !heldByCaller {
			return leaseResponse(current, now, request.Holder), nil
		}
	case platformpb.LeaseRequest_OPERATION_RENEW:
		if !heldByCaller {
			return leaseResponse(current, now, request.Holder), nil
		}
	case platformpb.LeaseRequest_OPERATION_RELEASE:
		if heldByCaller {
			delete(s.leases, request.Name)
			current = lease{}
		}
		return leaseResponse(current, now, request.Holder), nil
	default:
		return nil, status.Error(codes.InvalidArgument, "unknown lease operation")
	}
	current = lease{holder: request.Holder, expiresAt: now.Add(time.Duration(request.TtlMs) * time.Millisecond)}
	s.leases[request.Name] = current
	return leaseResponse(current, now, request.Holder), nil
}

// leaseResponse describes a lease as the caller sees it. An expired lease has
// no holder.
func leaseResponse(l lease, now time.Time, caller string) *platformpb.LeaseResponse {
	remaining := l.expiresAt.Sub(now)
	if l.holder == "" || remaining <= 0 {
		return &platformpb.LeaseResponse{}
	}
	return &platformpb.LeaseResponse{Held: l.holder == caller, Holder: l.holder, RemainingMs: uint32(remaining.Milliseconds())}
}

// Watch streams the current entries under a prefix, then an event without an
// entry that marks the end of the initial state, then the changes. Changes of
// one key in quick succession may be coalesced into the last one.
func (s *Server) Watch(request *platformpb.WatchRequest, stream grpc.ServerStreamingServer[platformpb.WatchEvent]) error {
	s.adjustWatchCount(1)
	defer s.adjustWatchCount(-1)
	sent := map[string]uint64{}
	epoch := s.currentEpoch()
	for first := true; ; first = false {
		unsent, changed, err := s.unsentEntries(request.Prefix, sent, epoch)
		if err != nil {
			return err
		}
		for _, entry := range unsent {
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

func (s *Server) adjustWatchCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchCount += n
}

// unsentEntries returns the entries under a prefix that are newer than the sent
// revisions, ordered by key, and a channel that is closed on the next change. A restore ends
// the watches of earlier epochs.
func (s *Server) unsentEntries(prefix string, sent map[string]uint64, epoch uint64) ([]*platformpb.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage || s.faults.StoreOutage || s.epoch != epoch {
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

// ListVMs returns the newest visible version of the VM list.
func (s *Server) ListVMs(context.Context, *platformpb.ListVMsRequest) (*platformpb.ListVMsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for len(s.vmLists) > 1 && !s.vmLists[1].visibleAt.After(now) {
		s.vmLists = s.vmLists[1:]
	}
	if len(s.vmLists) == 0 || s.vmLists[0].visibleAt.After(now) {
		return &platformpb.ListVMsResponse{}, nil
	}
	return &platformpb.ListVMsResponse{Vms: s.vmLists[0].vms, Revision: s.vmLists[0].revision, Epoch: s.epoch}, nil
}

var errUnnamedVM = errors.New("a VM has no name")

// SetVMs replaces the VM list. The change becomes visible after ListLag. It
// fails if a VM has no name.
func (s *Server) SetVMs(vms []*platformpb.VM) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	copies := make([]*platformpb.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Name == "" {
			return oops.In("platform").With("step", "set VMs").Wrap(errUnnamedVM)
		}
		copies = append(copies, proto.Clone(vm).(*platformpb.VM))
	}
	s.vmListRevision++
	visible := s.options.Now().Add(s.options.ListLag)
	s.vmLists = append(s.vmLists, vmList{vms: copies, revision: s.vmListRevision, visibleAt: visible})
	return nil
}

// SetListLag sets the lag of later changes of the VM list.
func (s *Server) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.ListLag = lag
}

// Put stores a value as an operator would, bypassing rate limits and faults. It
// returns the new revision.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value).Revision
}

// put stores a value. The caller holds mu.
func (s *Server) put(key string, value []byte) *platformpb.Entry {
	next := &platformpb.Entry{Key: key, Value: slices.Clone(value), Revision: s.entry(key).Revision + 1, Epoch: s.epoch}
	s.entries[key] = next
	s.broadcast()
	return next
}

func (s *Server) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Backup is a copy of the entries and of the revision of the VM list.
type Backup struct {
	entries        map[string]*platformpb.Entry
	vmListRevision uint64
}

// Backup returns a copy of the contents.
func (s *Server) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{entries: maps.Clone(s.entries), vmListRevision: s.vmListRevision}
}

// Restore replaces the entries by those of a backup and begins a new epoch, in which revisions
// are given out again. Leases are lost, and watches end. The VM list stays, with the revision
// after the one of the backup.
func (s *Server) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.entries, s.leases = maps.Clone(b.entries), map[string]lease{}
	s.vmListRevision = b.vmListRevision
	for i := range s.vmLists {
		s.vmListRevision++
		s.vmLists[i].revision = s.vmListRevision
	}
	s.broadcast()
}

// tokenBucket is a token bucket with a capacity of one second's tokens. Rate 0
// means no limit.
type tokenBucket struct {
	ratePerSecond int
	tokens        float64
	last          time.Time
}

// take takes a token if one is available. load, in calls per second, is
// subtracted from the refill rate.
func (b *tokenBucket) take(now time.Time, load int) bool {
	if b.ratePerSecond == 0 {
		return true
	}
	if b.last.IsZero() {
		b.tokens, b.last = float64(b.ratePerSecond), now
	}
	rate := float64(max(0, b.ratePerSecond-load))
	b.tokens = min(float64(b.ratePerSecond), b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
