package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	controlpb "skylarkhinge.dev/skylarkhinge/api/control/v1"
)

// Options configure a member. Empty addresses mean a free port on loopback.
type Options struct {
	Name string
	// Database is the only database that is served; empty means any name.
	Database       string
	Address        string
	ControlAddress string
	// Primary makes the member the primary of term 1.
	Primary bool
	// Peers are the control addresses of the other members. A member that
	// starts as primary replicates to them, as does a promoted one if the
	// promotion names no members.
	Peers []string
	// MaxConnections bounds the open sessions, Slots the statements that run
	// concurrently; 0 means no limit.
	MaxConnections int
	Slots          int
	// SetupDelay is the delay until a new session is ready.
	SetupDelay time.Duration
	// ServiceTime is how long each statement occupies its slot.
	ServiceTime time.Duration
	// Lag is the replication lag; see SetLag.
	Lag time.Duration
	// Snapshot is the durable state of an earlier run. It overrides Primary.
	Snapshot *Snapshot
	Log      logrus.FieldLogger
}

// Member is a running member of a database group.
type Member struct {
	options          Options
	log              logrus.FieldLogger
	state            *state
	faults           *faults
	freezeGate       gate
	slots            *slots
	connectionLimit  connectionLimit
	serviceTimeNanos atomic.Int64
	callers          *listener
	control          *listener
	grpc             *grpc.Server
	ctx              context.Context
	stop             context.CancelFunc
	wg               sync.WaitGroup

	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	peers   []string
	nextPID uint32
	// replicationTargets holds the targets for which replicateTo was started.
	replicationTargets map[replicationTarget]bool
	sessions           map[uint32]*session
}

// firstTerm is the term in which a group starts.
const firstTerm = 1

// initialPromoter is the recorded promoter of firstTerm, which starts without a
// promotion.
const initialPromoter = "initial"

func initialSnapshot(options Options) Snapshot {
	if options.Snapshot != nil {
		return *options.Snapshot
	}
	return Snapshot{
		Term:     firstTerm,
		Promoter: initialPromoter,
		Primary:  options.Primary,
		History:  []Position{{Term: firstTerm}},
	}
}

// Start starts the member, which runs until Close.
func Start(options Options) (*Member, error) {
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	m := &Member{
		options:            options,
		log:                options.Log.WithField("member", options.Name),
		state:              newState(initialSnapshot(options)),
		faults:             newFaults(),
		slots:              newSlots(options.Slots),
		connectionLimit:    connectionLimit{size: options.MaxConnections},
		peers:              options.Peers,
		sessions:           map[uint32]*session{},
		replicationTargets: map[replicationTarget]bool{},
	}
	m.serviceTimeNanos.Store(int64(options.ServiceTime))
	if err := m.SetLag(options.Lag); err != nil {
		return nil, err
	}
	if err := m.listen(); err != nil {
		return nil, err
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.serve()
	return m, nil
}

func (m *Member) listen() error {
	callers, err := listenLoopback(m.options.Address)
	if err != nil {
		return err
	}
	control, err := listenLoopback(m.options.ControlAddress)
	if err != nil {
		_ = callers.Close()
		return err
	}
	m.callers = newListener(callers, &m.freezeGate)
	m.control = newListener(control, &m.freezeGate)
	return nil
}

func listenLoopback(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("upstream").With("step", "listen", "address", address).Wrap(err)
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return nil, oops.In("upstream").With("step", "listen").Errorf("address %s is not on loopback", address)
	}
	return l, nil
}

func (m *Member) serve() {
	m.grpc = grpc.NewServer()
	controlpb.RegisterUpstreamControlServer(m.grpc, &controlServer{member: m})
	m.grpc.RegisterService(&replicationDesc, m)
	m.background(func() { _ = m.grpc.Serve(m.control) })
	m.background(m.acceptCallers)
	if m.isPrimaryOf(m.state.Term) {
		m.replicate(m.state.Term, m.peers)
	}
}

// background runs a function in a goroutine that Close waits for. After Close
// it does nothing.
func (m *Member) background(run func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.wg.Go(run)
}

func (m *Member) acceptCallers() {
	for {
		accepted, err := m.callers.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.WithError(err).Error("accept failed")
			return
		}
		m.mu.Lock()
		m.nextPID++
		s := newSession(m, accepted, m.nextPID)
		m.mu.Unlock()
		m.background(s.serve)
	}
}

// addSession registers a session within the connection limit, after the setup
// delay.
func (m *Member) addSession(s *session, database string) error {
	if !m.connectionLimit.acquire() {
		return &Error{Code: "53300", Message: "sorry, too many clients already", Fatal: true}
	}
	if err := m.prepareSession(database); err != nil {
		m.connectionLimit.release()
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s.pid] = s
	return nil
}

