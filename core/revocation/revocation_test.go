package revocation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against waits that leave no time for a failed call before the configuration
// expires, and against a wait that stays long although the age is high.
func TestPolicy(t *testing.T) {
	p := NewPolicy(5 * time.Second)
	assert.Equal(t, p.MaxAge, 4800*time.Millisecond)
	assert.Equal(t, p.WatchWait, 1440*time.Millisecond)
	assert.Equal(t, p.PollWait, 600*time.Millisecond)
	assert.Assert(t, !p.Expired(p.MaxAge) && p.Expired(p.MaxAge+1) && p.Expired(Never))
	assert.Equal(t, p.WaitForWatch(p.WatchWait), p.WatchWait)
	assert.Equal(t, p.WaitForWatch(Never), p.minWait)
	assert.Equal(t, p.WaitForPoll(2*p.WatchWait), p.PollWait)
	assert.Equal(t, p.WaitForPoll(Never), p.minWait)
	assert.Assert(t, !p.Overdue(2*p.WatchWait) && p.Overdue(p.MaxAge*3/4))
}

// Guards against a configuration that was never confirmed and looks recent because the VM
// has just booted, and against answers that set the clock back or have no known age.
func TestClock(t *testing.T) {
	var c Clock
	assert.Equal(t, c.Age(1), Never)
	assert.Assert(t, !c.Confirm(50, 60) && !c.Confirm(50, -1) && !c.Confirm(50, Never))
	assert.Assert(t, c.Confirm(50, 0) && !c.Confirm(60, 20))
	assert.Equal(t, c.Age(80), time.Duration(30))
	assert.Equal(t, c.Age(40), time.Duration(0))
}

const modelTimeout = 5 * time.Second

// answer is a message to a proxy. It shows the version at its source, which confirmed it
// with the given age. sent is the time of the question by the receiver's clock.
type answer struct {
	to, version int
	sent        entity.Time
	age         time.Duration
}

// modelProxy is a proxy of the model. Its clock differs from the store's by offset.
type modelProxy struct {
	offset    time.Duration
	version   int
	clock     Clock
	suspended bool
}

// question is a call that waits for its answer. from is -1 for the store.
type question struct {
	from, by int
	sent     entity.Time
}

type model struct {
	now entity.Time
	// acknowledged has the time at which the store acknowledged each version.
	acknowledged []entity.Time
	proxies      []*modelProxy
	questions    []question
	answers      []answer
}

func (m *model) local(i int) entity.Time { return m.now.Add(m.proxies[i].offset) }

// ask sends a question, which arrives at once or later.
func (m *model) ask(t *rapid.T, q question) {
	if rapid.Bool().Draw(t, "at_once") {
		m.serve(q)
		return
	}
	m.questions = append(m.questions, q)
}

// serve answers a question with the state that its source has now. A suspended source
// answers later.
func (m *model) serve(q question) {
	if q.from >= 0 && m.proxies[q.from].suspended {
		m.questions = append(m.questions, q)
		return
	}
	a := answer{to: q.by, sent: q.sent, version: len(m.acknowledged) - 1}
	if q.from >= 0 {
		source := m.proxies[q.from]
		a.version, a.age = source.version, source.clock.Age(m.local(q.from))
	}
	m.answers = append(m.answers, a)
}

// receive applies an answer as a proxy does: what it shows takes effect first, and an
// older version confirms nothing.
func (m *model) receive(a answer) {
	p := m.proxies[a.to]
	if a.version < p.version {
		return
	}
	p.version = a.version
	p.clock.Confirm(a.sent, a.age)
}

// check verifies that a proxy whose configuration has not expired has every version that
// the store acknowledged before the revocation timeout.
func (m *model) check(t *rapid.T) {
	policy := NewPolicy(modelTimeout)
	for i, p := range m.proxies {
		if policy.Expired(p.clock.Age(m.local(i))) {
			continue
		}
		for version, at := range m.acknowledged {
			if m.now.Sub(at) > modelTimeout && p.version < version {
				t.Fatalf("proxy %d has version %d, version %d was acknowledged %s ago", i, p.version, version, m.now.Sub(at))
			}
		}
	}
}

// take removes an arbitrary element, so that messages are reordered and delayed.
func take[T any](t *rapid.T, list *[]T, label string) T {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, label)
	chosen := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return chosen
}

// Guards against a key that is still accepted after the revocation timeout: with two
// watchers that disagree or lag, proxies that ask them or one another, messages that are
// lost, delayed and reordered, suspended proxies, and clocks with different origins.
func TestNoOldConfigurationIsCurrent(t *testing.T) {
	// An error that needs a rare order of events is found with several hundred checks.
	const runs = 30
	for range runs {
		rapid.Check(t, checkModel)
	}
}

// checkModel plays one random run of the model.
func checkModel(t *rapid.T) {
	const watchers = 2
	m := &model{now: entity.Time(time.Hour), acknowledged: []entity.Time{0}}
	for range rapid.IntRange(watchers+1, 5).Draw(t, "proxies") {
		offset := rapid.IntRange(-1000, 1000).Draw(t, "offset_s")
		m.proxies = append(m.proxies, &modelProxy{offset: time.Duration(offset) * time.Second})
	}
	anyProxy := func(t *rapid.T, label string) int { return rapid.IntRange(0, len(m.proxies)-1).Draw(t, label) }
	t.Repeat(map[string]func(*rapid.T){
		"": m.check,
		"put": func(*rapid.T) {
			m.acknowledged = append(m.acknowledged, m.now)
		},
		"watch": func(t *rapid.T) {
			by := rapid.IntRange(0, watchers-1).Draw(t, "watcher")
			m.ask(t, question{-1, by, m.local(by)})
		},
		"poll": func(t *rapid.T) {
			by := anyProxy(t, "by")
			m.ask(t, question{anyProxy(t, "from"), by, m.local(by)})
		},
		"serve": func(t *rapid.T) {
			if len(m.questions) > 0 {
				m.serve(take(t, &m.questions, "question"))
			}
		},
		"receive": func(t *rapid.T) {
			if len(m.answers) > 0 {
				a := take(t, &m.answers, "answer")
				if m.proxies[a.to].suspended {
					m.answers = append(m.answers, a)
					return
				}
				m.receive(a)
			}
		},
		"lose": func(t *rapid.T) {
			if len(m.answers) > 0 {
				take(t, &m.answers, "lost")
			}
		},
		"suspend": func(t *rapid.T) {
			p := m.proxies[anyProxy(t, "suspended")]
			p.suspended = !p.suspended
		},
		"wait": func(t *rapid.T) {
			wait := rapid.SampledFrom([]int{1, 200, 1500, 4801, 5001}).Draw(t, "wait_ms")
			m.now = m.now.Add(time.Duration(wait) * time.Millisecond)
		},
	})
}
