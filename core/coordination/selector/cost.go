package selector

import (
	"math/rand/v2"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// loadHalfLife is the half-life of the weight of a reported load. Reports older than a few service times are of little use.
	loadHalfLife = 100 * time.Millisecond
	// remotePenalty is added for an upstream in another failure domain that has not replied yet. Afterwards its latency
	// includes the network distance.
	remotePenalty = time.Millisecond
	// defaultLatency is the assumed latency of a service that has not replied yet.
	defaultLatency = 10 * time.Millisecond
	// errorWeight is the weight of the squared share of errors in a score. Few lost replies are normal, but an upstream that loses one in
	// five must not be selected because it is near: a lost reply costs its request an extra send and often the shard.
	errorWeight = 60
	// remoteCostFactor multiplies the score of an upstream in another failure domain under the policy Near. Traffic between failure
	// domains is billed, so an idle remote upstream is preferred only to a nearby one with at least as many sub-requests as slots.
	remoteCostFactor = 2
)

// cost returns the value that a policy minimizes. Its random part breaks ties.
func (s *Set) cost(now time.Time, r *rand.Rand, u *Upstream, p Policy) float64 {
	weight := float64(u.Row.Weight) / tabler.DefaultWeight
	switch p {
	case Random:
		return 0
	case Least:
		return (float64(u.InFlight) + costJitter*r.Float64()) / weight
	case P2C:
		return (u.estimatedRunning(now) + costJitter*r.Float64()) / u.slots() / weight
	case Near:
		cost := s.score(now, u) * (1 + costJitter*r.Float64()) / weight
		if u.Row.FailureDomain != s.ownDomain {
			cost *= remoteCostFactor
		}
		return cost
	default:
		return s.score(now, u) * (1 + costJitter*r.Float64()) / weight
	}
}

// score returns the estimated time until a reply in ns, increased by the share of errors.
func (s *Set) score(now time.Time, u *Upstream) float64 {
	usual := s.usual.mean
	if usual == 0 {
		usual = s.latency.mean
	}
	if usual == 0 {
		usual = float64(defaultLatency)
	}
	latency := usual
	if u.latency.mean > 0 {
		latency += (u.latency.mean - usual) * decay(now.Sub(u.latency.updatedAt), latencyHalfLife)
	} else if u.Row.FailureDomain != s.ownDomain {
		latency += float64(remotePenalty)
	}
	if u.reportedLatency > 0 {
		latency = max(latency, usual+(float64(u.reportedLatency)-usual)*decay(now.Sub(u.reportedAt), reportedHalfLife))
	}
	latency = max(latency, float64(u.oldestAge(now)))
	cost := latency * (1 + u.estimatedRunning(now)/u.slots())
	if u.OpenConnections <= u.InFlight {
		cost += float64(u.Row.ConnectCost)
	}
	errors := u.errorShare(now)
	return cost * (1 + errorWeight*errors*errors)
}

// estimatedRunning estimates the sub-requests at the upstream: those of this VM, and those of other VMs as last reported.
func (u *Upstream) estimatedRunning(now time.Time) float64 {
	n := float64(u.InFlight)
	if u.otherVMsLoad > 0 {
		n += float64(u.otherVMsLoad) * decay(now.Sub(u.loadReportedAt), loadHalfLife)
	}
	return n
}

func (u *Upstream) slots() float64 { return float64(max(1, u.Row.Slots)) }
