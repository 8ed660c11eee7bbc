package selector

import (
	"math/rand/v2"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// loadHalfLife halves the weight of a reported load with its age. Reports older than a few service times say little.
	loadHalfLife = 100 * time.Millisecond
	// remotePenalty is added for an upstream in another failure domain that has not replied yet; afterwards the distance
	// is part of its latency.
	remotePenalty = time.Millisecond
	// usualLatency stands for the latency of a service that has not replied yet.
	usualLatency = 10 * time.Millisecond
	// errorWeight scales the share of errors in a score.
	errorWeight = 4
	// remoteFactor raises the score of an upstream in another failure domain under the policy Near: traffic between failure
	// domains is billed, and an upstream nearby is worth a queue as long as its slots.
	remoteFactor = 2
)

// cost returns what a policy minimizes. The random part decides between equals.
func (s *Set) cost(now time.Time, r *rand.Rand, u *Upstream, p Policy) float64 {
	weight := float64(u.Row.Weight) / tabler.DefaultWeight
	switch p {
	case Random:
		return 0
	case Least:
		return (float64(u.InFlight) + spread*r.Float64()) / weight
	case P2C:
		return (u.running(now) + spread*r.Float64()) / u.slots() / weight
	case Near:
		cost := s.score(now, u) * (1 + spread*r.Float64()) / weight
		if u.Row.FailureDomain != s.own {
			cost *= remoteFactor
		}
		return cost
	default:
		return s.score(now, u) * (1 + spread*r.Float64()) / weight
	}
}

// score estimates the time until an answer in ns, raised by errors.
func (s *Set) score(now time.Time, u *Upstream) float64 {
	usual := s.latency.mean
	if usual == 0 {
		usual = float64(usualLatency)
	}
	latency := usual
	if u.latency.mean > 0 {
		latency += (u.latency.mean - usual) * decay(now.Sub(u.latency.at), latencyHalfLife)
	} else if u.Row.FailureDomain != s.own {
		latency += float64(remotePenalty)
	}
	if u.reportedLatency > 0 {
		latency = max(latency, usual+(float64(u.reportedLatency)-usual)*decay(now.Sub(u.reportedAt), reportedHalfLife))
	}
	latency = max(latency, float64(u.waiting(now)))
	cost := latency * (1 + u.running(now)/u.slots())
	if u.OpenConnections <= u.InFlight {
		cost += float64(u.Row.ConnectCost)
	}
	return cost * (1 + errorWeight*u.doubt(now))
}

// running estimates the sub-requests at the upstream: this VM's own, and those of others as last reported.
func (u *Upstream) running(now time.Time) float64 {
	n := float64(u.InFlight)
	if u.othersAtLoad > 0 {
		n += float64(u.othersAtLoad) * decay(now.Sub(u.loadAt), loadHalfLife)
	}
	return n
}

func (u *Upstream) slots() float64 { return float64(max(1, u.Row.Slots)) }
