// Package checker verifies answers of the entry VMs against the content of the fake index, which is known exactly.
//
// A wrong answer is a result of another query, version or layout, a shard that is reported both or neither way, or a call
// that ran against its stated outcome.
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

// Checker knows the layouts of all index versions. It is safe for concurrent use.
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

// New returns a checker that knows the first index version of each service.
func New(d *describer.Deployment) *Checker {
	c := &Checker{layouts: make(map[versionKey]layout)}
	for i := range d.Services {
		if s := &d.Services[i]; s.IsSearch {
			c.AddVersion(s.Name, s.Version, s.Layout, s.Shards)
		}
	}
	return c
}

// AddVersion adds an index version. It has to be called before a server holds the version.
func (c *Checker) AddVersion(service string, version uint64, name string, shards int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layouts[versionKey{service, version}] = layout{name, shards}
}

// CheckSearch returns what is wrong with an answer to a search, or "".
func (c *Checker) CheckSearch(service, query string, a *encoder.SearchAnswer) string {
	c.mu.Lock()
	l, ok := c.layouts[versionKey{service, a.Snapshot}]
	c.mu.Unlock()
	switch {
	case len(a.Covered) == 0 && len(a.Results) == 0:
		return "" // nothing was reached; without a reply the entry VM need not know a layout
	case !ok:
		return fmt.Sprintf("snapshot %d is not an index version of %s", a.Snapshot, service)
	case a.Layout != l.name || a.ShardsTotal != l.shards:
		return fmt.Sprintf("snapshot %d has layout %q with %d shards, want %q with %d", a.Snapshot, a.Layout, a.ShardsTotal, l.name, l.shards)
	case a.Outcome == encoder.OutcomeDone && len(a.Missing) > 0:
		return fmt.Sprintf("outcome done with %d missing shards", len(a.Missing))
	}
	if fault := partition(a, l.shards); fault != "" {
		return fault
	}
	return results(service, query, a, l)
}

// partition checks that each shard is either covered or missing.
func partition(a *encoder.SearchAnswer, shards int) string {
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

// results checks that every covered shard has its own result and no other shard has one.
func results(service, query string, a *encoder.SearchAnswer, l layout) string {
	got := make(map[int][]string, len(a.Results))
	for _, r := range a.Results {
		if _, twice := got[r.Shard]; twice {
			return fmt.Sprintf("shard %d has two results", r.Shard)
		}
		if !slices.Contains(a.Covered, r.Shard) {
			return fmt.Sprintf("shard %d has a result and is not covered", r.Shard)
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

// CheckLookup returns what is wrong with an answer to a lookup, or "".
func CheckLookup(service, key string, a *encoder.CallAnswer) string {
	var got string
	if err := json.Unmarshal(a.Result, &got); err != nil || got != indexer.LookupResult(service, key) {
		return fmt.Sprintf("lookup of %q has the result %.200s", key, a.Result)
	}
	return ""
}

// CheckCall returns what is wrong with an answer to a call that is done, or "".
func CheckCall(body []byte, a *encoder.CallAnswer) string {
	var got bytes.Buffer
	if err := json.Compact(&got, a.Result); err != nil || !bytes.Equal(got.Bytes(), body) {
		return fmt.Sprintf("call %s has the result %.200s", body, a.Result)
	}
	return ""
}

// CheckExecutions compares the stated outcomes of calls, by body, with how often they have run. It returns what is wrong.
func CheckExecutions(outcomes map[string]encoder.Outcome, executed map[string]int) []string {
	var faults []string
	for body, o := range outcomes {
		switch n := executed[body]; {
		case n > 1:
			faults = append(faults, fmt.Sprintf("call %s ran %d times", body, n))
		case n == 1 && o == encoder.OutcomeNotRun:
			faults = append(faults, fmt.Sprintf("call %s is said to be not run and ran", body))
		case n == 0 && o == encoder.OutcomeDone:
			faults = append(faults, fmt.Sprintf("call %s is said to be done and did not run", body))
		}
	}
	slices.Sort(faults)
	return faults
}
