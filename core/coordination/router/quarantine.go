package router

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"

	"github.com/cespare/xxhash/v2"
)

const (
	// heldInterval is how often a sub-request that is held back after a reset is looked at. It is below the time of a new
	// connection, which is what tells whether the upstream crashed.
	heldInterval = 2 * time.Millisecond
	// heldLimit is how long it is held back at most: a new connection of 5 ms, a round trip and a margin.
	heldLimit = 20 * time.Millisecond
	// probeInterval is the least time between two Probe actions to one upstream. It is below heldLimit, so that a sub-request
	// that was reset shortly after a probe of its upstream gets one of its own.
	probeInterval = 10 * time.Millisecond
	// verdictLife is how long after a reset a refused connection or a new incarnation tells that the upstream crashed.
	verdictLife = 5 * time.Second
)

// trial is a probe of a suspect that ended in a reset and waits for the evidence of a crash.
type trial struct {
	signature   uint64
	service     *service
	name        string
	incarnation uint64
	expires     time.Time
}

// signature identifies what a request asks for, apart from its caller and its id.
func signature(e *RequestArrived) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.Service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(e.Kind))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(e.Query)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(e.Body)
	return d.Sum64()
}

// cleared tells whether a request may start. A suspect is answered, or it is limited to one sub-request.
func (m *Machine) cleared(now time.Time, r *request) bool {
	r.probeGroup = noProbe
	v := m.quarantine.CheckRequest(now, r.service.name, r.signature)
	m.spread()
	switch v.Decision {
	case quarantiner.Reject:
		m.reject(r, reasonSuspect, v.RetryAfter)
		m.finish(now, r)
		return false
	case quarantiner.Probe:
		r.probeGroup = max(0, v.Group)
	}
	return true
}

// spread tells the peers what changed in the quarantine. It comes before the answers and probes that follow in the step.
func (m *Machine) spread() {
	out := m.quarantine.TakeUpdates()
	if len(out) > 1 {
		// The quarantine keeps its suspects in maps; the order of actions must not depend on them.
		slices.SortStableFunc(out, func(a, b quarantiner.Suspicion) int { return cmp.Compare(a.Signature, b.Signature) })
	}
	for _, s := range out {
		m.emit(SpreadSuspicion(s))
	}
}

// sent tells the quarantine about an attempt.
func (m *Machine) sent(now time.Time, r *request, a *attempt, u *selector.Upstream) {
	a.incarnation = u.Incarnation
	m.quarantine.RecordAttempt(now, r.signature, r.service.name, u.Row.Group, u.Row.Upstream, u.Row.FailureDomain, u.Incarnation, uint64(a.id))
}

// ended tells the quarantine how an attempt ended.
func (m *Machine) ended(now time.Time, a *attempt, kind quarantiner.EndKind) {
	m.quarantine.RecordAttemptEnd(now, uint64(a.id), kind)
	m.spread()
}

// probe asks for the state of an upstream on a new connection.
func (m *Machine) probe(now time.Time, s *service, i int) {
	u := s.set.At(i)
	for len(s.probedAt) < s.set.Len() {
		s.probedAt = append(s.probedAt, time.Time{})
	}
	if at := s.probedAt[i]; !at.IsZero() && now.Sub(at) < probeInterval {
		return
	}
	s.probedAt[i] = now
	m.emit(Probe{Service: s.name, Upstream: u.Row.Upstream, Address: u.Row.Address})
}

// seen takes the state that an upstream reported on a new connection.
func (m *Machine) seen(now time.Time, s *service, i int, r *encoder.SubReply) {
	m.quarantine.RecordIncarnation(now, s.name, r.Upstream, r.Incarnation)
	m.settleTrials(now, s, r.Upstream, r.Incarnation)
	m.spread()
	m.observe(now, s, i, r)
}

// unreachable takes a failed new connection. It counts as a failed attempt of the upstream, so that selection avoids it.
func (m *Machine) unreachable(now time.Time, s *service, i int, isRefused bool) {
	kind := selector.TimedOut
	if isRefused {
		kind = selector.Refused
		m.refused(now, s, s.set.At(i).Row.Upstream)
	}
	s.set.RecordStart(now, i)
	s.set.RecordResult(now, i, selector.Result{Kind: kind})
}

func (m *Machine) refused(now time.Time, s *service, name string) {
	m.quarantine.RecordRefusedConnection(now, s.name, name)
	m.settleTrials(now, s, name, 0)
	m.spread()
}

// settleTrials ends the probes that were reset on an upstream. Incarnation 0 means that it refuses connections.
func (m *Machine) settleTrials(now time.Time, s *service, name string, incarnation uint64) {
	kept := m.trials[:0]
	for _, t := range m.trials {
		switch {
		case now.After(t.expires):
		case t.service != s || t.name != name:
			kept = append(kept, t)
		case incarnation == 0 || incarnation > t.incarnation:
			m.quarantine.RecordProbeResult(now, t.signature, true)
		}
	}
	m.trials = kept
}

// noProbe is the probe group of a request that is not a probe.
const noProbe = -1

// probeReplied ends a probe that was answered: the request goes to the other groups.
func (m *Machine) probeReplied(now time.Time, r *request) {
	if r.probeGroup == noProbe {
		return
	}
	r.probeGroup = noProbe
	m.quarantine.RecordProbeResult(now, r.signature, false)
	m.spread()
	if r.kind == encoder.SubSearch {
		m.sendIdle(now, r)
	}
}

// probeReset remembers a probe that was reset until there is evidence of a crash.
func (m *Machine) probeReset(now time.Time, a *attempt) {
	m.trials = append(m.trials, trial{
		signature: a.request.signature, service: a.service, name: a.name, incarnation: a.incarnation,
		expires: now.Add(verdictLife),
	})
}

// hold keeps a sub-request back that was reset without an explanation. It returns false when there is no reason to.
func (m *Machine) hold(now time.Time, r *request, g int) bool {
	if !m.quarantine.Suspicious(r.signature) || r.probeGroup != noProbe {
		return false
	}
	b := &r.subs[g]
	b.state, b.reason = subHeld, reasonSuspect
	b.hedgeAt = now.Add(heldLimit)
	m.soon(r, now.Add(heldInterval))
	return true
}

// lookHeld retries a sub-request that was held back once its upstream is known to work, or fails it.
func (m *Machine) lookHeld(now time.Time, r *request, g int) {
	b := &r.subs[g]
	m.quarantine.ExpireSuspects(now)
	switch {
	case !m.quarantine.Suspicious(r.signature):
		b.state, b.reason = subSent, reasonReset
		if !m.retry(now, r, g, false) {
			m.settleFailed(now, r, g)
		}
	case !b.hedgeAt.After(now):
		m.settleFailed(now, r, g)
	default:
		if i := b.tried[b.attempts-1]; i >= 0 {
			m.probe(now, r.service, i)
		}
		m.soon(r, now.Add(heldInterval))
	}
}
