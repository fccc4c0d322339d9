package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var nextID atomic.Int64

// client is a session of a caller.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	rec  *record
	name string
}

// answer is the reply to one query; err is set if there was none.
type answer struct {
	id        string
	rows      []string
	signature string
	code      string
	state     string
	err       error
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return "ERROR " + a.code + ", READY " + a.state
	}
	return fmt.Sprintf("COMPLETE %s %v, READY %s", a.signature, a.rows, a.state)
}

func open(rec *record, address, name, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn), rec: rec, name: name}
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := c.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(strings.TrimSpace(line))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends one query and waits for its answer.
func (c *client) query(text string, timeout time.Duration) answer {
	a := answer{id: fmt.Sprintf("%s-%d", c.name, nextID.Add(1))}
	c.rec.add("%s sends %s %s", c.name, a.id, text)
	a.err = c.exchange(&a, text, timeout)
	c.rec.add("%s gets for %s: %s", c.name, a.id, a)
	return a
}

func (c *client) exchange(a *answer, text string, timeout time.Duration) error {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return nil
		default:
			return errors.New("unknown message " + word)
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
