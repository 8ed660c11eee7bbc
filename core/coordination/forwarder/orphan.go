package forwarder

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/coordination/quarantiner"
)

const (
	// aloneLinger is how long after its deadline the result of a suspect that runs alone is awaited, also if its caller has left. A reply clears the
	// suspect, however late it is, and a crash confirms it.
	aloneLinger = quarantiner.OrphanWindow
	// aloneRetryAfter is when the caller of a suspect may return that is refused because another caller's run is awaited.
	aloneRetryAfter = time.Second
	// maxAloneRuns is the number of runs from which those are looked for of which nothing more will be known.
	maxAloneRuns = 64
)

// recordAlone records that an attempt of a suspect runs alone.
func (m *Machine) recordAlone(now time.Time, a *attempt) {
	if m.aloneRuns == nil {
		m.aloneRuns = map[uint64]*attempt{}
	}
	if len(m.aloneRuns) >= maxAloneRuns {
		for signature := range m.aloneRuns {
			m.findAlone(now, signature)
		}
	}
	m.aloneRuns[a.signature] = a
}

// findAlone returns the last attempt of a suspect that ran alone, if it is not known yet whether its upstream crashes, and nil otherwise. Until then
// no other request with its signature runs at this VM.
func (m *Machine) findAlone(now time.Time, signature uint64) *attempt {
	a := m.aloneRuns[signature]
	if a == nil || m.attempts[a.id] != nil {
		return a
	}
	for _, p := range m.pendingResets {
		if p.attempt == a && now.Sub(p.at) < maxResetHold {
			return a
		}
	}
	delete(m.aloneRuns, signature)
	return nil
}

// waitForAlone holds a sub-request back while another request with its signature runs alone. It fails the sub-request if that takes too long.
func (m *Machine) waitForAlone(now time.Time, r *request, index int, a *attempt) {
	sub := &r.subs[index]
	if a.request == nil || !now.Before(r.waitUntil) {
		sub.reason = Quarantined
		m.failSub(now, r, index)
		return
	}
	sub.state, sub.heldUntil = subHeld, r.waitUntil
	m.reschedule(r, sub.heldUntil)
}

// releaseSame goes on with the requests of a signature that wait for the end of a run alone.
func (m *Machine) releaseSame(now time.Time, signature uint64) {
	m.findAlone(now, signature) // forgets the run if it has ended
	var same []*request
	for _, r := range m.requests {
		if r.signature == signature && r.alone == 0 {
			same = append(same, r)
		}
	}
	slices.SortFunc(same, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, r := range same {
		if !r.finished {
			m.releaseHeld(now, r)
		}
	}
}

// recordOrphan keeps an attempt that has ended without a reply although its upstream may still run the request.
func (m *Machine) recordOrphan(now time.Time, a *attempt) {
	s := a.service
	i, ok := s.set.Index(a.upstream)
	if !ok || !s.set.At(i).Eligible() || m.quarantine.Exonerated(now, a.signature, s.name) {
		return
	}
	endedAt := now
	if a.alone {
		endedAt = now.Add(-aloneLinger) // its end was awaited
	}
	m.orphans.Add(now, quarantiner.Orphan{
		Signature: a.signature, EndedAt: endedAt, Run: quarantiner.Crash{Service: s.name, Upstream: a.upstream, Started: s.startTime(a.upstream)},
	})
}

// recordRefusal waits for the evidence of a crash if an upstream refuses connections that may run orphans.
func (m *Machine) recordRefusal(now time.Time, e ProbeEnded) {
	s := m.services[e.Service]
	if s == nil || !m.orphans.Has(e.Service, e.Upstream) || m.wasReset(s, e.Upstream) {
		return
	}
	m.pendingResets = append(m.pendingResets, pendingReset{service: s, upstream: e.Upstream, at: now, startTime: s.startTime(e.Upstream)})
}

// recordOrphanCrashes records that the upstream of orphans has crashed.
func (m *Machine) recordOrphanCrashes(now time.Time, orphans []quarantiner.Orphan) {
	for _, o := range orphans {
		before, _ := m.quarantine.Check(now, o.Signature)
		m.quarantine.RecordOrphanCrash(now, o)
		m.reportDecision(now, before, o.Signature, o.Run)
	}
}

// recordSurvival records that the upstream of an attempt has outlived the orphans that it ran.
func (m *Machine) recordSurvival(now time.Time, a *attempt) {
	if m.orphans.Empty() {
		return
	}
	for _, o := range m.orphans.TakeSurvived(now, a.service.name, a.upstream) {
		m.quarantine.RecordSurvival(now, o)
	}
}

// resolveOrphans uses a new list of the upstreams of a service: those that have started again may have crashed under orphans, unless they were
// leaving.
func (m *Machine) resolveOrphans(now time.Time, s *service, listed []Upstream) {
	if m.orphans.Empty() {
		return
	}
	for _, u := range listed {
		i, ok := s.set.Index(u.Name)
		switch {
		case !m.orphans.Has(s.name, u.Name):
		case ok && s.set.At(i).Eligible():
			m.recordOrphanCrashes(now, m.orphans.TakeReplaced(now, s.name, u.Name, u.StartTime))
		default:
			m.orphans.Drop(s.name, u.Name)
		}
	}
}
