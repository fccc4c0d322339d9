package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
	core "skylarkhinge.dev/skylarkhinge/core/quota"
)

// fault is how a proxy fails to answer.
type fault int

const (
	// silent proxies do not receive requests.
	silent fault = iota + 1
	// losesAnswers proxies handle requests, but their answers are lost.
	losesAnswers
	// slow proxies answer after the timeout of a request.
	slow
)

// fleet is a number of services that reach each other through a Transport with faults.
type fleet struct {
	mu       sync.Mutex
	services map[string]*Service
	faults   map[string]fault
	listed   []Peer
	// skip is added to the clock.
	skip    atomic.Int64
	changes atomic.Int64
}

func (f *fleet) now() entity.Time {
	return entity.Time(time.Since(testStart) + time.Second + time.Duration(f.skip.Load()))
}

var testStart = time.Now()

func (f *fleet) peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Peer(nil), f.listed...)
}

func (f *fleet) Ask(ctx context.Context, address string, request *core.Request) (core.Answer, error) {
	f.mu.Lock()
	s, fault := f.services[address], f.faults[address]
	f.mu.Unlock()
	if s == nil || fault == silent {
		<-ctx.Done()
		return core.Answer{}, ctx.Err()
	}
	answer, ok := s.Receive(ctx, request)
	if fault == losesAnswers || fault == slow {
		<-ctx.Done()
		return core.Answer{}, ctx.Err()
	}
	if !ok {
		return core.Answer{}, errors.New("not relayed")
	}
	return answer, nil
}

func (f *fleet) setFault(s *Service, kind fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[string(s.options.Self)] = kind
}

func (f *fleet) start(t testing.TB, vm entity.VM) *Service {
	f.mu.Lock()
	f.listed = append(f.listed, Peer{vm, string(vm)})
	f.mu.Unlock()
	s := New(Options{
		Self: vm, Parameters: core.Parameters{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Now: f.now, Peers: f.peers, Transport: f,
		Limits:  func(organisation.Name) (core.Limits, bool) { return core.Limits{}, false },
		Changed: func(core.Change) { f.changes.Add(1) },
		Failed:  func(entity.VM, error) {},
	})
	f.mu.Lock()
	f.services[string(vm)] = s
	f.mu.Unlock()
	s.Start()
	t.Cleanup(s.Stop)
	return s
}

// newFleet starts services that have been running for long enough to be limiters.
func newFleet(t testing.TB, count int) (*fleet, []*Service) {
	f := &fleet{services: map[string]*Service{}, faults: map[string]fault{}}
	services := make([]*Service, count)
	for i := range services {
		services[i] = f.start(t, entity.VM(fmt.Sprintf("vm-%d", i)))
	}
	time.Sleep(10 * time.Millisecond)
	for _, s := range services {
		s.refresh()
	}
	f.skip.Store(int64(time.Minute))
	time.Sleep(2 * core.TickInterval)
	return f, services
}

// refresh reads the list of proxies again.
func (s *Service) refresh() {
	s.mu.Lock()
	s.updateAt = 0
	s.mu.Unlock()
	s.wake()
}

func org(rate, burst float64) *organisation.Organisation {
	return &organisation.Organisation{Name: "press", Limited: true, Rate: rate, Burst: burst}
}

// limiterOf returns the service that grants the tokens of an organisation.
func limiterOf(t testing.TB, services []*Service, o *organisation.Organisation) (limiter *Service, others []*Service) {
	ok, _ := services[0].Admit(o, false, time.Second)
	assert.Assert(t, ok)
	for _, s := range services {
		if s.Statistics().Granted > 0 {
			limiter = s
		} else {
			others = append(others, s)
		}
	}
	assert.Assert(t, limiter != nil)
	return limiter, others
}

// admitFor tries operations until some time has passed and returns the number admitted.
func admitFor(s *Service, o *organisation.Organisation, d, maxWait time.Duration) (admitted int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if ok, retryAfter := s.Admit(o, false, maxWait); ok {
			admitted++
		} else {
			time.Sleep(min(retryAfter, 20*time.Millisecond))
		}
	}
	return admitted
}

// Guards against operations that stay refused, or wait without end, after the limiter died or
// became too slow.
func TestLimiterFails(t *testing.T) {
	for _, kind := range []fault{silent, slow} {
		f, services := newFleet(t, 5)
		o := org(200, 50)
		limiter, others := limiterOf(t, services, o)
		f.setFault(limiter, kind)
		began := time.Now()
		deadline := began.Add(2 * time.Second)
		var ok bool
		for !ok && time.Now().Before(deadline) {
			sent := time.Now()
			ok, _ = others[1].Admit(o, false, 100*time.Millisecond)
			assert.Assert(t, time.Since(sent) < time.Second, time.Since(sent))
		}
		assert.Assert(t, ok, "no tokens %v after the limiter failed", time.Since(began))
	}
}

// Guards against tokens that are used although the answer was lost, and so the time of their
// lease is unknown.
func TestLostAnswers(t *testing.T) {
	f, services := newFleet(t, 3)
	o := org(100, 10)
	limiter, others := limiterOf(t, services, o)
	// The bucket refills, so that the limiter has tokens to grant.
	time.Sleep(100 * time.Millisecond)
	before := limiter.Statistics().Granted
	for _, s := range services {
		f.setFault(s, losesAnswers)
	}
	admitted := admitFor(others[0], o, 300*time.Millisecond, 50*time.Millisecond)
	// With both others out of reach, the holder may stand in as the limiter for itself.
	assert.Assert(t, uint64(admitted) <= others[0].Statistics().Granted)
	assert.Assert(t, limiter.Statistics().Granted > before)
}

