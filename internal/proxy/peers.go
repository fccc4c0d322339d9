package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// peerBackoff is the backoff of reconnects to a peer.
var peerBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	// peerConnectTimeout bounds the time to connect to a peer. It is no longer than
	// membership.Config.SuspectAfter, after which a silent peer is skipped as owner.
	peerConnectTimeout = 500 * time.Millisecond
	// heartbeatTimeout bounds the wait for the reply to a heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// maxPeerMessageBytes bounds one gRPC message between proxies.
	maxPeerMessageBytes = 64 << 20
)

// peerTable holds the clients to other proxies.
type peerTable struct {
	proxy   *Proxy
	mu      sync.Mutex
	clients map[entity.VM]*peerClient
}

func newPeerTable(p *Proxy) *peerTable {
	return &peerTable{proxy: p, clients: map[entity.VM]*peerClient{}}
}

// client returns the client of a peer. If the peer's address has changed, it
// closes the old client and makes a new one.
func (t *peerTable) client(vm entity.VM) *peerClient {
	address, _ := t.proxy.topology.proxyAddress(vm)
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clients[vm]
	if ok && c.address == address {
		return c
	}
	if ok {
		go c.close()
	}
	c = newPeerClient(t.proxy, vm, address)
	t.clients[vm] = c
	return c
}

func (t *peerTable) all() []*peerClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*peerClient, 0, len(t.clients))
	for _, c := range t.clients {
		out = append(out, c)
	}
	return out
}

func (t *peerTable) close() {
	for _, c := range t.all() {
		c.close()
	}
}

// forward sends an open request to its owner.
func (t *peerTable) forward(f *core.Forward) {
	r, ok := t.proxy.inflight.get(f.Handle)
	if !ok {
		return
	}
	r.request.Class = f.Class
	r.request.TimeoutMs = uint32(max(1, f.Timeout.Milliseconds()))
	t.client(f.Peer).forward(r)
}

// cancel cancels a request at the peer that it was forwarded to, if any.
func (t *peerTable) cancel(h entity.Handle) {
	for _, c := range t.all() {
		c.cancel(h)
	}
}

// sendCallerClosed tells all peers with a stream that a caller's transaction is
// abandoned.
func (t *peerTable) sendCallerClosed(id entity.CallerID, transaction uint64) {
	for _, c := range t.all() {
		c.sendCallerClosed(id, transaction)
	}
}

// executeHeartbeats sends heartbeats and replies, and closes the streams to lost
// peers, as the core decided.
func (t *peerTable) executeHeartbeats(out *core.Outputs) {
	for _, vm := range out.PeersLost {
		t.client(vm).endStream()
	}
	for _, r := range out.Heartbeats {
		go t.client(r.To).sendHeartbeat(r)
	}
	for _, r := range out.Replies {
		t.proxy.heartbeatReplies.deliver(r)
	}
}

// peerClient is the connection to one peer, with the stream of requests that
// are forwarded to it.
type peerClient struct {
	proxy   *Proxy
	vm      entity.VM
	address string

	mu     sync.Mutex
	conn   *grpc.ClientConn
	stream *forwardStream
}

func newPeerClient(p *Proxy, vm entity.VM, address string) *peerClient {
	return &peerClient{proxy: p, vm: vm, address: address}
}

func (c *peerClient) close() {
	c.mu.Lock()
	conn, stream := c.conn, c.stream
	c.conn, c.stream = nil, nil
	c.mu.Unlock()
	if stream != nil {
		stream.cancel()
	}
	if conn != nil {
		conn.Close()
	}
}

func (c *peerClient) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connectionLocked()
}

func (c *peerClient) connectionLocked() (*grpc.ClientConn, error) {
	if c.conn != nil {
		return c.conn, nil
	}
	if c.address == "" {
		return nil, oops.With("step", "dial_peer", "peer", string(c.vm)).Errorf("the platform's list of VMs has no address of the peer")
	}
	conn, err := grpc.NewClient("passthrough:///"+c.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes), grpc.MaxCallSendMsgSize(maxPeerMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: peerBackoff, MinConnectTimeout: peerConnectTimeout}))
	if err != nil {
		return nil, oops.With("step", "dial_peer", "peer", string(c.vm)).Wrap(err)
	}
	c.conn = conn
	return conn, nil
}

// forward sends the request on the client's stream and opens one if needed.
func (c *peerClient) forward(r *inflightRequest) {
	c.mu.Lock()
	s := c.stream
	if s == nil {
		s = newForwardStream(c)
		c.stream = s
		go s.run()
	}
	c.mu.Unlock()
	s.forward(r)
}

func (c *peerClient) currentStream() *forwardStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream
}

func (c *peerClient) cancel(h entity.Handle) {
	if s := c.currentStream(); s != nil && s.isOpen(h) {
		s.send(&peerpb.ForwardRequest{Handle: uint64(h), Body: &peerpb.ForwardRequest_Cancel{Cancel: &peerpb.Cancel{}}})
	}
}

