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
	// holdCheckInterval is the interval between checks of a held back sub-request. It is shorter than the time to open a new
	// connection, which shows whether the upstream crashed.
	holdCheckInterval = 2 * time.Millisecond
	// maxHoldTime limits how long a sub-request is held back: 5 ms for a new connection, a round trip and a margin.
	maxHoldTime = 20 * time.Millisecond
	// probeInterval is the minimum time between two Probe actions for one upstream. It is below maxHoldTime, so that a sub-request
	// that is reset shortly after a probe of its upstream still gets a probe of its own.
	probeInterval = 10 * time.Millisecond
	// crashEvidenceWindow is how long after a reset a refused connection or a new incarnation counts as evidence of a crash.
	crashEvidenceWindow = 5 * time.Second
)

// resetProbe is a probe of a suspect that ended in a reset and awaits evidence of a crash.
type resetProbe struct {
	signature   uint64
	service     *service
	name        string
	incarnation uint64
	expires     time.Time
}

// signature returns a hash of the content of a request, without its caller and its id.
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

// checkQuarantine reports whether a request may start. It rejects a suspect, or limits it to one sub-request as a probe.
func (m *Machine) checkQuarantine(now time.Time, r *request) bool {
	r.probeGroup = noProbe
	v := m.quarantine.CheckRequest(now, r.service.name, r.signature)
	m.spreadSuspicions()
	switch v.Decision {
	case quarantiner.Reject:
		m.rejectRequest(r, reasonSuspect, v.RetryAfter)
		m.finishRequest(now, r)
		return false
	case quarantiner.Probe:
		r.probeGroup = max(0, v.Group)
	}
	return true
}

// spreadSuspicions sends the changes of the quarantine to the peers. It must precede the answers and sub-requests that follow
// in the same step.
func (m *Machine) spreadSuspicions() {
	out := m.quarantine.TakeUpdates()
	if len(out) > 1 {
		// The quarantine stores its suspects in maps; the order of actions must not depend on map iteration.
		slices.SortStableFunc(out, func(a, b quarantiner.Suspicion) int { return cmp.Compare(a.Signature, b.Signature) })
	}
	for _, s := range out {
		m.emit(SpreadSuspicion(s))
	}
}

// recordSent records an attempt in the quarantine.
func (m *Machine) recordSent(now time.Time, r *request, a *attempt, u *selector.Upstream) {
	a.incarnation = u.Incarnation
	m.quarantine.RecordAttempt(now, r.signature, r.service.name, u.Row.Group, u.Row.Upstream, u.Row.FailureDomain, u.Incarnation, uint64(a.id))
}

// recordEnded records in the quarantine how an attempt ended.
func (m *Machine) recordEnded(now time.Time, a *attempt, kind quarantiner.EndKind) {
	m.quarantine.RecordAttemptEnd(now, uint64(a.id), kind)
	m.spreadSuspicions()
}

// probeUpstream requests the state of an upstream over a new connection, at most once in probeInterval.
func (m *Machine) probeUpstream(now time.Time, s *service, i int) {
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

// handleUpstreamSeen applies the state that an upstream reported over a new connection.
func (m *Machine) handleUpstreamSeen(now time.Time, s *service, i int, r *encoder.SubReply) {
	m.quarantine.RecordIncarnation(now, s.name, r.Upstream, r.Incarnation)
	m.resolveResetProbes(now, s, r.Upstream, r.Incarnation)
	m.spreadSuspicions()
	m.observeReply(now, s, i, r)
}

// handleUnreachable records a failed new connection. It counts as a failed attempt, so that selection avoids the upstream.
func (m *Machine) handleUnreachable(now time.Time, s *service, i int, isRefused bool) {
	kind := selector.TimedOut
	if isRefused {
		kind = selector.Refused
		m.recordRefused(now, s, s.set.At(i).Row.Upstream)
	}
	s.set.RecordStart(now, i)
	s.set.RecordResult(now, i, selector.Result{Kind: kind})
}

func (m *Machine) recordRefused(now time.Time, s *service, name string) {
	m.quarantine.RecordRefusedConnection(now, s.name, name)
	m.resolveResetProbes(now, s, name, 0)
	m.spreadSuspicions()
}

// resolveResetProbes removes the probes that were reset by an upstream, and those that expired. A probe is recorded as a crash if
// the upstream has a newer incarnation. Incarnation 0 means that the upstream refuses connections, which is evidence of a crash too.
func (m *Machine) resolveResetProbes(now time.Time, s *service, name string, incarnation uint64) {
	kept := m.resetProbes[:0]
	for _, t := range m.resetProbes {
		switch {
		case now.After(t.expires):
		case t.service != s || t.name != name:
			kept = append(kept, t)
		case incarnation == 0 || incarnation > t.incarnation:
			m.quarantine.RecordProbeResult(now, t.signature, true)
		}
	}
	m.resetProbes = kept
}

// noProbe is the probeGroup of a request that is not a probe.
const noProbe = -1

// endProbe ends a probe that received a reply and sends the request to the other groups.
func (m *Machine) endProbe(now time.Time, r *request) {
	if r.probeGroup == noProbe {
		return
	}
	r.probeGroup = noProbe
	m.quarantine.RecordProbeResult(now, r.signature, false)
	m.spreadSuspicions()
	if r.kind == encoder.SubSearch {
		m.sendIdleSubRequests(now, r)
	}
}

// recordProbeReset keeps a probe that was reset until there is evidence of a crash.
func (m *Machine) recordProbeReset(now time.Time, a *attempt) {
	m.resetProbes = append(m.resetProbes, resetProbe{
		signature: a.request.signature, service: a.service, name: a.name, incarnation: a.incarnation,
		expires: now.Add(crashEvidenceWindow),
	})
}

// holdBackSubRequest delays the retry of a sub-request after an unexplained reset, if its request is suspicious. It returns
// false if the sub-request need not be held back.
func (m *Machine) holdBackSubRequest(now time.Time, r *request, g int) bool {
	if !m.quarantine.Suspicious(r.signature) || r.probeGroup != noProbe {
		return false
	}
	sub := &r.subs[g]
	sub.state, sub.reason = subHeldBack, reasonSuspect
	sub.hedgeAt = now.Add(maxHoldTime)
	m.checkBy(r, now.Add(holdCheckInterval))
	return true
}

// checkHeldBack retries a held back sub-request once its request is no longer suspicious, for example because its upstream is
// known to have survived, and fails it after maxHoldTime. Until then it probes the upstream that reset it.
func (m *Machine) checkHeldBack(now time.Time, r *request, g int) {
	sub := &r.subs[g]
	m.quarantine.ExpireSuspects(now)
	switch {
	case !m.quarantine.Suspicious(r.signature):
		sub.state, sub.reason = subSent, reasonReset
		if !m.retrySubRequest(now, r, g, false) {
			m.failSubRequest(now, r, g)
		}
	case !sub.hedgeAt.After(now):
		m.failSubRequest(now, r, g)
	default:
		if i := sub.tried[sub.attempts-1]; i >= 0 {
			m.probeUpstream(now, r.service, i)
		}
		m.checkBy(r, now.Add(holdCheckInterval))
	}
}
