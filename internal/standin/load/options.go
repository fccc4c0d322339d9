// Package load generates open-loop load by rank against proxies and checks that
// sessions read their own acknowledged writes. It is meant for tests and the
// demo only.
package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Rank configures the load of one rank.
type Rank struct {
	Name string
	// Class is declared on each request; if empty, none is declared.
	Class string
	// ReadClass is declared on reads instead of Class, if set.
	ReadClass string
	// Rate is the number of arrivals per second.
	Rate float64
	// ReadShare is the fraction of requests that are reads, from 0 to 1.
	ReadShare float64
	// Callers is the number of sessions; 0 means defaultCallers.
	Callers int
	// Deadline is the deadline that each attempt declares; the caller waits
	// responseGrace longer. 0 means defaultDeadline.
	Deadline time.Duration
	// TargetLatency is the latency from arrival up to which a request counts as
	// within target; 0 means the deadline.
	TargetLatency time.Duration
	// MaxAttempts bounds the attempts per request, the first one included; 0
	// means 1.
	MaxAttempts int
	// IgnoreRetryHint makes callers retry after RetryDelay, whatever
	// retry_after_ms the refusal carries.
	IgnoreRetryHint bool
	// RetryDelay is the wait before a retry without a hint; 0 means
	// defaultRetryDelay.
	RetryDelay time.Duration
	// RetryUnknown makes callers retry writes of unknown outcome with the same
	// request id. Reads of unknown outcome are retried in any case.
	RetryUnknown bool
	// FloodFactor multiplies the rate from FloodStart for FloodDuration; 0
	// means 1.
	FloodFactor   float64
	FloodStart    time.Duration
	FloodDuration time.Duration
}

// Options configure a run.
type Options struct {
	// Targets are the addresses of the proxies.
	Targets  []string
	Database string
	User     string
	Seed     uint64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	Ranks    []Rank
	// RoamProbability is the probability that a session switches to a random
	// target before a request.
	RoamProbability float64
	// PassTokens sends the token that a proxy reported in the parameter
	// skylarkhinge.token with the session's next request.
	PassTokens bool
	// SimpleProtocol selects the simple query protocol instead of the extended
	// one.
	SimpleProtocol bool
	// MaxInFlight bounds the requests in flight; arrivals beyond it are counted
	// as shed. It protects the machine that generates the load. 0 means
	// defaultMaxInFlight.
	MaxInFlight int
	// RecordWrites includes all writes with their outcomes in the report.
	RecordWrites bool
}

const (
	defaultMaxInFlight = 2000
	defaultDeadline    = 250 * time.Millisecond
	defaultRetryDelay  = 10 * time.Millisecond
	defaultCallers     = 10
)

// applyDefaults validates the options and fills in defaults. It copies Ranks
// before changing them.
func (o *Options) applyDefaults() error {
	if len(o.Targets) == 0 || len(o.Ranks) == 0 {
		return oops.In("load").With("step", "options").Errorf("a target and a rank are needed")
	}
	o.Ranks = append([]Rank(nil), o.Ranks...)
	for i := range o.Ranks {
		if err := o.Ranks[i].applyDefaults(); err != nil {
			return err
		}
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	return nil
}

func (r *Rank) applyDefaults() error {
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
// response. Long retry hints can exceed it; a retry that is due after the end of
// the run is not sent.
func (o *Options) longestRequest() time.Duration {
	longest := time.Duration(0)
	for i := range o.Ranks {
		rank := &o.Ranks[i]
		longest = max(longest, time.Duration(rank.MaxAttempts)*(rank.Deadline+2*responseGrace+rank.RetryDelay))
	}
	return longest
}

func orDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// rateAt returns the arrivals per second at a time since the start of the run.
func (r *Rank) rateAt(at time.Duration) float64 {
	if at >= r.FloodStart && at < r.FloodStart+r.FloodDuration {
		return r.Rate * r.FloodFactor
	}
	return r.Rate
}

// arrival is a planned request: its time since the start, its kind and its
// session.
type arrival struct {
	at           time.Duration
	read         bool
	sessionIndex int
	roam         bool
	// targetIndex is the target to which the session switches if roam is set.
	targetIndex int
}

// plan generates the arrivals of a rank as a Poisson process. Equal seeds give
// equal plans.
type plan struct {
	rank            *Rank
	roamProbability float64
	targetCount     int
	rng             *rand.Rand
	at              time.Duration
}

func newPlan(options *Options, rank int) *plan {
	return &plan{
		rank:            &options.Ranks[rank],
		roamProbability: options.RoamProbability,
		targetCount:     len(options.Targets),
		rng:             rand.New(rand.NewPCG(options.Seed, uint64(rank))),
	}
}

func (p *plan) next() arrival {
	gap := p.rng.ExpFloat64() / p.rank.rateAt(p.at)
	p.at += time.Duration(gap * float64(time.Second))
	return arrival{
		at:           p.at,
		read:         p.rng.Float64() < p.rank.ReadShare,
		sessionIndex: p.rng.IntN(p.rank.Callers),
		roam:         p.rng.Float64() < p.roamProbability,
		targetIndex:  p.rng.IntN(p.targetCount),
	}
}

// RankHelp is an example of the text form of a rank with all fields.
const RankHelp = "name=first,class=order,read-class=lookup,rate=50,read-share=0.5,callers=20,deadline=250ms,target=250ms,attempts=3,ignore-hint=false,retry-delay=10ms,retry-unknown=false,flood=10,flood-at=5s,flood-for=10s"

// ParseRank parses the text form of a rank and fills in defaults; see RankHelp.
func ParseRank(text string) (Rank, error) {
	var r Rank
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if err := r.set(name, value); err != nil {
			return r, oops.In("load").With("step", "parse rank", "field", field).Wrap(err)
		}
	}
	return r, r.applyDefaults()
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