func (c *peerClient) sendCallerClosed(id entity.CallerID, transaction uint64) {
	if s := c.currentStream(); s != nil {
		closed := &peerpb.ConnectionClosed{Connection: uint64(id), Transaction: transaction}
		s.send(&peerpb.ForwardRequest{Body: &peerpb.ForwardRequest_ConnectionClosed{ConnectionClosed: closed}})
	}
}

// dropStream removes a stream that ended, so that the next request opens another.
func (c *peerClient) dropStream(s *forwardStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == s {
		c.stream = nil
	}
}

// sendHeartbeat sends one heartbeat and posts the reply to the core.
func (c *peerClient) sendHeartbeat(r membership.HeartbeatRequest) {
	conn, err := c.connection()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	response, err := peerpb.NewPeerClient(conn).Heartbeat(ctx, heartbeatMessage(&r, c.proxy.advertisedAddress()))
	if err != nil {
		c.proxy.logFailure("heartbeat_failed", "heartbeat", string(c.vm), err)
		return
	}
	reply := membership.HeartbeatReply{
		To:          c.proxy.self,
		From:        entity.VM(response.GetVm()),
		Incarnation: response.GetIncarnation(),
		Sequence:    response.GetSequence(),
		Members:     memberStates(response.GetMembers()),
		Draining:    response.GetDraining(),
		Grant:       time.Duration(response.GetGrantMs()) * time.Millisecond,
	}
	reply.AllDatabases = response.GetAllDatabases()
	c.proxy.post(func(in *core.Inputs) { in.Replies = append(in.Replies, reply) })
}

// endStream closes the stream to a peer that no longer responds.
func (c *peerClient) endStream() {
	if s := c.currentStream(); s != nil {
		s.cancel()
	}
}

func heartbeatMessage(r *membership.HeartbeatRequest, address string) *peerpb.HeartbeatRequest {
	m := &peerpb.HeartbeatRequest{
		Vm:          string(r.From),
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Draining:    r.Draining,
		Probe:       r.Probe,
		Digest:      r.Digest,
		Address:     address,
	}
	m.Members = memberMessages(r.Members)
	return m
}

func memberMessages(members []membership.MemberState) []*peerpb.MemberState {
	out := make([]*peerpb.MemberState, 0, len(members))
	for _, s := range members {
		out = append(out, &peerpb.MemberState{Vm: string(s.VM), Incarnation: s.Incarnation, Draining: s.Draining})
	}
	return out
}

func memberStates(members []*peerpb.MemberState) []membership.MemberState {
	out := make([]membership.MemberState, 0, len(members))
	for _, m := range members {
		out = append(out, membership.MemberState{VM: entity.VM(m.GetVm()), Incarnation: m.GetIncarnation(), Draining: m.GetDraining()})
	}
	return out
}

// forwardStream is the stream on which this proxy forwards requests to one owner.
type forwardStream struct {
	client *peerClient
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	cond *sync.Cond
	// queue holds the messages to send, openRequests the requests without a
	// result, and sentRequests those of them that were taken from the queue.
	queue        []*peerpb.ForwardRequest
	openRequests map[entity.Handle]*inflightRequest
	sentRequests map[entity.Handle]bool
	closed       bool
}

func newForwardStream(c *peerClient) *forwardStream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &forwardStream{client: c, ctx: ctx, cancel: cancel, openRequests: map[entity.Handle]*inflightRequest{}, sentRequests: map[entity.Handle]bool{}}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *forwardStream) isOpen(h entity.Handle) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.openRequests[h]
	return ok
}

func (s *forwardStream) forward(r *inflightRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.client.proxy.postPeerResult(s.client.vm, r, core.ResultNotOwner, "peer_unreachable")
		return
	}
	s.openRequests[r.handle] = r
	r.chunkQueue.deliver = func(data []byte) { s.deliverChunk(r, data) }
	s.queue = append(s.queue, &peerpb.ForwardRequest{
		Handle: uint64(r.handle),
		Body:   &peerpb.ForwardRequest_Request{Request: r.request},
	})
	s.cond.Signal()
}

func (s *forwardStream) send(m *peerpb.ForwardRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.queue = append(s.queue, m)
		s.cond.Signal()
	}
}

// run serves the stream until it breaks, then fails its open requests.
func (s *forwardStream) run() {
	err := s.serve()
	s.failOpenRequests()
	s.client.dropStream(s)
	c := s.client
	c.proxy.observer.metrics.CountPeerStreamEnded()
	c.proxy.logFailure("peer_stream_ended", "forward", string(c.vm), err)
	c.proxy.post(func(in *core.Inputs) { in.PeersDown = append(in.PeersDown, core.PeerDown{Peer: c.vm}) })
}

func (s *forwardStream) serve() error {
	defer s.cancel()
	conn, err := s.client.connection()
	if err != nil {
		return err
	}
	if err := waitForConnection(s.ctx, conn); err != nil {
		return err
	}
	stream, err := peerpb.NewPeerClient(conn).Forward(s.ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&peerpb.ForwardRequest{Vm: string(s.client.proxy.self)}); err != nil {
		return err
	}
	go s.sendLoop(stream)
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		s.handleResponse(m)
	}
}

