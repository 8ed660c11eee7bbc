package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// advanceTime sets the current time and drops the suspects that have expired. A confirmed one becomes unconfirmed instead, so that
// its next run is a single probe and not a fan-out that crashes an upstream of every group.
func (m *Machine) advanceTime(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	if len(m.suspects) == 0 || m.nextExpiry.After(m.now) {
		return
	}
	m.nextExpiry = m.now.Add(m.settings.suspicionLifetime())
	for signature, s := range m.suspects {
		if !s.Expires.After(m.now) {
			if !s.Confirmed {
				delete(m.suspects, signature)
				continue
			}
			s.Confirmed, s.NextProbe = false, m.now
			s.Expires = m.now.Add(m.settings.suspicionLifetime())
		}
		m.updateNextExpiry(s.Expires)
	}
}

func (m *Machine) updateNextExpiry(expires time.Time) {
	if expires.Before(m.nextExpiry) {
		m.nextExpiry = expires
	}
}

// addSuspect tracks a new suspect. It evicts another one when MaxSuspects is reached.
func (m *Machine) addSuspect(h Suspicion) *suspect {
	if m.suspects == nil {
		m.suspects = make(map[uint64]*suspect)
	}
	if len(m.suspects) == 0 {
		m.nextExpiry = h.Expires
	}
	if len(m.suspects) >= m.settings.maxSuspects() {
		m.evictSuspect()
	}
	s := &suspect{Suspicion: h, viewVersion: m.viewVersion, isOwned: m.probeOwner(h.Signature) == m.selfID}
	m.suspects[h.Signature] = s
	m.updateNextExpiry(h.Expires)
	return s
}

// evictSuspect drops the least useful suspect. Suspects without crashes go first, then unconfirmed ones, then confirmed ones, and
// within each of these the first to expire.
func (m *Machine) evictSuspect() {
	var victim *suspect
	for _, s := range m.suspects {
		if victim == nil || s.evictionRank() < victim.evictionRank() || s.evictionRank() == victim.evictionRank() && s.expiresBefore(victim) {
			victim = s
		}
	}
	delete(m.suspects, victim.Signature)
}

// expiresBefore orders suspects by expiry and then by signature, so that the replay of a trace gives the same order.
func (s *suspect) expiresBefore(o *suspect) bool {
	return s.Expires.Before(o.Expires) || s.Expires.Equal(o.Expires) && s.Signature < o.Signature
}

func (s *suspect) evictionRank() int {
	switch {
	case s.Confirmed:
		return 2
	case s.Crashes > 0:
		return 1
	default:
		return 0
	}
}

// holdSignature suspects a signature for unexplainedResetHold because of a reset that has no explanation yet.
func (m *Machine) holdSignature(now time.Time, service string, signature uint64) {
	s := m.suspects[signature]
	if s == nil {
		s = m.addSuspect(Suspicion{Signature: signature, Service: service, Expires: now.Add(unexplainedResetHold)})
		m.queueUpdate(s.Suspicion)
	}
	s.hasLocalEvidence = true
	s.unexplainedResets++
}

// raiseSuspicion records that a signature was present at a number of crashes that nothing else explains.
func (m *Machine) raiseSuspicion(now time.Time, service string, signature uint64, crashes int) {
	s := m.suspects[signature]
	if s != nil && s.localCrashes >= crashes {
		return
	}
	if s == nil {
		s = m.addSuspect(Suspicion{Signature: signature, Service: service, Expires: now})
	}
	if s.Crashes == 0 {
		s.NextProbe = now.Add(m.settings.probeInterval())
	}
	s.hasLocalEvidence, s.localCrashes, s.lastEvidence = true, crashes, now
	s.Crashes = max(s.Crashes, crashes)
	if !s.Confirmed {
		s.Expires = now.Add(m.settings.suspicionLifetime())
	}
	m.queueUpdate(s.Suspicion)
}

