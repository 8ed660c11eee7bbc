package router

import (
	"cmp"
	"slices"

	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
)

// maxShards limits the number of shards of a layout, so that a faulty report cannot make an answer arbitrarily large.
const maxShards = 1 << 20

// indexVersion is an index version in one layout, with the shards that each group holds of it. A version that upstreams report
// with two layouts is two indexVersions, which are never merged. Shards stay known after their last holder is removed, because
// running queries still list them as missing.
type indexVersion struct {
	version     uint64
	layout      string
	shardsTotal int
	groups      []groupHolding
	covered     int // groups with a holder that accepts new work
	holders     int // upstreams that hold it
	minHolders  int // fewest holders of a covered group, -1 if not computed since the last report
}

type groupHolding struct {
	shards    []int // sorted; the shard set that most replicas of the group report
	holders   int   // replicas that hold it and accept new work
	reporters int   // replicas that hold it
}

// catalog holds the index versions that the upstreams of a service reported.
type catalog struct{ indexes []*indexVersion }

// best returns the index version that covers the most groups, or nil if there is none. Among several it returns the newest
// one that is sufficiently replicated: its least replicated group has at least half as many holders as that of the best
// replicated one. During a rollout, the first holders of a version would otherwise receive the whole load: with one holder
// of three, a third of the capacity.
func (c *catalog) best() *indexVersion {
	covered, most := 1, 0
	for _, x := range c.indexes {
		if x.covered > covered {
			covered, most = x.covered, 0
		}
		if x.covered == covered {
			most = max(most, x.fewestHolders())
		}
	}
	var b *indexVersion
	for _, x := range c.indexes {
		if x.covered == covered && 2*x.fewestHolders() >= most && (b == nil || x.isNewerThan(b)) {
			b = x
		}
	}
	return b
}

// fewestHolders returns the number of holders of the least replicated covered group.
func (x *indexVersion) fewestHolders() int {
	if x.minHolders >= 0 {
		return x.minHolders
	}
	x.minHolders = 0
	for _, h := range x.groups {
		if h.holders > 0 && (x.minHolders == 0 || h.holders < x.minHolders) {
			x.minHolders = h.holders
		}
	}
	return x.minHolders
}

func (x *indexVersion) isNewerThan(o *indexVersion) bool {
	return x.version > o.version || x.version == o.version && x.layout < o.layout
}

func (c *catalog) find(version uint64, layout string, total int) *indexVersion {
	for _, x := range c.indexes {
		if x.version == version && x.layout == layout && x.shardsTotal == total {
			return x
		}
	}
	return nil
}

// refreshGroup replaces the holdings of a group by those that its replicas report now.
func (c *catalog) refreshGroup(set *selector.Set, group int, replicas []int) {
	for _, x := range c.indexes {
		x.minHolders = -1
		if group < len(x.groups) {
			h := &x.groups[group]
			if h.holders > 0 {
				x.covered--
			}
			x.holders -= h.reporters
			h.holders, h.reporters = 0, 0
		}
	}
	for _, i := range replicas {
		u := set.At(i)
		for k := range u.Held {
			if validHeld(&u.Held[k]) {
				c.addReport(set, group, replicas, &u.Held[k], u.Eligible())
			}
		}
	}
	c.indexes = slices.DeleteFunc(c.indexes, func(x *indexVersion) bool { return x.holders == 0 })
}

func (c *catalog) addReport(set *selector.Set, group int, replicas []int, held *encoder.HeldVersion, eligible bool) {
	x := c.find(held.Version, held.Layout, held.ShardsTotal)
	if x == nil {
		x = &indexVersion{version: held.Version, layout: held.Layout, shardsTotal: held.ShardsTotal, minHolders: -1}
		c.indexes = append(c.indexes, x)
		slices.SortFunc(c.indexes, func(a, b *indexVersion) int {
			return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.layout, b.layout), cmp.Compare(a.shardsTotal, b.shardsTotal))
		})
	}
	for len(x.groups) <= group {
		x.groups = append(x.groups, groupHolding{})
	}
	h := &x.groups[group]
	if h.reporters == 0 {
		h.shards = majorityShards(set, replicas, held)
	}
	h.reporters++
	x.holders++
	if eligible {
		h.holders++
		if h.holders == 1 {
			x.covered++
		}
	}
}

// majorityShards returns the sorted shard set that most replicas report for an index version; on a tie, the first of them.
func majorityShards(set *selector.Set, replicas []int, held *encoder.HeldVersion) []int {
	var best []int
	votes := 0
	for _, i := range replicas {
		a := findHeld(set.At(i).Held, held)
		if a == nil {
			continue
		}
		n := 0
		for _, j := range replicas {
			if b := findHeld(set.At(j).Held, held); b != nil && equalShards(a.Shards, b.Shards) {
				n++
			}
		}
		if n > votes {
			best, votes = a.Shards, n
		}
	}
	if slices.IsSorted(best) {
		return best
	}
	best = slices.Clone(best)
	slices.Sort(best)
	return best
}

func findHeld(all []encoder.HeldVersion, want *encoder.HeldVersion) *encoder.HeldVersion {
	for k := range all {
		h := &all[k]
		if h.Version == want.Version && h.Layout == want.Layout && h.ShardsTotal == want.ShardsTotal && validHeld(h) {
			return h
		}
	}
	return nil
}

func equalShards(a, b []int) bool {
	if slices.Equal(a, b) {
		return true
	}
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// validHeld reports whether a report has a version and lists distinct shards of its layout.
func validHeld(h *encoder.HeldVersion) bool {
	if h.Version == 0 || h.ShardsTotal <= 0 || h.ShardsTotal > maxShards || len(h.Shards) > h.ShardsTotal {
		return false
	}
	ascending := true
	for k, s := range h.Shards {
		if s < 0 || s >= h.ShardsTotal {
			return false
		}
		ascending = ascending && (k == 0 || h.Shards[k-1] < s)
	}
	if ascending {
		return true
	}
	sorted := slices.Clone(h.Shards)
	slices.Sort(sorted)
	return len(slices.Compact(sorted)) == len(h.Shards)
}

func equalHeld(a, b []encoder.HeldVersion) bool {
	return slices.EqualFunc(a, b, func(x, y encoder.HeldVersion) bool {
		return x.Version == y.Version && x.Layout == y.Layout && x.ShardsTotal == y.ShardsTotal && slices.Equal(x.Shards, y.Shards)
	})
}
