package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// advance drops the suspects that expired. A confirmed one becomes a suspect again, so that its next run is one probe
// and not a fan-out that takes down an upstream of every group.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	if len(m.suspects) == 0 || m.due.After(m.now) {
		return
	}
	m.due = m.now.Add(m.settings.life())
	for signature, s := range m.suspects {
		if !s.Expires.After(m.now) {
			if !s.Confirmed {
				delete(m.suspects, signature)
				continue
			}
			s.Confirmed, s.NextProbe = false, m.now
			s.Expires = m.now.Add(m.settings.life())
		}
		m.schedule(s.Expires)
	}
}

func (m *Machine) schedule(expires time.Time) {
	if expires.Before(m.due) {
		m.due = expires
	}
}

// add tracks a new suspect within the bound.
func (m *Machine) add(h Suspicion) *suspect {
	if m.suspects == nil {
		m.suspects = make(map[uint64]*suspect)
	}
	if len(m.suspects) == 0 {
		m.due = h.Expires
	}
	if len(m.suspects) >= m.settings.tracked() {
		m.evict()
	}
	s := &suspect{Suspicion: h, view: m.view, owned: m.owner(h.Signature) == m.own}
	m.suspects[h.Signature] = s
	m.schedule(h.Expires)
	return s
}

// evict drops the suspect that is least needed: without crashes, then unconfirmed, then the first to expire.
func (m *Machine) evict() {
	var worst *suspect
	for _, s := range m.suspects {
		if worst == nil || s.rank() < worst.rank() || s.rank() == worst.rank() && s.before(worst) {
			worst = s
		}
	}
	delete(m.suspects, worst.Signature)
}

// before orders suspects by expiry, and by signature so that a replayed trace gives the same order.
func (s *suspect) before(o *suspect) bool {
	return s.Expires.Before(o.Expires) || s.Expires.Equal(o.Expires) && s.Signature < o.Signature
}

func (s *suspect) rank() int {
	switch {
	case s.Confirmed:
		return 2
	case s.Crashes > 0:
		return 1
	default:
		return 0
	}
}

// hold suspects a signature for a short time because of a reset that has no explanation yet.
func (m *Machine) hold(now time.Time, service string, signature uint64) {
	s := m.suspects[signature]
	if s == nil {
		s = m.add(Suspicion{Signature: signature, Service: service, Expires: now.Add(settleTime)})
		m.spread(s.Suspicion)
	}
	s.own = true
	s.unexplained++
}

// raise records that a signature was present at crashes that nothing else explains.
func (m *Machine) raise(now time.Time, service string, signature uint64, crashes int) {
	s := m.suspects[signature]
	if s != nil && s.ownCrashes >= crashes {
		return
	}
	if s == nil {
		s = m.add(Suspicion{Signature: signature, Service: service, Expires: now})
	}
	if s.Crashes == 0 {
		s.NextProbe = now.Add(m.settings.interval())
	}
	s.own, s.ownCrashes, s.evidence = true, crashes, now
	s.Crashes = max(s.Crashes, crashes)
	if !s.Confirmed {
		s.Expires = now.Add(m.settings.life())
	}
	m.spread(s.Suspicion)
}

// confirm records that a probe crashed its upstream.
func (m *Machine) confirm(now time.Time, s *suspect) {
	if s.Confirmed {
		return
	}
	s.Crashes++
	s.Confirmed, s.evidence, s.probeAt = true, now, time.Time{}
	s.Expires = now.Add(m.settings.life())
	s.NextProbe = s.Expires
	m.spread(s.Suspicion)
}

// clear drops a suspect that turned out to be unfounded and tells the peers.
func (m *Machine) clear(now time.Time, s *suspect) {
	m.drop(s.Signature, now)
	m.spread(Suspicion{Signature: s.Signature, Service: s.Service, Expires: now})
}

// drop forgets a suspect and remembers when it was cleared, because older suspicions of it may still arrive.
func (m *Machine) drop(signature uint64, at time.Time) {
	delete(m.suspects, signature)
	if m.cleared == nil {
		m.cleared = make(map[uint64]time.Time)
	}
	if len(m.cleared) >= m.settings.tracked() {
		maps.DeleteFunc(m.cleared, func(_ uint64, t time.Time) bool { return m.now.Sub(t) > settleTime })
	}
	if len(m.cleared) < m.settings.tracked() {
		m.cleared[signature] = at
	}
}

// outdated tells whether a suspicion was raised before its signature was cleared.
func (m *Machine) outdated(h Suspicion) bool {
	at, ok := m.cleared[h.Signature]
	if !ok || h.Confirmed {
		return false
	}
	raised := h.Expires.Add(-m.settings.life())
	if h.Crashes == 0 {
		raised = h.Expires.Add(-settleTime)
	}
	return !raised.After(at)
}

// ReceiveSuspicion takes a suspicion of a peer.
func (m *Machine) ReceiveSuspicion(now time.Time, h Suspicion) {
	m.advance(now)
	s := m.suspects[h.Signature]
	switch {
	case !h.Expires.After(now):
		if h.Crashes == 0 && (s == nil || !s.Confirmed) {
			m.drop(h.Signature, h.Expires)
		}
		return
	case m.outdated(h):
		return
	case s == nil:
		s = m.add(h)
		s.evidence = now
	default:
		m.merge(now, s, h)
	}
	m.evaluate(now)
}

// merge combines what two VMs know: a confirmation, the most crashes, the latest times.
func (m *Machine) merge(now time.Time, s *suspect, h Suspicion) {
	if h.Confirmed && !s.Confirmed || h.Crashes > s.Crashes {
		s.evidence = now
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

// spread queues a suspicion for the peers in place of an older one about the same signature.
func (m *Machine) spread(h Suspicion) {
	i := slices.IndexFunc(m.outbox, func(o Suspicion) bool { return o.Signature == h.Signature })
	if i >= 0 {
		m.outbox[i] = h
		return
	}
	m.outbox = append(m.outbox, h)
}

// TakeUpdates returns the suspicions that changed since the last call, to be sent to every peer.
func (m *Machine) TakeUpdates() []Suspicion {
	out := m.outbox
	m.outbox = nil
	return out
}

// Suspicions returns all suspicions in the order of their signatures, for the regular exchange with peers.
func (m *Machine) Suspicions() []Suspicion {
	out := make([]Suspicion, 0, len(m.suspects))
	for _, s := range m.suspects {
		out = append(out, s.Suspicion)
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Signature, b.Signature) })
	return out
}
