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

// peerServer serves the peers' protocol.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	proxy *Proxy
}

// inboundStream is the stream on which an entry forwards requests to this node.
type inboundStream struct {
	proxy *Proxy
	peer  entity.VM

	mu    sync.Mutex
	cond  *sync.Cond
	queue []outbound
	// rows has the open requests by the entry's handle.
	rows map[uint64]*liveRequest
	over bool
}

// Forward takes the requests of one entry.
func (s *peerServer) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetVm() == "" {
		return status.Error(codes.InvalidArgument, "the first message must name the VM")
	}
	in := &inboundStream{proxy: s.proxy, peer: entity.VM(first.GetVm()), rows: map[uint64]*liveRequest{}}
	in.cond = sync.NewCond(&in.mu)
	go in.sendLoop(stream)
	defer in.close()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		in.receive(m)
	}
}

func (s *inboundStream) receive(m *peerpb.ForwardRequest) {
	switch body := m.GetBody().(type) {
	case *peerpb.ForwardRequest_Request:
		s.request(m.GetHandle(), body.Request)
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

func (s *inboundStream) get(remote uint64) (*liveRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[remote]
	return r, ok
}

func (s *inboundStream) request(remote uint64, m *peerpb.Request) {
	p := s.proxy
	r := &liveRequest{
		handle:  entity.Handle(p.nextHandle.Add(1)),
		request: m,
		arrived: time.Now(),
		origin:  s,
		remote:  remote,
	}
	r.credit.init()
	s.mu.Lock()
	s.rows[remote] = r
	s.mu.Unlock()
	p.live.add(r)
	arrival := arrivalOf(r)
	arrival.ForwardedBy = s.peer
	p.post(func(in *core.Inputs) { in.Arrivals = append(in.Arrivals, arrival) })
}

// chunk sends a part of the answer once the caller has taken enough of what
// was sent before.
func (s *inboundStream) chunk(r *liveRequest, data []byte) error {
	if !r.credit.take(len(data)) {
		return context.Canceled
	}
	s.push(outbound{remote: r.remote, chunk: append([]byte(nil), data...)})
	return nil
}

func (s *inboundStream) finish(r *liveRequest, a answer) {
	r.credit.close()
	s.mu.Lock()
	delete(s.rows, r.remote)
	s.mu.Unlock()
	s.push(outbound{remote: r.remote, answer: &a})
}

// outbound is a message to an entry: a part of an answer or its end.
type outbound struct {
	remote uint64
	chunk  []byte
	answer *answer
}

// message encodes the message when it leaves.
func (o *outbound) message(now entity.Time) *peerpb.ForwardResponse {
	if o.answer == nil {
		return &peerpb.ForwardResponse{Handle: o.remote, Body: &peerpb.ForwardResponse_Chunk{Chunk: o.chunk}}
	}
	o.answer.expire(now)
	outcome := outcomeMessage(o.answer)
	return &peerpb.ForwardResponse{Handle: o.remote, Body: &peerpb.ForwardResponse_Outcome{Outcome: outcome}}
}

func outcomeMessage(a *answer) *peerpb.Outcome {
	o := &peerpb.Outcome{
		Kind:         outcomeKinds[a.result.Kind],
		Reason:       a.result.Reason,
		RetryAfterMs: uint32(a.result.RetryAfter.Milliseconds()),
		Position:     &peerpb.Position{Term: a.result.Position.Term, Offset: a.result.Position.Offset},
	}
	if a.result.Kind == core.ResultDone {
		o.Tail = a.tail
	}
	if a.result.InTransaction {
		o.TransactionStatus = 'T'
	}
	return o
}

var outcomeKinds = [...]peerpb.Outcome_Kind{
	core.ResultDone:            peerpb.Outcome_KIND_DONE,
	core.ResultNotRun:          peerpb.Outcome_KIND_NOT_RUN,
	core.ResultUnknown:         peerpb.Outcome_KIND_UNKNOWN,
	core.ResultWriteLost:       peerpb.Outcome_KIND_WRITE_LOST,
	core.ResultAlreadyExecuted: peerpb.Outcome_KIND_ALREADY_EXECUTED,
	core.ResultNotOwner:        peerpb.Outcome_KIND_NOT_OWNER,
}

// resultKind is the reverse of outcomeKinds. A kind that this version does not
// know counts as unknown.
func resultKind(k peerpb.Outcome_Kind) core.ResultKind {
	for kind, o := range outcomeKinds {
		if o == k {
			return core.ResultKind(kind)
		}
	}
	return core.ResultUnknown
}

func (s *inboundStream) push(m outbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.queue = append(s.queue, m)
	s.cond.Signal()
}

func (s *inboundStream) sendLoop(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) {
	for {
		batch, ok := s.take()
		if !ok {
			return
		}
		for i := range batch {
			if err := stream.Send(batch[i].message(s.proxy.now())); err != nil {
				return
			}
		}
	}
}

func (s *inboundStream) take() ([]outbound, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.over {
		s.cond.Wait()
	}
	if s.over {
		return nil, false
	}
	batch := s.queue
	s.queue = nil
	return batch, true
}

// close ends the stream: what its callers have open here is rolled back.
func (s *inboundStream) close() {
	s.mu.Lock()
	s.over = true
	rows := s.rows
	s.rows = map[uint64]*liveRequest{}
	s.mu.Unlock()
	s.cond.Broadcast()
	for _, r := range rows {
		r.credit.close()
	}
	s.proxy.post(func(in *core.Inputs) {
		in.PeersDown = append(in.PeersDown, core.PeerDown{Peer: s.peer, Inbound: true})
	})
}

// replyTable matches the core's replies to heartbeats with the calls that wait.
type replyTable struct {
	mu   sync.Mutex
	rows map[replyKey]chan membership.HeartbeatReply
}

type replyKey struct {
	vm       entity.VM
	sequence uint64
}

func (t *replyTable) wait(key replyKey) chan membership.HeartbeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[replyKey]chan membership.HeartbeatReply{}
	}
	ch := make(chan membership.HeartbeatReply, 1)
	t.rows[key] = ch
	return ch
}

func (t *replyTable) remove(key replyKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

func (t *replyTable) deliver(r membership.HeartbeatReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := replyKey{r.To, r.Sequence}
	if ch, ok := t.rows[key]; ok {
		ch <- r
		delete(t.rows, key)
	}
}

// Heartbeat hands the heartbeat to the core and returns its reply.
func (s *peerServer) Heartbeat(ctx context.Context, m *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	p := s.proxy
	p.learnList(entity.VM(m.GetVm()), m.GetAddress())
	key := replyKey{entity.VM(m.GetVm()), m.GetSequence()}
	ch := p.replies.wait(key)
	defer p.replies.remove(key)
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

// Drain starts a graceful shutdown.
func (s *peerServer) Drain(context.Context, *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	s.proxy.Drain()
	return &peerpb.DrainResponse{Draining: true}, nil
}
