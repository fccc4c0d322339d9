package failover

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteMarkdown writes the report as Markdown tables.
func (r Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Failover gap, seed %d. Targets: p50 under %v, max under %v; users' limit %v.\n\n", r.Seed, TargetP50, TargetMax, UserLimit)
	b.WriteString("| deployment | kind | failovers | unfinished | p50 ms | p99 ms | max ms | most promotions | targets |\n")
	b.WriteString("|---|---|---:|---:|---:|---:|---:|---:|---|\n")
	for _, g := range r.Gaps {
		writeGapRow(&b, g, "")
	}
	for _, g := range r.Totals {
		writeGapRow(&b, g, verdict(g))
	}
	if len(r.Losses) > 0 {
		fmt.Fprintf(&b, "\nFalse promotions with %.0f%% loss and %v pauses. Target: 0.\n\n", 100*lossRate, pauseLength)
		b.WriteString("| deployment | load | virtual time | false promotions | writes acknowledged |\n|---|---|---:|---:|---:|\n")
	}
	for _, l := range r.Losses {
		fmt.Fprintf(&b, "| %s | %s | %v | %d | %d |\n", l.Deployment, l.Load, l.Duration, l.FalsePromotions, l.Acknowledged)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeGapRow(b *strings.Builder, g GapResult, verdict string) {
	fmt.Fprintf(b, "| %s | %s | %d | %d | %s | %s | %s | %d | %s |\n", g.Deployment, g.Kind, g.Gap.Count+g.Unfinished,
		g.Unfinished, milliseconds(g.Gap.P50), milliseconds(g.Gap.P99), milliseconds(g.Gap.Max), g.MaxPromotions, verdict)
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// verdict returns the last column of a total: whether it meets the targets.
func verdict(g GapResult) string {
	if g.MeetsTargets() {
		return "met"
	}
	return "not met"
}

// MeetsTargets reports whether every failover completed and the gaps are below TargetP50
// and TargetMax.
func (g GapResult) MeetsTargets() bool {
	return g.Unfinished == 0 && g.Gap.P50 < TargetP50 && g.Gap.Max < TargetMax
}
