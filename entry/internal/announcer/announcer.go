// Package announcer adds entry VMs to the VM list of the platform fake. A real platform maintains its list itself.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
)

const requestTimeout = 5 * time.Second

// Command is the subcommand that adds VMs to the list.
type Command struct{ platform, vms string }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "announce" }

// Synopsis returns a short description.
func (*Command) Synopsis() string { return "add entry VMs to the VM list of the platform fake" }

// Usage returns the usage text.
func (*Command) Usage() string { return "announce -platform IP:PORT -vms ID=IP:PORT@DOMAIN,...\n" }

// SetFlags registers the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "127.0.0.1:7400", "control address of the platform fake")
	f.StringVar(&c.vms, "vms", "", "entry VMs with their peer address, as ID=IP:PORT@DOMAIN, separated by commas")
}

// Execute adds the VMs.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.announce(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) announce(ctx context.Context) error {
	var command struct {
		Set []encoder.ListedVM `json:"set"`
	}
	for _, text := range strings.Split(c.vms, ",") {
		id, rest, hasAddress := strings.Cut(text, "=")
		address, domain, hasDomain := strings.Cut(rest, "@")
		if _, err := netip.ParseAddrPort(address); !hasAddress || !hasDomain || err != nil {
			return eris.Errorf("flag vms: %q does not have the form ID=IP:PORT@DOMAIN", text)
		}
		command.Set = append(command.Set, encoder.ListedVM{
			Name: id, Role: "entry", Address: address, FailureDomain: domain, State: encoder.VMLive,
		})
	}
	body, err := json.Marshal(command)
	if err != nil {
		return eris.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.platform+"/control", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "call platform")
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return eris.Errorf("the platform answered with status %d", reply.StatusCode)
	}
	return nil
}
