package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/replayer"
)

// replayCommand implements the subcommand bench replay.
type replayCommand struct {
	outcomes string
	write    string
}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "replay a decision trace through the router and verify its outcomes"
}
func (*replayCommand) Usage() string {
	return `replay [-outcomes FILE] [-write FILE] TRACE
Replays a trace (GET /admin/trace of an entry VM) from its first step. Every action must equal the recorded one, every answer
must report each shard exactly once, and every request must have its expected outcome.
Exit code 1 means that the trace cannot be replayed or that a check failed.
`
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.outcomes, "outcomes", "", "file of expected outcomes, one JSON line for each request; outcomes are not checked without it")
	f.StringVar(&c.write, "write", "", "file to which the outcomes of the replay are written")
}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	faults, err := c.run(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return subcommands.ExitFailure
	}
	for _, x := range faults {
		fmt.Fprintln(os.Stderr, x)
	}
	if len(faults) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run replays a trace and returns the differences and rule violations that it found.
func (c *replayCommand) run(path string) ([]string, error) {
	trace, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read trace")
	}
	r, err := replayer.Replay(trace)
	if err != nil {
		return nil, eris.Wrapf(err, "replay trace %s", path)
	}
	fmt.Printf("replayed %d steps and %d requests\n", r.Steps, len(r.Outcomes))
	if c.write != "" {
		var out bytes.Buffer
		if err := replayer.WriteOutcomes(&out, r.Outcomes); err != nil {
			return nil, err
		}
		if err := os.WriteFile(c.write, out.Bytes(), fileMode); err != nil {
			return nil, eris.Wrap(err, "write outcomes")
		}
	}
	if c.outcomes == "" {
		return r.Faults, nil
	}
	data, err := os.ReadFile(c.outcomes)
	if err != nil {
		return nil, eris.Wrap(err, "read expected outcomes")
	}
	want, err := replayer.ReadOutcomes(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrapf(err, "expected outcomes %s", c.outcomes)
	}
	return append(r.Faults, replayer.CompareOutcomes(want, r.Outcomes)...), nil
}
