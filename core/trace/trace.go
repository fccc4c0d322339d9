// Package trace records the inputs of a core node as JSON lines and replays them.
//
// A trace starts with a header line that has the node's configuration. Each further
// line is one tick with its time, its inputs and the digest of its outputs. The node
// is deterministic, so a replay must produce the same digests.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Version is the version of the trace format.
const Version = 1

// header is the first line of a trace.
type header struct {
	Version int         `json:"version"`
	Config  core.Config `json:"config"`
}

// tickRecord is the record of one tick.
type tickRecord struct {
	Now    entity.Time  `json:"now"`
	Inputs *core.Inputs `json:"in"`
	// Digest is the xxHash of the outputs encoded as JSON.
	Digest uint64 `json:"digest,string"`
}

// Recorder writes a trace. It is not safe for concurrent use.
type Recorder struct {
	out     *bufio.Writer
	encoder *json.Encoder
	err     error
}

// NewRecorder writes the header to w and returns a recorder.
func NewRecorder(w io.Writer, config core.Config) (*Recorder, error) {
	out := bufio.NewWriter(w)
	r := &Recorder{out: out, encoder: json.NewEncoder(out)}
	return r, r.encoder.Encode(header{Version: Version, Config: config})
}

// Tick records one tick. Flush returns the first error; later ticks are dropped.
func (r *Recorder) Tick(now entity.Time, in *core.Inputs, out *core.Outputs) {
	if r.err != nil {
		return
	}
	digest, err := digestOf(out)
	if err == nil {
		err = r.encoder.Encode(tickRecord{Now: now, Inputs: in, Digest: digest})
	}
	r.err = err
}

// Flush writes buffered data and returns the first error of the recording.
func (r *Recorder) Flush() error {
	return errors.Join(r.err, r.out.Flush())
}

func digestOf(out *core.Outputs) (uint64, error) {
	encoded, err := json.Marshal(out)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(encoded), nil
}

// DifferenceError reports a tick whose replay produced outputs that differ from the
// recorded ones.
type DifferenceError struct {
	// Line is the line number in the trace; the header is line 1.
	Line int
	Now  entity.Time
}

// Error implements error.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("line %d: the outputs at %d ns differ from the recorded ones", e.Line, e.Now)
}

// Replay runs a trace through a new node and calls visit for each tick. The outputs
// are valid until visit returns. Replay stops at the first error of visit, or with a
// *DifferenceError if outputs differ from the recorded ones.
func Replay(r io.Reader, visit func(now entity.Time, in *core.Inputs, out *core.Outputs) error) error {
	decoder := json.NewDecoder(r)
	var h header
	if err := decoder.Decode(&h); err != nil {
		return fmt.Errorf("line 1: %w", err)
	}
	if h.Version != Version {
		return fmt.Errorf("line 1: version %d is not supported, only %d", h.Version, Version)
	}
	node := core.New(h.Config)
	for lineNumber := 2; ; lineNumber++ {
		var record tickRecord
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if record.Inputs == nil {
			record.Inputs = &core.Inputs{}
		}
		if err := replayTick(node, lineNumber, &record, visit); err != nil {
			return err
		}
	}
}

func replayTick(node *core.Node, lineNumber int, record *tickRecord, visit func(entity.Time, *core.Inputs, *core.Outputs) error) error {
	out := node.Tick(record.Now, record.Inputs)
	digest, err := digestOf(out)
	if err != nil {
		return fmt.Errorf("line %d: %w", lineNumber, err)
	}
	if digest != record.Digest {
		return &DifferenceError{Line: lineNumber, Now: record.Now}
	}
	return visit(record.Now, record.Inputs, out)
}
