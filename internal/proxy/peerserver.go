package proxy

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// peerServer implements the gRPC service Peer for the other proxies.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	proxy *Proxy
}

// inboundStream is the stream on which a peer forwards requests to this proxy as
// the owner.
type inboundStream struct {
	proxy *Proxy
	peer  entity.VM
	// number tells this stream from earlier ones of the peer.
	number uint64

	mu    sync.Mutex
	cond  *sync.Cond
	queue []outboundMessage
	// requests holds the open requests by the forwarding proxy's handle.
	requests map[uint64]*inflightRequest
	closed   bool
}

// Forward serves the requests that one peer forwards. The first message names its
// VM.
func (s *peerServer) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetVm() == "" {
		return status.Error(codes.InvalidArgument, "the first message must name the VM")
	}
	in := &inboundStream{
		proxy:    s.proxy,
		peer:     entity.VM(first.GetVm()),
		number:   s.proxy.inboundStreams.Add(1),
		requests: map[uint64]*inflightRequest{},
	}
	in.cond = sync.NewCond(&in.mu)
	go in.sendLoop(stream)
	defer in.close()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		in.handleMessage(m)
	}
}

func (s *inboundStream) handleMessage(m *peerpb.ForwardRequest) {
	switch body := m.GetBody().(type) {
	case *peerpb.ForwardRequest_Request:
		s.handleRequest(m.GetHandle(), body.Request)
	case *peerpb.ForwardRequest_Cancel:
		if r, ok := s.get(m.GetHandle()); ok {
			s.proxy.post(func(in *core.Inputs) { in.Cancels = append(in.Cancels, core.Cancel{Handle: r.handle}) })
		}
	case *peerpb.ForwardRequest_ConnectionClosed:
		closed := core.CallerClosed{
			Caller:      entity.CallerID(body.ConnectionClosed.GetConnection()),
			Transaction: body.ConnectionClosed.GetTransaction(),
		}
		s.proxy.post(func(in *core.Inputs) { in.CallersClosed = append(in.CallersClosed, closed) })
	case *peerpb.ForwardRequest_CreditBytes:
		if r, ok := s.get(m.GetHandle()); ok {
			r.credit.add(int(body.CreditBytes))
		}
	}
}

func (s *inboundStream) get(remoteHandle uint64) (*inflightRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.requests[remoteHandle]
	return r, ok
}

func (s *inboundStream) handleRequest(remoteHandle uint64, m *peerpb.Request) {
	p := s.proxy
	r := &inflightRequest{
		handle:       entity.Handle(p.nextHandle.Add(1)),
		request:      m,
		arrivedAt:    time.Now(),
		origin:       s,
		remoteHandle: remoteHandle,
	}
	r.credit.init()
	s.mu.Lock()
	s.requests[remoteHandle] = r
	s.mu.Unlock()
	p.inflight.add(r)
	arrival := newArrival(r)
	arrival.ForwardedBy, arrival.Stream = s.peer, s.number
	p.post(func(in *core.Inputs) { in.Arrivals = append(in.Arrivals, arrival) })
}

// sendChunk sends a copy of a part of the response. It waits for the request's
// credit and returns context.Canceled if the request has ended.
func (s *inboundStream) sendChunk(r *inflightRequest, data []byte) error {
	if !r.credit.acquire(len(data)) {
		return context.Canceled
	}
	s.enqueue(outboundMessage{remoteHandle: r.remoteHandle, chunk: append([]byte(nil), data...)})
	return nil
}

func (s *inboundStream) sendOutcome(r *inflightRequest, o outcome) {
	r.credit.close()
	s.mu.Lock()
	delete(s.requests, r.remoteHandle)
	s.mu.Unlock()
	s.enqueue(outboundMessage{remoteHandle: r.remoteHandle, outcome: &o})
}

// outboundMessage is a message to a forwarding proxy: a chunk of a response, or the
// outcome if that is set.
type outboundMessage struct {
	remoteHandle uint64
	chunk        []byte
	outcome      *outcome
}

// encode encodes the message just before it is sent, so that the age of an
// acknowledgement includes the time in the queue.
func (m *outboundMessage) encode(now entity.Time) *peerpb.ForwardResponse {
	if m.outcome == nil {
		return &peerpb.ForwardResponse{Handle: m.remoteHandle, Body: &peerpb.ForwardResponse_Chunk{Chunk: m.chunk}}
	}
	m.outcome.expireAcknowledgement(now)
	outcome := outcomeMessage(m.outcome)
	return &peerpb.ForwardResponse{Handle: m.remoteHandle, Body: &peerpb.ForwardResponse_Outcome{Outcome: outcome}}
}

