//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// greyShare is the share of its requests that the grey server sheds, greyTime how long.
const (
	greyShare = 0.4
	greyTime  = 6500 * time.Millisecond
)

// sentStatement is a statement that a client sent, with the session values that had been
// acknowledged to it.
type sentStatement struct{ session, text, values string }

// runPinned checks PINNED: a statement runs with the session values that were acknowledged to
// its client. One server is grey: it sheds part of its requests.
func runPinned(r *run) (string, error) {
	var grey *greyServer
	var startErr error
	if err := r.start(zones, func(g *standin.Group) {
		primary := g.Primary()
		if grey, startErr = newGreyServer(r, primary.ID, primary.Address(), greyShare); startErr == nil {
			primary.SetAdvertised(grey.address())
		}
	}); err != nil || startErr != nil {
		return "", fmt.Errorf("start: %w %w", err, startErr)
	}
	r.closers = append(r.closers, func() { _ = grey.listener.Close() })
	var mu sync.Mutex
	sent := map[string]sentStatement{}
	remember := func(id string, s sentStatement) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = s
	}
	ending := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for session := 0; ; session++ {
				select {
				case <-ending:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r.playSession(fmt.Sprintf("u%d-%d", i+1, session), r.nodes[(i+session)%len(r.nodes)], remember)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.record.printf("server %s sheds %.0f%% of its requests from now on", grey.name, 100*greyShare)
		grey.grey.Store(true)
	}
	time.Sleep(greyTime)
	grey.grey.Store(false)
	r.record.printf("server %s is well again", grey.name)
	time.Sleep(4 * time.Second)
	close(ending)
	clients.Wait()
	return r.checkValues(sent, grey.shed.Load())
}

// playSession opens a session, sets a value and sends statements. As a client does, it ends the
// session after an error in response to SET or after an operation that fails.
func (r *run) playSession(name string, n *node, remember func(string, sentStatement)) {
	s, err := n.open(sessionDatabase, name)
	if err != nil {
		r.record.printf("client %s cannot start at %s: %v", name, n.name, err)
		return
	}
	defer s.close()
	if a, err := s.query(nextID(), "SET shop "+name, operationDeadline); err != nil || a.code != "" {
		r.record.printf("client %s: SET is not acknowledged: %v %s", name, err, a.code)
		return
	}
	r.record.printf("client %s is acknowledged SET shop %s by %s", name, name, n.name)
	for i := range 8 {
		id, text := nextID(), fmt.Sprintf("READ item-%s", name)
		if i%2 == 0 {
			text = fmt.Sprintf("WRITE item-%s %d", name, i)
		}
		remember(id, sentStatement{session: name, text: text, values: "shop=" + name})
		r.record.printf("client %s sends %s %s", name, id, text)
		a, err := s.query(id, text, operationDeadline)
		if err != nil {
			r.record.printf("client %s has no answer to %s: %v", name, id, err)
			return
		}
		r.record.printf("client %s gets code %q, signature %q for %s", name, a.code, a.signature, id)
		if a.code != "" {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkValues compares the session values with which the servers ran the statements.
func (r *run) checkValues(sent map[string]sentStatement, shed int64) (string, error) {
	ran, wrong, foreign, committed := 0, 0, 0, 0
	for _, e := range r.group.Executions() {
		s, known := sent[e.ID]
		if !known {
			continue
		}
		ran++
		if e.Variables == s.values {
			continue
		}
		wrong++
		if e.Variables != "" {
			foreign++
		}
		if e.Committed {
			committed++
		}
		r.record.printf("server %s ran %s %s of %s with the session values %q, acknowledged were %q; committed %v", e.Member, e.ID, s.text, s.session, e.Variables, s.values, e.Committed)
	}
	r.record.printf("%d requests shed by the grey server; %d statements ran, %d with other session values than acknowledged, %d of them with those of another session; %d of them committed", shed, ran, wrong, foreign, committed)
	switch {
	case ran == 0:
		return "", fmt.Errorf("no statement ran")
	case wrong > 0:
		return fmt.Sprintf("PINNED: %d of %d statements ran with other session values than acknowledged, %d with those of another session", wrong, ran, foreign), nil
	}
	return "", nil
}
