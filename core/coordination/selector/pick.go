package selector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// costJitter is the random part of a cost, so that VMs with the same reports do not all select the same upstream.
	costJitter = 0.1
	// p2cSamples is the number of candidates that the policy P2C compares.
	p2cSamples = 2
)

// The tiers of candidates; the lowest one is preferred. A restricted upstream started or shed load recently.
const (
	tierTrial = iota
	tierHealthy
	tierRestricted
	tierAvoided
)

// Pick returns the position of the upstream for a sub-request. It returns false if no upstream is eligible for the query or all
// eligible ones are at their in-flight limits or have used up the rate that they declare. If all eligible upstreams failed
// lately, it returns the best of them; while others work, a failed one gets at most one sub-request at a time.
func (s *Set) Pick(now time.Time, r *rand.Rand, q Query) (int, bool) {
	candidates := s.positions
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
		if _, limited := u.DeclaredRate(); q.Unlimited && (limited || u.IsCold(now)) {
			continue
		}
		if !u.hasRoom(now) {
			full = full || !s.avoided(now, u)
			continue
		}
		tier := tierHealthy
		if q.Policy != Random {
			tier = s.candidateTier(now, r, u, first)
		}
		if !c.accepts(tier) {
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

// choice holds the best candidate of the lowest tier seen so far. For the policies that sample, it holds a uniform random
// sample of the candidates of that tier.
type choice struct {
	policy Policy
	tier   int
	seen   int // number of candidates of the tier
	index  [p2cSamples]int
	cost   [p2cSamples]float64
}

// accepts reports whether candidates of a tier are considered: those of a higher tier than the lowest one seen are not.
func (c *choice) accepts(tier int) bool {
	if c.seen == 0 || tier < c.tier {
		c.tier, c.seen = tier, 0
	}
	return tier == c.tier
}

func (c *choice) add(r *rand.Rand, i int, cost float64) {
	at := 0
	switch {
	case c.policy == P2C && c.seen < p2cSamples:
		at = c.seen
	case c.policy == P2C || c.policy == Random:
		at = r.IntN(c.seen + 1)
	case c.seen > 0 && cost >= c.cost[0]:
		at = p2cSamples
	}
	c.seen++
	if c.policy == Random && at > 0 || at >= p2cSamples {
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

// candidateTier returns the tier of a candidate. Only a first attempt is used as a trial: a retry or a hedge needs the best replica.
func (s *Set) candidateTier(now time.Time, r *rand.Rand, u *Upstream, first bool) int {
	if s.avoided(now, u) {
		if first && s.trialDue(now, u) {
			return tierTrial
		}
		return tierAvoided
	}
	if now.Before(u.shedUntil) {
		return tierRestricted
	}
	if part := u.rampShare(now); part < 1 && r.Float64() >= part {
		return tierRestricted
	}
	return tierHealthy
}
