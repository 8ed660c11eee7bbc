package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/plotter"
	"comfreyroute/bench/internal/runner"
)

// Modes of the result directories and files.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// experimentCommand implements the subcommand bench experiment.
type experimentCommand struct {
	bin string
	out string
}

func (*experimentCommand) Name() string { return "experiment" }
func (*experimentCommand) Synopsis() string {
	return "compare two policies on real processes under a fault"
}
func (*experimentCommand) Usage() string {
	return `experiment [-bin DIRECTORY] [-out DIRECTORY] FILE.ini
Starts two clusters of fakes and entry VMs on loopback, one for each policy, and runs the same load and scenario on both in
alternating blocks. Writes table.md, table.csv and latency.png, and stops all processes. Exit code 1 means that an answer was
wrong or that an upstream had more connections than its limit.
`
}

func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory of the entry, keystore and upstreams binaries")
	f.StringVar(&c.out, "out", "out", "directory for the results; each experiment writes to a subdirectory")
}

func (c *experimentCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	faulty, err := c.run(ctx, f.Arg(0))
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "bench:", err)
		return subcommands.ExitFailure
	case faulty:
		return subcommands.ExitFailure
	default:
		return subcommands.ExitSuccess
	}
}

// run runs the experiment and reports whether an answer was wrong or a connection limit was exceeded.
func (c *experimentCommand) run(ctx context.Context, path string) (bool, error) {
	e, err := runner.ReadExperiment(path)
	if err != nil {
		return false, err
	}
	logs, err := os.MkdirTemp("", "comfreyroute-"+e.Name+"-")
	if err != nil {
		return false, eris.Wrap(err, "experiment")
	}
	progress := func(s string) { fmt.Fprintln(os.Stderr, s) }
	results, err := runner.RunExperiment(ctx, c.bin, logs, e, progress)
	if err != nil {
		return false, eris.Wrapf(err, "run experiment; settings and logs are in %s", logs)
	}
	out := filepath.Join(c.out, e.Name)
	if err := writeResults(out, e, results); err != nil {
		return false, err
	}
	faulty := false
	for _, r := range results {
		for _, x := range r.Report.FailureExamples {
			fmt.Fprintln(os.Stderr, r.Policy+":", x)
		}
		faulty = faulty || r.Report.Wrong > 0 || r.ConnectionLimitViolations > 0
	}
	progress("results written to " + out)
	if faulty {
		progress("settings and logs are in " + logs)
		return true, nil
	}
	return false, eris.Wrap(os.RemoveAll(logs), "remove the log directory")
}

// writeResults writes the tables and the latency plot of an experiment to the directory out.
func writeResults(out string, e *runner.Experiment, results [2]*runner.Result) error {
	if err := os.MkdirAll(out, directoryMode); err != nil {
		return eris.Wrap(err, "write experiment results")
	}
	var rows []plotter.Row
	for _, r := range results {
		rows = append(rows, plotter.Row{Name: r.Policy, Report: r.Report})
	}
	var table, values bytes.Buffer
	fmt.Fprintf(&table, "# %s\n\nScenario %s, service %s of %s, %d entry VMs, %.1f requests/s, %d blocks of %v for each policy, seed %d.\n\n",
		e.Name, e.Scenario, e.Service, e.Deployment.Name, e.Entries, e.Rate, e.Blocks, e.Block, e.Seed)
	if err := plotter.WriteMarkdown(&table, rows); err != nil {
		return err
	}
	fmt.Fprintf(&table, "\nRatio of %s to %s over the paired blocks, median (lowest to highest): p50 %s, p99 %s.\n\n",
		results[0].Policy, results[1].Policy, quantileRatios(results, 50), quantileRatios(results, 99))
	fmt.Fprint(&table, "Extra load is an upper bound: sub-requests of searches that were refused after they were shed count as extra.\n\n")
	for _, r := range results {
		fmt.Fprintf(&table, "* %s: most connections to one upstream of %s: %d of %d; connections above the limit of any upstream: %d; platform calls: %d reads, %d writes, %d watches, %d lists.\n",
			r.Policy, e.Service, r.MaxConnections, e.Deployment.FindService(e.Service).Connections, r.ConnectionLimitViolations, r.PlatformCalls.Reads, r.PlatformCalls.Writes, r.PlatformCalls.Watches, r.PlatformCalls.Lists)
	}
	if err := plotter.WriteCSV(&values, append(rows, blockRows(results)...)); err != nil {
		return err
	}
	for name, data := range map[string][]byte{"table.md": table.Bytes(), "table.csv": values.Bytes()} {
		if err := os.WriteFile(filepath.Join(out, name), data, fileMode); err != nil {
			return eris.Wrap(err, "write experiment results")
		}
	}
	return plotter.PlotQuantiles(filepath.Join(out, "latency.png"), e.Name, rows)
}

// quantileRatios formats the ratio of the first policy's latency quantile to the second policy's over the paired blocks: the
// median and the range.
func quantileRatios(results [2]*runner.Result, q float64) string {
	var r []float64
	for i := range results[0].Blocks {
		a, b := results[0].Blocks[i].Quantile(q), results[1].Blocks[i].Quantile(q)
		if a > 0 && b > 0 {
			r = append(r, float64(a)/float64(b))
		}
	}
	if len(r) == 0 {
		return "none"
	}
	slices.Sort(r)
	median := (r[(len(r)-1)/2] + r[len(r)/2]) / 2
	return fmt.Sprintf("%.3f (%.3f to %.3f)", median, r[0], r[len(r)-1])
}

// blockRows returns a table row for each block of each policy.
func blockRows(results [2]*runner.Result) []plotter.Row {
	var rows []plotter.Row
	for _, r := range results {
		for i, b := range r.Blocks {
			rows = append(rows, plotter.Row{Name: fmt.Sprintf("%s block %d", r.Policy, i), Report: b})
		}
	}
	return rows
}
