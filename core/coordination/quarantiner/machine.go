package quarantiner

import (
	"slices"
	"time"
)

// Machine holds the suspicions of one VM. The zero value is usable; until SetMembers it runs the probes of every signature itself.
type Machine struct {
	selfID      string
	settings    Settings
	members     []string
	viewVersion int // number of changes to selfID and members
	now         time.Time

	suspects       map[uint64]*suspect
	nextExpiry     time.Time            // lower bound of the expiry times of all suspects
	clearedAt      map[uint64]time.Time // when each signature was last cleared
	pendingUpdates []Suspicion

	attempts  map[uint64]attempt
	upstreams map[upstreamKey]*upstreamState
	crashes   []*crash // oldest first
	replies   replyTable
}

// suspect is a signature that is linked to crashes or to resets without an explanation.
type suspect struct {
	Suspicion
	hasLocalEvidence  bool      // this VM saw resets or crashes
	localCrashes      int       // part of Crashes that this VM saw
	lastEvidence      time.Time // when this VM last learned of a crash
	unexplainedResets int       // resets seen by this VM that have no explanation yet
	probeSent         time.Time // when this VM sent its probe; zero without one
	viewVersion       int       // Machine.viewVersion for which isOwned was computed
	isOwned           bool      // this VM runs the probes
}

// Configure sets the ID of this VM and the settings.
func (m *Machine) Configure(selfID string, s Settings) {
	m.selfID, m.settings = selfID, s
	m.viewVersion++
}

// SetMembers sets this VM's view of the fleet, including itself. The view determines which VM probes a signature.
func (m *Machine) SetMembers(members []string) {
	if slices.Equal(m.members, members) {
		return
	}
	m.members = slices.Clone(members)
	m.viewVersion++
}

// CheckRequest decides whether a request may run. After a Probe decision the next TakeUpdates returns the announcement of the probe,
// which must reach the peers before the probe is sent.
func (m *Machine) CheckRequest(now time.Time, service string, signature uint64) Verdict {
	s := m.suspects[signature]
	if s == nil || s.Service != service {
		return Verdict{Group: anyGroup}
	}
	m.advanceTime(now)
	if s = m.suspects[signature]; s == nil {
		return Verdict{Group: anyGroup}
	}
	switch {
	case s.Confirmed:
		return Verdict{Decision: Reject, Reason: ReasonConfirmed, RetryAfter: s.Expires.Sub(now), Group: anyGroup}
	case s.Crashes == 0:
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: s.Expires.Sub(now), Group: anyGroup}
	}
	isOwned := m.ownsProbes(now, s)
	group, isFree := anyGroup, false
	if wait := s.NextProbe.Sub(now); isOwned && wait <= 0 {
		group, isFree = m.probeGroup(now, s)
	}
	if !isFree {
		return Verdict{Decision: Reject, Reason: ReasonSuspect, RetryAfter: max(minRetryAfter, s.NextProbe.Sub(now)), Group: anyGroup}
	}
	s.NextProbe = now.Add(m.settings.probeInterval())
	s.probeSent = now
	m.queueUpdate(s.Suspicion)
	return Verdict{Decision: Probe, Group: group}
}

// Suspicious reports whether a signature must not be retried or hedged now. A reset makes its signature suspicious at once,
// until the upstream is found to work or something else explains the crash.
func (m *Machine) Suspicious(signature uint64) bool {
	s := m.suspects[signature]
	return s != nil && s.Expires.After(m.now)
}

// RecordProbeResult records the result of a probe: a crash confirms the suspicion, a reply clears it. A probe that ended in
// another way is not recorded; the next one runs after the probe interval.
func (m *Machine) RecordProbeResult(now time.Time, signature uint64, crashed bool) {
	m.advanceTime(now)
	s := m.suspects[signature]
	switch {
	case s == nil:
	case crashed:
		m.confirmSuspicion(now, s)
	default:
		m.clearSuspicion(now, s)
	}
}

// ExpireSuspects drops the suspects that have expired. The other methods that take the time do so as well.
func (m *Machine) ExpireSuspects(now time.Time) { m.advanceTime(now) }

// NextExpiry returns the time at which the next suspect expires. It returns false when there is none.
func (m *Machine) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, s := range m.suspects {
		if next.IsZero() || s.Expires.Before(next) {
			next = s.Expires
		}
	}
	return next, !next.IsZero()
}
