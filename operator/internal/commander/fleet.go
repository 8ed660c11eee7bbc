package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/core/state/reporter"
)

func (e *environment) fleetCommands() []subcommands.Command {
	var html bool
	return []subcommands.Command{
		&command{
			name: "status", usage: "status",
			synopsis: "show the readiness, revisions in effect, peers, upstreams out of use and budgets of all entry VMs",
			execute:  func(ctx context.Context, _ []string) subcommands.ExitStatus { return e.status(ctx) },
		},
		&command{
			name: "burn", usage: "burn [-html]",
			synopsis: "show the burn rates of the service-level objectives of the fleet",
			flags:    func(f *flag.FlagSet) { f.BoolVar(&html, "html", false, "print the HTML page") },
			execute:  func(ctx context.Context, _ []string) subcommands.ExitStatus { return e.burn(ctx, html) },
		},
		&command{
			name: "outcome", usage: "outcome KEY|TICKET",
			synopsis: "show the outcome of the call with an idempotency key or ticket, without running the call",
			execute:  e.outcome,
		},
	}
}

// fleetStatus holds the fields of the response to /admin/fleet that the text output shows.
type fleetStatus struct {
	VMs []struct {
		VM           string            `json:"vm"`
		Domain       string            `json:"domain"`
		Ready        bool              `json:"ready"`
		Reason       string            `json:"reason"`
		Requests     int               `json:"requests"`
		Members      []struct{}        `json:"members"`
		ContactAgeMS int64             `json:"contact"` // ms since the latest known contact with the platform, -1 for none
		Revisions    map[string]uint64 `json:"revisions"`
		OutOfUse     []struct {
			Service  string `json:"service"`
			Upstream string `json:"upstream"`
			Reason   string `json:"why"`
		} `json:"out"`
		Suspicions int               `json:"suspicions"`
		Budgets    map[string]uint64 `json:"budgets"`
	} `json:"vms"`
	Unreachable []string `json:"unreachable"`
}

func (e *environment) status(ctx context.Context) subcommands.ExitStatus {
	data, code, err := e.fetch(ctx, "/admin/fleet", nil)
	if err != nil {
		return e.fail(code, err)
	}
	if e.printsJSON {
		_, _ = e.stdout.Write(data)
		return ExitOK
	}
	var s fleetStatus
	if err := json.Unmarshal(data, &s); err != nil {
		return e.fail(ExitUnavailable, eris.Wrap(err, "status"))
	}
	t := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VM\tDOMAIN\tREADY\tREQUESTS\tPEERS\tPLATFORM\tSUSPICIONS\tREVISIONS\tBUDGETS")
	for _, v := range s.VMs {
		ready := "yes"
		if !v.Ready {
			ready = "no: " + v.Reason
		}
		contact := "never"
		if v.ContactAgeMS >= 0 {
			contact = fmt.Sprintf("%d ms ago", v.ContactAgeMS)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\t%s\n", v.VM, v.Domain, ready, v.Requests, len(v.Members), contact, v.Suspicions,
			formatPairs(v.Revisions), formatPairs(v.Budgets))
	}
	if err := t.Flush(); err != nil {
		return e.fail(ExitUnavailable, err)
	}
	for _, v := range s.VMs {
		for _, o := range v.OutOfUse {
			_, _ = fmt.Fprintf(e.stdout, "%s: %s/%s receives no new requests: %s\n", v.VM, o.Service, o.Upstream, o.Reason)
		}
	}
	for _, v := range s.Unreachable {
		_, _ = fmt.Fprintf(e.stdout, "%s is unreachable\n", v)
	}
	return ExitOK
}

// formatPairs formats a map as space-separated key=value pairs in ascending order.
func formatPairs(m map[string]uint64) string {
	var parts []string
	for k, v := range m {
		parts = append(parts, fmt.Sprintf("%s=%d", k, v))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (e *environment) burn(ctx context.Context, html bool) subcommands.ExitStatus {
	data, code, err := e.fetch(ctx, "/admin/burn", nil)
	if err != nil {
		return e.fail(code, err)
	}
	if e.printsJSON {
		_, _ = e.stdout.Write(data)
		return ExitOK
	}
	var r reporter.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return e.fail(ExitUnavailable, eris.Wrap(err, "decode burn report"))
	}
	write := r.WriteText
	if html {
		write = r.WriteHTML
	}
	if err := write(e.stdout); err != nil {
		return e.fail(ExitUnavailable, err)
	}
	return ExitOK
}

func (e *environment) outcome(ctx context.Context, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 {
		return e.fail(ExitUsage, eris.New("outcome: exactly one key or ticket is required"))
	}
	data, code, err := e.fetch(ctx, "/admin/outcome", url.Values{"id": arguments})
	if err != nil {
		return e.fail(code, err)
	}
	_, _ = e.stdout.Write(data)
	return ExitOK
}

func (e *environment) fetch(ctx context.Context, path string, query url.Values) ([]byte, int, error) {
	i, err := e.newInspector()
	if err != nil {
		return nil, ExitUsage, err
	}
	data, err := i.Get(ctx, path, query)
	return data, ExitUnavailable, err
}