// Guards against two limiters after a proxy joined that is the first candidate but unknown to
// others: it must not grant tokens while an older one does.
func TestNewLimiterHoldsBack(t *testing.T) {
	f, services := newFleet(t, 1)
	o := org(100, 10)
	limiterOf(t, services, o)
	var joined []*Service
	for i := range 6 {
		joined = append(joined, f.start(t, entity.VM(fmt.Sprintf("new-%d", i))))
	}
	for _, s := range append(joined, services...) {
		s.refresh()
	}
	for _, s := range joined {
		ok, retryAfter := s.Admit(o, false, time.Second)
		assert.Assert(t, ok, retryAfter)
	}
	for _, s := range joined {
		assert.Equal(t, s.Statistics().Granted, uint64(0))
	}
}

// Guards against an operation that waits although no token can arrive in time, a refusal
// without a time to retry, and more operations than the quota allows.
func TestOverTheLimit(t *testing.T) {
	f, services := newFleet(t, 3)
	o := org(20, 5)
	admitted, refused := 0, 0
	began := time.Now()
	for time.Since(began) < 600*time.Millisecond {
		for _, s := range services {
			ok, retryAfter := s.Admit(o, false, 10*time.Millisecond)
			if ok {
				admitted++
			} else {
				refused++
				assert.Assert(t, retryAfter > 0)
			}
		}
		time.Sleep(time.Millisecond)
	}
	waited := 0
	for _, s := range services {
		waited += int(s.Statistics().Waited)
	}
	assert.Assert(t, waited-admitted < refused/2, "%d of %d refused operations waited", waited-admitted, refused)
	assert.Assert(t, refused > 0)
	assert.Assert(t, admitted > 0 && admitted <= 40, "%d admitted", admitted)
	assert.Assert(t, f.changes.Load() >= 1)
}

// Guards against waiting operations that use up the memory of a proxy.
func TestWaitingOperationsAreBounded(t *testing.T) {
	f, services := newFleet(t, 2)
	o := org(100, 10)
	limiter, others := limiterOf(t, services, o)
	f.setFault(limiter, silent)
	var wait sync.WaitGroup
	var refused atomic.Int64
	for range 3000 {
		wait.Go(func() {
			if ok, _ := others[0].Admit(o, false, 100*time.Millisecond); !ok {
				refused.Add(1)
			}
		})
	}
	wait.Wait()
	assert.Assert(t, others[0].Statistics().Waited <= 2100, "%+v", others[0].Statistics())
	assert.Assert(t, refused.Load() > 1900)
}

// Guards against a repetition that is not charged: the next token pays for it.
func TestChargeWithoutTokens(t *testing.T) {
	_, services := newFleet(t, 1)
	o := org(10, 5)
	for range 10 {
		services[0].Charge(o)
	}
	ok, _ := services[0].Admit(o, false, 20*time.Millisecond)
	assert.Assert(t, !ok)
}

// Guards against messages that lose a field on the way, and a listing that operators cannot
// read.
func TestOverHTTP(t *testing.T) {
	f, services := newFleet(t, 2)
	o := org(100, 10)
	limiter, others := limiterOf(t, services, o)
	server := httptest.NewServer(limiter)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	request := core.Request{From: "vm-9", Wants: []core.Want{{
		Name: "press", Limits: core.Limits{Rate: 100, Burst: 10}, Tokens: 2, Past: []core.PastGrant{{By: "vm-8", Ago: time.Second}},
	}}}
	time.Sleep(50 * time.Millisecond)
	answer, err := NewHTTPTransport().Ask(context.Background(), address, &request)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, core.Answer{Grants: []core.Grant{{Tokens: 2, By: limiter.options.Self}}})
	body := encodeRequest(&request)
	assert.DeepEqual(t, body.decode(), request)

	f.setFault(others[0], silent)
	request.Relay = others[0].options.Self
	_, err = NewHTTPTransport().Ask(context.Background(), address, &request)
	assert.ErrorContains(t, err, "502")

	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer response.Body.Close()
	var rows []row
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&rows))
}

// Guards against a hot path that allocates for each operation.
func TestAdmitDoesNotAllocate(t *testing.T) {
	_, services := newFleet(t, 1)
	o := org(1e7, 1e6)
	// The first grants bring the estimate of the demand up, so that tokens are at hand.
	admitFor(services[0], o, 300*time.Millisecond, time.Second)
	s := services[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.options.Now()
	for range 100 {
		s.node.Admit(at, o.Name, limitsOf(o), false, time.Second)
	}
	s.node.TakeEffects()
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		if d, _, _ := s.node.Admit(at, o.Name, limitsOf(o), false, time.Second); d != core.Admitted {
			t.Error("not admitted")
		}
	}), 0.0)
}

func BenchmarkAdmit(b *testing.B) {
	_, services := newFleet(b, 1)
	o := org(1e8, 1e7)
	admitFor(services[0], o, 300*time.Millisecond, time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		services[0].Admit(o, false, time.Second)
	}
	b.ReportMetric(float64(services[0].Statistics().Waited), "waited")
}
