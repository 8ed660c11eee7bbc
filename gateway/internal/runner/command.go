// Package runner implements the subcommands of the gateway and connects, starts and stops its components.
package runner

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"comfreyroute/platform/translator"
)

// Command is the subcommand that runs the gateway.
type Command struct {
	settings        string
	followThreshold int
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "run" }

// Synopsis returns a short description.
func (*Command) Synopsis() string { return "run the gateway" }

// Usage returns the usage text.
func (*Command) Usage() string { return "run [-settings FILE] [-follow N]\n" }

// SetFlags registers the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", defaultSettingsPath(), "settings file")
	f.IntVar(&c.followThreshold, "follow", 0, "smallest failure domain, in VMs, in which one VM reads the store for the others; 0 selects the default")
}

// Execute runs the gateway until it receives a stop signal.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := translator.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	g := &Gateway{Settings: settings, SettingsPath: c.settings, FollowThreshold: c.followThreshold}
	if err := g.Run(ctx); err != nil {
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
func (*CheckCommand) Synopsis() string { return "check a settings file" }

// Usage returns the usage text.
func (*CheckCommand) Usage() string { return "check [-settings FILE]\n" }

// SetFlags registers the flags.
func (c *CheckCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", defaultSettingsPath(), "settings file")
}

// Execute prints the first error in the settings file.
func (c *CheckCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := translator.LoadSettings(c.settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("the settings are valid")
	return subcommands.ExitSuccess
}

func defaultSettingsPath() string { return os.Getenv(translator.SettingsVariable) }
