package pgwire

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// step is one frontend message whose answer is awaited.
type step struct {
	kind byte
	// describe is 'S' or 'P' for a Describe.
	describe byte
	// synthetic steps were not sent; their answer is made here.
	synthetic bool
	// hidden steps were added by the proxy; the caller does not see the answer.
	hidden bool
	// statement is the name that a Parse creates.
	statement string
}

const (
	stepParse    = 'P'
	stepBind     = 'B'
	stepDescribe = 'D'
	stepExecute  = 'E'
	stepClose    = 'C'
	stepSync     = 'S'
	stepQuery    = 'Q'
)

// plan is the encoded form of a batch for one connection, with its steps.
type plan struct {
	wire  []byte
	steps []step
}

// makePlan leaves out what the connection has prepared already and adds what
// it lacks.
func makePlan(b *Batch, prepared map[string]bool) (*plan, error) {
	p := &plan{}
	for _, s := range b.Statements {
		if !prepared[s.Name] {
			if err := p.send(&pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.ParameterOIDs},
				step{kind: stepParse, hidden: true, statement: s.Name}); err != nil {
				return nil, err
			}
		}
	}
	backend := pgproto3.NewBackend(bytes.NewReader(b.Messages), nil)
	sent := map[string]bool{}
	for {
		m, err := backend.Receive()
		if err != nil {
			return nil, fmt.Errorf("batch does not end in Query or Sync: %w", err)
		}
		done, err := p.add(m, prepared, sent)
		if err != nil || done {
			return p, err
		}
	}
}

func (p *plan) add(message pgproto3.FrontendMessage, prepared, sent map[string]bool) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		return true, p.send(m, step{kind: stepQuery})
	case *pgproto3.Sync:
		return true, p.send(m, step{kind: stepSync})
	case *pgproto3.Parse:
		if prepared[m.Name] || sent[m.Name] {
			p.steps = append(p.steps, step{kind: stepParse, synthetic: true})
			return false, nil
		}
		sent[m.Name] = true
		return false, p.send(m, step{kind: stepParse, statement: m.Name})
	case *pgproto3.Bind:
		return false, p.send(m, step{kind: stepBind})
	case *pgproto3.Describe:
		return false, p.send(m, step{kind: stepDescribe, describe: m.ObjectType})
	case *pgproto3.Execute:
		return false, p.send(m, step{kind: stepExecute})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			// Other callers use the statement too.
			p.steps = append(p.steps, step{kind: stepClose, synthetic: true})
			return false, nil
		}
		return false, p.send(m, step{kind: stepClose})
	default:
		return false, fmt.Errorf("message %T in a batch", message)
	}
}

func (p *plan) send(m pgproto3.FrontendMessage, s step) error {
	out, err := m.Encode(p.wire)
	if err != nil {
		return err
	}
	p.wire = out
	p.steps = append(p.steps, s)
	return nil
}

// sequencer matches answers to steps and decides which of them the caller sees.
type sequencer struct {
	steps []step
	// prepared receives the names of statements that were parsed.
	prepared map[string]bool
	emit     func(pgproto3.BackendMessage) error
	// complete is set while each result of a simple query has its end.
	complete bool
}

// skipSynthetic answers the steps that were not sent.
func (s *sequencer) skipSynthetic() error {
	for len(s.steps) > 0 && s.steps[0].synthetic {
		var answer pgproto3.BackendMessage = &pgproto3.ParseComplete{}
		if s.steps[0].kind == stepClose {
			answer = &pgproto3.CloseComplete{}
		}
		s.steps = s.steps[1:]
		if err := s.emit(answer); err != nil {
			return err
		}
	}
	return nil
}

// take handles one answer. It reports whether the batch is over.
func (s *sequencer) take(message pgproto3.BackendMessage) (bool, error) {
	if err := s.skipSynthetic(); err != nil {
		return false, err
	}
	if len(s.steps) == 0 {
		return false, fmt.Errorf("answer %T after the end of the batch", message)
	}
	switch m := message.(type) {
	case *pgproto3.NoticeResponse:
		return false, s.emit(m)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		// Settings and notifications belong to the shared connection.
		return false, nil
	case *pgproto3.ErrorResponse:
		s.skipToEnd()
		s.complete = true
		return false, s.emit(m)
	case *pgproto3.ReadyForQuery:
		if k := s.steps[0].kind; k != stepSync && (k != stepQuery || !s.complete) {
			return false, fmt.Errorf("upstream is ready before the answer to step %q", s.steps[0].kind)
		}
		return true, s.emit(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return false, fmt.Errorf("answer %T is not supported", message)
	}
	return false, s.takeStep(message)
}

func (s *sequencer) skipToEnd() {
	for len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
}

func (s *sequencer) takeStep(message pgproto3.BackendMessage) error {
	first := s.steps[0]
	ends := endsStep(first, message)
	if !ends && !belongs(first, message) {
		return fmt.Errorf("answer %T to step %q", message, first.kind)
	}
	if first.kind == stepQuery {
		s.complete = ends
		return s.emit(message)
	}
	if ends {
		s.steps = s.steps[1:]
		if first.statement != "" {
			s.prepared[first.statement] = true
		}
	}
	if first.hidden {
		return nil
	}
	return s.emit(message)
}

func endsStep(s step, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParseComplete:
		return s.kind == stepParse
	case *pgproto3.BindComplete:
		return s.kind == stepBind
	case *pgproto3.CloseComplete:
		return s.kind == stepClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return s.kind == stepDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return s.kind == stepExecute || s.kind == stepQuery
	case *pgproto3.PortalSuspended:
		return s.kind == stepExecute
	}
	return false
}

// belongs reports whether a message may come before the end of a step's answer.
// Anything else means that the answers on the connection are out of step.
func belongs(s step, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParameterDescription:
		return s.kind == stepDescribe && s.describe == 'S'
	case *pgproto3.RowDescription:
		return s.kind == stepQuery
	case *pgproto3.DataRow:
		return s.kind == stepExecute || s.kind == stepQuery
	}
	return false
}

// LocalResponse encodes the answer to a batch with one statement that returns no rows
// and that the proxy handles itself.
func (b *Batch) LocalResponse(tag string, status byte) ([]byte, error) {
	var out []byte
	var err error
	send := func(m pgproto3.BackendMessage) {
		if err == nil {
			out, err = m.Encode(out)
		}
	}
	p, err := makePlan(b, nil)
	if err != nil {
		return nil, err
	}
	for _, s := range p.steps {
		switch s.kind {
		case stepParse:
			if !s.hidden {
				send(&pgproto3.ParseComplete{})
			}
		case stepBind:
			send(&pgproto3.BindComplete{})
		case stepClose:
			send(&pgproto3.CloseComplete{})
		case stepDescribe:
			if s.describe == 'S' {
				send(&pgproto3.ParameterDescription{})
			}
			send(&pgproto3.NoData{})
		case stepExecute, stepQuery:
			send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		}
	}
	send(&pgproto3.ReadyForQuery{TxStatus: status})
	return out, err
}
