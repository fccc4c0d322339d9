package session

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes the report as Markdown tables.
func (r Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Reads with an age limit of 2 s by %d roaming sessions, one write for nine reads, seed %d. Target: %.0f%% on replicas at %v lag, no violation.\n\n",
		sessions, r.Seed, 100*TargetReplicaShare, TargetLag)
	b.WriteString("| deployment | way | lag | reads | on replicas | p50 ms | p99 ms | violations |\n|---|---|---:|---:|---:|---:|---:|---:|\n")
	for _, x := range r.Reads {
		fmt.Fprintf(&b, "| %s | %s | %v | %d | %.1f%% | %s | %s | %d |\n", x.Deployment, x.Variant, x.Lag, x.Reads,
			100*x.ReplicaShare(), milliseconds(x.P50), milliseconds(x.P99), x.Violations)
	}
	fmt.Fprintf(&b, "\nLongest time without an acknowledged write after a failure, whole nodes, %d sessions. Targets: p50 under %v, max under %v.\n\n",
		sessions, TargetGapP50, TargetGapMax)
	b.WriteString("| deployment | failure | runs | p50 ms | max ms | done | not run | unknown | write lost | lost acknowledgements | violations | targets |\n")
	b.WriteString("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---|\n")
	for _, x := range r.Gaps {
		writeGap(&b, x, "")
	}
	for _, x := range r.Totals {
		verdict := "met"
		if !x.MeetsTargets() {
			verdict = "not met"
		}
		writeGap(&b, x, verdict)
	}
	fmt.Fprintf(&b, "\nFloods through whole nodes, open loop. Target: %.0f%% of the first rank's requests in time while browsing floods.\n\n", 100*TargetFirstRankShare)
	b.WriteString("| deployment | scenario | class | offered/s | answered/s | in time | p50 ms | p99 ms | not run | unknown |\n|---|---|---|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, x := range r.Floods {
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.0f | %.1f%% | %s | %s | %d | %d |\n", x.Deployment, x.Scenario, x.Class, x.Rate,
			x.Answered, 100*x.InTime, milliseconds(x.P50), milliseconds(x.P99), x.NotRun, x.Unknown)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeGap(b *strings.Builder, x GapResult, verdict string) {
	fmt.Fprintf(b, "| %s | %s | %d | %s | %s | %d | %d | %d | %d | %d | %d | %s |\n", x.Deployment, x.Kind, x.Runs,
		milliseconds(x.P50), milliseconds(x.Max), x.Done, x.NotRun, x.Unknown, x.WriteLost, x.LostAcks, x.Violations, verdict)
}
