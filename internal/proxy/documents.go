package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/documents"
)

// documentRelay runs the docsync protocol: a few VMs watch the store for
// documents, and all VMs exchange them with their peers.
type documentRelay struct {
	proxy *Proxy
	table *documents.Table
	// exchangeTimeout bounds one call to a peer.
	exchangeTimeout time.Duration

	mu   sync.Mutex
	sync *docsync.Sync
	// wake makes run tick and reset its timer.
	wake chan struct{}
	// replyWaiters holds the channels of peers' Documents calls that wait.
	replyWaiters map[replyKey]chan docsync.Reply
	// stopWatch ends the watch of the store; nil if this VM does not watch it.
	stopWatch context.CancelFunc
}

func newDocumentRelay(p *Proxy) *documentRelay {
	cfg := docsync.DefaultConfig(p.self, p.options.Settings.AvailabilityZone)
	r := &documentRelay{
		proxy:           p,
		exchangeTimeout: cfg.ExchangeTimeout,
		sync:            docsync.New(cfg, p.config.Seed),
		wake:            make(chan struct{}, 1),
		replyWaiters:    map[replyKey]chan docsync.Reply{},
	}
	r.table = documents.NewTable(p.applyDocument)
	return r
}

func (p *Proxy) applyDocument(d documents.ActiveDocument) {
	if err := p.PutDocument(d.Document, d.Revision); err != nil {
		p.logDocumentFailure("apply_document", "", err)
	}
}

func (p *Proxy) logDocumentFailure(step, peer string, err error) {
	p.logFailure("document_problem", step, peer, err)
}

// PutDocument puts a document into force. On an error the previous document
// stays in force.
func (p *Proxy) PutDocument(doc *config.Document, revision uint64) error {
	service, err := doc.CoreService(revision)
	if err != nil {
		return err
	}
	p.topology.putDocument(doc)
	p.postService(service)
	return nil
}

// run ticks the relay until the context ends.
func (r *documentRelay) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		next := r.step(ctx, func(now entity.Time) { r.sync.Tick(now) })
		timer.Reset(max(0, next.Sub(r.proxy.now())))
	}
}

// step applies a change to the docsync state and executes its output. It returns
// the time of the next tick.
func (r *documentRelay) step(ctx context.Context, change func(now entity.Time)) entity.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.proxy.now())
	r.execute(ctx, r.sync.Ready())
	r.startOrStopWatch(ctx)
	return r.sync.NextTick()
}

// update runs a step outside run's goroutine and wakes run, which resets its timer.
func (r *documentRelay) update(change func(now entity.Time)) {
	r.step(r.proxy.context, change)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *documentRelay) execute(ctx context.Context, out docsync.Output) {
	for _, d := range out.Applied {
		if err := r.table.Offer(d.Service, d.Revision, d.Value); err != nil {
			r.proxy.logDocumentFailure("offer_document", "", err)
		}
	}
	for _, refusal := range out.Refusals {
		r.proxy.reportRefusal(refusal)
	}
	for _, reply := range out.Replies {
		if ch, ok := r.replyWaiters[replyKey{reply.To, reply.Sequence}]; ok {
			ch <- reply
		}
	}
	for _, request := range out.Requests {
		go r.exchange(ctx, request)
	}
}

// startOrStopWatch starts or stops the watch of the store, as docsync decides.
func (r *documentRelay) startOrStopWatch(ctx context.Context) {
	watching := r.sync.Watching()
	if watching == (r.stopWatch != nil) {
		return
	}
	if !watching {
		r.stopWatch()
		r.stopWatch = nil
		return
	}
	ctx, r.stopWatch = context.WithCancel(ctx)
	go r.watch(ctx)
}

// watch passes documents from the store to the relay until the context ends.
func (r *documentRelay) watch(ctx context.Context) {
	watcher := &documents.Watcher{
		Store:    r.proxy.options.Store,
		Sink:     storeSink{r},
		OnError:  func(err error) { r.proxy.logDocumentFailure("watch_documents", platformPeer, err) },
		OnSynced: func() { r.update(r.sync.StepWatchSynced) },
		Backoff:  documents.NewWatchBackoff(r.proxy.config.Seed),
	}
	_ = watcher.Run(ctx)
}

// storeSink receives the documents of the store's watch.
type storeSink struct{ relay *documentRelay }

// Offer passes a document to the relay. It returns no error: the relay reports
// the documents that it refuses.
func (s storeSink) Offer(service string, revision uint64, value []byte) error {
	value = documents.WithoutHistory(value)
	s.relay.update(func(now entity.Time) {
		s.relay.sync.StepWatch(now, docsync.Document{Service: service, Revision: revision, Value: value})
	})
	return nil
}

func (r *documentRelay) setPeers(peers []docsync.Peer) {
	r.update(func(now entity.Time) { r.sync.SetPeers(now, peers) })
}

// exchange sends one request to a peer and passes the reply to docsync, or
// reports that the peer did not reply.
func (r *documentRelay) exchange(ctx context.Context, q docsync.Request) {
	ctx, cancel := context.WithTimeout(ctx, r.exchangeTimeout)
	defer cancel()
	response, err := r.call(ctx, &q)
	if err != nil {
		r.proxy.logFailure("document_exchange_failed", "exchange_documents", string(q.To), err)
		r.update(func(now entity.Time) { r.sync.ReportUnresponsive(now, q.To) })
		return
	}
	reply := documentsReply(response)
	reply.To = r.proxy.self
	r.update(func(now entity.Time) { r.sync.StepReply(now, reply) })
}

func (r *documentRelay) call(ctx context.Context, q *docsync.Request) (*peerpb.DocumentsResponse, error) {
	conn, err := r.proxy.peers.client(q.To).connection()
	if err != nil {
		return nil, err
	}
	response, err := peerpb.NewPeerClient(conn).Documents(ctx, documentsRequestMessage(q))
	if err != nil {
		return nil, oops.With("step", "exchange_documents", "peer", string(q.To)).Wrap(err)
	}
	return response, nil
}

// Documents answers one request of a peer's document exchange.
func (s *peerServer) Documents(ctx context.Context, m *peerpb.DocumentsRequest) (*peerpb.DocumentsResponse, error) {
	r := s.proxy.documents
	request := documentsRequest(m)
	request.To = s.proxy.self
	key := replyKey{request.From, request.Sequence}
	ch := make(chan docsync.Reply, 1)
	r.setReplyWaiter(key, ch)
	defer r.setReplyWaiter(key, nil)
	r.update(func(now entity.Time) { r.sync.StepRequest(now, request) })
	select {
	case reply := <-ch:
		return documentsResponseMessage(&reply), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-s.proxy.done:
		return nil, status.Error(codes.Unavailable, "the proxy has shut down")
	}
}

// setReplyWaiter registers the channel that receives a reply; nil removes it.
func (r *documentRelay) setReplyWaiter(key replyKey, ch chan docsync.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch == nil {
		delete(r.replyWaiters, key)
		return
	}
	r.replyWaiters[key] = ch
}
