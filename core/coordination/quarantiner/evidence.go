package quarantiner

import (
	"slices"
	"time"
)

// upstreamKey names an upstream.
type upstreamKey struct{ service, upstream string }

// upstreamState is what is known of an upstream as far as crashes are concerned.
type upstreamState struct {
	key         upstreamKey
	group       int
	domain      string
	incarnation uint64 // last seen
	down        bool
	faultAt     time.Time          // last reset or refused connection
	resets      []unexplainedReset // not explained yet
}

// unexplainedReset is an attempt that was reset.
type unexplainedReset struct {
	signature uint64
	at        time.Time
	held      bool // counts in suspect.unexplained
}

// attempt is a running sub-request.
type attempt struct {
	signature   uint64
	upstream    *upstreamState
	incarnation uint64
	sent        time.Time
}

// crash is one upstream that went down, with the signatures that were reset on it.
type crash struct {
	upstream   *upstreamState
	at         time.Time
	signatures []uint64
	outage     bool
}

func (c *crash) has(signature uint64) bool { return slices.Contains(c.signatures, signature) }

// RecordAttempt records that an attempt is being sent.
func (m *Machine) RecordAttempt(now time.Time, signature uint64, service string, group int, upstream, failureDomain string, incarnation, id uint64) {
	m.advance(now)
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
	m.attempts[id] = attempt{signature: signature, upstream: p, incarnation: incarnation, sent: now}
}

// forgetUpstreams drops the upstreams without open evidence; those still in use are added again.
func (m *Machine) forgetUpstreams() {
	for key, p := range m.upstreams {
		if !p.down && len(p.resets) == 0 {
			delete(m.upstreams, key)
		}
	}
}

// RecordAttemptEnd records how an attempt ended.
func (m *Machine) RecordAttemptEnd(now time.Time, id uint64, how EndKind) {
	m.advance(now)
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	delete(m.attempts, id)
	switch how {
	case EndReplied:
		m.replied(now, a)
	case EndReset:
		m.reset(now, a)
	case EndOther:
	}
}

func (m *Machine) replied(now time.Time, a attempt) {
	m.remember(now, a.signature, anyGroup)
	m.remember(now, a.signature, a.upstream.group)
	if a.sent.After(a.upstream.faultAt) {
		m.up(now, a.upstream)
	}
	s := m.suspects[a.signature]
	switch {
	case s == nil || s.Confirmed:
	case !s.probeAt.IsZero() && !a.sent.Before(s.probeAt):
		m.clear(now, s)
	case s.own && s.Crashes == 0, !s.own && s.Crashes <= 1:
		// One crash and an answer from another upstream: the request does not crash every upstream that runs it.
		m.clear(now, s)
	case s.own:
		m.evaluate(now)
	}
}

func (m *Machine) reset(now time.Time, a attempt) {
	p := a.upstream
	p.faultAt = now
	held := !m.answeredSince(a.signature, now.Add(-runTime))
	if held {
		m.hold(now, p.key.service, a.signature)
	}
	p.resets = slices.DeleteFunc(p.resets, func(r unexplainedReset) bool { return now.Sub(r.at) > evidenceWindow })
	p.resets = append(p.resets, unexplainedReset{signature: a.signature, at: now, held: held})
	if p.down || a.incarnation != 0 && a.incarnation < p.incarnation {
		m.crashed(now, p)
	}
}

// RecordRefusedConnection records that an upstream accepts no new connection.
func (m *Machine) RecordRefusedConnection(now time.Time, service, upstream string) {
	m.advance(now)
	p := m.upstreams[upstreamKey{service, upstream}]
	if p == nil || p.down {
		return
	}
	p.down, p.faultAt = true, now
	m.crashed(now, p)
}

// RecordIncarnation records an incarnation that an upstream reported. A new one after a reset tells that the upstream crashed, the
// known one that it did not.
func (m *Machine) RecordIncarnation(now time.Time, service, upstream string, incarnation uint64) {
	m.advance(now)
	p := m.upstreams[upstreamKey{service, upstream}]
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation {
		known := p.incarnation != 0
		p.incarnation = incarnation
		if known && len(p.resets) > 0 {
			m.crashed(now, p)
		}
	}
	m.up(now, p)
}

// up records that an upstream works, so that unexplained resets on it were not crashes.
func (m *Machine) up(now time.Time, p *upstreamState) {
	p.down = false
	for _, r := range p.resets {
		m.explain(now, r, true)
	}
	p.resets = p.resets[:0]
}

// explain counts a reset as explained. A suspect without crashes is cleared with its last one if the upstream works.
func (m *Machine) explain(now time.Time, r unexplainedReset, works bool) {
	s := m.suspects[r.signature]
	if s == nil || !r.held {
		return
	}
	s.unexplained = max(0, s.unexplained-1)
	if works && s.unexplained == 0 && s.Crashes == 0 {
		m.clear(now, s)
	}
}

// crashed turns the resets on an upstream into evidence against their signatures.
func (m *Machine) crashed(now time.Time, p *upstreamState) {
	i := slices.IndexFunc(m.crashes, func(c *crash) bool { return c.upstream == p && now.Sub(c.at) <= evidenceWindow })
	if i < 0 {
		if len(m.crashes) >= maxCrashes {
			m.crashes = slices.Delete(m.crashes, 0, 1)
		}
		m.crashes = append(m.crashes, &crash{upstream: p, at: now})
		i = len(m.crashes) - 1
	}
	c := m.crashes[i]
	for _, r := range p.resets {
		if now.Sub(r.at) > evidenceWindow {
			continue
		}
		if !c.has(r.signature) {
			c.signatures = append(c.signatures, r.signature)
		}
		m.explain(now, r, false)
		if s := m.suspects[r.signature]; s != nil && !s.probeAt.IsZero() && !r.at.Before(s.probeAt) {
			m.confirm(now, s)
		}
	}
	p.resets = p.resets[:0]
	m.evaluate(now)
}
