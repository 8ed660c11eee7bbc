package router

import (
	"time"

	"comfreyroute/core/coordination/budgeter"
	"comfreyroute/core/coordination/scheduler"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// hedgeQuantile hedges about one sub-request in twenty, which matches the default budget of 5 %.
	hedgeQuantile = 0.95
	// minHedgeDelay prevents hedges of very fast services before a reply can arrive.
	minHedgeDelay = time.Millisecond
	// minSamples is the minimum number of latencies from which the tail of the distribution is estimated.
	minSamples = 64
	// defaultDelayDivisor and maxDelayDivisor divide the deadline of a service: the former yields the hedge delay without enough
	// samples, the latter the longest hedge delay that leaves a hedge time to reply.
	defaultDelayDivisor = 4
	maxDelayDivisor     = 2
	// reserveShare is the part of the budget's capacity that is reserved for requests with at most half of their time left. By
	// then a replica without a reply has probably failed instead of being slow. The reserve is needed because hedges at the usual
	// delay spend all tokens that the budget gains.
	reserveShare = 0.5
	// earlyMaxInFlight limits the concurrent attempts of a sub-request in the first half of its time. A third attempt is only
	// sent later, when a replica and its hedge both have not replied.
	earlyMaxInFlight = 2
	// delayCacheTime is how long the computed quantiles are used.
	delayCacheTime = 10 * time.Millisecond
)

// delays are the times derived from the latency distribution of a service.
type delays struct {
	computedAt    time.Time
	hedge         time.Duration
	partialAnswer time.Duration // 0 with fewer than minSamples latencies
}

// delays returns the delays, computed again if they are older than delayCacheTime.
func (s *service) delays(now time.Time) *delays {
	d := &s.cachedDelays
	if !d.computedAt.IsZero() && now.Sub(d.computedAt) < delayCacheTime {
		return d
	}
	d.computedAt = now
	d.hedge, d.partialAnswer = s.row.Deadline/defaultDelayDivisor, 0
	if s.latencies.Count() >= minSamples {
		d.hedge = min(max(s.latencies.Quantile(hedgeQuantile), minHedgeDelay), s.row.Deadline/maxDelayDivisor)
		d.partialAnswer = partialAnswerDelay(&s.latencies, d.hedge)
	}
	return d
}

// partialAnswerDelay returns the time after which neither a first attempt nor its hedge is likely to reply: 0.1 % of first
// attempts and 1 % of hedges, which are sent after the hedge delay, reply later.
func partialAnswerDelay(l *budgeter.Latencies, hedge time.Duration) time.Duration {
	return max(l.Quantile(0.999), hedge+l.Quantile(0.99))
}

// checkBy makes the request due at the given time, unless it is due earlier.
func (m *Machine) checkBy(r *request, at time.Time) {
	if r.checkAt.IsZero() || at.Before(r.checkAt) {
		r.checkAt = at
	}
	if r.heapIndex >= 0 && r.checkAt.Before(r.due) {
		m.scheduleRequest(r)
	}
}

// scheduleRequest sets the timer of a request to the next time at which it needs processing.
func (m *Machine) scheduleRequest(r *request) {
	r.due = r.answerBy
	for _, at := range [...]time.Time{r.checkAt, r.partialAt} {
		if !at.IsZero() && at.Before(r.due) {
			r.due = at
		}
	}
	m.timers.Set(r)
}

// handleDue handles a request whose timer expired.
func (m *Machine) handleDue(now time.Time, r *request) {
	if !now.Before(r.answerBy) {
		m.handleDeadline(now, r)
		return
	}
	if !r.partialAt.IsZero() && !now.Before(r.partialAt) {
		if m.mayAnswerPartially(r) {
			m.giveUpSearch(now, r, reasonLate)
			return
		}
		r.partialAt = now.Add(r.service.delays(now).hedge)
	}
	m.checkSubRequests(now, r)
	if r.state == stateRunning {
		m.scheduleRequest(r)
	}
}

// mayAnswerPartially reports whether a search that prefers latency may answer without its last shards. If more than half of the
// groups are late, the latency distribution does not describe the current state, and the search continues to wait.
func (m *Machine) mayAnswerPartially(r *request) bool {
	done := len(r.subs) - r.pending
	return r.index != nil && 2*done >= len(r.subs) && float64(done) >= r.minCoverage*float64(len(r.subs))
}

// checkSubRequests sends the hedges that are due and checks the held back and waiting sub-requests of a request.
func (m *Machine) checkSubRequests(now time.Time, r *request) {
	r.checkAt = time.Time{}
	if r.index == nil && r.kind == encoder.SubSearch && r.anySubRequestDone() {
		m.chooseIndex(now, r)
	}
	x := r.index
	for g := range r.subs {
		if r.state != stateRunning || r.index != x {
			return
		}
		sub := &r.subs[g]
		switch sub.state {
		case subSent:
			if !sub.hedgeAt.IsZero() && !sub.hedgeAt.After(now) {
				m.hedgeSubRequest(now, r, g)
			}
			if !sub.hedgeAt.IsZero() {
				m.checkBy(r, sub.hedgeAt)
			}
		case subHeldBack:
			m.checkHeldBack(now, r, g)
		case subWaiting:
			m.scheduleWaitQueue(r.service, r.service.waitQueueIndex(g))
			at := now.Add(r.service.delays(now).hedge)
			if sub.resumeAt.After(now) {
				at = sub.resumeAt
			}
			m.checkBy(r, at)
		}
	}
}

func (r *request) anySubRequestDone() bool {
	for g := range r.subs {
		if r.subs[g].state == subDone {
			return true
		}
	}
	return false
}

// hedgeSubRequest sends another attempt while one is in flight, if the budget allows it and a replica is available. Otherwise
// the next try is after another hedge delay, or at half of the deadline if that is earlier.
func (m *Machine) hedgeSubRequest(now time.Time, r *request, g int) {
	sub := &r.subs[g]
	sub.hedgeAt = time.Time{}
	if sub.inFlight.Count() >= scheduler.MaxInFlight || sub.attempts >= maxAttempts || m.attempts.isFull() {
		return
	}
	halfTime := r.answerBy.Add(-r.service.row.Deadline / maxDelayDivisor)
	sub.hedgeAt = now.Add(r.service.delays(now).hedge)
	if halfTime.After(now) && halfTime.Before(sub.hedgeAt) {
		sub.hedgeAt = halfTime
	}
	if sub.inFlight.Count() >= earlyMaxInFlight && halfTime.After(now) {
		return
	}
	if r.probeGroup != noProbe || m.quarantine.Suspicious(r.signature) {
		return
	}
	i, ok := m.pickReplica(now, r, g)
	if !ok {
		return
	}
	reserve := reserveShare
	if !now.Before(halfTime) {
		reserve = 0
	}
	if !r.service.budget.TakeTokenAbove(reserve) {
		m.stats.BudgetRefusals++
		return
	}
	m.stats.Hedges++
	m.sendAttempt(now, r, g, i, true)
}

// mayHedge reports whether the sub-requests of a request are hedged.
func (m *Machine) mayHedge(r *request) bool {
	return !m.config.HedgeOff && r.kind != encoder.SubCall
}

// schedulePartialAnswer sets the time from which a search that prefers latency may answer without its last shards.
func (m *Machine) schedulePartialAnswer(now time.Time, r *request) {
	s := r.service
	if s.row.Prefer != tabler.PreferLatency {
		return
	}
	if d := s.delays(now).partialAnswer; d > 0 {
		r.partialAt = now.Add(d)
	}
}
