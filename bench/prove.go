package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"comfreyroute/bench/internal/prover"
)

// proveCommand implements the subcommand bench prove.
type proveCommand struct {
	bin, deployment string
	seed            uint64
}

func (*proveCommand) Name() string { return "prove" }
func (*proveCommand) Synopsis() string {
	return "check on real processes that the system's guarantees hold under faults"
}
func (*proveCommand) Usage() string {
	text := "prove [-bin DIRECTORY] [-deployment FILE.ini] [-seed N] [PROOF ...]\nRuns the named proofs, or all of them. Exit code 1 means that a guarantee was broken.\n"
	for _, p := range prover.Proofs {
		text += fmt.Sprintf("  %-10s %s\n", p.Name, p.Guarantee)
	}
	return text
}

func (c *proveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory of the entry, operator, keystore and upstreams binaries")
	f.StringVar(&c.deployment, "deployment", "deployments/haven.ini", "deployment file with the services matching and ledger")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the proofs' random choices")
}

func (c *proveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names := map[string]bool{}
	for _, n := range f.Args() {
		names[n] = true
	}
	status := subcommands.ExitSuccess
	for _, p := range prover.Proofs {
		if len(names) > 0 && !names[p.Name] {
			continue
		}
		delete(names, p.Name)
		held, err := prover.Run(ctx, prover.Config{Bin: c.bin, Deployment: c.deployment, Seed: c.seed, Out: os.Stdout}, p)
		if err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
		}
		if err != nil || !held {
			status = subcommands.ExitFailure
		}
		if len(names) == 0 && f.NArg() > 0 {
			return status
		}
	}
	for n := range names {
		fmt.Fprintf(os.Stderr, "bench: unknown proof %q\n%s", n, c.Usage())
		return subcommands.ExitUsageError
	}
	return status
}
