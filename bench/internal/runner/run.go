package runner

import (
	"context"
	"errors"
	"time"

	"comfreyroute/bench/internal/loader"
	"comfreyroute/core/protocol/encoder"
)

// Times of an experiment beside its blocks.
const (
	settle = time.Second      // between blocks
	slack  = 10 * time.Second // for each block, and ten times that for start and stop
)

// Result is the outcome of an experiment under one policy.
type Result struct {
	Policy                    string
	Report                    *loader.Report
	Blocks                    []*loader.Report
	ConnectionLimitViolations uint64 // connections above the limit of an upstream
	MaxConnections            int    // to one upstream of the service
	PlatformCalls             encoder.CallCounts
}

// RunExperiment runs an experiment. Files of the run go to a directory. All started processes have ended when it returns.
func RunExperiment(ctx context.Context, bin, directory string, e *Experiment, progress func(string)) (results [2]*Result, err error) {
	total := time.Duration(2*e.Blocks)*(e.Warmup+e.Block+settle+slack) + 10*slack
	ctx, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	var stacks [2]*stack
	for i := range stacks {
		progress("starting " + e.Policies[i].Name)
		n, claimErr := claimNetwork()
		if claimErr != nil {
			return results, claimErr
		}
		defer func() { _ = n.lock.Close() }() // after the set has stopped
		s, startErr := startStack(ctx, bin, directory, e, e.Policies[i], n.address, nil)
		defer func() { err = errors.Join(err, s.stop()) }()
		if startErr != nil {
			return results, startErr
		}
		stacks[i], results[i] = s, &Result{Policy: e.Policies[i].Name, Report: loader.NewReport()}
	}
	for b := range e.Blocks {
		for _, i := range [2]int{b % 2, 1 - b%2} { // alternate the order, so that a trend of the machine cancels out
			r, err := stacks[i].block(ctx, e, b)
			if err != nil {
				return results, err
			}
			progress(summary(e.Policies[i].Name, b, r))
			results[i].Report.Add(r)
			results[i].Blocks = append(results[i].Blocks, r)
		}
	}
	for i, s := range stacks {
		if err := s.finish(ctx, e, results[i]); err != nil {
			return results, err
		}
	}
	return results, nil
}

// block runs the load and the scenario of one block.
func (s *stack) block(ctx context.Context, e *Experiment, number int) (*loader.Report, error) {
	steps, v := scenarios[e.Scenario](e, number)
	if v != nil {
		s.checker.AddVersion(e.Service, v.number, v.layout, v.shards)
	}
	before, err := s.upstreams.TotalStats(ctx, e.Service)
	if err != nil {
		return nil, err
	}
	disturbed := make(chan error, 1)
	start := time.Now().Add(e.Warmup)
	go func() { disturbed <- s.disturb(ctx, start, e.Block, steps) }()
	l := loader.New(s.checker)
	defer l.Close()
	c := e.load(number)
	c.Entries = s.entries
	r := l.Run(ctx, c)
	if err := <-disturbed; err != nil {
		return nil, err
	}
	if !pause(ctx, time.Now().Add(settle)) {
		return nil, ctx.Err()
	}
	after, err := s.upstreams.TotalStats(ctx, e.Service)
	r.ReceivedSubRequests, r.ShedSubRequests = after.Received-before.Received, after.Shed-before.Shed
	return r, err
}

// disturb carries out the steps of a scenario at their times.
func (s *stack) disturb(ctx context.Context, start time.Time, block time.Duration, steps []step) error {
	for _, x := range steps {
		if !pause(ctx, start.Add(time.Duration(x.at*float64(block)))) {
			return ctx.Err()
		}
		if err := s.upstreams.SendCommand(ctx, x.command); err != nil {
			return err
		}
	}
	return nil
}

func (s *stack) finish(ctx context.Context, e *Experiment, r *Result) error {
	all, err := s.upstreams.Stats(ctx)
	if err != nil {
		return err
	}
	for _, x := range all { // the limit holds in every service, also in those without load
		r.ConnectionLimitViolations += x.Violations
	}
	t, err := s.upstreams.TotalStats(ctx, e.Service)
	if err != nil {
		return err
	}
	r.MaxConnections = t.MaxConnections
	r.PlatformCalls, err = s.platform.PlatformCalls(ctx)
	return err
}

func pause(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
