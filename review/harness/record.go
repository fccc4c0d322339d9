//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line per event, with the seconds since
// the start of the case. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
}

func newRecord(w io.Writer) *record {
	return &record{out: bufio.NewWriter(w), started: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An incomplete record does not change the result.
	_ = r.out.Flush()
}
