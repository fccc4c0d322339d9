package group_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// TestScripts runs the input scripts in testdata and compares what the group
// does with the golden outputs. Each script names the failure it guards against.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.in")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".in")
		t.Run(name, func(t *testing.T) {
			input, err := os.ReadFile(path)
			assert.NilError(t, err)
			s := &script{t: t, members: map[entity.Upstream]*entity.MemberStatus{}}
			for line := range strings.Lines(string(input)) {
				s.execute(strings.TrimSpace(line))
			}
			golden.Assert(t, s.out.String(), name+".out")
		})
	}
}

// script executes the commands of one input file. Times are in milliseconds.
type script struct {
	t       *testing.T
	group   *group.Group
	now     entity.Time
	members map[entity.Upstream]*entity.MemberStatus
	out     strings.Builder
}

func (s *script) printf(format string, values ...any) {
	fmt.Fprintf(&s.out, "%6.1f  ", float64(s.now)/float64(ms))
	fmt.Fprintf(&s.out, format+"\n", values...)
}

// execute runs the command on one line. Comments and empty lines are copied to the
// output.
func (s *script) execute(line string) {
	fields := strings.Fields(line)
	if len(fields) == 0 || strings.HasPrefix(line, "#") {
		fmt.Fprintln(&s.out, line)
		return
	}
	args := fields[1:]
	switch fields[0] {
	case "group":
		var names []entity.Upstream
		for _, a := range args {
			names = append(names, entity.Upstream(a))
			s.members[entity.Upstream(a)] = &entity.MemberStatus{Upstream: entity.Upstream(a), History: []entity.TermStart{{Term: 1}}}
		}
		s.group = group.New(group.DefaultConfig(), names, 1)
	case "at":
		s.now = entity.Time(s.parseNumber(args[0])) * ms
	case "member":
		s.setStatus(entity.Upstream(args[0]), args[1:])
	case "request":
		s.printf("requested round %d", s.group.RequestRound(s.now))
	case "tick":
		s.group.Tick(s.now)
		s.printMessages(s.group.Ready(), true)
	case "run":
		s.run(args)
	case "answer", "fail":
		status := *s.members[entity.Upstream(args[1])]
		s.group.StepProbe(s.now, group.ProbeAnswer{Round: group.RoundID(s.parseNumber(args[0])), Upstream: status.Upstream, Failed: fields[0] == "fail", Status: status})
	case "claim":
		s.group.StepClaim(s.now, group.ClaimAnswer{Term: s.parseNumber(args[0]), Claimed: args[1] == "claimed", Failed: args[1] == "failed"})
	case "fence":
		status := *s.members[entity.Upstream(args[1])]
		s.group.StepFence(s.now, group.FenceAnswer{Term: s.parseNumber(args[0]), Upstream: status.Upstream, Accepted: args[2] == "accepted", Status: status})
	case "promote":
		status := *s.members[entity.Upstream(args[1])]
		s.group.StepPromote(s.now, group.PromoteAnswer{Term: s.parseNumber(args[0]), Upstream: status.Upstream, Accepted: args[2] == "accepted", Status: status})
	default:
		s.printQuery(fields[0], args)
	}
}

// printQuery executes a command that only reads the group's state and prints the
// result.
func (s *script) printQuery(name string, args []string) {
	switch name {
	case "round":
		r := s.group.Round(group.RoundID(s.parseNumber(args[0])))
		state := [...]string{"pending", "confirmed", "failed"}[r.State]
		s.printf("round %s %s primary=%s term=%d position=%v majority=%v", args[0], state, r.Primary, r.Term, r.Position, r.MajorityPosition)
	case "primary":
		m, term, ok := s.group.Primary()
		s.printf("primary %s term=%d known=%v", m, term, ok)
	case "survived":
		p := s.parsePosition(args[0])
		state := [...]string{"unknown", "held", "lost"}[s.group.Survival(p)]
		s.printf("survived %s %v (%s)", args[0], s.group.Survived(p), state)
	case "lag":
		age, ok := s.group.Lag(s.now, entity.Upstream(args[0]))
		if !ok {
			age = 0
		}
		s.printf("lag %s %v known=%v", args[0], age, ok)
	case "eligible":
		age := time.Duration(s.parseNumber(args[2])) * time.Millisecond
		s.printf("eligible %s %v", strings.Join(args, " "), s.group.Eligible(s.now, entity.Upstream(args[0]), s.parsePosition(args[1]), age))
	default:
		s.t.Fatalf("unknown command %q", name)
	}
}

// run ticks the group whenever it is due, until the time in the first argument. The
// members in the other arguments answer probes at once; "fresh:NAME" answers only on
// fresh connections.
func (s *script) run(args []string) {
	end := entity.Time(s.parseNumber(args[0])) * ms
	for at := max(s.group.NextTick(), s.now); at < end; at = max(s.group.NextTick(), s.now+1) {
		s.now = at
		s.group.Tick(at)
		out := s.group.Ready()
		s.printMessages(out, false)
		for _, p := range out.Probes {
			for _, a := range args[1:] {
				name, freshOnly := strings.CutPrefix(a, "fresh:")
				if name == string(p.Upstream) && (!freshOnly || p.FreshConnection) {
					answerProbe(s.group, at, p.Round, *s.members[p.Upstream])
				}
			}
		}
	}
	s.now = end
}

// printMessages prints the messages to send; probes only if asked for.
func (s *script) printMessages(out group.Messages, probes bool) {
	for _, p := range out.Probes {
		if probes {
			s.printf("probe %s round=%d fresh=%v", p.Upstream, p.Round, p.FreshConnection)
		}
	}
	for _, c := range out.Claims {
		s.printf("claim term=%d", c.Term)
	}
	for _, f := range out.Fences {
		s.printf("fence %s term=%d", f.Upstream, f.Term)
	}
	for _, p := range out.Promotes {
		s.printf("promote %s term=%d", p.Upstream, p.Term)
	}
}

// setStatus sets the status that a member reports, from arguments of the forms
// term=T, log=T:O, applied=T:O, history=T:O,..., primary and replica. T is a term and
// O an offset. log also sets the applied position.
func (s *script) setStatus(name entity.Upstream, args []string) {
	m := s.members[name]
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "term":
			m.Term = s.parseNumber(value)
		case "log":
			m.Log = s.parsePosition(value)
			m.Applied = m.Log
		case "applied":
			m.Applied = s.parsePosition(value)
		case "history":
			m.History = nil
			for v := range strings.SplitSeq(value, ",") {
				m.History = append(m.History, entity.TermStart(s.parsePosition(v)))
			}
		default:
			m.Primary = key == "primary"
		}
	}
}

func (s *script) parsePosition(text string) entity.Position {
	term, offset, _ := strings.Cut(text, ":")
	return entity.Position{Term: s.parseNumber(term), Offset: s.parseNumber(offset)}
}

func (s *script) parseNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(s.t, err)
	return n
}
