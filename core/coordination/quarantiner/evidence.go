package quarantiner

import (
	"slices"
	"time"
)

// upstreamKey identifies an upstream.
type upstreamKey struct{ service, upstream string }

// upstreamState is what this VM knows about the crashes of an upstream.
type upstreamState struct {
	key               upstreamKey
	group             int
	domain            string
	incarnation       uint64 // highest one seen
	isDown            bool
	lastFault         time.Time // last reset or refused connection
	unexplainedResets []unexplainedReset
}

// unexplainedReset is an attempt that was reset, which neither a crash nor a working upstream explains yet.
type unexplainedReset struct {
	signature uint64
	at        time.Time
	isCounted bool // included in suspect.unexplainedResets
}

// attempt is a sub-request in flight.
type attempt struct {
	signature   uint64
	upstream    *upstreamState
	incarnation uint64
	sentAt      time.Time
}

// crash is the crash of one upstream, with the signatures that were reset on it.
type crash struct {
	upstream     *upstreamState
	at           time.Time
	signatures   []uint64
	duringOutage bool
}

func (c *crash) hasSignature(signature uint64) bool { return slices.Contains(c.signatures, signature) }

// RecordAttempt records the start of an attempt.
func (m *Machine) RecordAttempt(now time.Time, signature uint64, service string, group int, upstream, failureDomain string, incarnation, id uint64) {
	m.advanceTime(now)
	if m.attempts == nil {
		m.attempts = make(map[uint64]attempt)
		m.upstreams = make(map[upstreamKey]*upstreamState)
	}
	p := m.upstreams[upstreamKey{service, upstream}]
	if p == nil {
		if len(m.upstreams) >= maxUpstreams {
			m.forgetUpstreams()
		}
		p = &upstreamState{key: upstreamKey{service, upstream}}
		m.upstreams[p.key] = p
	}
	p.group, p.domain = group, failureDomain
	p.incarnation = max(p.incarnation, incarnation)
	m.attempts[id] = attempt{signature: signature, upstream: p, incarnation: incarnation, sentAt: now}
}

// forgetUpstreams drops the upstreams that are up and have no unexplained resets. Their next attempt adds them again.
func (m *Machine) forgetUpstreams() {
	for key, p := range m.upstreams {
		if !p.isDown && len(p.unexplainedResets) == 0 {
			delete(m.upstreams, key)
		}
	}
}

// RecordAttemptEnd records how an attempt ended.
func (m *Machine) RecordAttemptEnd(now time.Time, id uint64, kind EndKind) {
	m.advanceTime(now)
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	delete(m.attempts, id)
	switch kind {
	case EndReplied:
		m.handleReply(now, a)
	case EndReset:
		m.handleReset(now, a)
	case EndOther:
	}
}

func (m *Machine) handleReply(now time.Time, a attempt) {
	m.replies.record(now, a.signature, anyGroup, replyTableSize)
	m.replies.record(now, a.signature, a.upstream.group, replyTableSize)
	if a.sentAt.After(a.upstream.lastFault) {
		m.markUp(now, a.upstream)
	}
	s := m.suspects[a.signature]
	switch {
	case s == nil || s.Confirmed:
	case !s.probeSent.IsZero() && !a.sentAt.Before(s.probeSent):
		m.clearSuspicion(now, s)
	case s.hasLocalEvidence && s.Crashes == 0, !s.hasLocalEvidence && s.Crashes <= 1:
		// After at most one crash, a reply from another upstream shows that the request does not crash every upstream that runs it.
		m.clearSuspicion(now, s)
	case s.hasLocalEvidence:
		m.evaluateCrashes(now)
	}
}

func (m *Machine) handleReset(now time.Time, a attempt) {
	p := a.upstream
	p.lastFault = now
	isHeld := !m.answeredSince(a.signature, now.Add(-maxRunTime))
	if isHeld {
		m.holdSignature(now, p.key.service, a.signature)
	}
	p.unexplainedResets = slices.DeleteFunc(p.unexplainedResets, func(r unexplainedReset) bool { return now.Sub(r.at) > evidenceWindow })
	p.unexplainedResets = append(p.unexplainedResets, unexplainedReset{signature: a.signature, at: now, isCounted: isHeld})
	if p.isDown || a.incarnation != 0 && a.incarnation < p.incarnation {
		m.recordCrash(now, p)
	}
}

// RecordRefusedConnection records that an upstream refused a connection.
func (m *Machine) RecordRefusedConnection(now time.Time, service, upstream string) {
	m.advanceTime(now)
	p := m.upstreams[upstreamKey{service, upstream}]
	if p == nil || p.isDown {
		return
	}
	p.isDown, p.lastFault = true, now
	m.recordCrash(now, p)
}

// RecordIncarnation records the incarnation that an upstream reported. After a reset, a new incarnation means that the upstream
// crashed, and the known one means that it did not.
func (m *Machine) RecordIncarnation(now time.Time, service, upstream string, incarnation uint64) {
	m.advanceTime(now)
	p := m.upstreams[upstreamKey{service, upstream}]
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation {
		wasKnown := p.incarnation != 0
		p.incarnation = incarnation
		if wasKnown && len(p.unexplainedResets) > 0 {
			m.recordCrash(now, p)
		}
	}
	m.markUp(now, p)
}

// markUp records that an upstream works, which means that no crash caused the unexplained resets on it.
func (m *Machine) markUp(now time.Time, p *upstreamState) {
	p.isDown = false
	for _, r := range p.unexplainedResets {
		m.explainReset(now, r, true)
	}
	p.unexplainedResets = p.unexplainedResets[:0]
}

// explainReset counts a reset as explained. If the upstream works, the last explained reset clears a suspect without crashes.
func (m *Machine) explainReset(now time.Time, r unexplainedReset, isUp bool) {
	s := m.suspects[r.signature]
	if s == nil || !r.isCounted {
		return
	}
	s.unexplainedResets = max(0, s.unexplainedResets-1)
	if isUp && s.unexplainedResets == 0 && s.Crashes == 0 {
		m.clearSuspicion(now, s)
	}
}

// recordCrash adds the signatures of the recent resets on an upstream to its crash and evaluates the evidence again.
func (m *Machine) recordCrash(now time.Time, p *upstreamState) {
	i := slices.IndexFunc(m.crashes, func(c *crash) bool { return c.upstream == p && now.Sub(c.at) <= evidenceWindow })
	if i < 0 {
		if len(m.crashes) >= maxCrashes {
			m.crashes = slices.Delete(m.crashes, 0, 1)
		}
		m.crashes = append(m.crashes, &crash{upstream: p, at: now})
		i = len(m.crashes) - 1
	}
	c := m.crashes[i]
	for _, r := range p.unexplainedResets {
		if now.Sub(r.at) > evidenceWindow {
			continue
		}
		if !c.hasSignature(r.signature) {
			c.signatures = append(c.signatures, r.signature)
		}
		m.explainReset(now, r, false)
		if s := m.suspects[r.signature]; s != nil && !s.probeSent.IsZero() && !r.at.Before(s.probeSent) {
			m.confirmSuspicion(now, s)
		}
	}
	p.unexplainedResets = p.unexplainedResets[:0]
	m.evaluateCrashes(now)
}
