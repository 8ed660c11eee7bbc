// Command bench measures and tests entry VMs. It sends open-loop load and verifies every answer, compares two policies under
// faults, replays decision traces, and checks the system's guarantees on real processes.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&loadCommand{}, "")
	subcommands.Register(&experimentCommand{}, "")
	subcommands.Register(&replayCommand{}, "")
	subcommands.Register(&proveCommand{}, "")
	subcommands.Register(&slopeCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
