package forwarder

import (
	"time"

	"comfreyroute/core/coordination/budgeter"
)

// routeState holds the latencies and the round-robin state of a route, which outlive a manifest.
type routeState struct {
	latencies       budgeter.Latencies
	patience        patience
	delay           time.Duration
	usual           time.Duration // median of the latencies; 0 if there are too few
	usualComputedAt time.Time
	delayComputedAt time.Time
	currentWeights  []float64 // of the services of a Split: how far each one is behind its share
	lastUsed        time.Time
}

func (m *Machine) routeState(now time.Time, r *Route) *routeState {
	if m.routeStates == nil {
		m.routeStates = map[string]*routeState{}
	}
	s := m.routeStates[r.Name]
	if s == nil {
		s = &routeState{}
		m.routeStates[r.Name] = s
	}
	s.lastUsed = now
	return s
}

// pruneRouteStates removes the state of routes that are not in the manifest and were not used for routeStateLifetime.
func (m *Machine) pruneRouteStates(now time.Time, manifest *Manifest) {
	present := make(map[string]bool, len(manifest.Routes))
	for i := range manifest.Routes {
		present[manifest.Routes[i].Name] = true
	}
	for name, s := range m.routeStates {
		if !present[name] && now.Sub(s.lastUsed) > routeStateLifetime {
			delete(m.routeStates, name)
		}
	}
}

// hedgeDelay returns the time after which a sub-request is also sent to a second upstream.
func (s *routeState) hedgeDelay(now time.Time, r *Route, timeout time.Duration) time.Duration {
	if !s.delayComputedAt.IsZero() && now.Sub(s.delayComputedAt) < hedgeDelayLifetime {
		return s.delay
	}
	target := r.LatencyTarget
	if target <= 0 {
		target = timeout / 2
	}
	most := time.Duration(float64(target) * maxHedgeShare)
	s.delay, s.delayComputedAt = most, now
	if s.latencies.Count() >= minHedgeSamples {
		least := time.Duration(float64(target) * minHedgeShare)
		s.delay = min(max(s.latencies.Quantile(hedgeQuantile), least), most)
	}
	s.delay = max(s.delay, minHedgeDelay)
	return s.delay
}

// usualLatency returns the median latency of the route's sub-requests, 0 while it is unknown.
func (s *routeState) usualLatency(now time.Time) time.Duration {
	if now.Sub(s.usualComputedAt) >= hedgeDelayLifetime && s.latencies.Count() >= minUsualSamples {
		s.usual, s.usualComputedAt = s.latencies.Quantile(usualQuantile), now
	}
	return s.usual
}

// nextService returns the service for the next request by smooth weighted round robin, which keeps the proportions in short runs too.
func (s *routeState) nextService(split *Split) string {
	if len(s.currentWeights) != len(split.Services) {
		s.currentWeights = make([]float64, len(split.Services))
	}
	best, total := -1, 0.0
	for i := range split.Services {
		w := max(0, split.Services[i].Weight)
		total += w
		s.currentWeights[i] += w
		if w > 0 && (best < 0 || s.currentWeights[i] > s.currentWeights[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.currentWeights[best] -= total
	return split.Services[best].Service
}
