package forwarder

import (
	"maps"
	"slices"
	"time"

	"comfreyroute/core/coordination/quarantiner"
)

// decision returns how a request may run, because it may crash upstreams.
func (m *Machine) decision(now time.Time, r *request) quarantiner.Decision {
	if m.quarantine.Empty() && !r.suspect {
		return quarantiner.Clear
	}
	d, _ := m.quarantine.Check(now, r.signature)
	if d == quarantiner.Clear && r.suspect {
		return quarantiner.Probe
	}
	return d
}

// refuseQuarantined refuses a request at once that crashes upstreams, and a suspect that may not run yet.
func (m *Machine) refuseQuarantined(now time.Time, r *request) bool {
	d, until := m.quarantine.Check(now, r.signature)
	if d == quarantiner.Probe {
		until = m.nextRunAlone(now, r)
	}
	if d == quarantiner.Clear || !now.Before(until) {
		return false
	}
	m.QuarantineRefused++
	m.emit(Answer{
		Request: r.id, Outcome: Refused{Reason: Quarantined, RetryAfter: until.Sub(now)}, Report: Report{Route: r.route.Name, Manifest: r.manifestVersion},
	})
	return true
}

// nextRunAlone returns when a suspect that comes in may run. A VM that has sent it on has waited for its turn already.
func (m *Machine) nextRunAlone(now time.Time, r *request) time.Time {
	at := time.Time{}
	if !r.suspect {
		at = m.quarantine.Turn(now, r.signature)
	}
	if a := m.findAlone(now, r.signature); a != nil && a.request == nil && at.Before(now.Add(aloneRetryAfter)) {
		at = now.Add(aloneRetryAfter)
	}
	return at
}

// firstAlone returns the sub-request that a suspect runs alone: the one to the service with the most crashes. It returns -1 for a request that
// may run everywhere.
func (m *Machine) firstAlone(now time.Time, r *request) int {
	if len(r.subs) == 0 || m.decision(now, r) != quarantiner.Probe {
		return -1
	}
	first, most := 0, -1
	for index := range r.subs {
		if n := m.quarantine.CrashesOf(now, r.signature, r.subs[index].service.name); n > most {
			first, most = index, n
		}
	}
	return first
}

// holdBack keeps a sub-request from being sent now if its request may crash upstreams: it fails one that is rejected, and holds one back while
// another one of the request runs alone, or while it is not known whether the upstream that reset it has crashed and there is other evidence.
func (m *Machine) holdBack(now time.Time, r *request, index int) bool {
	sub := &r.subs[index]
	switch m.decision(now, r) {
	case quarantiner.Reject:
		sub.reason = Quarantined
		m.failSub(now, r, index)
		return true
	case quarantiner.Probe:
		if r.alone != 0 {
			sub.state, sub.heldUntil = subHeld, time.Time{}
			return true
		}
		if a := m.findAlone(now, r.signature); a != nil {
			m.waitForAlone(now, r, index, a)
			return true
		}
	case quarantiner.Clear:
	}
	if now.Before(sub.heldUntil) && (r.awaitingEvidence(now) > 1 || m.quarantine.HasCrashes(now, r.signature)) {
		sub.state = subHeld
		m.reschedule(r, sub.heldUntil)
		return true
	}
	return false
}

// awaitingEvidence returns how many sub-requests of a request were reset just now by upstreams that may have crashed.
func (r *request) awaitingEvidence(now time.Time) int {
	n := 0
	for index := range r.subs {
		if now.Before(r.subs[index].heldUntil) {
			n++
		}
	}
	return n
}

// markAlone marks an attempt of a suspect as the only one that runs.
func (m *Machine) markAlone(now time.Time, r *request, a *attempt) {
	if m.decision(now, r) == quarantiner.Probe && r.alone == 0 {
		r.alone, a.alone = a.id, true
		m.recordAlone(now, a)
	}
}

