package forwarder

import (
	"slices"
	"time"
)

// stopQuantile is the quantile of a route's latencies for which a stopping VM must have time left to take a request.
const stopQuantile = 0.99

// beginStop makes the requests in progress end in time.
func (m *Machine) beginStop(now time.Time, answerBy time.Time) {
	m.stopBy = answerBy
	for _, r := range m.requestsByID() {
		if r.answerBy.After(answerBy) {
			r.answerBy = answerBy
			m.schedule(now, r)
		}
	}
}

// refuseAtStop refuses a new request that this VM would probably not answer before it stops. The caller has time left for another VM, and a
// request that is cut could not be repeated if it must not run twice.
func (m *Machine) refuseAtStop(now time.Time, r *request) bool {
	if m.stopBy.IsZero() || !r.answerBy.After(m.stopBy) {
		return false
	}
	if m.stopBy.Sub(now) < r.expectedLatency() {
		m.refuse(r, Stopping)
		return true
	}
	r.answerBy = m.stopBy
	return false
}

// expectedLatency returns the time in which a request probably has its answer.
func (r *request) expectedLatency() time.Duration {
	if r.routeState.latencies.Count() >= minHedgeSamples {
		return r.routeState.latencies.Quantile(stopQuantile)
	}
	return r.route.LatencyTarget
}

// requestsByID returns the requests in the order of their arrival, so that the same events always result in the same actions.
func (m *Machine) requestsByID() []*request {
	all := make([]*request, 0, len(m.requests))
	for _, r := range m.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.id) - int(b.id) })
	return all
}
