package prover

import (
	"fmt"
	"slices"
	"strings"
)

// reasonCounts counts the reasons stated in answers and for missing shards. Keys are the kind of result and the reason.
type reasonCounts map[string]int

// add counts a reason for a kind of result. An empty reason is not counted.
func (r reasonCounts) add(what, reason string) {
	if reason != "" {
		r[what+" "+reason]++
	}
}

// String lists the counts, sorted by key.
func (r reasonCounts) String() string {
	var parts []string
	for k, n := range r {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
