// Package measure runs the measurements on virtual time and writes their report.
package measure

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/internal/measure/failover"
	"skylarkhinge.dev/skylarkhinge/internal/measure/fleet"
	"skylarkhinge.dev/skylarkhinge/internal/measure/floodsim"
	"skylarkhinge.dev/skylarkhinge/internal/measure/session"
)

// section is one section of the report: its heading and the measurement that fills it.
type section struct {
	title string
	run   func(seed uint64) (markdownWriter, error)
}

// markdownWriter is a measurement's result.
type markdownWriter interface{ WriteMarkdown(w io.Writer) error }

func sections() []section {
	return []section{
		{"Reads, failovers and drains of whole nodes", func(seed uint64) (markdownWriter, error) { return session.Run(seed) }},
		{"Failover of one database group", func(seed uint64) (markdownWriter, error) { return failover.Run(seed) }},
		{"Documents and membership of a fleet", func(seed uint64) (markdownWriter, error) { return fleet.Run(seed) }},
	}
}

// Write runs all measurements with the seed and writes measurements.md and the
// plots to dir. It prints the name of each step to progress. The runs take a few
// minutes on one core.
func Write(seed uint64, dir string, progress io.Writer) error {
	var report bytes.Buffer
	fmt.Fprintf(&report, "# Measurements\n\nWritten by `make measure` (seed %d) from its own run, on virtual time with small fakes: the same seed gives the same figures, apart from memory.\n\n", seed)
	if err := writeFloods(&report, seed, dir, progress); err != nil {
		return err
	}
	for _, s := range sections() {
		fmt.Fprintf(progress, "%s ...\n", s.title)
		result, err := s.run(seed)
		if err != nil {
			return oops.With("step", s.title).Wrap(err)
		}
		fmt.Fprintf(&report, "\n## %s\n\n", s.title)
		if err := result.WriteMarkdown(&report); err != nil {
			return oops.With("step", s.title).Wrap(err)
		}
	}
	return writeFile(dir, "measurements.md", func(w io.Writer) error {
		_, err := w.Write(report.Bytes())
		return err
	})
}

// writeFloods runs the scheduler measurements, appends their section to the report
// and writes one plot per deployment and scenario, which compares core/flood with a
// FIFO queue.
func writeFloods(report *bytes.Buffer, seed uint64, dir string, progress io.Writer) error {
	fmt.Fprintln(progress, "floods ...")
	floods, err := floodsim.Run(seed)
	if err != nil {
		return oops.With("step", "floods").Wrap(err)
	}
	report.WriteString("## Floods\n\n")
	if err := floods.WriteMarkdown(report); err != nil {
		return oops.With("step", "floods").Wrap(err)
	}
	if err := os.MkdirAll(filepath.Join(dir, "plots"), 0o755); err != nil {
		return oops.With("step", "plots").Wrap(err)
	}
	for _, d := range floodsim.Deployments() {
		for _, sc := range floodsim.Scenarios() {
			name := filepath.Join("plots", d.Name+"-"+sc.Name+".svg")
			plot := func(w io.Writer) error { return floods.WritePlot(w, d.Name, sc.Name, floodsim.FIFO) }
			if err := writeFile(dir, name, plot); err != nil {
				return err
			}
			fmt.Fprintf(report, "\n![%s, %s](%s)\n", d.Name, sc.Name, name)
		}
	}
	return nil
}

func writeFile(dir, name string, content func(io.Writer) error) error {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return oops.With("step", "create", "file", name).Wrap(err)
	}
	if err := content(f); err != nil {
		_ = f.Close()
		return oops.With("step", "write", "file", name).Wrap(err)
	}
	return oops.With("step", "close", "file", name).Wrap(f.Close())
}
