// Package commander defines the subcommands of the operators' command and their exit codes.
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
	ExitDone        = 0
	ExitUsage       = 2
	ExitFaults      = 3 // the table or a change is not valid
	ExitConflict    = 4 // another operator edited the same row
	ExitUnknown     = 5 // the edit may or may not take effect
	ExitUnavailable = 6 // the platform or the entry VM gives no answer
	ExitDiffers     = 7 // diff found differences
)

// environment is what every subcommand uses.
type environment struct {
	out, errors io.Writer
	platform    string
	entry       string
	who         string
	timeout     time.Duration
	json        bool
}

// Run carries out one command line and returns its exit code.
func Run(ctx context.Context, name string, arguments []string, out, errors io.Writer) int {
	e := &environment{out: out, errors: errors}
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(errors)
	f.StringVar(&e.platform, "platform", "", "address of the platform's key-value service, ip:port")
	f.StringVar(&e.entry, "entry", "", "caller address of any entry VM, ip:port")
	f.StringVar(&e.who, "who", userName(), "name that the history of edits shows")
	f.DurationVar(&e.timeout, "timeout", 15*time.Second, "time limit of the command")
	f.BoolVar(&e.json, "json", false, "print JSON for scripts")
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

func (e *environment) editor() (*editor.Editor, func(), error) {
	a, err := address("platform", e.platform)
	if err != nil {
		return nil, nil, err
	}
	c := &kvclient.Client{Address: a}
	return &editor.Editor{Store: c}, c.Close, nil
}

func (e *environment) inspector() (inspector.Inspector, error) {
	a, err := address("entry", e.entry)
	return inspector.Inspector{Address: a}, err
}

func address(name, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, eris.Errorf("flag -%s: %q is not an address of the form ip:port", name, value)
	}
	return a, nil
}

// fail prints an error and returns the exit code.
func (e *environment) fail(code int, err error) subcommands.ExitStatus {
	if e.json {
		_ = json.NewEncoder(e.out).Encode(map[string]any{"error": err.Error(), "code": code})
	} else {
		_, _ = fmt.Fprintln(e.errors, err)
	}
	return subcommands.ExitStatus(code)
}

// command is one subcommand.
type command struct {
	name, synopsis, usage string
	flags                 func(*flag.FlagSet)
	execute               func(context.Context, []string) subcommands.ExitStatus
}

// Name returns the name of the subcommand.
func (c *command) Name() string { return c.name }

// Synopsis returns a short description.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the usage text.
func (c *command) Usage() string { return c.usage + "\n  " + c.synopsis + "\n" }

// SetFlags registers the flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute carries the subcommand out.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.execute(ctx, f.Args())
}