// prepareSession checks the database name and waits for the setup delay.
func (m *Member) prepareSession(database string) error {
	if m.options.Database != "" && database != m.options.Database {
		return &Error{Code: "3D000", Message: fmt.Sprintf("database %q does not exist", database), Fatal: true}
	}
	return sleep(m.ctx, m.options.SetupDelay)
}

func (m *Member) removeSession(s *session) {
	m.connectionLimit.release()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.pid)
}

// cancelSession serves a cancel request.
func (m *Member) cancelSession(pid uint32, secret []byte) {
	m.mu.Lock()
	s := m.sessions[pid]
	m.mu.Unlock()
	if s != nil {
		s.cancelStatement(secret)
	}
}

func (m *Member) serviceTime() time.Duration { return time.Duration(m.serviceTimeNanos.Load()) }

// SetServiceTime changes how long each statement occupies its slot.
func (m *Member) SetServiceTime(d time.Duration) { m.serviceTimeNanos.Store(int64(d)) }

// SetSlots changes the number of statements that run concurrently; 0 means no
// limit.
func (m *Member) SetSlots(n int) { m.slots.resize(n) }

// Name returns the member's name.
func (m *Member) Name() string { return m.options.Name }

// Address returns the PostgreSQL address.
func (m *Member) Address() string { return m.callers.Addr().String() }

// ControlAddress returns the address of the control service.
func (m *Member) ControlAddress() string { return m.control.Addr().String() }

// Status returns the member's role, term, positions and history.
func (m *Member) Status() Status { return m.state.status(m.Name()) }

// Snapshot returns the durable state, with which the member can be restarted.
func (m *Member) Snapshot() Snapshot { return m.state.snapshot() }

// SetPeers sets the control addresses of the other members and starts
// replication to them if the member is primary.
func (m *Member) SetPeers(addresses []string) {
	m.mu.Lock()
	m.peers = addresses
	m.mu.Unlock()
	if status := m.Status(); status.Primary {
		m.replicate(status.Term, addresses)
	}
}

// Fence raises the term on behalf of a promoter and ends the member's role as
// primary. It reports whether the promoter is accepted: each term has one
// promoter.
func (m *Member) Fence(term uint64, promoter string) bool {
	accepted := m.state.fence(term, promoter)
	m.log.WithFields(logrus.Fields{"term": term, "promoter": promoter, "accepted": accepted}).Info("fence")
	return accepted
}

// Promote makes the member the primary of the term in which the promoter
// fenced it. members are the control addresses of the other members.
func (m *Member) Promote(term uint64, promoter string, members []string) bool {
	accepted, started := m.state.promote(term, promoter)
	m.log.WithFields(logrus.Fields{"term": term, "promoter": promoter, "accepted": accepted}).Info("promote")
	if !started {
		return accepted
	}
	if len(members) == 0 {
		m.mu.Lock()
		members = m.peers
		m.mu.Unlock()
	}
	m.replicate(term, members)
	return true
}

// Close stops the member at once, like a killed process.
func (m *Member) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
	m.freezeGate.setClosed(false)
	m.callers.closeAll()
	m.control.closeAll()
	m.grpc.Stop()
	m.wg.Wait()
}

// Executions counts the changes of a key, which is a row's key or a request id.
type Executions struct {
	// Executed counts the statements that changed the key on this member,
	// whether they were committed or not.
	Executed int `json:"executed"`
	// Committed counts the changes of the key in the member's log.
	Committed int `json:"committed"`
}

// Executions returns the counts for a key.
func (m *Member) Executions(key string) Executions {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	out := Executions{Executed: m.state.executionCounts[key]}
	for _, entry := range m.state.Entries {
		for _, op := range entry.Ops {
			if op.Key == key {
				out.Committed++
			}
		}
	}
	return out
}

// Committed returns the transactions in the member's log, oldest first. Entries
// that only start a term are left out.
func (m *Member) Committed() []Entry {
	var out []Entry
	for _, entry := range m.state.snapshot().Entries {
		if len(entry.Ops) > 0 {
			out = append(out, entry)
		}
	}
	return out
}

// Counters are a member's counts of connections and statements.
type Counters struct {
	Connections      int `json:"connections"`
	PeakConnections  int `json:"peak_connections"`
	TotalConnections int `json:"total_connections"`
	Running          int `json:"running"`
	PeakRunning      int `json:"peak_running"`
	// Statements counts the statements that were granted a slot.
	Statements int `json:"statements"`
}

// Counters returns the current counts.
func (m *Member) Counters() Counters {
	m.connectionLimit.mu.Lock()
	out := Counters{Connections: m.connectionLimit.open, PeakConnections: m.connectionLimit.peak, TotalConnections: m.connectionLimit.total}
	m.connectionLimit.mu.Unlock()
	m.slots.mu.Lock()
	defer m.slots.mu.Unlock()
	out.Running, out.PeakRunning, out.Statements = m.slots.running, m.slots.peak, m.slots.totalGranted
	return out
}
