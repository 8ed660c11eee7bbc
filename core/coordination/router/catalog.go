package router

import (
	"cmp"
	"slices"

	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
)

// maxShards bounds the shards of a layout, so that a faulty report cannot make an answer grow without limit.
const maxShards = 1 << 20

// index is one index version in one layout, with what each shard group holds of it. A version that upstreams report with
// two layouts has two indexes, which are never merged. Shards stay known after the last holder is gone, because queries
// that run at the index still list them as missing.
type index struct {
	version uint64
	layout  string
	total   int
	groups  []holding
	covered int // groups with a holder that gets new work
	holders int // upstreams that hold it
	least   int // fewest holders of a covered group, -1 when not computed since the last report
}

type holding struct {
	shards  []int // sorted; what most replicas of the group report
	holders int   // replicas that get new work
	known   int   // replicas
}

// catalog holds the indexes that the upstreams of a service reported.
type catalog struct{ indexes []*index }

// best returns the index that covers the most groups, or nil. Of several, it returns the newest that is replicated enough: its
// least replicated group has at least half of the holders that another one of them offers. While a version spreads, the first
// replicas that hold it would otherwise get the load of all: with one of three, a third of the capacity.
func (c *catalog) best() *index {
	covered, most := 1, 0
	for _, x := range c.indexes {
		if x.covered > covered {
			covered, most = x.covered, 0
		}
		if x.covered == covered {
			most = max(most, x.leastHolders())
		}
	}
	var b *index
	for _, x := range c.indexes {
		if x.covered == covered && 2*x.leastHolders() >= most && (b == nil || x.newer(b)) {
			b = x
		}
	}
	return b
}

// leastHolders returns the fewest holders of a covered group.
func (x *index) leastHolders() int {
	if x.least >= 0 {
		return x.least
	}
	x.least = 0
	for _, h := range x.groups {
		if h.holders > 0 && (x.least == 0 || h.holders < x.least) {
			x.least = h.holders
		}
	}
	return x.least
}

func (x *index) newer(o *index) bool {
	return x.version > o.version || x.version == o.version && x.layout < o.layout
}

func (c *catalog) find(version uint64, layout string, total int) *index {
	for _, x := range c.indexes {
		if x.version == version && x.layout == layout && x.total == total {
			return x
		}
	}
	return nil
}

// refresh takes the reports of all replicas of a group anew.
func (c *catalog) refresh(set *selector.Set, group int, members []int) {
	for _, x := range c.indexes {
		x.least = -1
		if group < len(x.groups) {
			h := &x.groups[group]
			if h.holders > 0 {
				x.covered--
			}
			x.holders -= h.known
			h.holders, h.known = 0, 0
		}
	}
	for _, i := range members {
		u := set.At(i)
		for k := range u.Held {
			if validHeld(&u.Held[k]) {
				c.add(set, group, members, &u.Held[k], u.Eligible())
			}
		}
	}
	c.indexes = slices.DeleteFunc(c.indexes, func(x *index) bool { return x.holders == 0 })
}

func (c *catalog) add(set *selector.Set, group int, members []int, held *encoder.HeldVersion, isAvailable bool) {
	x := c.find(held.Version, held.Layout, held.ShardsTotal)
	if x == nil {
		x = &index{version: held.Version, layout: held.Layout, total: held.ShardsTotal, least: -1}
		c.indexes = append(c.indexes, x)
		slices.SortFunc(c.indexes, func(a, b *index) int {
			return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.layout, b.layout), cmp.Compare(a.total, b.total))
		})
	}
	for len(x.groups) <= group {
		x.groups = append(x.groups, holding{})
	}
	h := &x.groups[group]
	if h.known == 0 {
		h.shards = majority(set, members, held)
	}
	h.known++
	x.holders++
	if isAvailable {
		h.holders++
		if h.holders == 1 {
			x.covered++
		}
	}
}

// majority returns the sorted shard set that most replicas report for an index; the first one on a tie.
func majority(set *selector.Set, members []int, held *encoder.HeldVersion) []int {
	var best []int
	votes := 0
	for _, i := range members {
		a := heldAt(set.At(i).Held, held)
		if a == nil {
			continue
		}
		n := 0
		for _, j := range members {
			if b := heldAt(set.At(j).Held, held); b != nil && sameShards(a.Shards, b.Shards) {
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

func heldAt(all []encoder.HeldVersion, like *encoder.HeldVersion) *encoder.HeldVersion {
	for k := range all {
		h := &all[k]
		if h.Version == like.Version && h.Layout == like.Layout && h.ShardsTotal == like.ShardsTotal && validHeld(h) {
			return h
		}
	}
	return nil
}

func sameShards(a, b []int) bool {
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

// validHeld tells whether a report names a version and lists distinct shards of its layout.
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

func sameHeld(a, b []encoder.HeldVersion) bool {
	return slices.EqualFunc(a, b, func(x, y encoder.HeldVersion) bool {
		return x.Version == y.Version && x.Layout == y.Layout && x.ShardsTotal == y.ShardsTotal && slices.Equal(x.Shards, y.Shards)
	})
}
