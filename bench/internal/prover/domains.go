package prover

import (
	"context"
	"time"

	"comfreyroute/bench/internal/controller"
)

// dark makes one failure domain after the other unreachable.
func dark(ctx context.Context, t *trial) error {
	s := t.searches(matching)
	err := s.during(ctx, func() error {
		var steps []at
		for i, d := range t.set.Deployment().FailureDomains[:2] {
			c := controller.Command{Target: controller.Target{FailureDomain: d}, Action: "dark"}
			off := c
			off.Off = true
			start := time.Duration(1500+6000*i) * time.Millisecond
			steps = append(steps,
				at{start, func() error { return t.set.UpstreamsControl().SendCommand(ctx, c) }},
				at{start + 3*time.Second, func() error { return t.set.UpstreamsControl().SendCommand(ctx, off) }})
		}
		return schedule(ctx, steps)
	})
	if err != nil {
		return err
	}
	s.check()
	t.counters(ctx)
	if s.partial > 0 || s.none > 0 {
		t.fault("%d searches were partial and %d had no answer although every group had a replica in another failure domain", s.partial, s.none)
	}
	return nil
}
