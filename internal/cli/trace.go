package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/trace"
)

// traceRecorder writes the ticks of the decision core to a file.
type traceRecorder struct {
	file     *os.File
	recorder *trace.Recorder
}

func openTrace(name string, settings *config.Settings) (*traceRecorder, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, oops.With("step", "open_trace", "peer", settings.VM).Wrap(err)
	}
	return &traceRecorder{file: file}, nil
}

// Start writes the header of the trace.
func (t *traceRecorder) Start(config core.Config) error {
	var err error
	t.recorder, err = trace.NewRecorder(t.file, config)
	return err
}

// Tick records one tick.
func (t *traceRecorder) Tick(now entity.Time, in *core.Inputs, out *core.Outputs) {
	t.recorder.Tick(now, in, out)
}

// Close flushes the buffered ticks and closes the file.
func (t *traceRecorder) Close() error {
	if t.recorder == nil {
		return t.file.Close()
	}
	return errors.Join(t.recorder.Flush(), t.file.Close())
}

func addReplay(r *Registry) {
	command := r.App.Command("replay", "Run a recorded trace through the decision core and compare the outputs.\n\nThe command fails at the first tick whose outputs differ from the recorded ones. It also checks the trace by rules of its own: one result for each request, no run after a refusal, no second run without proof, no acknowledgement without a confirmed round.")
	name := command.Arg("trace", "Trace file written by proxy --trace.").Required().String()
	show := command.Flag("outputs", "Print the outputs of each tick as a JSON line.").Bool()
	r.Add(command, func(context.Context) error {
		file, err := os.Open(*name)
		if err != nil {
			return err
		}
		defer file.Close()
		return replay(r.Env, file, *show)
	})
}

// replay replays a trace and checks it. With show, it prints the outputs of each tick.
func replay(env *Environment, file *os.File, show bool) error {
	ticks, results := 0, 0
	encoder := json.NewEncoder(env.Stdout)
	checker := trace.NewChecker()
	err := trace.Replay(file, func(now entity.Time, in *core.Inputs, out *core.Outputs) error {
		ticks++
		results += len(out.Results)
		if err := checker.Visit(now, in, out); err != nil {
			return err
		}
		if show {
			return encoder.Encode(out)
		}
		return nil
	})
	if err != nil {
		return oops.With("step", "replay", "peer", file.Name()).Wrap(err)
	}
	if err := errors.Join(checker.Violations()...); err != nil {
		return oops.With("step", "check_trace", "peer", file.Name()).Wrap(err)
	}
	_, err = fmt.Fprintf(env.Stderr, "%d ticks and %d results replayed, all outputs equal\n", ticks, results)
	return err
}
