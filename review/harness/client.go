//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The clients' limits: the deadline of an operation, the retries, and the longest wait for the
// start of a session.
const (
	operationDeadline = 3 * time.Second
	maxRetries        = 2
	startLimit        = 2 * time.Second
	retryPause        = 100 * time.Millisecond
)

// session is one client session.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the answer to one statement. Code is empty after a success.
type answer struct {
	rows                  []string
	code, text, signature string
	state                 string
}

// promises are the codes that promise that nothing of the attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "CONNLIMIT": true}

var statementCount atomic.Int64

// nextID returns a new statement id.
func nextID() string { return fmt.Sprintf("%08x", statementCount.Add(1)) }

// open starts a session at a machine.
func (n *node) open(database, user string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", n.address, startLimit)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(startLimit))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, user); err != nil {
		s.close()
		return nil, err
	}
	line, err := s.readLine()
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = errors.New(line)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

func (s *session) readLine() (string, error) {
	line, err := s.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// query sends a statement and returns its answer. An error means that the connection ended or
// that there was no answer in time.
func (s *session) query(id, text string, limit time.Duration) (answer, error) {
	var a answer
	_ = s.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := s.readLine()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// operation is the outcome of one client operation.
type operation struct {
	sent   time.Time
	served bool
	// item and value were written if the operation is a served write.
	item, value string
}

// writer is a client that writes one new item after the other on the strict route, and retries
// as clients do: in full, with a new id, after a promise that nothing is kept.
type writer struct {
	run      *run
	name     string
	database string
	first    int
	pause    time.Duration
	ending   chan struct{}
	ended    sync.WaitGroup
	mu       sync.Mutex
	done     []operation
}

// startWriters starts clients that write. Each begins at another machine.
func (r *run) startWriters(count int, pause time.Duration) {
	for i := range count {
		w := &writer{run: r, name: fmt.Sprintf("u%d", i+1), database: strictDatabase, first: i, pause: pause, ending: make(chan struct{})}
		r.writers = append(r.writers, w)
		w.ended.Add(1)
		go w.loop()
	}
}

func (w *writer) stop() {
	select {
	case <-w.ending:
	default:
		close(w.ending)
	}
	w.ended.Wait()
}

func (w *writer) loop() {
	defer w.ended.Done()
	for i := 0; ; i++ {
		select {
		case <-w.ending:
			return
		case <-time.After(w.pause):
		}
		o := w.write(w.first+i, fmt.Sprintf("%s-%d", w.name, i))
		w.mu.Lock()
		w.done = append(w.done, o)
		w.mu.Unlock()
	}
}

// write performs one operation, starting at the i-th ready machine.
func (w *writer) write(i int, item string) operation {
	o := operation{sent: time.Now(), item: item}
	end := o.sent.Add(operationDeadline)
	for try := 0; try <= maxRetries && time.Now().Before(end); try++ {
		n := w.run.nodes[(i+try)%len(w.run.nodes)]
		id := nextID()
		s, err := n.open(w.database, w.name)
		if err != nil {
			w.run.record.printf("client %s cannot start at %s: %v", w.name, n.name, err)
			time.Sleep(retryPause)
			continue
		}
		o.value = "v" + id
		w.run.record.printf("client %s sends %s WRITE %s %s to %s", w.name, id, item, o.value, n.name)
		a, err := s.query(id, "WRITE "+item+" "+o.value, time.Until(end))
		s.close()
		switch {
		case err != nil:
			w.run.record.printf("client %s has no answer to %s: %v", w.name, id, err)
			return o
		case a.code == "":
			w.run.record.printf("client %s gets success of %s, signature %s", w.name, id, a.signature)
			o.served = true
			return o
		}
		w.run.record.printf("client %s gets %s %s for %s", w.name, a.code, a.text, id)
		if !promises[a.code] {
			return o
		}
		time.Sleep(retryPause)
	}
	return o
}

// operations returns the operations of all writers.
func (r *run) operations() []operation {
	var all []operation
	for _, w := range r.writers {
		w.mu.Lock()
		all = append(all, w.done...)
		w.mu.Unlock()
	}
	return all
}

// servedBetween returns the number of operations sent in an interval and how many of them were
// served.
func (r *run) servedBetween(from, to time.Time) (served, sent int) {
	for _, o := range r.operations() {
		if o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		sent++
		if o.served {
			served++
		}
	}
	return served, sent
}

// readBack reads an item on the strict route at any machine.
func (r *run) readBack(item string, limit time.Duration) (string, error) {
	err := errors.New("not tried")
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(retryPause) {
		for _, n := range r.nodes {
			var s *session
			if s, err = n.open(strictDatabase, "auditor"); err != nil {
				continue
			}
			var a answer
			a, err = s.query(nextID(), "READ "+item, operationDeadline)
			s.close()
			if err == nil && a.code == "" && len(a.rows) == 1 {
				return a.rows[0], nil
			}
			if err == nil {
				err = fmt.Errorf("%s %s", a.code, a.text)
			}
		}
	}
	return "", err
}
