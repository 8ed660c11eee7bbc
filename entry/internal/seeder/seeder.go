// Package seeder writes a first table into an empty platform, so that a first try needs no operator.
package seeder

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const timeout = 5 * time.Second

// row is one upstream row as `upstreams -print-table` writes it.
type row struct {
	Service       string         `json:"service"`
	Group         int            `json:"group"`
	Upstream      string         `json:"upstream"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	Weight        int            `json:"weight"`
	Connections   int            `json:"connections"`
	Slots         int            `json:"slots"`
	ConnectCostMS float64        `json:"connect_cost_ms"`
}

// Command reads upstream rows from standard input and writes the values of their services.
type Command struct {
	platform, point, latency, vms string
	fleet                         int
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "seed" }

// Synopsis returns a short description.
func (*Command) Synopsis() string { return "write a first table, from upstream rows on standard input" }

// Usage returns the usage text.
func (*Command) Usage() string {
	return "seed -platform IP:PORT [-fleet N] [-point SERVICES] [-latency SERVICES] [-vms LIST] < ROWS\n"
}

// SetFlags registers the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "127.0.0.1:7400", "address of the platform")
	f.StringVar(&c.point, "point", "", "ungrouped services, separated by commas")
	f.StringVar(&c.latency, "latency", "", "services that prefer latency, separated by commas")
	f.StringVar(&c.vms, "vms", "", "entry VMs for the VM list of the platform fake, as ID=IP:PORT@DOMAIN with the peer address, separated by commas")
	f.IntVar(&c.fleet, "fleet", tabler.DefaultFleetMax, "fleet_max")
}

// Execute writes the values. A value that exists already is an error.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.seed(ctx, os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) seed(ctx context.Context, r io.Reader) error {
	var rows []row
	if err := encoder.Decode(r, encoder.MaxPlatformBytes, &rows); err != nil {
		return eris.Wrap(err, "read rows")
	}
	if err := c.list(ctx); err != nil {
		return err
	}
	fleet := tabler.Value{Service: tabler.ServiceRow{Service: tabler.FleetService}, Fleet: tabler.Fleet{Max: c.fleet}}
	if err := c.put(ctx, &fleet); err != nil {
		return err
	}
	for _, v := range c.values(rows) {
		if err := c.put(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// values groups the rows by service, in the order of their first row.
func (c *Command) values(rows []row) []*tabler.Value {
	var values []*tabler.Value
	for _, r := range rows {
		i := slices.IndexFunc(values, func(v *tabler.Value) bool { return v.Service.Service == r.Service })
		if i < 0 {
			s := tabler.NewServiceRow(r.Service)
			if slices.Contains(strings.Split(c.point, ","), r.Service) {
				s.Kind = tabler.KindPoint
			}
			if slices.Contains(strings.Split(c.latency, ","), r.Service) {
				s.Prefer = tabler.PreferLatency
			}
			i, values = len(values), append(values, &tabler.Value{Service: s})
		}
		values[i].Upstreams = append(values[i].Upstreams, tabler.UpstreamRow{
			Service: r.Service, Group: r.Group, Upstream: r.Upstream, Address: r.Address, FailureDomain: r.FailureDomain,
			Weight: r.Weight, Connections: r.Connections, Slots: r.Slots,
			ConnectCost: time.Duration(r.ConnectCostMS * float64(time.Millisecond)),
		})
	}
	return values
}

// list puts the entry VMs into the VM list. The platform fake offers this; a real platform fills the list itself.
func (c *Command) list(ctx context.Context) error {
	if c.vms == "" {
		return nil
	}
	var set []encoder.ListedVM
	for _, text := range strings.Split(c.vms, ",") {
		id, rest, ok := strings.Cut(text, "=")
		address, domain, more := strings.Cut(rest, "@")
		if !ok || !more {
			return eris.Errorf("vms: %q is not ID=IP:PORT@DOMAIN", text)
		}
		set = append(set, encoder.ListedVM{Name: id, Role: "entry", Address: address, FailureDomain: domain, State: encoder.VMLive})
	}
	return c.send(ctx, http.MethodPost, "/control", struct {
		Set []encoder.ListedVM `json:"set"`
	}{set})
}

func (c *Command) put(ctx context.Context, v *tabler.Value) error {
	key := tabler.Key(v.Service.Service)
	data, err := tabler.Encode(v)
	if err != nil {
		return eris.Wrapf(err, "encode %s", key)
	}
	return c.send(ctx, http.MethodPut, encoder.PathKeys+key, encoder.PutRequest{Value: data})
}

// send makes one call of the platform.
func (c *Command) send(ctx context.Context, method, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(v)
	if err != nil {
		return eris.Wrapf(err, "encode body for %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.platform+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "make request for %s", path)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "call %s", path)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return eris.Errorf("call %s: the platform answers with status %d", path, reply.StatusCode)
	}
	return nil
}