// confirmSuspicion records that a probe crashed its upstream.
func (m *Machine) confirmSuspicion(now time.Time, s *suspect) {
	if s.Confirmed {
		return
	}
	s.Crashes++
	s.Confirmed, s.lastEvidence, s.probeSent = true, now, time.Time{}
	s.Expires = now.Add(m.settings.suspicionLifetime())
	s.NextProbe = s.Expires
	m.queueUpdate(s.Suspicion)
}

// clearSuspicion drops an unfounded suspicion and queues the change for the peers.
func (m *Machine) clearSuspicion(now time.Time, s *suspect) {
	m.dropSuspect(s.Signature, now)
	m.queueUpdate(Suspicion{Signature: s.Signature, Service: s.Service, Expires: now})
}

// dropSuspect removes a suspect and records when it was cleared, because peers may still send older suspicions of it.
func (m *Machine) dropSuspect(signature uint64, at time.Time) {
	delete(m.suspects, signature)
	if m.clearedAt == nil {
		m.clearedAt = make(map[uint64]time.Time)
	}
	if len(m.clearedAt) >= m.settings.maxSuspects() {
		maps.DeleteFunc(m.clearedAt, func(_ uint64, t time.Time) bool { return m.now.Sub(t) > unexplainedResetHold })
	}
	if len(m.clearedAt) < m.settings.maxSuspects() {
		m.clearedAt[signature] = at
	}
}

// isOutdated reports whether a suspicion was raised before its signature was cleared.
func (m *Machine) isOutdated(h Suspicion) bool {
	at, ok := m.clearedAt[h.Signature]
	if !ok || h.Confirmed {
		return false
	}
	raised := h.Expires.Add(-m.settings.suspicionLifetime())
	if h.Crashes == 0 {
		raised = h.Expires.Add(-unexplainedResetHold)
	}
	return !raised.After(at)
}

// ReceiveSuspicion handles a suspicion that a peer sent.
func (m *Machine) ReceiveSuspicion(now time.Time, h Suspicion) {
	m.advanceTime(now)
	s := m.suspects[h.Signature]
	switch {
	case !h.Expires.After(now):
		if h.Crashes == 0 && (s == nil || !s.Confirmed) {
			m.dropSuspect(h.Signature, h.Expires)
		}
		return
	case m.isOutdated(h):
		return
	case s == nil:
		s = m.addSuspect(h)
		s.lastEvidence = now
	default:
		m.mergeSuspicion(now, s, h)
	}
	m.evaluateCrashes(now)
}

// mergeSuspicion merges a peer's suspicion into the one of this VM: it keeps a confirmation, the higher crash count and the later
// times.
func (m *Machine) mergeSuspicion(now time.Time, s *suspect, h Suspicion) {
	if h.Confirmed && !s.Confirmed || h.Crashes > s.Crashes {
		s.lastEvidence = now
	}
	s.Confirmed = s.Confirmed || h.Confirmed
	s.Crashes = max(s.Crashes, h.Crashes)
	if h.Expires.After(s.Expires) {
		s.Expires = h.Expires
	}
	if h.NextProbe.After(s.NextProbe) {
		s.NextProbe = h.NextProbe
	}
}

// queueUpdate queues a suspicion for the peers. It replaces a queued one with the same signature.
func (m *Machine) queueUpdate(h Suspicion) {
	i := slices.IndexFunc(m.pendingUpdates, func(o Suspicion) bool { return o.Signature == h.Signature })
	if i >= 0 {
		m.pendingUpdates[i] = h
		return
	}
	m.pendingUpdates = append(m.pendingUpdates, h)
}

// TakeUpdates returns the suspicions that changed since the last call, to be sent to every peer.
func (m *Machine) TakeUpdates() []Suspicion {
	out := m.pendingUpdates
	m.pendingUpdates = nil
	return out
}

// Suspicions returns all suspicions, sorted by signature, for the periodic exchange with peers.
func (m *Machine) Suspicions() []Suspicion {
	out := make([]Suspicion, 0, len(m.suspects))
	for _, s := range m.suspects {
		out = append(out, s.Suspicion)
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Signature, b.Signature) })
	return out
}
