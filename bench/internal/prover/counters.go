package prover

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// reportCounters adds the routing and transport counters, summed over all VMs that answer, to the result.
func (t *trial) reportCounters(ctx context.Context) {
	sums := map[string]float64{}
	for _, e := range t.testbed.EntryAddresses() {
		s, err := t.caller.status(ctx, e)
		if err != nil {
			continue
		}
		for _, m := range []map[string]any{s.Router, s.Transport} {
			for k, v := range m {
				if n, ok := v.(float64); ok {
					sums[k] += n
				}
			}
		}
	}
	var parts []string
	for k, n := range sums {
		parts = append(parts, fmt.Sprintf("%s %.0f", k, n))
	}
	slices.Sort(parts)
	t.reportf("counters of all VMs: %s", strings.Join(parts, ", "))
}