// recordEvidence records what the end of an attempt says about whether its request crashes upstreams.
func (m *Machine) recordEvidence(now time.Time, a *attempt, result Result) {
	switch e := result.(type) {
	case Replied:
		m.recordSurvival(now, a)
		if e.Reply.NotRun || e.Reply.PromisesNoRun {
			return
		}
		m.recordReply(now, a)
		m.recordUpstreamContact(now, a.upstream)
	case Failed:
		switch {
		case e.Failure == ConnectionRejected, e.Failure == Reset && e.Written:
			m.recordReset(now, a, e.Failure == ConnectionRejected)
		case e.Written && (e.Failure == TimedOut || e.Failure == Cancelled):
			m.recordOrphan(now, a)
		case e.Failure == Unreachable && m.orphans.Has(a.service.name, a.upstream):
			m.awaitEvidence(now, a.service, a.upstream, nil)
		}
	}
}

// recordReply records that an upstream has run a request and lives.
func (m *Machine) recordReply(now time.Time, a *attempt) {
	s := a.service
	m.quarantine.RecordLife(now, a.signature, s.hash)
	if m.quarantine.Empty() && !a.alone {
		return
	}
	before, _ := m.quarantine.Check(now, a.signature)
	m.quarantine.RecordReply(now, a.signature, s.name, a.alone)
	if a.alone && a.request != nil {
		a.request.suspect = false
	}
	m.reportDecision(now, before, a.signature, quarantiner.Crash{Service: s.name, Upstream: a.upstream})
}

// receiveEvidence uses what VMs have published, and reports the requests that are run in another way from now on.
func (m *Machine) receiveEvidence(now time.Time, e EvidenceReceived) {
	before := map[uint64]quarantiner.Decision{}
	for _, p := range e.Publications {
		for _, v := range p.Evidence {
			before[v.Signature], _ = m.quarantine.Check(now, v.Signature)
		}
	}
	m.quarantine.Receive(now, e.Publications, e.Complete)
	for _, signature := range slices.Sorted(maps.Keys(before)) {
		if after, _ := m.quarantine.Check(now, signature); after != before[signature] {
			m.emit(QuarantineChanged{Signature: signature, Decision: after})
		}
	}
}

// endAlone lets the other sub-requests of a suspect go on after the end of the one that ran alone. After a reset they wait for the evidence.
func (m *Machine) endAlone(now time.Time, a *attempt) {
	r := a.request
	if r == nil || r.finished || r.alone != a.id {
		return
	}
	if slices.ContainsFunc(m.pendingResets, func(p pendingReset) bool { return p.attempt == a }) {
		return
	}
	r.alone = 0
	m.releaseHeld(now, r)
}

// endHold goes on with a sub-request whose wait for evidence is over.
func (m *Machine) endHold(now time.Time, r *request, index int) {
	r.subs[index].heldUntil, r.alone = time.Time{}, 0
	m.releaseHeld(now, r)
}

// releaseHeld dispatches the sub-requests of a request that are held back. Those that still have to wait are held back again.
func (m *Machine) releaseHeld(now time.Time, r *request) {
	for index := range r.subs {
		if r.finished {
			return
		}
		if sub := &r.subs[index]; sub.state == subHeld {
			sub.state = subIdle
			m.dispatch(now, r, index)
		}
	}
	if !r.finished {
		m.schedule(now, r)
	}
}

// reportDecision reports a change of how the requests with a signature are run, which an upstream has decided by its crash or its reply.
func (m *Machine) reportDecision(now time.Time, before quarantiner.Decision, signature uint64, at quarantiner.Crash) {
	if after, _ := m.quarantine.Check(now, signature); after != before {
		m.emit(QuarantineChanged{Signature: signature, Decision: after, Service: at.Service, Upstream: at.Upstream})
	}
}

// QuarantinedSignatures returns how many signatures are rejected.
func (m *Machine) QuarantinedSignatures() uint64 {
	_, rejected := m.quarantine.Len()
	return uint64(rejected)
}