// waitForConnection waits until the connection is ready, for at most
// peerConnectTimeout: an unreachable peer may not respond at all.
func waitForConnection(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, peerConnectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return nil
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return oops.With("step", "connect_peer").Errorf("peer connection not ready within %s", peerConnectTimeout)
		}
	}
}

func (s *forwardStream) sendLoop(stream grpc.BidiStreamingClient[peerpb.ForwardRequest, peerpb.ForwardResponse]) {
	go func() {
		<-s.ctx.Done()
		s.mu.Lock()
		s.closed = true
		s.cond.Broadcast()
		s.mu.Unlock()
	}()
	for {
		messages, ok := s.nextMessages()
		if !ok {
			return
		}
		for _, m := range messages {
			if err := stream.Send(m); err != nil {
				s.cancel()
				return
			}
		}
	}
}

// nextMessages waits for messages to send and takes them all from the queue. It
// reports false if the stream has ended.
func (s *forwardStream) nextMessages() ([]*peerpb.ForwardRequest, bool) {
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
	for _, m := range messages {
		if m.GetRequest() != nil {
			s.sentRequests[entity.Handle(m.GetHandle())] = true
		}
	}
	return messages, true
}

func (s *forwardStream) handleResponse(m *peerpb.ForwardResponse) {
	h := entity.Handle(m.GetHandle())
	s.mu.Lock()
	r, ok := s.openRequests[h]
	if ok && m.GetOutcome() != nil {
		delete(s.openRequests, h)
		delete(s.sentRequests, h)
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	switch body := m.GetBody().(type) {
	case *peerpb.ForwardResponse_Chunk:
		s.enqueueChunk(r, body.Chunk)
	case *peerpb.ForwardResponse_Outcome:
		s.handleOutcome(r, body.Outcome)
	}
}

// enqueueChunk adds a part of the response to the request's own queue, so that a
// slow caller does not hold up the stream.
func (s *forwardStream) enqueueChunk(r *inflightRequest, data []byte) {
	r.chunkQueue.enqueue(data)
}

// deliverChunk sends a chunk to the origin, then grants the owner credit for as
// many bytes. If the origin does not take the chunk, the request is cancelled.
func (s *forwardStream) deliverChunk(r *inflightRequest, data []byte) {
	r.markStreamed()
	if err := r.origin.sendChunk(r, data); err != nil {
		s.send(&peerpb.ForwardRequest{Handle: uint64(r.handle), Body: &peerpb.ForwardRequest_Cancel{Cancel: &peerpb.Cancel{}}})
	}
	s.send(&peerpb.ForwardRequest{Handle: uint64(r.handle), Body: &peerpb.ForwardRequest_CreditBytes{CreditBytes: uint32(len(data))}})
}

// handleOutcome posts the result of a request once its chunks are delivered.
func (s *forwardStream) handleOutcome(r *inflightRequest, o *peerpb.Outcome) {
	r.chunkQueue.finish(func() {
		result := core.PeerResult{
			Handle:        r.handle,
			Peer:          s.client.vm,
			Kind:          resultKind(o.GetKind()),
			Reason:        o.GetReason(),
			RetryAfter:    time.Duration(o.GetRetryAfterMs()) * time.Millisecond,
			Position:      entity.Position{Term: o.GetPosition().GetTerm(), Offset: o.GetPosition().GetOffset()},
			InTransaction: o.GetTransactionStatus() == 'T',
			Streamed:      r.wasStreamed(),
		}
		r.setTail(o.GetTail())
		s.client.proxy.post(func(in *core.Inputs) { in.PeerResults = append(in.PeerResults, result) })
	})
}

// failOpenRequests gives a result to the requests that have none. Those that were
// not sent did not run; the outcome of the others is unknown.
func (s *forwardStream) failOpenRequests() {
	s.mu.Lock()
	s.closed = true
	openRequests, sentRequests := s.openRequests, s.sentRequests
	s.openRequests, s.sentRequests, s.queue = map[entity.Handle]*inflightRequest{}, map[entity.Handle]bool{}, nil
	s.mu.Unlock()
	handles := make([]entity.Handle, 0, len(openRequests))
	for h := range openRequests {
		handles = append(handles, h)
	}
	slices.Sort(handles)
	for _, h := range handles {
		r := openRequests[h]
		kind, reason := core.ResultNotOwner, "peer_unreachable"
		if sentRequests[h] {
			kind, reason = core.ResultUnknown, core.ReasonPeerLost
		}
		r.chunkQueue.finish(func() { s.client.proxy.postPeerResult(s.client.vm, r, kind, reason) })
	}
}

// postPeerResult posts a result of a forwarded request that the peer did not send.
func (p *Proxy) postPeerResult(peer entity.VM, r *inflightRequest, kind core.ResultKind, reason string) {
	result := core.PeerResult{Handle: r.handle, Peer: peer, Kind: kind, Reason: reason, Streamed: r.wasStreamed()}
	p.post(func(in *core.Inputs) { in.PeerResults = append(in.PeerResults, result) })
}
