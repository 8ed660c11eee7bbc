package runner

import (
	"context"
	"errors"
	"time"

	"comfreyroute/bench/internal/loader"
	"comfreyroute/core/protocol/encoder"
)

// Times of an experiment in addition to its blocks.
const (
	settleTime   = time.Second      // after the load of a block, so that the upstreams' counts include cancelled sub-requests
	timeoutSlack = 10 * time.Second // added to the timeout for each block, and ten times as much for start and stop
)

// Result is the outcome of an experiment under one policy.
type Result struct {
	Policy                    string
	Report                    *loader.Report
	Blocks                    []*loader.Report
	ConnectionLimitViolations uint64 // connections above the limit of any upstream
	MaxConnections            int    // most connections at once to one upstream of the service
	PlatformCalls             encoder.CallCounts
}

// RunExperiment runs an experiment. It writes settings and logs to a directory. All started processes have exited when it returns.
func RunExperiment(ctx context.Context, bin, directory string, e *Experiment, progress func(string)) (results [2]*Result, err error) {
	total := time.Duration(2*e.Blocks)*(e.Warmup+e.Block+settleTime+timeoutSlack) + 10*timeoutSlack
	ctx, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	var clusters [2]*cluster
	for i := range clusters {
		progress("starting the cluster of policy " + e.Policies[i].Name)
		n, claimErr := claimNetwork()
		if claimErr != nil {
			return results, claimErr
		}
		defer func() { _ = n.lock.Close() }() // runs after the cluster has stopped
		c, startErr := startCluster(ctx, bin, directory, e, e.Policies[i], n.address, nil)
		defer func() { err = errors.Join(err, c.stop()) }()
		if startErr != nil {
			return results, startErr
		}
		clusters[i], results[i] = c, &Result{Policy: e.Policies[i].Name, Report: loader.NewReport()}
	}
	for b := range e.Blocks {
		for _, i := range [2]int{b % 2, 1 - b%2} { // alternate the order, so that a trend in the host's load cancels out
			r, err := clusters[i].runBlock(ctx, e, b)
			if err != nil {
				return results, err
			}
			progress(blockSummary(e.Policies[i].Name, b, r))
			results[i].Report.Add(r)
			results[i].Blocks = append(results[i].Blocks, r)
		}
	}
	for i, c := range clusters {
		if err := c.readFinalCounts(ctx, e, results[i]); err != nil {
			return results, err
		}
	}
	return results, nil
}

// runBlock runs the load and the scenario of one block and returns its report.
func (c *cluster) runBlock(ctx context.Context, e *Experiment, number int) (*loader.Report, error) {
	steps, v := scenarioSteps[e.Scenario](e, number)
	if v != nil {
		c.checker.AddVersion(e.Service, v.number, v.layout, v.shards)
	}
	before, err := c.upstreams.TotalStats(ctx, e.Service)
	if err != nil {
		return nil, err
	}
	scenarioDone := make(chan error, 1)
	start := time.Now().Add(e.Warmup)
	go func() { scenarioDone <- c.runScenario(ctx, start, e.Block, steps) }()
	l := loader.New(c.checker)
	defer l.Close()
	load := e.loadConfig(number)
	load.Entries = c.entryAddresses
	r := l.Run(ctx, load)
	if err := <-scenarioDone; err != nil {
		return nil, err
	}
	if !waitUntil(ctx, time.Now().Add(settleTime)) {
		return nil, ctx.Err()
	}
	after, err := c.upstreams.TotalStats(ctx, e.Service)
	r.ReceivedSubRequests, r.ShedSubRequests = after.Received-before.Received, after.Shed-before.Shed
	return r, err
}

// runScenario sends the commands of a scenario at their fractions of the block.
func (c *cluster) runScenario(ctx context.Context, start time.Time, block time.Duration, steps []step) error {
	for _, x := range steps {
		if !waitUntil(ctx, start.Add(time.Duration(x.fraction*float64(block)))) {
			return ctx.Err()
		}
		if err := c.upstreams.SendCommand(ctx, x.command); err != nil {
			return err
		}
	}
	return nil
}

// readFinalCounts reads the counts of the fakes over all blocks into a result.
func (c *cluster) readFinalCounts(ctx context.Context, e *Experiment, r *Result) error {
	all, err := c.upstreams.Stats(ctx)
	if err != nil {
		return err
	}
	for _, x := range all { // the limit applies to every service, also to those without load
		r.ConnectionLimitViolations += x.Violations
	}
	t, err := c.upstreams.TotalStats(ctx, e.Service)
	if err != nil {
		return err
	}
	r.MaxConnections = t.MaxConnections
	r.PlatformCalls, err = c.platform.PlatformCalls(ctx)
	return err
}

// waitUntil waits until a time and reports whether it came before the context ended.
func waitUntil(ctx context.Context, deadline time.Time) bool {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
