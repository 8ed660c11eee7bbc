package prover

import (
	"fmt"
	"slices"
	"strings"
)

// reasons counts the reasons of answers and missing shards.
type reasons map[string]int

func (r reasons) add(what, reason string) {
	if reason != "" {
		r[what+" "+reason]++
	}
}

// String lists the counts by name.
func (r reasons) String() string {
	var parts []string
	for k, n := range r {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
