// Package runner implements the subcommands of the entry daemon and connects, starts and stops its components.
package runner

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"comfreyroute/core/state/configloader"
)

// Command is the subcommand that runs the daemon.
type Command struct{ settings string }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "run" }

// Synopsis returns a short description.
func (*Command) Synopsis() string { return "run the entry daemon (default)" }

// Usage returns the usage text.
func (*Command) Usage() string { return "run -settings FILE\n" }

// SetFlags registers the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "entry.ini", "INI file with the settings")
}

// Execute runs the daemon until a signal stops it.
func (c *Command) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := configloader.Load(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// CheckCommand is the subcommand that validates a settings file.
type CheckCommand struct{ settings string }

// Name returns the name of the subcommand.
func (*CheckCommand) Name() string { return "check" }

// Synopsis returns a short description.
func (*CheckCommand) Synopsis() string { return "check a settings file and list all errors" }

// Usage returns the usage text.
func (*CheckCommand) Usage() string { return "check -settings FILE\n" }

// SetFlags registers the flags.
func (c *CheckCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "entry.ini", "INI file with the settings")
}

// Execute prints all errors in the settings file.
func (c *CheckCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := configloader.Load(c.settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}
