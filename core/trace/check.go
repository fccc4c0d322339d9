package trace

import (
	"fmt"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// Checker verifies a trace against rules that it evaluates on inputs and outputs
// alone, independently of the implementation of the core:
//   - A request has exactly one result.
//   - A request refused as not run was never dispatched, or its last dispatch was
//     rejected or not sent.
//   - A request that is not repeatable is dispatched again only in that case, or
//     with the ledger, which refuses a second execution.
//   - A write is done only after a probe round that started after the upstream's
//     response and that a majority answered, including the primary, with no higher
//     term.
type Checker struct {
	classes    map[string]core.Class
	databases  map[entity.Database]*databaseState
	open       map[entity.Handle]*requestState
	violations []error
	tick       int
}

// databaseState is what the trace shows of one database so far.
type databaseState struct {
	spec core.DatabaseSpec
	// roundStarts is the tick in which each probe round started.
	roundStarts map[group.RoundID]int
	// answers is the newest successful probe answer of each upstream.
	answers map[entity.Upstream]group.ProbeAnswer
}

// requestState is what the trace shows of one open request so far.
type requestState struct {
	arrival   core.Arrival
	forwarded bool
	answered  bool
	// answeredAt is the tick in which the upstream answered.
	answeredAt int
	// mayHaveRun is set if the last dispatch is not known to be rejected or not
	// sent.
	mayHaveRun bool
	finished   bool
}

// NewChecker returns a checker for one trace.
func NewChecker() *Checker {
	return &Checker{
		classes:   map[string]core.Class{},
		databases: map[entity.Database]*databaseState{},
		open:      map[entity.Handle]*requestState{},
	}
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []error { return c.violations }

func (c *Checker) addViolation(h entity.Handle, format string, args ...any) {
	c.violations = append(c.violations, fmt.Errorf("tick %d, request %d: %s", c.tick, h, fmt.Sprintf(format, args...)))
}

// Visit checks one tick. It always returns nil; see Violations.
func (c *Checker) Visit(_ entity.Time, in *core.Inputs, out *core.Outputs) error {
	c.tick++
	c.recordDocuments(in)
	c.recordProbeAnswers(in)
	c.recordCompletions(in)
	c.recordArrivals(in)
	c.checkDispatches(out)
	c.checkResults(out)
	c.recordProbeRounds(out)
	return nil
}

func (c *Checker) recordDocuments(in *core.Inputs) {
	for _, s := range in.Documents {
		for _, class := range s.Classes {
			c.classes[class.Name] = class
		}
		for _, db := range s.Databases {
			c.databases[db.Name] = &databaseState{
				spec:        db,
				roundStarts: map[group.RoundID]int{},
				answers:     map[entity.Upstream]group.ProbeAnswer{},
			}
		}
	}
}

func (c *Checker) recordArrivals(in *core.Inputs) {
	for _, a := range in.Arrivals {
		c.open[a.Handle] = &requestState{arrival: a}
	}
}

// recordProbeRounds records the tick in which each probe round starts. Rounds start
// before the inputs of the next tick.
func (c *Checker) recordProbeRounds(out *core.Outputs) {
	for _, p := range out.Probes {
		db := c.databases[p.Database]
		if _, ok := db.roundStarts[p.Round]; !ok {
			db.roundStarts[p.Round] = c.tick
		}
	}
}

func (c *Checker) recordProbeAnswers(in *core.Inputs) {
	for _, p := range in.Probes {
		db, ok := c.databases[p.Database]
		if ok && !p.Failed && p.Round > db.answers[p.Upstream].Round {
			db.answers[p.Upstream] = p.ProbeAnswer
		}
	}
}

func (c *Checker) recordCompletions(in *core.Inputs) {
	for _, p := range in.Completions {
		r, ok := c.open[p.Handle]
		if !ok {
			continue
		}
		switch p.Kind {
		case core.CompletionRejected, core.CompletionNotSent:
			r.mayHaveRun = false
		case core.CompletionAnswered, core.CompletionDuplicate:
			r.answered, r.answeredAt = true, c.tick
		}
	}
}

func (c *Checker) checkDispatches(out *core.Outputs) {
	for _, d := range out.Dispatches {
		r, ok := c.open[d.Handle]
		if !ok || r.finished {
			c.addViolation(d.Handle, "dispatched although it is not open")
			continue
		}
		if r.mayHaveRun && !c.class(r).Repeatable && !d.Ledger {
			c.addViolation(d.Handle, "dispatched again without proof that it did not run")
		}
		r.mayHaveRun = true
		r.answered = false
	}
	for _, f := range out.Forwards {
		if r, ok := c.open[f.Handle]; ok {
			r.forwarded = true
		}
	}
}

// class returns the class that a request names, else that of its user, else the
// default of its database.
func (c *Checker) class(r *requestState) core.Class {
	name := r.arrival.Class
	if db, ok := c.databases[r.arrival.Database]; ok && name == "" {
		name = db.spec.DefaultClass
		for _, u := range db.spec.Users {
			if u.User == r.arrival.User {
				name = u.Class
			}
		}
	}
	return c.classes[name]
}

func (c *Checker) checkResults(out *core.Outputs) {
	for i := range out.Results {
		res := &out.Results[i]
		r, ok := c.open[res.Handle]
		if !ok || r.finished {
			c.addViolation(res.Handle, "has a result although it is not open")
			continue
		}
		r.finished = true
		c.checkResult(r, res)
		delete(c.open, res.Handle)
	}
}

func (c *Checker) checkResult(r *requestState, res *core.Result) {
	switch res.Kind {
	case core.ResultNotRun, core.ResultNotOwner, core.ResultWriteLost:
		if r.mayHaveRun {
			c.addViolation(res.Handle, "refused as %s (%s) although a dispatch may have run", res.Kind, res.Reason)
		}
	case core.ResultDone:
		if r.forwarded || res.CopyOf != 0 || res.InTransaction {
			return
		}
		c.checkDone(r, res)
	}
}

func (c *Checker) checkDone(r *requestState, res *core.Result) {
	if !r.answered {
		c.addViolation(res.Handle, "done without an answer")
		return
	}
	if c.class(r).ReadOnly {
		return
	}
	db := c.databases[r.arrival.Database]
	if !db.confirmedSince(r.answeredAt) {
		c.addViolation(res.Handle, "acknowledged without a confirmed probe round after its answer in tick %d", r.answeredAt)
	}
}

// confirmedSince reports whether a majority, including the primary, answered probe
// rounds that started in the given tick or later, and no answer has a higher term.
func (d *databaseState) confirmedSince(tick int) bool {
	recent, highest, primary := 0, uint64(0), uint64(0)
	for _, a := range d.answers {
		highest = max(highest, a.Status.Term)
		if started, ok := d.roundStarts[a.Round]; !ok || started < tick {
			continue
		}
		recent++
		if a.Status.Primary {
			primary = max(primary, a.Status.Term)
		}
	}
	return recent > len(d.spec.Upstreams)/2 && primary > 0 && primary == highest
}
