package router

import (
	"time"

	"comfreyroute/core/coordination/budgeter"
	"comfreyroute/core/coordination/scheduler"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// hedgeQuantile sends about one sub-request in twenty again, which the default budget of 5 % allows.
	hedgeQuantile = 0.95
	// minHedgeDelay keeps hedges of very fast services from starting before a reply could arrive.
	minHedgeDelay = time.Millisecond
	// minSamples is the number of latencies below which the distribution says nothing about its tail.
	minSamples = 64
	// firstDelayShare and maxDelayShare are parts of the deadline: the delay without a distribution, and the longest delay
	// that leaves a hedge time to reply.
	firstDelayShare = 4
	maxDelayShare   = 2
	// reserveShare is the part of the budget's limit that is kept for requests with half of their time left or less: by then a
	// silent replica has failed rather than being late. Hedges at the usual delay spend all that the budget gains.
	reserveShare = 0.5
	// usualLive is how many attempts of a sub-request run at once in the first half of its time. A third one is for a replica
	// and its hedge that are both silent.
	usualLive = 2
	// delayLife is how long the quantiles are used before they are computed again.
	delayLife = 10 * time.Millisecond
)

// delays are the times derived from the latency distribution of a service.
type delays struct {
	at       time.Time
	hedge    time.Duration
	patience time.Duration // 0 while the distribution says nothing about its tail
}

// delays returns the times that are valid now.
func (s *service) delays(now time.Time) *delays {
	d := &s.delay
	if !d.at.IsZero() && now.Sub(d.at) < delayLife {
		return d
	}
	d.at = now
	d.hedge, d.patience = s.row.Deadline/firstDelayShare, 0
	if s.latencies.Count() >= minSamples {
		d.hedge = min(max(s.latencies.Quantile(hedgeQuantile), minHedgeDelay), s.row.Deadline/maxDelayShare)
		d.patience = patience(&s.latencies, d.hedge)
	}
	return d
}

// patience returns the time after which neither a first attempt nor a hedge of it is likely to reply: 0.1 % of the first
// attempts are later, and 1 % of the hedges that were sent after the delay.
func patience(l *budgeter.Latencies, hedge time.Duration) time.Duration {
	return max(l.Quantile(0.999), hedge+l.Quantile(0.99))
}

// soon brings the next look at a request forward.
func (m *Machine) soon(r *request, at time.Time) {
	if r.hedgeAt.IsZero() || at.Before(r.hedgeAt) {
		r.hedgeAt = at
	}
	if r.place >= 0 && r.hedgeAt.Before(r.due) {
		m.schedule(r)
	}
}

// schedule sets the next time that a request needs attention.
func (m *Machine) schedule(r *request) {
	r.due = r.until
	for _, at := range [...]time.Time{r.hedgeAt, r.patience} {
		if !at.IsZero() && at.Before(r.due) {
			r.due = at
		}
	}
	m.timers.Set(r)
}

// expire handles a request whose due time came.
func (m *Machine) expire(now time.Time, r *request) {
	if !now.Before(r.until) {
		m.deadline(now, r)
		return
	}
	if !r.patience.IsZero() && !now.Before(r.patience) {
		if m.enough(r) {
			m.giveUp(now, r, reasonLate)
			return
		}
		r.patience = now.Add(r.service.delays(now).hedge)
	}
	m.look(now, r)
	if r.state == stateRunning {
		m.schedule(r)
	}
}

// enough tells whether a search that prefers latency may answer without its last shards. When more than half of the groups
// are late, the distribution does not describe the present, and the search waits.
func (m *Machine) enough(r *request) bool {
	done := len(r.subs) - r.pending
	return r.index != nil && 2*done >= len(r.subs) && float64(done) >= r.minCoverage*float64(len(r.subs))
}

// look starts the hedges that are due and looks again at what waits.
func (m *Machine) look(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	if r.index == nil && r.kind == encoder.SubSearch && r.anyDone() {
		m.choose(now, r)
	}
	x := r.index
	for g := range r.subs {
		if r.state != stateRunning || r.index != x {
			return
		}
		b := &r.subs[g]
		switch b.state {
		case subSent:
			if !b.hedgeAt.IsZero() && !b.hedgeAt.After(now) {
				m.hedge(now, r, g)
			}
			if !b.hedgeAt.IsZero() {
				m.soon(r, b.hedgeAt)
			}
		case subHeld:
			m.lookHeld(now, r, g)
		case subWaiting:
			m.drain(r.service, r.service.waitQueue(g))
			at := now.Add(r.service.delays(now).hedge)
			if b.resumeAt.After(now) {
				at = b.resumeAt
			}
			m.soon(r, at)
		}
	}
}

func (r *request) anyDone() bool {
	for g := range r.subs {
		if r.subs[g].state == subDone {
			return true
		}
	}
	return false
}

// hedge sends a second attempt while the first one runs, if the budget allows it and a replica is free. Otherwise it looks
// again after another delay.
func (m *Machine) hedge(now time.Time, r *request, g int) {
	b := &r.subs[g]
	b.hedgeAt = time.Time{}
	if b.live.Count() >= scheduler.MaxInFlight || b.attempts >= maxAttempts || m.attempts.full() {
		return
	}
	half := r.until.Add(-r.service.row.Deadline / maxDelayShare)
	b.hedgeAt = now.Add(r.service.delays(now).hedge)
	if half.After(now) && half.Before(b.hedgeAt) {
		b.hedgeAt = half
	}
	if b.live.Count() >= usualLive && half.After(now) {
		return
	}
	if r.probeGroup != noProbe || m.quarantine.Suspicious(r.signature) {
		return
	}
	i, ok := m.pick(now, r, g)
	if !ok {
		return
	}
	reserve := reserveShare
	if !now.Before(half) {
		reserve = 0
	}
	if !r.service.budget.TakeTokenAbove(reserve) {
		m.stats.BudgetRefusals++
		return
	}
	m.stats.Hedges++
	m.send(now, r, g, i, true)
}

// mayHedge tells whether sub-requests of a request are hedged at all.
func (m *Machine) mayHedge(r *request) bool {
	return !m.config.HedgeOff && r.kind != encoder.SubCall
}

// armPatience sets when a search that prefers latency stops waiting for its last shards.
func (m *Machine) armPatience(now time.Time, r *request) {
	s := r.service
	if s.row.Prefer != tabler.PreferLatency {
		return
	}
	if d := s.delays(now).patience; d > 0 {
		r.patience = now.Add(d)
	}
}
