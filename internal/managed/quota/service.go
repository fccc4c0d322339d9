package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	core "skylarkhinge.dev/skylarkhinge/core/quota"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Peer is a proxy of the fleet.
type Peer struct {
	VM entity.VM
	// Address is its HTTP address.
	Address string
}

// Options are the dependencies of a Service.
type Options struct {
	Self       entity.VM
	Parameters core.Parameters
	// Now returns the time since boot.
	Now func() entity.Time
	// Peers returns the listed proxies, including this one once it is listed.
	Peers func() []Peer
	// Limits returns the quota of an organisation in the configuration in effect.
	Limits    func(organisation.Name) (core.Limits, bool)
	Transport Transport
	// Changed is called when operations of an organisation begin or cease to be refused.
	Changed func(core.Change)
	// Failed is called when a proxy did not answer a request.
	Failed func(vm entity.VM, err error)
}

// updateInterval is the interval at which the list of proxies is read.
const updateInterval = 200 * time.Millisecond

// Service decides on operations of organisations with a quota. It is safe for concurrent
// use.
type Service struct {
	options Options

	mu   sync.Mutex
	node *core.Node
	// addresses are those of listed and recently listed proxies, with the time of the last
	// listing.
	addresses map[entity.VM]knownAddress
	// datagrams is nil if requests use HTTP only.
	datagrams *datagrams
	waiters   map[core.Ticket]chan core.Outcome
	replies   map[core.ReplyID]chan core.Reply
	lastReply core.ReplyID
	refusals  topRefusals
	timer     *time.Timer
	wakeAt    entity.Time
	updateAt  entity.Time
	stopped   bool
	ctx       context.Context
	cancel    context.CancelFunc
}

type knownAddress struct {
	address string
	at      entity.Time
}

// addressRetention is how long the address of a proxy that is no longer listed is kept. It
// exceeds the time for which a removed proxy stays a candidate.
const addressRetention = 20 * time.Second

