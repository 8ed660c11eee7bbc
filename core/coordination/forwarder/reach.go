package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/navigator"
)

const (
	// probesPerRound is how many upstreams are probed at once. Some of them may be down.
	probesPerRound = 3
	// serviceProbeDelay is the time between two probes of a service whose requests go through peers. It grows up to maxServiceProbeDelay
	// while upstreams accept connections and no request.
	serviceProbeDelay    = 300 * time.Millisecond
	maxServiceProbeDelay = 2 * time.Second
	// probeTimeout is how long the connection of a probe may take.
	probeTimeout = 700 * time.Millisecond
	// lagGain is the weight of one timer in the average lag.
	lagGain = 0.2
	// lagHalfLife is the half-life of the lag while no timer fires.
	lagHalfLife = 200 * time.Millisecond
)

// recordReach records what the result of an attempt says about the connection of this VM to its upstreams.
func (m *Machine) recordReach(now time.Time, a *attempt, result Result) {
	s := a.service
	if f, ok := result.(Failed); ok {
		switch f.Failure {
		case Unreachable, Reset:
			m.reach.RecordFailure(now, s.name, a.upstream)
			s.reach.RecordFailure(now, s.name, a.upstream)
			return
		case ConnectionRejected: // its host has answered, although this VM gets nothing from it
			s.reach.RecordFailure(now, s.name, a.upstream)
			m.recordContact(now)
			return
		case NoConnection, TimedOut, SlowConnect, Cancelled:
			return // the upstream may be silent
		case Mismatched, Oversized: // it has answered
		}
	}
	s.reach.RecordReply(now)
	s.trial, s.probeDelay = navigator.Trial{}, 0
	m.recordContact(now)
}

// recordContact records that an upstream has answered.
func (m *Machine) recordContact(now time.Time) {
	if m.reach.RecordReply(now) {
		m.emit(ReachChanged{Age: now.Sub(m.reach.LostSince())})
	}
}

// checkReach notices the loss of all upstreams and probes lost ones.
func (m *Machine) checkReach(now time.Time) {
	lost := m.reach.Lost(now)
	if lost && !m.reachReported {
		m.emit(ReachChanged{Lost: true})
		m.moveAllToPeers(now)
	}
	m.reachReported = lost
	if m.reach.ProbeDue(now) {
		m.probeRandom(now)
	}
	m.avoidedServices = slices.DeleteFunc(m.avoidedServices, func(s *service) bool {
		return !s.unreachable(now) || !s.elsewhere.Reached(now)
	})
	for _, s := range m.avoidedServices {
		if !now.Before(s.probeAt) {
			s.probeDelay = max(s.probeDelay, serviceProbeDelay)
			s.probeAt = now.Add(s.probeDelay)
			m.probeAny(now, s)
		}
	}
}

// UpstreamsLost returns 1 while this VM reaches no upstream, and 0 otherwise.
func (m *Machine) UpstreamsLost() uint64 {
	if m.reachReported {
		return 1
	}
	return 0
}

// moveAllToPeers sends the requests in progress through peers.
func (m *Machine) moveAllToPeers(now time.Time) {
	for _, r := range m.requestsByID() {
		switch {
		case r.finished || r.detour != nil || !r.grantBy.IsZero():
		case r.detoured != nil: // its VM may ask another one at once
			m.answerLost(now, r)
		case m.moveToPeer(now, r):
			m.schedule(now, r)
		}
	}
}

// answerLost answers a request that no upstream is going to answer.
func (m *Machine) answerLost(now time.Time, r *request) {
	for index := range r.subs {
		m.cancelAll(&r.subs[index])
		r.subs[index].service.dequeue(r, index)
	}
	if r.runs() > 0 || r.mayHaveRun {
		m.answer(now, r, Unknown{Reason: OutOfReach})
		return
	}
	m.answer(now, r, Refused{Reason: OutOfReach, RetryAfter: m.retryAfter(r)})
}

// probeRandom probes upstreams of any services.
func (m *Machine) probeRandom(now time.Time) {
	all := m.servicesByName()
	for range probesPerRound {
		m.probeAny(now, all[m.random.IntN(len(all))])
	}
}

// probeAny probes one upstream of a service, if that has any.
func (m *Machine) probeAny(now time.Time, s *service) {
	n := s.set.Len()
	if n == 0 {
		return
	}
	u := s.set.At(m.random.IntN(n))
	if !u.Eligible() {
		return
	}
	m.emitProbe(s, u, now.Add(probeTimeout))
}

// handleProbeEnd records that an upstream accepts connections.
func (m *Machine) handleProbeEnd(now time.Time, e ProbeEnded) {
	m.resolveResets(now, e)
	s := m.services[e.Service]
	if !e.Connected || s == nil {
		return
	}
	m.reach.RecordProbe(now)
	if i, ok := s.set.Index(e.Upstream); ok && slices.Contains(m.avoidedServices, s) {
		s.set.RecordProbe(now, i)
		if s.trial.Arm(now) {
			s.probeDelay = min(2*s.probeDelay, maxServiceProbeDelay)
		}
	}
}

// avoidService records that requests to a service go through peers, so that its upstreams are probed.
func (m *Machine) avoidService(s *service) {
	if !slices.Contains(m.avoidedServices, s) {
		m.avoidedServices = append(m.avoidedServices, s)
	}
}

// recordLag records how late a timer has fired.
func (m *Machine) recordLag(now time.Time) {
	if m.wakeAt.IsZero() {
		return
	}
	m.decayLag(now)
	m.lag += time.Duration(lagGain * float64(now.Sub(m.wakeAt)-m.lag))
}

// decayLag reduces the lag by the time since it was last recorded.
func (m *Machine) decayLag(now time.Time) {
	if age := now.Sub(m.lagAt); age > 0 {
		m.lag = time.Duration(float64(m.lag) * float64(lagHalfLife) / float64(lagHalfLife+age))
	}
	m.lagAt = now
}

// nextReachCheck returns when checkReach has to be called next, zero for not before the next event.
func (m *Machine) nextReachCheck(now time.Time) time.Time {
	next := m.reach.NextProbe()
	if next.IsZero() {
		next = m.reach.NextCheck(now)
	}
	for _, s := range m.avoidedServices {
		if next.IsZero() || s.probeAt.Before(next) {
			next = s.probeAt
		}
	}
	if !next.IsZero() && next.Before(now) {
		next = now
	}
	return next
}
