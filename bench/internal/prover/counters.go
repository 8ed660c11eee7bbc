package prover

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// counters reports the sums of the routing and transport counters of all VMs that answer.
func (t *trial) counters(ctx context.Context) {
	sums := map[string]float64{}
	for _, e := range t.set.EntryAddresses() {
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
	t.figure("counters of all VMs: %s", strings.Join(parts, ", "))
}
