package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LineWriter passes whole log lines on to a slow writer without blocking the
// one who logs. Lines that find the queue full are left out and counted; the
// count is written once there is room again. It is safe for concurrent use.
type LineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	closing sync.Once
}

// NewLineWriter returns a writer with a queue of the given number of lines.
func NewLineWriter(out io.Writer, queue int) *LineWriter {
	w := &LineWriter{lines: make(chan []byte, queue), ended: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line. It never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchBytes bounds the lines that are written at once.
const maxBatchBytes = 32 << 10

func (w *LineWriter) run(out io.Writer) {
	defer close(w.ended)
	for line := range w.lines {
		for len(line) < maxBatchBytes {
			select {
			case next, ok := <-w.lines:
				if !ok {
					w.write(out, line)
					return
				}
				line = append(line, next...)
				continue
			default:
			}
			break
		}
		w.write(out, line)
	}
}

// write passes lines on. There is nowhere to report that the log itself fails.
func (w *LineWriter) write(out io.Writer, lines []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, "time=%q level=warning msg=\"lines left out\" event=log_lines_dropped count=%d\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = out.Write(lines)
}

// closeTimeout bounds the wait for a reader that does not read.
const closeTimeout = 200 * time.Millisecond

// Close waits a little until the queued lines are written. No line may be
// written after it.
func (w *LineWriter) Close() {
	w.closing.Do(func() { close(w.lines) })
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}
