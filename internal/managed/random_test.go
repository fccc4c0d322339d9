package managed_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

var (
	randomSeed  = flag.Uint64("random.seed", 1, "first seed of TestRandomFailures")
	randomSeeds = flag.Int("random.seeds", 2, "number of seeds of TestRandomFailures")
)

// randomTime is how long one seed plays faults.
const randomTime = 6 * time.Second

// writerState is what a writer knows of its item: the values it writes grow.
type writerState struct {
	item string
	// sent is the newest value sent, acked the newest one acknowledged.
	sent  atomic.Int64
	acked atomic.Int64
	mu    sync.Mutex
	// history has the acknowledged values with their times.
	history []ackedValue
}

type ackedValue struct {
	value int64
	at    time.Time
}

// ackedBefore returns the newest value that was acknowledged before an instant.
func (w *writerState) ackedBefore(at time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.history) - 1; i >= 0; i-- {
		if w.history[i].at.Before(at) {
			return w.history[i].value
		}
	}
	return 0
}

// outcome is how a write ended for its caller.
type outcome struct {
	id   string
	code managed.Code
}

// randomWorld is a fleet under random faults with callers that check what they get.
type randomWorld struct {
	*fleet
	random  *rand.Rand
	writers []*writerState
	stop    time.Time
	wait    sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
	served   atomic.Int64
	faults   []string
}

// promises are the codes that promise that nothing was kept.
var promises = map[managed.Code]bool{
	managed.CodeBusy: true, managed.CodeAborted: true, managed.CodeLagging: true, managed.CodeReadOnly: true,
	managed.CodeMisrouted: true, managed.CodeConnectionLimit: true,
}

func (w *randomWorld) note(r result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, outcome{r.id, r.code})
}

