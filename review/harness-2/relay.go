package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a relay does with the bytes of its connections.
type mode int

const (
	pass mode = iota
	// silent holds all bytes up, and answers new connections with nothing.
	silent
	// refuse resets the connections and each new one.
	refuse
)

// relay is a TCP proxy of the test between two programs.
type relay struct {
	address string
	target  string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
	woken *sync.Cond
}

func newRelay(target string) *relay {
	l := listenLoopback()
	r := &relay{address: l.Addr().String(), target: target, conns: map[net.Conn]struct{}{}}
	r.woken = sync.NewCond(&r.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == refuse {
		for c := range r.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
	r.woken.Broadcast()
}

// await blocks while the relay is silent. It reports false if connections are refused.
func (r *relay) await() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.mode == silent {
		r.woken.Wait()
	}
	return r.mode == pass
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
}

func (r *relay) forget(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *relay) serve(c net.Conn) {
	r.track(c)
	defer r.forget(c)
	if !r.await() {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	up, err := net.DialTimeout("tcp4", r.target, 2*time.Second)
	if err != nil {
		return
	}
	r.track(up)
	defer r.forget(up)
	go func() {
		r.copy(c, up)
		_ = c.Close()
	}()
	r.copy(up, c)
}

func (r *relay) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !r.await() {
				return
			}
			if _, e := to.Write(b[:n]); e != nil {
				return
			}
		}
		if err != nil {
			r.await()
			if err == io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}
