// Package checker verifies answers of entry VMs against the content of the fake index, which is deterministic.
//
// An answer is wrong if it has results of another query, version or layout, if a shard is reported as both covered and missing or
// as neither, or if the number of executions of a call contradicts its outcome.
package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/indexer"
)

// Checker verifies answers to searches against the layouts of all index versions. It is safe for concurrent use.
type Checker struct {
	mu      sync.Mutex
	layouts map[versionKey]layout
}

type versionKey struct {
	service string
	version uint64
}

type layout struct {
	name   string
	shards int
}

// New returns a checker with the first index version of each search service of a deployment.
func New(d *describer.Deployment) *Checker {
	c := &Checker{layouts: make(map[versionKey]layout)}
	for i := range d.Services {
		if s := &d.Services[i]; s.IsSearch {
			c.AddVersion(s.Name, s.Version, s.Layout, s.Shards)
		}
	}
	return c
}

// AddVersion adds an index version. It must be called before an upstream holds the version.
func (c *Checker) AddVersion(service string, version uint64, name string, shards int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layouts[versionKey{service, version}] = layout{name, shards}
}

// CheckSearch verifies an answer to a search that ran. It returns what is wrong with the answer, or "".
func (c *Checker) CheckSearch(service, query string, a *encoder.SearchAnswer) string {
	c.mu.Lock()
	l, ok := c.layouts[versionKey{service, a.Snapshot}]
	c.mu.Unlock()
	switch {
	case len(a.Covered) == 0 && len(a.Results) == 0:
		return "" // no upstream replied, so the entry VM might not know the layout
	case !ok:
		return fmt.Sprintf("snapshot %d is not an index version of %s", a.Snapshot, service)
	case a.Layout != l.name || a.ShardsTotal != l.shards:
		return fmt.Sprintf("snapshot %d has layout %q with %d shards, want %q with %d", a.Snapshot, a.Layout, a.ShardsTotal, l.name, l.shards)
	case a.Outcome == encoder.OutcomeDone && len(a.Missing) > 0:
		return fmt.Sprintf("outcome done with %d missing shards", len(a.Missing))
	}
	if fault := checkPartition(a, l.shards); fault != "" {
		return fault
	}
	return checkResults(service, query, a, l)
}

// checkPartition checks that each shard is reported exactly once, as covered or missing, and returns what is wrong or "".
func checkPartition(a *encoder.SearchAnswer, shards int) string {
	seen := make([]int, shards)
	mark := func(s int) bool {
		if s < 0 || s >= shards {
			return false
		}
		seen[s]++
		return true
	}
	for _, s := range a.Covered {
		if !mark(s) {
			return fmt.Sprintf("covered shard %d is outside the layout", s)
		}
	}
	for _, m := range a.Missing {
		if !mark(m.Shard) {
			return fmt.Sprintf("missing shard %d is outside the layout", m.Shard)
		}
	}
	if s := slices.IndexFunc(seen, func(n int) bool { return n != 1 }); s >= 0 {
		return fmt.Sprintf("shard %d is reported %d times as covered or missing", s, seen[s])
	}
	return ""
}

// checkResults checks that every covered shard has exactly its expected result and no other shard has one. It returns what is
// wrong or "".
func checkResults(service, query string, a *encoder.SearchAnswer, l layout) string {
	got := make(map[int][]string, len(a.Results))
	for _, r := range a.Results {
		if _, twice := got[r.Shard]; twice {
			return fmt.Sprintf("shard %d has two results", r.Shard)
		}
		if !slices.Contains(a.Covered, r.Shard) {
			return fmt.Sprintf("shard %d has a result but is not covered", r.Shard)
		}
		got[r.Shard] = r.Items
	}
	for _, s := range a.Covered {
		if want := indexer.Items(service, a.Snapshot, l.name, s, query); !slices.Equal(got[s], want) {
			return fmt.Sprintf("shard %d has %q, want %q", s, got[s], want)
		}
	}
	return ""
}

// CheckLookup verifies an answer to a lookup that is done. It returns what is wrong with the answer, or "".
func CheckLookup(service, key string, a *encoder.CallAnswer) string {
	var got string
	if err := json.Unmarshal(a.Result, &got); err != nil || got != indexer.LookupResult(service, key) {
		return fmt.Sprintf("lookup of %q has the result %.200s", key, a.Result)
	}
	return ""
}

// CheckCall verifies an answer to a call that is done. It returns what is wrong with the answer, or "".
func CheckCall(body []byte, a *encoder.CallAnswer) string {
	var got bytes.Buffer
	if err := json.Compact(&got, a.Result); err != nil || !bytes.Equal(got.Bytes(), body) {
		return fmt.Sprintf("call %s has the result %.200s", body, a.Result)
	}
	return ""
}

// CheckExecutions compares the outcomes of calls with the number of their executions, both by call body. It returns what is wrong,
// sorted.
func CheckExecutions(outcomes map[string]encoder.Outcome, executed map[string]int) []string {
	var faults []string
	for body, o := range outcomes {
		switch n := executed[body]; {
		case n > 1:
			faults = append(faults, fmt.Sprintf("call %s ran %d times", body, n))
		case n == 1 && o == encoder.OutcomeNotRun:
			faults = append(faults, fmt.Sprintf("call %s was answered as not run but ran", body))
		case n == 0 && o == encoder.OutcomeDone:
			faults = append(faults, fmt.Sprintf("call %s was answered as done but did not run", body))
		}
	}
	slices.Sort(faults)
	return faults
}
