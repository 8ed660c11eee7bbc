package selector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// spread is the part of a score that is random, so that VMs with the same reports do not all choose the same upstream.
	spread = 0.1
	// samples is the number of candidates that the policy P2C compares.
	samples = 2
)

// Tiers of candidates; a lower one is taken first. A reserve is an upstream that starts or that shed load.
const (
	tierTrial = iota
	tierGood
	tierReserve
	tierAvoided
)

// Pick returns the position of the upstream for a sub-request. It returns false when every allowed upstream is at its
// in-flight limit or none is allowed. When all allowed upstreams failed lately, it returns the best of these; while others
// work, a failed one gets at most one sub-request at a time.
func (s *Set) Pick(now time.Time, r *rand.Rand, q Query) (int, bool) {
	candidates := s.all
	if q.Group >= 0 {
		if q.Group >= len(s.groups) {
			return -1, false
		}
		candidates = s.groups[q.Group]
	}
	c := choice{policy: q.Policy}
	first := len(q.Exclude) == 0
	full := false
	for _, i := range candidates {
		u := &s.upstreams[i]
		if !u.Eligible() || !u.holds(q.Version) || slices.Contains(q.Exclude, i) {
			continue
		}
		if u.InFlight >= u.Limit() {
			full = full || !s.avoided(now, u)
			continue
		}
		tier := tierGood
		if q.Policy != Random {
			tier = s.tier(now, r, u, first)
		}
		if !c.takes(tier) {
			continue
		}
		c.add(r, i, s.cost(now, r, u, q.Policy))
	}
	i := c.best()
	if i < 0 || c.tier == tierAvoided && full && s.upstreams[i].InFlight > 0 {
		return -1, false
	}
	return i, true
}

// choice keeps the best candidate of the lowest tier seen. For the policies that sample it keeps a random sample, in which
// each candidate is with the same probability.
type choice struct {
	policy Policy
	tier   int
	seen   int // candidates of the tier
	index  [samples]int
	cost   [samples]float64
}

// takes tells whether candidates of a tier are still wanted.
func (c *choice) takes(tier int) bool {
	if c.seen == 0 || tier < c.tier {
		c.tier, c.seen = tier, 0
	}
	return tier == c.tier
}

func (c *choice) add(r *rand.Rand, i int, cost float64) {
	at := 0
	switch {
	case c.policy == P2C && c.seen < samples:
		at = c.seen
	case c.policy == P2C || c.policy == Random:
		at = r.IntN(c.seen + 1)
	case c.seen > 0 && cost >= c.cost[0]:
		at = samples
	}
	c.seen++
	if c.policy == Random && at > 0 || at >= samples {
		return
	}
	c.index[at], c.cost[at] = i, cost
}

func (c *choice) best() int {
	switch {
	case c.seen == 0:
		return -1
	case c.policy == P2C && c.seen > 1 && c.cost[1] < c.cost[0]:
		return c.index[1]
	default:
		return c.index[0]
	}
}

// tier sorts a candidate. A trial goes only to a first attempt: a retry or a hedge needs the best replica.
func (s *Set) tier(now time.Time, r *rand.Rand, u *Upstream, first bool) int {
	if s.avoided(now, u) {
		if first && s.trialDue(now, u) {
			return tierTrial
		}
		return tierAvoided
	}
	if now.Before(u.shedUntil) {
		return tierReserve
	}
	if part := u.ramp(now); part < 1 && r.Float64() >= part {
		return tierReserve
	}
	return tierGood
}
