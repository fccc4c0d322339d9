package quota

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Request asks a limiter for tokens. A request without wants asks whether it is reachable.
type Request struct {
	From entity.VM
	// Relay names the proxy that the request is to be passed on to, empty for none.
	Relay entity.VM
	// Forwarded is set if a proxy that is not the limiter passed the request on.
	Forwarded bool
	// New are candidates that have just started, as far as the sender knows.
	New   []NewProxy
	Wants []Want
}

// NewProxy is a proxy that has just started and counts as new for some more time.
type NewProxy struct {
	VM  entity.VM
	For time.Duration
}

// Want is the need of one organisation.
type Want struct {
	Name   organisation.Name
	Limits Limits
	Tokens int
	// Urgent is the number of tokens for urgent operations that wait.
	Urgent int
	// Past are the last grants that the sender got or, as a stand-in, made.
	Past []PastGrant
}

// PastGrant is a grant by a limiter some time before the message was sent.
type PastGrant struct {
	By  entity.VM
	Ago time.Duration
}

// Answer is a limiter's answer.
type Answer struct {
	// New are candidates that have just started, as far as the sender knows.
	New []NewProxy
	// Grants has one element for each want, in the same order.
	Grants []Grant
}

// Grant is the part of an answer about one organisation. Tokens of 0 with a RetryAfter of 0
// do not occur.
type Grant struct {
	Tokens     int
	RetryAfter time.Duration
	// By is the proxy whose bucket the tokens come from, empty if none was asked.
	By entity.VM
}

// CallID identifies a request that a node sent, ReplyID one that it received.
type (
	CallID  uint64
	ReplyID uint64
)

// Send is a request to be sent. The caller reports its answer with Node.Answered, or its
// failure, at the latest after Timeout.
type Send struct {
	ID      CallID
	To      entity.VM
	Request Request
	Timeout time.Duration
}

// Reply is the answer to a request that the node received. OK is false if the request was
// to be relayed and could not be.
type Reply struct {
	ID     ReplyID
	Answer Answer
	OK     bool
}

// Outcome is the decision on an operation that waited.
type Outcome struct {
	Ticket   Ticket
	Admitted bool
	// RetryAfter is the time after which a refused operation may be tried again.
	RetryAfter time.Duration
}

// Change reports that operations of an organisation begin or cease to be refused.
type Change struct {
	Name    organisation.Name
	Limited bool
	Limits  Limits
	// Limiter is the proxy that granted tokens last, empty if none did.
	Limiter  entity.VM
	Counters Counters
}

// Effects are the actions that a node asks for.
type Effects struct {
	Sends    []Send
	Replies  []Reply
	Outcomes []Outcome
	Changes  []Change
}

// empty reports whether there is nothing to do.
func (e *Effects) empty() bool {
	return len(e.Sends)+len(e.Replies)+len(e.Outcomes)+len(e.Changes) == 0
}
