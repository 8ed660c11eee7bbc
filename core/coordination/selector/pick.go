package selector

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minPatience and defaultPatience bound how long an answer may be late before the upstream counts as silent. The
	// default holds until the service has replied once.
	minPatience     = 5 * time.Millisecond
	defaultPatience = 30 * time.Millisecond
	// patienceDeviations is the number of mean deviations above the mean latency that still counts as usual.
	patienceDeviations = 8
	// silentMissed is how many late and unanswered sub-requests make an upstream silent. One alone may be an
	// unresponsive connection.
	silentMissed = 2
	// loadHalfLife halves the weight of a reported load with its age.
	loadHalfLife = 100 * time.Millisecond
	// remotePenalty is added for an upstream in another failure domain that has not replied yet.
	remotePenalty = time.Millisecond
	// spread is the part of a score that is random, so that VMs with the same reports do not all choose the same upstream.
	spread = 0.1
	// errorWeight scales the share of errors in a score.
	errorWeight = 4
)

// Pick returns the position of the upstream for a sub-request. It returns false when every allowed upstream is at its
// in-flight limit or none is allowed. When all allowed upstreams have failed lately, it returns the best of these.
func (s *Set) Pick(now time.Time, r *rand.Rand, q Query) (int, bool) {
	candidates := s.all
	if q.Group >= 0 {
		if q.Group >= len(s.groups) {
			return 0, false
		}
		candidates = s.groups[q.Group]
	}
	best, bestTier, bestCost, seen := -1, 0, 0.0, 0
	for _, i := range candidates {
		u := &s.upstreams[i]
		if !u.Allowed() || u.InFlight >= u.Limit() || !u.holds(q.Version) || slices.Contains(q.Exclude, i) {
			continue
		}
		tier := 0
		if q.Policy != Random {
			tier = s.tier(now, r, u, len(q.Exclude) == 0)
		}
		if best >= 0 && tier > bestTier {
			continue
		}
		if best < 0 || tier < bestTier {
			best, bestTier, bestCost, seen = -1, tier, 0, 0
		}
		seen++
		cost := s.cost(now, r, u, q.Policy)
		if best < 0 || s.better(r, q.Policy, cost, bestCost, seen) {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// better tells whether the candidate replaces the best one. The policies that sample keep each of the seen candidates
// with the same probability.
func (s *Set) better(r *rand.Rand, p Policy, cost, bestCost float64, seen int) bool {
	if p == Random {
		return r.IntN(seen) == 0
	}
	return cost < bestCost
}

// Tiers of candidates; a lower one is taken first.
const (
	tierTrial = iota
	tierGood
	tierStarting
	tierAvoided
)

// tier sorts a candidate. A trial goes only to a first attempt: a retry or a hedge needs the best replica.
func (s *Set) tier(now time.Time, r *rand.Rand, u *Upstream, first bool) int {
	if s.avoided(now, u) {
		if first && s.trialDue(now, u) {
			return tierTrial
		}
		return tierAvoided
	}
	if part := u.ramp(now); part < 1 && r.Float64() >= part {
		return tierStarting
	}
	return tierGood
}

// avoided tells whether an upstream or its whole failure domain failed lately.
func (s *Set) avoided(now time.Time, u *Upstream) bool {
	if u.unreachable {
		return true
	}
	patience := s.patience(now, u)
	return u.domain.dark(now, patience) || s.silent(now, u, patience)
}

// silent tells whether several sub-requests are late and nothing was answered meanwhile.
func (s *Set) silent(now time.Time, u *Upstream, patience time.Duration) bool {
	return now.Sub(u.lastReply) > patience && u.missed+u.overdue(now, patience) >= silentMissed
}

// trialDue tells whether the next trial of an avoided upstream may run: one at a time, after a pause.
func (s *Set) trialDue(now time.Time, u *Upstream) bool {
	if u.InFlight > 0 || now.Before(u.trialAt) {
		return false
	}
	return !u.domain.dark(now, s.patience(now, u)) || !now.Before(u.domain.trialAt)
}

func (s *Set) postponeDomain(now time.Time, d *domain) {
	d.pause = min(max(firstPause, 2*d.pause), maxPause)
	d.trialAt = now.Add(d.pause)
}

// patience returns how late an answer of an upstream may be.
func (s *Set) patience(now time.Time, u *Upstream) time.Duration {
	a := &u.latency
	if a.mean == 0 {
		a = &s.latency
	}
	if a.mean == 0 {
		return defaultPatience
	}
	return max(minPatience, time.Duration(a.mean+patienceDeviations*a.deviation))
}

// cost returns what the policy minimizes.
func (s *Set) cost(now time.Time, r *rand.Rand, u *Upstream, p Policy) float64 {
	switch p {
	case P2C, Least:
		return (float64(u.InFlight) + r.Float64()*spread) / float64(u.Row.Weight)
	case Random:
		return 0
	default:
		return s.score(now, u) * (1 + spread*r.Float64())
	}
}

// score estimates the time until an answer in ns, scaled by errors and the operators' weight.
func (s *Set) score(now time.Time, u *Upstream) float64 {
	usual := s.latency.mean
	if usual == 0 {
		usual = float64(defaultPatience)
	}
	latency := usual
	if u.latency.mean > 0 {
		latency += (u.latency.mean - usual) * halved(now.Sub(u.latency.at), latencyHalfLife)
	} else if u.Row.FailureDomain != s.own {
		latency += float64(remotePenalty)
	}
	slots := float64(max(1, u.Row.Slots))
	running := float64(u.InFlight) + float64(u.othersAtLoad)*halved(now.Sub(u.loadAt), loadHalfLife)
	cost := latency * (1 + running/slots)
	if u.Connections <= u.InFlight {
		cost += float64(u.Row.ConnectCost)
	}
	return cost * (1 + errorWeight*u.recentErrors(now)) * 100 / float64(u.Row.Weight)
}

func (u *Upstream) recentErrors(now time.Time) float64 {
	if u.errors == 0 {
		return 0
	}
	return u.errors * halved(now.Sub(u.errorsAt), errorHalfLife)
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)/float64(halfLife)))
}
