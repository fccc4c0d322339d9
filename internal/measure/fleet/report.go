package fleet

import (
	"fmt"
	"io"
	"time"
)

// Report has the results of Run. Tables and Documents have the memory of membership
// tables and of document syncs.
type Report struct {
	Seed        uint64
	Sizes       []SizeResult
	Starts      []StartResult
	Comparisons []ComparisonResult
	Tables      []MemoryResult
	Documents   []MemoryResult
}

// fullPhase is the duration of each measured phase of Run.
const fullPhase = 30 * time.Second

// Run measures fleets of 9 to 1,000 VMs, starts with up to 15,000 documents, and the
// memory of up to 5,000 VMs and 15,000 documents. The seed determines all results
// except memory, which depends on the allocator. Run returns an error if an instance
// does not receive all documents at its start, or if a comparison misses a difference.
func Run(seed uint64) (Report, error) {
	return run(seed, []int{9, 100, 200, 400, 1000}, []int{1000, 5000, 15000}, fullPhase)
}

func run(seed uint64, sizes, documents []int, phase time.Duration) (Report, error) {
	report := Report{Seed: seed}
	for _, vms := range sizes {
		r, err := measureSize(seed, vms, phase)
		if err != nil {
			return report, err
		}
		report.Sizes = append(report.Sizes, r)
	}
	for _, n := range documents {
		r, err := measureStart(seed, n)
		if err != nil {
			return report, err
		}
		report.Starts = append(report.Starts, r)
		c, err := measureComparison(n)
		if err != nil {
			return report, err
		}
		report.Comparisons = append(report.Comparisons, c)
		report.Documents = append(report.Documents, measureDocuments(n))
	}
	for _, vms := range []int{1000, 2000, 5000} {
		report.Tables = append(report.Tables, measureTable(vms))
	}
	return report, nil
}

// WriteMarkdown writes the results as Markdown tables.
func (r Report) WriteMarkdown(w io.Writer) error {
	p := &printer{w: w}
	r.writeSizes(p)
	r.writeStarts(p)
	r.writeComparisons(p)
	writeMemory(p, "known VMs", r.Tables)
	writeMemory(p, "documents of 2,000 bytes", r.Documents)
	return p.err
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

func (r Report) writeSizes(p *printer) {
	p.line("| VMs | cells (largest) | in force | one zone cut | outside a zone cut from the store | catch-up | never | detection | watchers | store calls/s |")
	p.line("|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range r.Sizes {
		p.line("| %d | %d (%d) | %s | %s | %s | %s | %d | %s | %d | %.1f |", s.VMs, s.Cells, s.LargestCell,
			seconds(s.ApplyTime), seconds(s.ApplyTimeZoneCut), seconds(s.ApplyTimeOutsideCut), seconds(s.CatchUp),
			s.NeverApplied, seconds(s.Detection), s.Watchers, s.StoreCallsPerSecond)
	}
	p.line("")
	p.line("| VMs | sent B/s | received B/s | busiest VM: sent | received | both | heartbeats | messages/s | false suspicions | owner changes after a zone loss | owners lost | without owner |")
	p.line("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range r.Sizes {
		p.line("| %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f%% | %.0f | %d of %d | %d of %d | %d | %d |", s.VMs,
			s.SentPerSecond, s.ReceivedPerSecond, s.LargestSent, s.LargestReceived, s.LargestBoth, 100*s.HeartbeatShare, s.MessagesPerSecond,
			s.FalseSuspicions, s.Samples, s.OwnerChanges, s.Databases, s.OwnersLost, s.WithoutOwner)
	}
	p.line("")
}

func (r Report) writeStarts(p *printer) {
	p.line("| documents | time to learn from peers | bytes received | messages received |")
	p.line("|---|---|---|---|")
	for _, s := range r.Starts {
		p.line("| %d | %s | %d | %d |", s.Documents, seconds(s.Time), s.Bytes, s.Messages)
	}
	p.line("")
}

func (r Report) writeComparisons(p *printer) {
	p.line("| documents | comparison without a difference | with one difference | messages |")
	p.line("|---|---|---|---|")
	for _, c := range r.Comparisons {
		p.line("| %d | %d B | %d B | %d |", c.Documents, c.EqualBytes, c.DifferentBytes, c.DifferentMessages)
	}
	p.line("")
}

func writeMemory(p *printer, rows string, results []MemoryResult) {
	p.line("| %s | heap | bytes per row |", rows)
	p.line("|---|---|---|")
	for _, m := range results {
		p.line("| %d | %.2f MB | %.0f |", m.Rows, float64(m.Bytes)/1e6, float64(m.Bytes)/float64(m.Rows))
	}
	p.line("")
}
