//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// greyServer is a relay in front of a server. While it is grey, the server sheds a share of its
// requests: it answers BUSY, which means that the request did not run. Health checks, control
// commands, the bounds of transactions and statements inside them are passed on.
type greyServer struct {
	run      *run
	name     string
	listener net.Listener
	target   string
	grey     atomic.Bool
	share    float64
	mu       sync.Mutex
	random   *rand.Rand
	shed     atomic.Int64
}

// sheddable are the requests that a grey server sheds.
var sheddable = map[string]bool{"READ": true, "WRITE": true, "EXECUTE": true, "SET": true, "PREPARE": true, "CLOSE": true, "DISCARD": true}

func newGreyServer(r *run, name, target string, share float64) (*greyServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &greyServer{run: r, name: name, listener: listener, target: target, share: share, random: rand.New(rand.NewPCG(1, 1))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.serve(conn)
		}
	}()
	return g, nil
}

func (g *greyServer) address() string { return g.listener.Addr().String() }

func (g *greyServer) sheds(line, state string) bool {
	words := strings.Fields(line)
	if !g.grey.Load() || state != "I" || len(words) < 3 || words[0] != "QUERY" {
		return false
	}
	verb := words[2]
	if verb == "AFTER" && len(words) > 4 {
		verb = words[4]
	}
	if !sheddable[verb] {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64() < g.share
}

// serve relays one connection, one request after the other.
func (g *greyServer) serve(conn net.Conn) {
	defer conn.Close()
	server, err := net.Dial("tcp4", g.target)
	if err != nil {
		return
	}
	defer server.Close()
	requests, answers := bufio.NewReader(conn), bufio.NewReader(server)
	started, ready := false, ""
	for {
		line, err := requests.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.Fields(ready); len(words) > 1 && g.sheds(line, words[1]) {
			g.shed.Add(1)
			g.run.record.printf("server %s answers BUSY to: %s", g.name, strings.TrimSpace(line))
			if _, err := fmt.Fprintf(conn, "ERROR BUSY %s\r\n%s", g.name, ready); err != nil {
				return
			}
			continue
		}
		if _, err := server.Write([]byte(line)); err != nil {
			return
		}
		for {
			answer, err := answers.ReadString('\n')
			if err != nil {
				return
			}
			if _, err := conn.Write([]byte(answer)); err != nil {
				return
			}
			if strings.HasPrefix(answer, "READY ") {
				started, ready = true, answer
				break
			}
			if !started && strings.HasPrefix(answer, "ERROR ") {
				return
			}
		}
	}
}
