package pgwire

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// step is a frontend message of a batch for which the caller or the proxy expects
// a response.
type step struct {
	kind byte
	// objectType is that of a Describe: 'S' for a statement, 'P' for a portal.
	objectType byte
	// synthetic steps are not sent; the proxy generates their response.
	synthetic bool
	// hidden steps were added by the proxy; the caller does not see their response.
	hidden bool
	// statement is the name of the prepared statement that a Parse creates.
	statement string
}

// Kinds of steps, which are the type bytes of the frontend messages.
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

// makePlan encodes a batch for a connection. It leaves out the Parse messages of
// statements in prepared, and adds those of other statements that the batch uses.
func makePlan(b *Batch, prepared map[string]bool) (*plan, error) {
	p := &plan{}
	for _, s := range b.Statements {
		if !prepared[s.Name] {
			if err := p.appendMessage(&pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.ParameterOIDs},
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

// add adds a message and reports whether it is the last one of the batch. sent has
// the names of the statements that the batch has parsed so far.
func (p *plan) add(message pgproto3.FrontendMessage, prepared, sent map[string]bool) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		return true, p.appendMessage(m, step{kind: stepQuery})
	case *pgproto3.Sync:
		return true, p.appendMessage(m, step{kind: stepSync})
	case *pgproto3.Parse:
		if prepared[m.Name] || sent[m.Name] {
			p.steps = append(p.steps, step{kind: stepParse, synthetic: true})
			return false, nil
		}
		sent[m.Name] = true
		return false, p.appendMessage(m, step{kind: stepParse, statement: m.Name})
	case *pgproto3.Bind:
		return false, p.appendMessage(m, step{kind: stepBind})
	case *pgproto3.Describe:
		return false, p.appendMessage(m, step{kind: stepDescribe, objectType: m.ObjectType})
	case *pgproto3.Execute:
		return false, p.appendMessage(m, step{kind: stepExecute})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			// The statement stays prepared, since other callers use it too.
			p.steps = append(p.steps, step{kind: stepClose, synthetic: true})
			return false, nil
		}
		return false, p.appendMessage(m, step{kind: stepClose})
	default:
		return false, fmt.Errorf("unexpected message %T in a batch", message)
	}
}

func (p *plan) appendMessage(m pgproto3.FrontendMessage, s step) error {
	out, err := m.Encode(p.wire)
	if err != nil {
		return err
	}
	p.wire = out
	p.steps = append(p.steps, s)
	return nil
}

// sequencer matches the backend messages of a response to the steps of a plan, and
// emits those that the caller sees.
type sequencer struct {
	steps []step
	// prepared gets the names of the statements that were parsed.
	prepared map[string]bool
	emit     func(pgproto3.BackendMessage) error
	// resultComplete is set if the last message completed a result of a simple
	// query or was an error.
	resultComplete bool
}

// emitSynthetic emits the responses to the synthetic steps that come next.
func (s *sequencer) emitSynthetic() error {
	for len(s.steps) > 0 && s.steps[0].synthetic {
		var response pgproto3.BackendMessage = &pgproto3.ParseComplete{}
		if s.steps[0].kind == stepClose {
			response = &pgproto3.CloseComplete{}
		}
		s.steps = s.steps[1:]
		if err := s.emit(response); err != nil {
			return err
		}
	}
	return nil
}

// handle processes one backend message. It reports whether the response is
// complete. After an error the connection can't be used any more.
func (s *sequencer) handle(message pgproto3.BackendMessage) (bool, error) {
	if err := s.emitSynthetic(); err != nil {
		return false, err
	}
	if len(s.steps) == 0 {
		return false, fmt.Errorf("unexpected message %T after the end of the batch", message)
	}
	switch m := message.(type) {
	case *pgproto3.NoticeResponse:
		return false, s.emit(m)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		// These concern the shared connection, not the caller.
		return false, nil
	case *pgproto3.ErrorResponse:
		s.skipToLastStep()
		s.resultComplete = true
		return false, s.emit(m)
	case *pgproto3.ReadyForQuery:
		if k := s.steps[0].kind; k != stepSync && (k != stepQuery || !s.resultComplete) {
			return false, fmt.Errorf("ReadyForQuery before the response to step %q", s.steps[0].kind)
		}
		return true, s.emit(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return false, fmt.Errorf("message %T is not supported", message)
	}
	return false, s.handleStepResponse(message)
}

// skipToLastStep drops the steps that the upstream skips after an error.
func (s *sequencer) skipToLastStep() {
	for len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
}

func (s *sequencer) handleStepResponse(message pgproto3.BackendMessage) error {
	first := s.steps[0]
	completes := completesStep(first, message)
	if !completes && !isPartialResponse(first, message) {
		return fmt.Errorf("unexpected message %T for step %q", message, first.kind)
	}
	if first.kind == stepQuery {
		s.resultComplete = completes
		return s.emit(message)
	}
	if completes {
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

// completesStep reports whether a message is the last one of a step's response, or
// of one result of a simple query.
func completesStep(s step, message pgproto3.BackendMessage) bool {
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

// isPartialResponse reports whether a message may precede the last one of a step's
// response. If it may not, requests and responses on the connection are out of sync.
func isPartialResponse(s step, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParameterDescription:
		return s.kind == stepDescribe && s.objectType == 'S'
	case *pgproto3.RowDescription:
		return s.kind == stepQuery
	case *pgproto3.DataRow:
		return s.kind == stepExecute || s.kind == stepQuery
	}
	return false
}

// LocalResponse encodes the response to a batch that the proxy handles itself: one
// with a single statement that returns no rows. tag is the command tag, status the
// transaction status.
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
			if s.objectType == 'S' {
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