// New returns a Service that has not been started.
func New(options Options) *Service {
	s := &Service{
		options:   options,
		node:      core.NewNode(options.Self, options.Parameters, options.Limits),
		addresses: map[entity.VM]knownAddress{},
		waiters:   map[core.Ticket]chan core.Outcome{},
		replies:   map[core.ReplyID]chan core.Reply{},
		refusals:  newTopRefusals(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start begins to ask and to answer other proxies. It must be called once.
func (s *Service) Start() {
	s.mu.Lock()
	s.timer = time.AfterFunc(0, s.wake)
	s.mu.Unlock()
}

// ListenDatagrams makes the service use UDP at an address for short messages. It must be
// called before Start, and all proxies listen at the addresses of their HTTP servers.
func (s *Service) ListenDatagrams(address string) error {
	d, err := listenDatagrams(address, s.Receive)
	if err != nil {
		return err
	}
	s.datagrams = d
	return nil
}

// ask sends a request over UDP, and over HTTP if it is too long or seems to be lost.
func (s *Service) ask(ctx context.Context, address string, request *core.Request) (core.Answer, error) {
	if s.datagrams != nil {
		answer, err := s.datagrams.ask(ctx, address, request)
		if !errors.Is(err, errTooLong) && !errors.Is(err, errDatagramLost) {
			return answer, err
		}
	}
	return s.options.Transport.Ask(ctx, address, request)
}

// Stop cancels requests in flight and refuses waiting operations.
func (s *Service) Stop() {
	s.cancel()
	if s.datagrams != nil {
		// The socket is not used again, so the error is ignored.
		_ = s.datagrams.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	for ticket, waiter := range s.waiters {
		delete(s.waiters, ticket)
		waiter <- core.Outcome{Ticket: ticket}
	}
}

func limitsOf(o *organisation.Organisation) core.Limits {
	return core.Limits{Rate: o.Rate, Burst: o.Burst}
}

// Admit reports whether an operation of an organisation may run. Urgent ones get tokens
// first. It waits for up to maxWait.
// If the operation must not run, retryAfter is the time after which it may.
func (s *Service) Admit(o *organisation.Organisation, urgent bool, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	if o == nil || !o.Limited {
		return true, 0
	}
	at := s.options.Now()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return false, 0
	}
	decision, ticket, retryAfter := s.node.Admit(at, o.Name, limitsOf(o), urgent, maxWait)
	var waiter chan core.Outcome
	if decision == core.Waiting {
		waiter = make(chan core.Outcome, 1)
		s.waiters[ticket] = waiter
	}
	if decision == core.Refused {
		s.refusals.add(o.Name)
	}
	s.unlock(at)
	if decision != core.Waiting {
		return decision == core.Admitted, retryAfter
	}
	outcome := <-waiter
	if !outcome.Admitted {
		s.mu.Lock()
		s.refusals.add(o.Name)
		s.mu.Unlock()
	}
	return outcome.Admitted, outcome.RetryAfter
}

// Charge takes a token for a repetition of an operation that may have reached an upstream.
// If there is none, the next token granted pays for it.
func (s *Service) Charge(o *organisation.Organisation) {
	if o == nil || !o.Limited {
		return
	}
	at := s.options.Now()
	s.mu.Lock()
	s.node.Charge(at, o.Name, limitsOf(o))
	s.unlock(at)
}

// wake does what is due and sets the timer.
func (s *Service) wake() {
	at := s.options.Now()
	var peers []Peer
	s.mu.Lock()
	due := at >= s.updateAt
	s.mu.Unlock()
	if due {
		peers = s.options.Peers()
	}
	s.mu.Lock()
	if due {
		s.updateAt = at.Add(updateInterval)
		s.update(at, peers)
	}
	s.wakeAt = s.node.Wake(at)
	if !s.stopped {
		s.timer.Reset(s.wakeAt.Sub(at))
	}
	s.unlock(at)
}

// update passes the listed proxies that can be asked to the node. The mutex is held.
func (s *Service) update(at entity.Time, peers []Peer) {
	listed := make([]entity.VM, 0, len(peers))
	for _, p := range peers {
		if p.Address != "" {
			listed = append(listed, p.VM)
			s.addresses[p.VM] = knownAddress{p.Address, at}
		}
	}
	for vm, known := range s.addresses {
		if at.Sub(known.at) > addressRetention {
			delete(s.addresses, vm)
		}
	}
	s.node.Update(at, listed)
}

// unlock carries out the effects of the node's decisions and unlocks the mutex.
func (s *Service) unlock(at entity.Time) {
	effects := s.node.TakeEffects()
	for _, o := range effects.Outcomes {
		if waiter, ok := s.waiters[o.Ticket]; ok {
			delete(s.waiters, o.Ticket)
			waiter <- o
		}
	}
	for _, r := range effects.Replies {
		if reply, ok := s.replies[r.ID]; ok {
			delete(s.replies, r.ID)
			reply <- r
		}
	}
	for i := range effects.Sends {
		send := &effects.Sends[i]
		go s.call(send, s.addresses[send.To].address)
	}
	if len(s.waiters) > 0 && s.timer != nil && !s.stopped {
		if due := s.node.NextDue(at); due < s.wakeAt {
			s.wakeAt = due
			s.timer.Reset(due.Sub(at))
		}
	}
	s.mu.Unlock()
	for _, change := range effects.Changes {
		s.options.Changed(change)
	}
}

var errNoAddress = errors.New("the proxy's address is not known")

// call sends a request and reports its answer to the node.
func (s *Service) call(send *core.Send, address string) {
	var answer core.Answer
	err := errNoAddress
	if address != "" {
		ctx, cancel := context.WithTimeout(s.ctx, send.Timeout)
		answer, err = s.ask(ctx, address, &send.Request)
		cancel()
	}
	at := s.options.Now()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.node.Answered(at, send.ID, &answer, err == nil)
	s.unlock(at)
	if err != nil {
		s.options.Failed(send.To, err)
	}
}

// Receive answers a request of another proxy. ok is false if it was to be passed on and the
// proxy that it is for cannot be reached.
func (s *Service) Receive(ctx context.Context, request *core.Request) (answer core.Answer, ok bool) {
	at := s.options.Now()
	reply := make(chan core.Reply, 1)
	s.mu.Lock()
	s.lastReply++
	id := s.lastReply
	s.replies[id] = reply
	s.node.Receive(at, id, request)
	s.unlock(at)
	select {
	case r := <-reply:
		return r.Answer, r.OK
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.replies, id)
		s.mu.Unlock()
		return core.Answer{}, false
	}
}

// Statistics are the counters of a Service.
type Statistics struct {
	core.Counters
	// Granted is the number of tokens granted as a limiter.
	Granted uint64
	// Refusals are the refused operations of the organisations with the most of them, and
	// the rest under an empty name.
	Refusals []Refusals
}

// Statistics returns the counters since the start.
func (s *Service) Statistics() Statistics {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, granted := s.node.Counters()
	return Statistics{total, granted, s.refusals.top()}
}
