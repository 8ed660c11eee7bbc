// Package commander defines the subcommands of the operators' command-line tool and their exit codes.
package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os/user"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/core/transport/kvclient"
	"comfreyroute/operator/internal/editor"
	"comfreyroute/operator/internal/inspector"
)

// Exit codes for scripts.
const (
	ExitOK          = 0
	ExitUsage       = 2
	ExitInvalid     = 3 // the table or a change is invalid
	ExitConflict    = 4 // another operator edited the same row
	ExitUnknown     = 5 // the edit may or may not take effect
	ExitUnavailable = 6 // the platform or the entry VM is unavailable
	ExitDiffers     = 7 // diff found differences
)

// environment holds the global flags and the output streams, which all subcommands share.
type environment struct {
	stdout, stderr io.Writer
	platform       string
	entry          string
	who            string
	timeout        time.Duration
	printsJSON     bool
}

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, name string, arguments []string, out, errors io.Writer) int {
	e := &environment{stdout: out, stderr: errors}
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(errors)
	f.StringVar(&e.platform, "platform", "", "address of the platform's key-value service, ip:port")
	f.StringVar(&e.entry, "entry", "", "caller address of any entry VM, ip:port")
	f.StringVar(&e.who, "who", userName(), "operator name that is recorded in the edit history")
	f.DurationVar(&e.timeout, "timeout", 15*time.Second, "timeout of the command")
	f.BoolVar(&e.printsJSON, "json", false, "print JSON for scripts")
	c := subcommands.NewCommander(f, name)
	c.Output, c.Error = out, errors
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, x := range e.tableCommands() {
		c.Register(x, "table")
	}
	for _, x := range e.fleetCommands() {
		c.Register(x, "fleet")
	}
	if err := f.Parse(arguments); err != nil {
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	return int(c.Execute(ctx))
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (e *environment) newEditor() (*editor.Editor, func(), error) {
	a, err := parseAddress("platform", e.platform)
	if err != nil {
		return nil, nil, err
	}
	c := &kvclient.Client{Address: a}
	return &editor.Editor{Store: c}, c.Close, nil
}

func (e *environment) newInspector() (inspector.Inspector, error) {
	a, err := parseAddress("entry", e.entry)
	return inspector.Inspector{Address: a}, err
}

func parseAddress(name, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, eris.Errorf("flag -%s: %q is not an address of the form ip:port", name, value)
	}
	return a, nil
}

// fail prints an error and returns code as the exit status.
func (e *environment) fail(code int, err error) subcommands.ExitStatus {
	if e.printsJSON {
		_ = json.NewEncoder(e.stdout).Encode(map[string]any{"error": err.Error(), "code": code})
	} else {
		_, _ = fmt.Fprintln(e.stderr, err)
	}
	return subcommands.ExitStatus(code)
}

// command is a subcommand. It implements subcommands.Command.
type command struct {
	name, synopsis, usage string
	flags                 func(*flag.FlagSet)
	execute               func(context.Context, []string) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + "\n  " + c.synopsis + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.execute(ctx, f.Args())
}
