// Package runner starts and stops the gateway.
package runner

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"comfreyroute/platform/translator"
)

// Command runs the gateway.
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
	f.IntVar(&c.followThreshold, "follow", 0, "VMs in a failure domain from which one reads the store for the others; 0 takes the default")
}

// Execute runs the gateway until a signal ends it.
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

// CheckCommand checks a settings file.
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

// Execute prints what is wrong with the file.
func (c *CheckCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := translator.LoadSettings(c.settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("the settings are valid")
	return subcommands.ExitSuccess
}

func defaultSettingsPath() string { return os.Getenv(translator.SettingsVariable) }
