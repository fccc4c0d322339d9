// Package load generates open-loop load by rank against proxies and checks what
// callers observe. It is meant for tests and the demo only.
package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Rank describes the callers of one rank.
type Rank struct {
	Name string
	// Class is declared on each request; empty declares none.
	Class string
	// ReadClass is declared on reads instead of Class, if set.
	ReadClass string
	// Rate is the number of arrivals per second.
	Rate float64
	// ReadShare is the share of reads, from 0 to 1.
	ReadShare float64
	// Callers is the number of sessions.
	Callers int
	// Deadline bounds each attempt and is declared on it.
	Deadline time.Duration
	// TargetLatency is the time from arrival within which a request counts as served
	// in time; 0 means the deadline.
	TargetLatency time.Duration
	// MaxAttempts is the largest number of attempts.
	MaxAttempts int
	// IgnoreRetryHint makes callers retry after RetryDelay whatever the refusal says.
	IgnoreRetryHint bool
	// RetryDelay is the wait before an attempt without a hint.
	RetryDelay time.Duration
	// RetryUnknown makes callers repeat writes whose outcome is unknown, with
	// the same request id.
	RetryUnknown bool
	// FloodFactor multiplies the rate from FloodStart for FloodDuration.
	FloodFactor   float64
	FloodStart    time.Duration
	FloodDuration time.Duration
}

// Options describe a run.
type Options struct {
	// Targets are the addresses of the proxies.
	Targets  []string
	Database string
	User     string
	Seed     uint64
	Duration time.Duration
	Ranks    []Rank
	// RoamProbability is the probability that a session moves to another target before a
	// request.
	RoamProbability float64
	// PassTokens makes callers pass the token that a proxy reports in the
	// parameter skylarkhinge.token on to the session's next request.
	PassTokens bool
	// SimpleProtocol selects the simple protocol instead of the extended one.
	SimpleProtocol bool
	// MaxInFlight bounds the requests at once; arrivals beyond it are counted
	// as shed. It protects the machine that runs the load.
	MaxInFlight int
	// RecordWrites lists all writes with their outcomes in the report.
	RecordWrites bool
}

const (
	defaultMaxInFlight = 2000
	defaultDeadline    = 250 * time.Millisecond
	defaultRetryDelay  = 10 * time.Millisecond
	defaultCallers     = 10
)

func (o *Options) complete() error {
	if len(o.Targets) == 0 || len(o.Ranks) == 0 {
		return oops.In("load").With("step", "options").Errorf("a target and a rank are needed")
	}
	o.Ranks = append([]Rank(nil), o.Ranks...)
	for i := range o.Ranks {
		if err := o.Ranks[i].complete(); err != nil {
			return err
		}
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	return nil
}

func (r *Rank) complete() error {
	if r.Rate <= 0 || r.ReadShare < 0 || r.ReadShare > 1 {
		return oops.In("load").With("step", "options", "rank", r.Name).Errorf("rate %v or read share %v is out of range", r.Rate, r.ReadShare)
	}
	r.Callers = orDefault(r.Callers, defaultCallers)
	r.Deadline = orDefault(r.Deadline, defaultDeadline)
	r.TargetLatency = orDefault(r.TargetLatency, r.Deadline)
	r.MaxAttempts = orDefault(r.MaxAttempts, 1)
	r.RetryDelay = orDefault(r.RetryDelay, defaultRetryDelay)
	r.FloodFactor = orDefault(r.FloodFactor, 1)
	return nil
}

// longestRequest bounds the time from the arrival of a request to its last
// answer. A retry hint beyond the deadline can exceed it; such a retry is not sent.
func (o *Options) longestRequest() time.Duration {
	longest := time.Duration(0)
	for i := range o.Ranks {
		rank := &o.Ranks[i]
		longest = max(longest, time.Duration(rank.MaxAttempts)*(rank.Deadline+2*grace+rank.RetryDelay))
	}
	return longest
}

func orDefault[T int | float64 | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// rateAt returns the rate at a time since the start.
func (r *Rank) rateAt(at time.Duration) float64 {
	if at >= r.FloodStart && at < r.FloodStart+r.FloodDuration {
		return r.Rate * r.FloodFactor
	}
	return r.Rate
}

// arrival is a planned request.
type arrival struct {
	at     time.Duration
	read   bool
	caller int
	roam   bool
	// target is the session's next target if it roams.
	target int
}

// plan yields the arrivals of a rank. Equal seeds give equal plans.
type plan struct {
	rank    *Rank
	roam    float64
	targets int
	random  *rand.Rand
	at      time.Duration
}

func newPlan(options *Options, rank int) *plan {
	return &plan{
		rank:    &options.Ranks[rank],
		roam:    options.RoamProbability,
		targets: len(options.Targets),
		random:  rand.New(rand.NewPCG(options.Seed, uint64(rank))),
	}
}

func (p *plan) next() arrival {
	gap := p.random.ExpFloat64() / p.rank.rateAt(p.at)
	p.at += time.Duration(gap * float64(time.Second))
	return arrival{
		at:     p.at,
		read:   p.random.Float64() < p.rank.ReadShare,
		caller: p.random.IntN(p.rank.Callers),
		roam:   p.random.Float64() < p.roam,
		target: p.random.IntN(p.targets),
	}
}

// RankHelp describes the text form of a rank.
const RankHelp = "name=first,class=order,read-class=lookup,rate=50,read-share=0.5,callers=20,deadline=250ms,target=250ms,attempts=3,ignore-hint=false,retry-delay=10ms,retry-unknown=false,flood=10,flood-at=5s,flood-for=10s"

// ParseRank reads the text form of a rank; see RankHelp.
func ParseRank(text string) (Rank, error) {
	var r Rank
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if err := r.set(name, value); err != nil {
			return r, oops.In("load").With("step", "parse rank", "field", field).Wrap(err)
		}
	}
	return r, r.complete()
}

func (r *Rank) set(name, value string) (err error) {
	switch name {
	case "name":
		r.Name = value
	case "class":
		r.Class = value
	case "read-class":
		r.ReadClass = value
	case "rate":
		r.Rate, err = strconv.ParseFloat(value, 64)
	case "read-share":
		r.ReadShare, err = strconv.ParseFloat(value, 64)
	case "callers":
		r.Callers, err = strconv.Atoi(value)
	case "deadline":
		r.Deadline, err = time.ParseDuration(value)
	case "target":
		r.TargetLatency, err = time.ParseDuration(value)
	case "attempts":
		r.MaxAttempts, err = strconv.Atoi(value)
	case "ignore-hint":
		r.IgnoreRetryHint, err = strconv.ParseBool(value)
	case "retry-delay":
		r.RetryDelay, err = time.ParseDuration(value)
	case "retry-unknown":
		r.RetryUnknown, err = strconv.ParseBool(value)
	case "flood":
		r.FloodFactor, err = strconv.ParseFloat(value, 64)
	case "flood-at":
		r.FloodStart, err = time.ParseDuration(value)
	case "flood-for":
		r.FloodDuration, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("unknown field %q", name)
	}
	return err
}
