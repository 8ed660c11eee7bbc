package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/checker"
	"comfreyroute/bench/internal/controller"
	"comfreyroute/bench/internal/loader"
	"comfreyroute/bench/internal/plotter"
	"comfreyroute/upstreams/describer"
)

// settleTime is the wait before the upstreams' counts are read, so that they include cancelled sub-requests in flight.
const settleTime = time.Second

// loadCommand implements the subcommand bench load.
type loadCommand struct {
	deployment string
	entries    string
	control    string
	mix        string
	config     loader.Config
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "send open-loop load to entry VMs and verify the answers"
}
func (*loadCommand) Usage() string {
	return `load -deployment FILE -entries ip:port,... [flags]
Sends requests to the entry VMs in turn, measures latency from the intended send time and verifies each answer against the
content of the fake index. Exit code 1 means that an answer was wrong.
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "deployments/quickstart.ini", "deployment file of the upstreams")
	f.StringVar(&c.entries, "entries", "127.0.0.1:8000", "caller addresses of the entry VMs, ip:port, separated by commas")
	f.StringVar(&c.control, "control", "", "control address of the upstreams, ip:port; needed to report extra load and to verify executed calls")
	f.StringVar(&c.mix, "mix", "", "request mix such as matching=3,profiles=1,ledger:call=0.1; all search services when empty")
	f.Float64Var(&c.config.Rate, "rate", 50, "requests per second over all entry VMs")
	f.DurationVar(&c.config.Duration, "duration", 10*time.Second, "duration of the measurement")
	f.DurationVar(&c.config.Warmup, "warmup", 2*time.Second, "duration of the warm-up, which is not measured")
	f.DurationVar(&c.config.Deadline, "deadline", 0, "deadline of each request; 0 takes the one of the service row")
	f.BoolVar(&c.config.ConstantArrivals, "constant", false, "send at constant intervals instead of with Poisson arrivals")
	f.Uint64Var(&c.config.Seed, "seed", 1, "seed of the arrivals and queries")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	wrong, err := c.run(ctx)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "bench:", err)
		return subcommands.ExitUsageError
	case wrong:
		return subcommands.ExitFailure
	default:
		return subcommands.ExitSuccess
	}
}

// run runs the load and reports whether an answer was wrong.
func (c *loadCommand) run(ctx context.Context) (bool, error) {
	d, err := describer.ReadFile(c.deployment)
	if err != nil {
		return false, err
	}
	if c.config.Mix, err = loader.ParseMix(c.mix, d); err != nil {
		return false, err
	}
	if c.config.Rate <= 0 || c.config.Rate > 50000 || len(c.config.Mix) == 0 {
		return false, eris.New("rate must be above 0 and at most 50000, and the deployment needs a search service unless a mix is set")
	}
	for _, e := range strings.Split(c.entries, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(e))
		if err != nil {
			return false, eris.Wrap(err, "entries")
		}
		c.config.Entries = append(c.config.Entries, a)
	}
	c.config.CallerDelay = d.CallerDelay
	check := checker.New(d)
	var control *controller.Client
	if c.control != "" {
		a, err := netip.ParseAddrPort(c.control)
		if err != nil {
			return false, eris.Wrap(err, "control")
		}
		control = &controller.Client{Address: a}
		if err := addHeldVersions(ctx, check, *control, d); err != nil {
			return false, err
		}
	}
	return c.measure(ctx, check, control)
}

// measure sends the load, prints the results and reports whether an answer was wrong. A nil control client skips the checks that
// need the counts of the upstreams.
func (c *loadCommand) measure(ctx context.Context, check *checker.Checker, control *controller.Client) (bool, error) {
	before, err := totalStats(ctx, control, c.config.Mix)
	if err != nil {
		return false, err
	}
	l := loader.New(check)
	defer l.Close()
	r := l.Run(ctx, c.config)
	if control != nil {
		time.Sleep(settleTime)
		after, err := totalStats(ctx, control, c.config.Mix)
		if err != nil {
			return false, err
		}
		r.ReceivedSubRequests, r.ShedSubRequests = after.Received-before.Received, after.Shed-before.Shed
		executed, err := control.ExecutedCalls(ctx)
		if err != nil {
			return false, err
		}
		for service, outcomes := range r.CallOutcomes {
			faults := checker.CheckExecutions(outcomes, executed[service])
			r.Wrong += uint64(len(faults))
			r.FailureExamples = append(r.FailureExamples, faults[:min(len(faults), 10)]...)
		}
	} else {
		r.NeededSubRequests = 0 // extra load cannot be computed without the counts of the upstreams
	}
	for _, e := range r.FailureExamples {
		fmt.Fprintln(os.Stderr, e)
	}
	return r.Wrong > 0, plotter.WriteMarkdown(os.Stdout, []plotter.Row{{Name: "load", Report: r}})
}

// totalStats returns the sum of the upstreams' counts over the services in a mix, or zero counts without a control client.
func totalStats(ctx context.Context, control *controller.Client, mix []loader.RequestClass) (controller.Stats, error) {
	if control == nil {
		return controller.Stats{}, nil
	}
	var services []string
	for _, m := range mix {
		services = append(services, m.Service)
	}
	return control.TotalStats(ctx, services...)
}

// addHeldVersions adds the index versions that the upstreams hold to the checker. Answers from a version that is published during
// the load count as wrong.
func addHeldVersions(ctx context.Context, check *checker.Checker, control controller.Client, d *describer.Deployment) error {
	held, err := control.HeldVersions(ctx)
	if err != nil {
		return err
	}
	for _, s := range d.Servers() {
		for _, v := range held[s.Name] {
			check.AddVersion(s.Service.Name, v.Version, v.Layout, v.ShardsTotal)
		}
	}
	return nil
}