// write runs a writer that never has two writes under way. A caller reconnects
// after a broken connection.
func (w *randomWorld) write(state *writerState, n *node, database string, transactions bool) {
	defer w.wait.Done()
	c := w.join(n, database)
	if c == nil {
		return
	}
	for time.Now().Before(w.stop) {
		value := state.sent.Add(1)
		text := fmt.Sprintf("WRITE %s %d", state.item, value)
		var r result
		if transactions {
			r = w.writeInTransaction(c, text)
		} else {
			r = c.query(text)
			w.note(r)
		}
		if r.code == managed.CodeNone {
			w.served.Add(1)
			state.mu.Lock()
			state.acked.Store(value)
			state.history = append(state.history, ackedValue{value, time.Now()})
			state.mu.Unlock()
			w.checkOwn(c, state, database, value)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// join opens a session, nil if that fails. Without a configuration a proxy refuses
// it for now.
func (w *randomWorld) join(n *node, database string) *caller {
	for {
		c, refused := n.connect(w.t, database)
		if refused == nil {
			return c
		}
		if refused.Code != managed.CodeBusy || time.Now().After(w.stop) {
			w.t.Errorf("session for %s: %v", database, refused)
			return nil
		}
	}
}

func (w *randomWorld) writeInTransaction(c *caller, text string) result {
	c.query("BEGIN")
	r := c.query(text)
	if r.code != managed.CodeNone {
		// The transaction's end is what counts; it rolls back.
		c.query("ROLLBACK")
		return r
	}
	return c.query("COMMIT")
}

// checkOwn reads the session's own write.
func (w *randomWorld) checkOwn(c *caller, state *writerState, database string, value int64) {
	if database != sessionDB {
		return
	}
	if r := c.query("READ " + state.item); r.code == managed.CodeNone && valueOf(r) < value {
		w.t.Errorf("session of %s reads %d after writing %d (%s)", state.item, valueOf(r), value, r.id)
	}
}

func valueOf(r result) int64 {
	if len(r.rows) != 1 || r.rows[0] == "none" {
		return 0
	}
	n, err := strconv.ParseInt(r.rows[0], 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// read runs a reader that checks the age of what it gets.
func (w *randomWorld) read(n *node, database string, age time.Duration, seed uint64) {
	defer w.wait.Done()
	random := rand.New(rand.NewPCG(seed, 1))
	c := w.join(n, database)
	if c == nil {
		return
	}
	for time.Now().Before(w.stop) {
		state := w.writers[random.IntN(len(w.writers))]
		must := state.ackedBefore(time.Now().Add(-age))
		r := c.query("READ " + state.item)
		if r.code == managed.CodeNone {
			w.served.Add(1)
			if got := valueOf(r); got < must {
				w.t.Errorf("%s reader reads %s=%d, acknowledged %v ago was %d (%s)", database, state.item, got, age, must, r.id)
			}
		}
		time.Sleep(time.Duration(random.IntN(12)) * time.Millisecond)
	}
}

// breakThings injects faults until the end and mends everything afterwards.
func (w *randomWorld) breakThings() {
	for time.Now().Before(w.stop) {
		m := w.group.Member(w.random.IntN(3))
		pause := time.Duration(50+w.random.IntN(900)) * time.Millisecond
		kind := w.random.IntN(10)
		w.faults = append(w.faults, fmt.Sprintf("%d:%s:%s", kind, m.ID, pause))
		switch kind {
		case 0:
			if w.random.IntN(3) > 0 {
				m = w.group.Leader()
			}
			m.Crash()
			time.Sleep(2 * pause)
			if err := m.Restart(); err != nil {
				w.t.Error(err)
			}
		case 1:
			m.SetSilent(true)
			time.Sleep(pause)
			m.SetSilent(false)
		case 2:
			m.SetDeaf(true)
			time.Sleep(pause)
			m.SetDeaf(false)
		case 3:
			m.SetLag(time.Duration(500+w.random.IntN(3500)) * time.Millisecond)
		case 4:
			m.DropAnswers(1 + w.random.IntN(4))
		case 5:
			w.store.SetFault(standin.StoreFault(1 + w.random.IntN(3)))
			time.Sleep(pause)
			w.store.SetFault(standin.StoreWell)
		case 6:
			w.store.Compact()
		case 7:
			w.configure()
		case 8:
			m.SetLag(0)
		case 9:
			w.crashBehindDeafReplica(m, pause)
		}
		time.Sleep(time.Duration(w.random.IntN(300)) * time.Millisecond)
	}
	for i := range 3 {
		w.group.Member(i).SetLag(0)
	}
}

// crashBehindDeafReplica ends the primary while a replica lacks its last commits.
func (w *randomWorld) crashBehindDeafReplica(m *standin.Member, pause time.Duration) {
	leader := w.group.Leader()
	if m == leader {
		m = w.group.Member((w.random.IntN(2) + 1) % 3)
	}
	m.SetDeaf(true)
	time.Sleep(300 * time.Millisecond)
	leader.Crash()
	time.Sleep(pause)
	m.SetDeaf(false)
	time.Sleep(2 * pause)
	if err := leader.Restart(); err != nil {
		w.t.Error(err)
	}
}

// check judges by what the upstreams ran.
func (w *randomWorld) check() {
	committed := map[string]int{}
	owners := map[int]string{}
	for _, r := range w.group.Runs() {
		if r.Committed && strings.HasPrefix(r.Text, "WRITE") {
			committed[r.ID]++
		}
		if r.Transaction == 0 {
			continue
		}
		owner := r.ID[:strings.LastIndex(r.ID, "-")]
		if known, ok := owners[r.Transaction]; ok && known != owner {
			w.t.Errorf("transaction %d has statements of %s and %s", r.Transaction, known, owner)
		}
		owners[r.Transaction] = owner
	}
	for id, n := range committed {
		if n > 1 {
			w.t.Errorf("write %s took effect %d times", id, n)
		}
	}
	for _, o := range w.outcomes {
		if promises[o.code] && committed[o.id] > 0 {
			w.t.Errorf("write %s was refused with %s and took effect", o.id, o.code)
		}
	}
	if lost := w.group.Lost(); len(lost) > 0 {
		w.t.Errorf("promotions rolled back acknowledged commits %v", lost)
	}
}

// Guards against any broken promise under random faults of upstreams and store:
// stale reads, lost or repeated writes, refused writes that took effect, mixed
// transactions, and a fleet that does not recover. It runs in real time, so a
// seed fixes the faults and not the interleaving.
func TestRandomFailures(t *testing.T) {
	for i := range *randomSeeds {
		seed := *randomSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runRandom(t, seed) })
	}
}

func runRandom(t *testing.T, seed uint64) {
	w := &randomWorld{fleet: newFleet(t, 3), random: rand.New(rand.NewPCG(seed, 0)), stop: time.Now().Add(randomTime)}
	for i := range 6 {
		w.writers = append(w.writers, &writerState{item: fmt.Sprintf("w%d", i)})
	}
	for i, state := range w.writers {
		w.wait.Add(1)
		go w.write(state, w.nodes[i%3], []string{strictDB, sessionDB, strictDB}[i%3], i >= 3)
	}
	for i := range 9 {
		w.wait.Add(1)
		database, age := strictDB, time.Duration(0)
		if i%3 != 0 {
			database, age = []string{"", boundedDB, sessionDB}[i%3], time.Second
		}
		go w.read(w.nodes[i/3], database, age, seed*100+uint64(i))
	}
	w.breakThings()
	w.wait.Wait()
	c := w.nodes[0].open(t, strictDB)
	c.eventually(failoverLimit, "WRITE final 1")
	w.check()
	t.Logf("seed %d: %d served, promotions %d, faults %v", seed, w.served.Load(), len(w.store.Promotions()), w.faults)
}
