package quarantiner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Machine holds the suspicions of one VM. The zero value is usable and owns every signature.
type Machine struct {
	own      string
	settings Settings
	members  []string
	view     int // counts the changes of members
	now      time.Time

	suspects map[uint64]*suspect
	trails   map[uint64]*trail
	attempts map[uint64]attempt
	places   map[placeKey]*place
	crashes  []*crash // within evidenceWindow, oldest first
	replies  []reply  // direct-mapped by signature
	outbox   []Suspicion
}

// suspect is a signature linked to crashes.
type suspect struct {
	Suspicion
	since   time.Time // when this VM learned of it
	own     bool      // from evidence of this VM
	probing bool
	view    int // of Machine when ownership was last decided
	owned   bool
}

// Configure sets the id of this VM and the settings.
func (m *Machine) Configure(own string, s Settings) {
	m.own, m.settings = own, s
}

// SetMembers sets this VM's view of the fleet, which decides which VM probes a signature.
func (m *Machine) SetMembers(members []string) {
	if slices.Equal(m.members, members) {
		return
	}
	m.members = slices.Clone(members)
	m.view++
}

// Check decides whether a request may run. A Probe is announced by the next Drain, which must reach the peers before the
// probe is sent.
func (m *Machine) Check(now time.Time, service string, signature uint64) Verdict {
	if len(m.suspects) == 0 {
		return Verdict{Group: anyGroup}
	}
	s, ok := m.suspects[signature]
	if !ok || s.Service != service {
		return Verdict{Group: anyGroup}
	}
	m.advance(now)
	if s, ok = m.suspects[signature]; !ok {
		return Verdict{Group: anyGroup}
	}
	if s.Confirmed {
		return Verdict{Decision: Reject, Reason: ReasonConfirmed, RetryAfter: s.Expires.Sub(now), Group: anyGroup}
	}
	wait := s.NextProbe.Sub(now)
	if s.Crashes == 0 {
		wait = s.Expires.Sub(now)
	}
	if wait > 0 || s.Crashes == 0 {
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: wait, Group: anyGroup}
	}
	if !m.owns(now, s) {
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: max(nonOwnerRetry, s.NextProbe.Sub(now)), Group: anyGroup}
	}
	group, ok := m.probeGroup(s)
	if !ok {
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: nonOwnerRetry, Group: anyGroup}
	}
	s.NextProbe = now.Add(m.settings.withDefaults().Interval)
	s.probing = true
	m.spread(s)
	return Verdict{Decision: Probe, Group: group}
}

// Suspicious tells whether a signature must not be retried or hedged.
func (m *Machine) Suspicious(signature uint64) bool {
	if s, ok := m.suspects[signature]; ok && s.Expires.After(m.now) {
		return true
	}
	t, ok := m.trails[signature]
	return ok && t.held.After(m.now)
}

// ProbeEnded records the result of a probe: a crash confirms the suspicion, anything else that was a reply clears it.
func (m *Machine) ProbeEnded(now time.Time, signature uint64, crashed bool) {
	m.advance(now)
	s, ok := m.suspects[signature]
	if !ok {
		return
	}
	if crashed {
		m.confirm(now, s)
		return
	}
	s.Expires = now
	m.spread(s)
	delete(m.suspects, signature)
}

func (m *Machine) confirm(now time.Time, s *suspect) {
	if s.probing || !s.Confirmed {
		s.Crashes++
	}
	s.Confirmed, s.probing = true, false
	s.Expires = now.Add(m.settings.withDefaults().Life)
	s.NextProbe = s.Expires
	m.spread(s)
}

// Heard takes a suspicion of a peer.
func (m *Machine) Heard(now time.Time, h Suspicion) {
	m.advance(now)
	s, ok := m.suspects[h.Signature]
	if !h.Expires.After(now) {
		if ok && !s.Confirmed {
			delete(m.suspects, h.Signature)
		}
		return
	}
	if !ok {
		s = m.add(now, h)
		s.own = false
		return
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

// Drain returns the suspicions that changed since the last call, to be sent to every peer.
func (m *Machine) Drain() []Suspicion {
	out := m.outbox
	m.outbox = nil
	return out
}

// Suspicions returns all suspicions, for the regular exchange with peers.
func (m *Machine) Suspicions() []Suspicion {
	out := make([]Suspicion, 0, len(m.suspects))
	for _, s := range m.suspects {
		out = append(out, s.Suspicion)
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return a.Expires.Compare(b.Expires) })
	return out
}

// NextExpiry returns when Expire has something to do.
func (m *Machine) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, s := range m.suspects {
		if first.IsZero() || s.Expires.Before(first) {
			first = s.Expires
		}
	}
	for _, t := range m.trails {
		if t.held.After(m.now) && (first.IsZero() || t.held.Before(first)) {
			first = t.held
		}
	}
	return first, !first.IsZero()
}

// Expire drops what is out of date. The other methods that take the time do so as well.
func (m *Machine) Expire(now time.Time) { m.advance(now) }

// add tracks a new suspect within the bound.
func (m *Machine) add(now time.Time, h Suspicion) *suspect {
	if m.suspects == nil {
		m.suspects = make(map[uint64]*suspect)
	}
	if len(m.suspects) >= m.settings.withDefaults().Tracked {
		m.evict()
	}
	s := &suspect{Suspicion: h, since: now, own: true, view: m.view - 1}
	m.suspects[h.Signature] = s
	return s
}

// evict drops the suspect that is least needed: an unconfirmed one before a confirmed one, then the first to expire.
func (m *Machine) evict() {
	var worst *suspect
	for _, s := range m.suspects {
		if worst == nil || !s.Confirmed && worst.Confirmed ||
			s.Confirmed == worst.Confirmed && s.Expires.Before(worst.Expires) {
			worst = s
		}
	}
	delete(m.suspects, worst.Signature)
}

func (m *Machine) spread(s *suspect) { m.outbox = append(m.outbox, s.Suspicion) }

// owns tells whether this VM runs the probes of a suspect. A VM that becomes the owner waits a whole interval, because
// the previous owner may just have sent a probe whose announcement was lost.
func (m *Machine) owns(now time.Time, s *suspect) bool {
	if s.view == m.view {
		return s.owned
	}
	first := s.view == m.view-1 && !s.owned && now.Sub(s.since) == 0
	was := s.owned
	s.view, s.owned = m.view, m.owner(s.Signature) == m.own
	if s.owned && !was && !first && m.view > 1 {
		s.NextProbe = now.Add(m.settings.withDefaults().Interval)
		return false
	}
	return s.owned
}

// owner returns the member with the highest hash for a signature (rendezvous hashing).
func (m *Machine) owner(signature uint64) string {
	best, bestHash := m.own, uint64(0)
	for _, name := range m.members {
		h := mix(xxhash.Sum64String(name) ^ signature)
		if h > bestHash || h == bestHash && name > best {
			best, bestHash = name, h
		}
	}
	return best
}

// mix spreads the bits of a hash (finalizer of splitmix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
