package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LineWriter writes log lines to a possibly slow writer without blocking the logger. Lines
// that arrive while the queue is full are dropped; their count is written with the next
// lines. It is safe for concurrent use.
type LineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// mu is held for reading while a line is queued, and guards closed.
	mu     sync.RWMutex
	closed bool
}

// NewLineWriter returns a writer with a queue of the given number of lines. The caller must
// call Close.
func NewLineWriter(out io.Writer, queue int) *LineWriter {
	w := &LineWriter{lines: make(chan []byte, queue), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line, which must end with a line break. It never blocks or fails. Lines
// that are written after Close are dropped.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchBytes is the size at which a batch of lines is written even if more are queued.
const maxBatchBytes = 32 << 10

func (w *LineWriter) run(out io.Writer) {
	defer close(w.done)
	for batch := range w.lines {
		for len(batch) < maxBatchBytes {
			select {
			case next, ok := <-w.lines:
				if !ok {
					w.write(out, batch)
					return
				}
				batch = append(batch, next...)
				continue
			default:
			}
			break
		}
		w.write(out, batch)
	}
}

// write writes lines and the count of dropped lines. Errors are ignored because a failure
// of the log cannot be logged.
func (w *LineWriter) write(out io.Writer, lines []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, "time=%q level=warning msg=\"lines left out\" event=log_lines_dropped count=%d\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = out.Write(lines)
}

// closeTimeout limits how long Close waits for the output.
const closeTimeout = 200 * time.Millisecond

// Close waits up to closeTimeout until the queued lines are written.
func (w *LineWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
