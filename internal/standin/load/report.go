package load

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"
)

// Outcome is the result of a request or an attempt.
type Outcome string

const (
	// OutcomeDone: the request succeeded.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request was refused without execution, or no
	// connection could be opened.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeWriteLost: the request was not executed because an earlier write
	// of the session may be lost.
	OutcomeWriteLost Outcome = "write_lost"
	// OutcomeAlreadyExecuted: an earlier attempt of the request was executed.
	OutcomeAlreadyExecuted Outcome = "already_executed"
	// OutcomeError: the request failed with a database error.
	OutcomeError Outcome = "error"
)

// Quantiles summarize a latency histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// RankReport is the result of one rank.
type RankReport struct {
	Rank     string `json:"rank"`
	Arrivals int    `json:"arrivals"`
	// Shed counts the arrivals that were not sent because too many requests
	// were in flight or, for a write, because all sessions had one in flight.
	Shed int `json:"shed"`
	// Attempts counts the attempts of all requests, retries included.
	Attempts int `json:"attempts"`
	// WithinTarget counts the done requests that met TargetLatency.
	WithinTarget int             `json:"within_target"`
	Outcomes     map[Outcome]int `json:"outcomes"`
	// Errors counts the failed attempts by SQLSTATE; "connection" and "timeout"
	// stand for errors without one.
	Errors map[string]int `json:"errors"`
	// Latency is measured from the planned arrival to the final response of
	// done requests, RefusalLatency from the start of an attempt to its refusal
	// (SQLSTATE SH001).
	Latency        Quantiles `json:"latency"`
	RefusalLatency Quantiles `json:"refusal"`
	// ReadsChecked counts the successful reads that followed an acknowledged
	// write of the session, Violations those of them that returned an older
	// value.
	ReadsChecked int `json:"reads_checked"`
	Violations   int `json:"violations"`
}

// Write is a write request and its outcome as its session saw it.
type Write struct {
	Key     string  `json:"key"`
	Value   string  `json:"value"`
	Request string  `json:"request"`
	Outcome Outcome `json:"outcome"`
	// SessionNotified is set if the session was told afterwards that writes may
	// be lost.
	SessionNotified bool `json:"told,omitempty"`
	// Lost is set by MarkLost.
	Lost bool `json:"lost,omitempty"`
}

// ReadViolation is a read that returned an older value than the last
// acknowledged write of its session.
type ReadViolation struct {
	Rank string `json:"rank"`
	Key  string `json:"key"`
	// Expected is the value of the last write that was acknowledged before the
	// read started; Got is what the read returned, 0 for no row.
	Expected int `json:"expected"`
	Got      int `json:"got"`
	// Start and End are measured from the start of the run.
	Start time.Duration `json:"start_ns"`
	End   time.Duration `json:"end_ns"`
	// Lost is set by MarkLost if the expected write is lost; otherwise the read
	// was stale.
	Lost bool `json:"lost"`
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Duration is the length of the run, including the wait for the last
	// responses.
	Duration time.Duration `json:"duration_ns"`
	Ranks    []RankReport  `json:"ranks"`
	// LongestWriteGap is the longest time without an acknowledged write from
	// the start to the planned end, in milliseconds; 0 if the load has no
	// writes. It includes the time between arrivals.
	LongestWriteGap float64 `json:"longest_write_gap_ms"`
	// Unfinished counts the requests that did not return although their context
	// had ended: a fault of the load generator, not of the target.
	Unfinished int     `json:"unfinished"`
	Writes     []Write `json:"writes,omitempty"`
	// ReadViolations lists the reads that RankReport.Violations counts.
	ReadViolations []ReadViolation `json:"missed,omitempty"`
}

// Violations returns the number of reads of all ranks that did not see an
// acknowledged write of their session, whether stale or lost.
func (r *Report) Violations() int {
	total := 0
	for _, rank := range r.Ranks {
		total += rank.Violations
	}
	return total
}

// MarkLost marks the acknowledged writes that the database has lost and the
// read violations that such losses explain. committed reports whether a write
// is in the log of the final primary.
func (r *Report) MarkLost(committed func(key, value string) bool) {
	for i := range r.Writes {
		w := &r.Writes[i]
		w.Lost = w.Outcome == OutcomeDone && !committed(w.Key, w.Value)
	}
	for i := range r.ReadViolations {
		v := &r.ReadViolations[i]
		v.Lost = !committed(v.Key, strconv.Itoa(v.Expected))
	}
}

// SilentLosses returns the number of lost acknowledged writes whose sessions
// were not told. Call MarkLost first.
func (r *Report) SilentLosses() int {
	return lo.CountBy(r.Writes, func(w Write) bool { return w.Lost && !w.SessionNotified })
}

// StaleReads returns the number of read violations whose expected write is not
// lost. Before MarkLost these are all violations.
func (r *Report) StaleReads() int {
	return lo.CountBy(r.ReadViolations, func(v ReadViolation) bool { return !v.Lost })
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes a table with one row per rank, followed by the totals.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\tarrivals\tdone\tin target\tnot run\tunknown\tother\tattempts\tshed\tp50 ms\tp99 ms\tmax ms\trefusal p99\treads checked\tviolations\t")
	for _, rank := range r.Ranks {
		done, notRun, unknown := rank.Outcomes[OutcomeDone], rank.Outcomes[OutcomeNotRun], rank.Outcomes[OutcomeUnknown]
		other := rank.Outcomes[OutcomeWriteLost] + rank.Outcomes[OutcomeAlreadyExecuted] + rank.Outcomes[OutcomeError]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n",
			rank.Rank, rank.Arrivals, done, rank.WithinTarget, notRun, unknown, other, rank.Attempts, rank.Shed,
			rank.Latency.P50, rank.Latency.P99, rank.Latency.Max, rank.RefusalLatency.P99, rank.ReadsChecked, rank.Violations)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "longest time without an acknowledged write: %.0f ms\n"+
		"acknowledged writes lost, not told: %d\nreads that missed an own write that is not lost: %d\nrequests that did not return: %d\n",
		r.LongestWriteGap, r.SilentLosses(), r.StaleReads(), r.Unfinished)
	return err
}

const (
	// maxLatencyMicroseconds is the largest latency that the histograms hold;
	// longer ones are recorded as this one.
	maxLatencyMicroseconds = int64(5 * time.Minute / time.Microsecond)
	// histogramDigits is their precision in significant digits.
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicroseconds, histogramDigits)
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicroseconds))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: milliseconds(h.Max())}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
