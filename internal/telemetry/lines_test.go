package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that blocks because its log is not read, and against dropped
// lines that are not counted.
func TestLineWriterNeverBlocks(t *testing.T) {
	reader, pipe := io.Pipe()
	w := NewLineWriter(pipe, 100)
	began := time.Now()
	for range 5000 {
		_, err := w.Write([]byte("event=x\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < time.Second)
	var out bytes.Buffer
	copied := make(chan error, 1)
	go func() {
		_, err := io.Copy(&out, reader)
		copied <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := w.Write([]byte("event=last\n"))
	assert.NilError(t, err)
	w.Close()
	assert.NilError(t, pipe.Close())
	assert.NilError(t, <-copied)
	assert.Assert(t, strings.Contains(out.String(), "event=log_lines_dropped count="))
	assert.Assert(t, strings.Contains(out.String(), "event=last\n"))
}

// Guards against a Close that blocks forever if the log is not read.
func TestLineWriterClosesWithoutReader(t *testing.T) {
	_, pipe := io.Pipe()
	w := NewLineWriter(pipe, 10)
	_, err := w.Write([]byte("event=x\n"))
	assert.NilError(t, err)
	began := time.Now()
	w.Close()
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against a crash at the end of a process whose sessions still log.
func TestLineWriterIsClosedWhileOthersWrite(t *testing.T) {
	for range 20 {
		w := NewLineWriter(io.Discard, 10)
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 2000 {
					_, err := w.Write([]byte("line\n"))
					assert.NilError(t, err)
				}
			})
		}
		w.Close()
		writers.Wait()
	}
}
