package model

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

var allCuts = flag.Bool("cuts.all", false, "TestTransactionCutBetweenMessages plays all durations")

// transactionCut is a failure at one time of a transaction's run.
type transactionCut struct {
	name string
	// inject starts the failure; w.Heal ends the cuts, end anything else.
	inject func(w *World, caller, owner *Proxy, duration time.Duration)
	end    func(w *World, owner *Proxy)
}

var transactionCuts = []transactionCut{
	{name: "owner and primary from the rest", inject: func(w *World, _, owner *Proxy, _ time.Duration) { w.Isolate("u1", owner.Name()) }},
	{name: "caller's proxy and primary from the rest", inject: func(w *World, caller, _ *Proxy, _ time.Duration) { w.Isolate("u1", caller.Name()) }},
	{name: "caller's proxy from owner", inject: func(w *World, caller, owner *Proxy, _ time.Duration) { w.Cut(caller.Name(), owner.Name()) }},
	{name: "owner from primary", inject: func(w *World, _, owner *Proxy, _ time.Duration) { w.Cut(owner.Name(), "u1") }},
	{name: "primary from the rest", inject: func(w *World, _, _ *Proxy, _ time.Duration) { w.Isolate("u1") }},
	{name: "owner from the rest", inject: func(w *World, _, owner *Proxy, _ time.Duration) { w.Isolate(owner.Name()) }},
	{name: "connections of the owner reset", inject: func(w *World, _, owner *Proxy, _ time.Duration) { owner.ResetConnections(w.Members[0]) }},
	{name: "connections of the owner silent", inject: func(w *World, _, owner *Proxy, _ time.Duration) { owner.BlackholeConnections(w.Members[0]) }},
	{
		name:   "owner paused",
		inject: func(_ *World, _, owner *Proxy, _ time.Duration) { owner.Pause() },
		end:    func(_ *World, owner *Proxy) { owner.Resume() },
	},
	{name: "stream to the owner broken", inject: func(w *World, caller, owner *Proxy, duration time.Duration) {
		if caller != owner {
			w.BreakStream(caller, owner, duration)
		}
	}},
	{name: "stream to the owner broken and primary killed", inject: func(w *World, caller, owner *Proxy, duration time.Duration) {
		w.Members[0].Kill()
		if caller != owner {
			w.BreakStream(caller, owner, duration)
		}
	}},
	{name: "primary killed", inject: func(w *World, _, _ *Proxy, _ time.Duration) { w.Members[0].Kill() }},
}

// cutRun is one run of a transaction with a cut.
type cutRun struct {
	forwarded bool
	retries   bool
	cut       *transactionCut
	// at is the time of the cut, duration the time until it ends.
	at       entity.Time
	duration time.Duration
}

// followers is the number of transactions that the session runs after the one that is
// cut. Late messages of that one meet them.
const followers = 4

// play runs the transaction and those that follow it. It returns the cluster.
func (r *cutRun) play() *World {
	cfg := Olarizu(5)
	cfg.Proxies, cfg.Lag = 3, 20*time.Millisecond
	w := New(cfg)
	w.Run(3 * time.Second)
	owner := w.owner()
	caller := owner
	if r.forwarded {
		caller = w.Proxies[(owner.index+1)%len(w.Proxies)]
	}
	s := w.NewSession(false)
	writeTransactions(w, s, caller, 1, false)
	w.Run(time.Second)
	if r.cut == nil {
		w.recordsMessages = true
		w.WriteTwoRows(s, caller, ClassSafeOrder, func(Outcome) { w.recordsMessages = false })
		w.Run(time.Second)
		return w
	}
	w.after(r.at.Sub(w.Now), func() { r.cut.inject(w, caller, owner, r.duration) })
	w.after(r.at.Add(r.duration).Sub(w.Now), func() {
		w.Heal()
		if r.cut.end != nil {
			r.cut.end(w, owner)
		}
	})
	writeTransactions(w, s, caller, 1+followers, r.retries)
	w.Run(8 * time.Second)
	return w
}

// writeTransactions runs n transactions of the session, one after the other. With
// retries, each with an unknown outcome is sent once more.
func writeTransactions(w *World, s *Session, proxy *Proxy, n int, retries bool) {
	if n == 0 {
		return
	}
	next := func(Outcome) { writeTransactions(w, s, proxy, n-1, retries) }
	var op *Op
	op = w.WriteTwoRows(s, proxy, ClassSafeOrder, func(o Outcome) {
		if retries && o.Result.Kind == core.ResultUnknown {
			w.Retry(op, proxy, next)
			return
		}
		next(o)
	})
}

// Guards against a ledger transaction of which one row is committed without the other,
// or with a row of another transaction: the cluster is cut between any two messages of
// the transaction, and the caller goes on with further transactions. All combinations of
// cut, time, duration, path and retry are played; -cuts.all adds durations.
func TestTransactionCutBetweenMessages(t *testing.T) {
	durations := []time.Duration{100 * time.Millisecond, time.Second}
	if *allCuts {
		for _, ms := range []int{20, 300, 600, 1500, 2000, 4000} {
			durations = append(durations, time.Duration(ms)*time.Millisecond)
		}
	}
	for _, forwarded := range []bool{false, true} {
		times := (&cutRun{forwarded: forwarded}).play().messageTimes
		times = slices.Compact(times)
		t.Logf("forwarded %t: %d times of messages", forwarded, len(times))
		for i := range transactionCuts {
			cut := &transactionCuts[i]
			t.Run(fmt.Sprintf("%s, forwarded %t", cut.name, forwarded), func(t *testing.T) {
				runs, acks := 0, 0
				for k := range times[:len(times)-1] {
					at := times[k] + (times[k+1]-times[k])/2
					for _, duration := range durations {
						for _, retries := range []bool{false, true} {
							r := cutRun{forwarded: forwarded, retries: retries, cut: cut, at: at, duration: duration}
							w := r.play()
							w.CheckFinalState()
							runs++
							acks += len(w.checks.acks)
							for _, v := range w.Violations() {
								t.Errorf("cut after message %d for %s, retries %t: %s", k, duration, retries, v)
							}
						}
					}
				}
				t.Logf("%d runs, %d acknowledged transactions", runs, acks)
				assert.Assert(t, acks > runs)
			})
		}
	}
}
