// Package capacity measures the cost per unit from which docs/CAPACITY.md
// calculates the cost of the design size: memory per table row, and CPU time and
// bytes per message.
package capacity

import (
	"encoding/json"
	"io"
	"runtime"
	"time"

	"github.com/samber/oops"
)

// Point is the cost measured at one size.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost measured at several sizes, in Unit. PerUnit is the average cost
// of one more item between the smallest and the largest size; Points show whether
// the cost is linear.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Points  []Point `json:"points"`
	PerUnit float64 `json:"per_unit"`
}

func newSlope(name, unit string, points []Point) Slope {
	first, last := points[0], points[len(points)-1]
	return Slope{name, unit, points, (last.Value - first.Value) / float64(last.Size-first.Size)}
}

// MessageCost is the average cost of one call of one kind.
type MessageCost struct {
	Name  string `json:"name"`
	Calls int    `json:"calls"`
	// Bytes is the size of one call on the connection in both directions, with HTTP/2
	// framing but without TCP and IP headers.
	Bytes float64 `json:"bytes"`
	// Microseconds is the CPU time of client and server together, including that of
	// the pauses between the calls.
	Microseconds float64 `json:"microseconds"`
}

// Report holds the results of one run.
type Report struct {
	Machine  string        `json:"machine"`
	Seed     uint64        `json:"seed"`
	Memory   []Slope       `json:"memory"`
	Time     []Slope       `json:"time"`
	Messages []MessageCost `json:"messages"`
}

// Run takes all measurements on this machine.
func Run(seed uint64) (Report, error) {
	r := Report{Machine: runtime.GOOS + "/" + runtime.GOARCH, Seed: seed}
	r.Memory = measureMemory()
	r.Time = measureTime()
	messages, err := measureMessages()
	if err != nil {
		return r, oops.With("step", "messages").Wrap(err)
	}
	r.Messages = messages
	callers, err := measureCallers()
	if err != nil {
		return r, oops.With("step", "callers").Wrap(err)
	}
	peers, err := measurePeers()
	if err != nil {
		return r, oops.With("step", "peers").Wrap(err)
	}
	r.Memory = append(r.Memory, callers, peers, measureDocuments())
	return r, nil
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// retainedMemory returns the bytes that the value returned by build keeps in use.
func retainedMemory(build func() any) float64 {
	before := memoryInUse()
	value := build()
	after := memoryInUse()
	runtime.KeepAlive(value)
	return after - before
}

// timePerStep returns the average duration in nanoseconds of the n steps that run
// performs.
func timePerStep(n int, run func(n int)) float64 {
	start := time.Now()
	run(n)
	return float64(time.Since(start)) / float64(n)
}