func outcomeMessage(o *outcome) *peerpb.Outcome {
	m := &peerpb.Outcome{
		Kind:         outcomeKinds[o.result.Kind],
		Reason:       o.result.Reason,
		RetryAfterMs: uint32(o.result.RetryAfter.Milliseconds()),
		Position:     &peerpb.Position{Term: o.result.Position.Term, Offset: o.result.Position.Offset},
	}
	if o.result.Kind == core.ResultDone {
		m.Tail = o.tail
	}
	if o.result.InTransaction {
		m.TransactionStatus = 'T'
	}
	return m
}

var outcomeKinds = [...]peerpb.Outcome_Kind{
	core.ResultDone:            peerpb.Outcome_KIND_DONE,
	core.ResultNotRun:          peerpb.Outcome_KIND_NOT_RUN,
	core.ResultUnknown:         peerpb.Outcome_KIND_UNKNOWN,
	core.ResultWriteLost:       peerpb.Outcome_KIND_WRITE_LOST,
	core.ResultAlreadyExecuted: peerpb.Outcome_KIND_ALREADY_EXECUTED,
	core.ResultNotOwner:        peerpb.Outcome_KIND_NOT_OWNER,
}

// resultKind is the inverse of outcomeKinds. A kind from a newer version that this
// one does not know maps to ResultUnknown.
func resultKind(k peerpb.Outcome_Kind) core.ResultKind {
	for kind, o := range outcomeKinds {
		if o == k {
			return core.ResultKind(kind)
		}
	}
	return core.ResultUnknown
}

func (s *inboundStream) enqueue(m outboundMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.queue = append(s.queue, m)
	s.cond.Signal()
}

func (s *inboundStream) sendLoop(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) {
	for {
		messages, ok := s.nextMessages()
		if !ok {
			return
		}
		for i := range messages {
			if err := stream.Send(messages[i].encode(s.proxy.now())); err != nil {
				return
			}
		}
	}
}

// nextMessages waits for messages to send and takes them all from the queue. It
// reports false if the stream has ended.
func (s *inboundStream) nextMessages() ([]outboundMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.cond.Wait()
	}
	if s.closed {
		return nil, false
	}
	messages := s.queue
	s.queue = nil
	return messages, true
}

// close ends the stream. The core rolls back the transactions that its callers
// have open here.
func (s *inboundStream) close() {
	s.mu.Lock()
	s.closed = true
	requests := s.requests
	s.requests = map[uint64]*inflightRequest{}
	s.mu.Unlock()
	s.cond.Broadcast()
	for _, r := range requests {
		r.credit.close()
	}
	s.proxy.post(func(in *core.Inputs) {
		in.PeersDown = append(in.PeersDown, core.PeerDown{Peer: s.peer, Inbound: true, Stream: s.number})
	})
}

// heartbeatReplyTable matches the core's replies with the Heartbeat calls that wait
// for them.
type heartbeatReplyTable struct {
	mu      sync.Mutex
	waiters map[replyKey]chan membership.HeartbeatReply
}

// replyKey identifies the request of a peer that a reply answers.
type replyKey struct {
	vm       entity.VM
	sequence uint64
}

func (t *heartbeatReplyTable) wait(key replyKey) chan membership.HeartbeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiters == nil {
		t.waiters = map[replyKey]chan membership.HeartbeatReply{}
	}
	ch := make(chan membership.HeartbeatReply, 1)
	t.waiters[key] = ch
	return ch
}

func (t *heartbeatReplyTable) remove(key replyKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiters, key)
}

func (t *heartbeatReplyTable) deliver(r membership.HeartbeatReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := replyKey{r.To, r.Sequence}
	if ch, ok := t.waiters[key]; ok {
		ch <- r
		delete(t.waiters, key)
	}
}

// Heartbeat posts the heartbeat to the core and returns the core's reply.
func (s *peerServer) Heartbeat(ctx context.Context, m *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	p := s.proxy
	p.learnVMList(entity.VM(m.GetVm()), m.GetAddress())
	key := replyKey{entity.VM(m.GetVm()), m.GetSequence()}
	ch := p.heartbeatReplies.wait(key)
	defer p.heartbeatReplies.remove(key)
	request := membership.HeartbeatRequest{
		To:          p.self,
		From:        key.vm,
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		Members:     memberStates(m.GetMembers()),
		Draining:    m.GetDraining(),
		Probe:       m.GetProbe(),
		Digest:      m.GetDigest(),
	}
	p.post(func(in *core.Inputs) { in.Heartbeats = append(in.Heartbeats, request) })
	select {
	case r := <-ch:
		return &peerpb.HeartbeatResponse{
			Vm:           string(r.From),
			Incarnation:  r.Incarnation,
			Sequence:     r.Sequence,
			Members:      memberMessages(r.Members),
			Draining:     r.Draining,
			GrantMs:      uint32(r.Grant.Milliseconds()),
			AllDatabases: r.AllDatabases,
		}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Drain starts a graceful shutdown of this proxy and returns at once.
func (s *peerServer) Drain(context.Context, *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	s.proxy.Drain()
	return &peerpb.DrainResponse{Draining: true}, nil
}
