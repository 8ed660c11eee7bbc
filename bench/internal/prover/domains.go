package prover

import (
	"context"
	"time"

	"comfreyroute/bench/internal/controller"
)

// proveDarkDomain makes two failure domains unreachable, one after the other, for 3 seconds each.
func proveDarkDomain(ctx context.Context, t *trial) error {
	s := t.newSearchLoad(matching)
	err := s.runDuring(ctx, func() error {
		var steps []timedStep
		for i, d := range t.testbed.Deployment().FailureDomains[:2] {
			c := controller.Command{Target: controller.Target{FailureDomain: d}, Action: "dark"}
			off := c
			off.Off = true
			start := time.Duration(1500+6000*i) * time.Millisecond
			steps = append(steps,
				timedStep{start, func() error { return t.testbed.UpstreamsControl().SendCommand(ctx, c) }},
				timedStep{start + 3*time.Second, func() error { return t.testbed.UpstreamsControl().SendCommand(ctx, off) }})
		}
		return runSteps(ctx, steps)
	})
	if err != nil {
		return err
	}
	s.reportAndCheck()
	t.reportCounters(ctx)
	if s.partial > 0 || s.noAnswer > 0 {
		t.faultf("%d searches were partial and %d had no answer although every group had a replica in another failure domain", s.partial, s.noAnswer)
	}
	return nil
}
