package quarantiner

import (
	"slices"
	"time"
)

// Machine holds the suspicions of one VM. The zero value is usable and owns every signature.
type Machine struct {
	own      string
	settings Settings
	members  []string
	view     int // counts the changes of members
	now      time.Time

	suspects map[uint64]*suspect
	due      time.Time            // no suspect expires earlier
	cleared  map[uint64]time.Time // when a signature was last cleared
	outbox   []Suspicion

	attempts  map[uint64]attempt
	upstreams map[upstreamKey]*upstreamState
	crashes   []*crash // oldest first
	replies   []reply  // in pairs
}

// suspect is a signature linked to crashes.
type suspect struct {
	Suspicion
	own         bool      // has evidence of this VM
	ownCrashes  int       // the part of Crashes that this VM saw
	evidence    time.Time // when a crash was last learned of
	unexplained int       // resets seen by this VM that have no explanation yet
	probeAt     time.Time // of the probe that this VM runs; zero without one
	view        int       // of Machine when owned was decided
	owned       bool      // this VM runs the probes
}

// Configure sets the id of this VM and the settings.
func (m *Machine) Configure(own string, s Settings) {
	m.own, m.settings = own, s
	m.view++
}

// SetMembers sets this VM's view of the fleet, itself included, which decides which VM probes a signature.
func (m *Machine) SetMembers(members []string) {
	if slices.Equal(m.members, members) {
		return
	}
	m.members = slices.Clone(members)
	m.view++
}

// CheckRequest decides whether a request may run. A Probe is announced by the next Drain, which must reach the peers before the
// probe is sent.
func (m *Machine) CheckRequest(now time.Time, service string, signature uint64) Verdict {
	s := m.suspects[signature]
	if s == nil || s.Service != service {
		return Verdict{Group: anyGroup}
	}
	m.advance(now)
	if s = m.suspects[signature]; s == nil {
		return Verdict{Group: anyGroup}
	}
	switch {
	case s.Confirmed:
		return Verdict{Decision: Reject, Reason: ReasonConfirmed, RetryAfter: s.Expires.Sub(now), Group: anyGroup}
	case s.Crashes == 0:
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: s.Expires.Sub(now), Group: anyGroup}
	}
	owned := m.owns(now, s)
	group, free := anyGroup, false
	if wait := s.NextProbe.Sub(now); owned && wait <= 0 {
		group, free = m.probeGroup(now, s)
	}
	if !free {
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: max(minRetry, s.NextProbe.Sub(now)), Group: anyGroup}
	}
	s.NextProbe = now.Add(m.settings.interval())
	s.probeAt = now
	m.spread(s.Suspicion)
	return Verdict{Decision: Probe, Group: group}
}

// Suspicious tells whether a signature must not be retried or hedged now. A reset makes its signature suspicious at once;
// this ends as soon as the upstream is found to work or the crash is explained otherwise.
func (m *Machine) Suspicious(signature uint64) bool {
	s := m.suspects[signature]
	return s != nil && s.Expires.After(m.now)
}

// RecordProbeResult records the result of a probe: a crash confirms the suspicion, a reply clears it. A probe that ended otherwise
// is not reported; the next one runs after the interval.
func (m *Machine) RecordProbeResult(now time.Time, signature uint64, crashed bool) {
	m.advance(now)
	s := m.suspects[signature]
	switch {
	case s == nil:
	case crashed:
		m.confirm(now, s)
	default:
		m.clear(now, s)
	}
}

// ExpireSuspects drops what is out of date. The other methods that take the time do so as well.
func (m *Machine) ExpireSuspects(now time.Time) { m.advance(now) }

// NextExpiry returns when Expire has something to do.
func (m *Machine) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, s := range m.suspects {
		if first.IsZero() || s.Expires.Before(first) {
			first = s.Expires
		}
	}
	return first, !first.IsZero()
}
