package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

// pendingReset is an upstream that has reset an attempt, or refused a connection while it may run orphans, without evidence so far whether it crashed.
type pendingReset struct {
	service   *service
	upstream  string
	attempt   *attempt // that was reset; nil if none was
	at        time.Time
	startTime time.Time // of the upstream
	refused   bool      // the upstream's host refuses connections: it has crashed, or this VM does not reach it
	accepted  int       // probes that the upstream has accepted since: it lives, or has not closed its port yet
	recheckAt time.Time // of the next probe after an accepted one; zero for none
	rejected  bool      // the attempt's connection was new: the upstream may have too many
	others    []string  // upstreams that were probed since, because this VM may not reach any
}

func (p *pendingReset) isOf(service, upstream string) bool {
	return p.upstream == upstream && p.service.name == service
}

// recordReset keeps an attempt that was reset until it is known whether its upstream has crashed, and probes the upstream. Rejected is set if the
// connection was new.
func (m *Machine) recordReset(now time.Time, a *attempt, rejected bool) {
	if !m.awaitEvidence(now, a.service, a.upstream, a) {
		return
	}
	m.pendingResets[len(m.pendingResets)-1].rejected = rejected
	if a.request != nil {
		a.request.subs[a.subIndex].heldUntil = now.Add(maxResetHold)
	}
}

// awaitEvidence waits until it is known whether an upstream has crashed, and probes it. It returns false if that would tell nothing, or if too many
// upstreams are waited for. The attempt that was reset may be nil.
func (m *Machine) awaitEvidence(now time.Time, s *service, upstream string, a *attempt) bool {
	i, ok := s.set.Index(upstream)
	if !ok || !s.set.At(i).Eligible() {
		return false // an upstream that leaves may end
	}
	m.pendingResets = slices.DeleteFunc(m.pendingResets, func(p pendingReset) bool { return now.Sub(p.at) > resetLifetime })
	if len(m.pendingResets) >= maxPendingResets {
		return false
	}
	probed := slices.ContainsFunc(m.pendingResets, func(p pendingReset) bool {
		return p.isOf(s.name, upstream) && p.accepted == 0 && now.Sub(p.at) < crashProbeTimeout
	})
	if probed && a == nil {
		return false
	}
	m.pendingResets = append(m.pendingResets, pendingReset{service: s, upstream: upstream, attempt: a, at: now, startTime: s.startTime(upstream)})
	if !probed {
		m.emitProbe(s, s.set.At(i), now.Add(crashProbeTimeout))
	}
	return true
}

// resolveResets uses what a probe says of the upstreams. One that accepts connections has not crashed, if it still does a little later: a process
// that ends may reset its connections before it closes its port. One whose host refuses them has, if this VM reaches other upstreams; otherwise its
// own connections may be the fault, so that a further probe is sent. Without an answer of the host, the list of upstreams may still tell.
func (m *Machine) resolveResets(now time.Time, e ProbeEnded) {
	switch {
	case e.Connected:
		m.recordAccepted(now, e)
		m.recordUpstreamContact(now, e.Upstream)
	case e.Refused:
		m.recordRefusal(now, e)
		asked := false // one further probe tells for all resets of the upstream
		for i := range m.pendingResets {
			p := &m.pendingResets[i]
			first := p.isOf(e.Service, e.Upstream) && !p.refused
			p.refused = p.refused || first
			if first && !asked || slices.Contains(p.others, e.Upstream) {
				m.probeOther(now, p)
			}
			asked = asked || first
		}
	default:
		m.releaseUnexplained(now, e)
	}
}

// recordAccepted records that an upstream accepts connections after its resets, and plans to probe it again. Requests go on, but a suspect that ran
// alone only after the second such probe. The upstream has not crashed if it accepts all. It is not probed again for new connections that it has rejected,
// unless there is other evidence against their request: an upstream under load would get still more connections.
func (m *Machine) recordAccepted(now time.Time, e ProbeEnded) {
	var alive []pendingReset
	for i := range m.pendingResets {
		p := &m.pendingResets[i]
		if !p.isOf(e.Service, e.Upstream) || !p.recheckAt.IsZero() {
			continue
		}
		p.refused = false
		if a := p.attempt; p.rejected && !a.alone && !m.quarantine.HasCrashes(now, a.signature) {
			p.accepted = len(recheckDelays) + 1
			alive = append(alive, *p)
			continue
		}
		if p.accepted < len(recheckDelays) {
			p.recheckAt = now.Add(recheckDelays[p.accepted])
		}
		p.accepted++
		if alone := p.attempt != nil && p.attempt.alone; p.accepted == 1 && !alone || p.accepted == 2 && alone {
			alive = append(alive, *p)
		}
	}
	m.pendingResets = slices.DeleteFunc(m.pendingResets, func(p pendingReset) bool { return p.accepted > len(recheckDelays) })
	for _, p := range alive {
		m.releaseReset(now, p)
	}
}

// recheckResets probes the upstreams again that have accepted a connection after a reset.
func (m *Machine) recheckResets(now time.Time) {
	var probed []string
	for i := range m.pendingResets {
		p := &m.pendingResets[i]
		if p.recheckAt.IsZero() || now.Before(p.recheckAt) {
			continue
		}
		p.recheckAt = time.Time{}
		k, ok := p.service.set.Index(p.upstream)
		if ok && !slices.Contains(probed, p.upstream) {
			probed = append(probed, p.upstream)
			m.emitProbe(p.service, p.service.set.At(k), now.Add(crashProbeTimeout))
		}
	}
}

// nextRecheck returns when recheckResets has a probe to send, zero for never.
func (m *Machine) nextRecheck() time.Time {
	next := time.Time{}
	for i := range m.pendingResets {
		if at := m.pendingResets[i].recheckAt; !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// releaseUnexplained lets requests go on whose reset has no explanation yet, because the host of the upstream does not answer.
func (m *Machine) releaseUnexplained(now time.Time, e ProbeEnded) {
	for _, p := range slices.Clone(m.pendingResets) {
		if p.attempt == nil || !p.isOf(e.Service, e.Upstream) {
			continue
		}
		if r := p.attempt.request; r != nil && !r.finished && r.alone == p.attempt.id {
			r.alone = 0
			delete(m.aloneRuns, r.signature)
			m.releaseHeld(now, r)
			m.releaseSame(now, r.signature)
		}
	}
}

// probeOther probes another upstream than one that refuses connections.
func (m *Machine) probeOther(now time.Time, p *pendingReset) {
	if now.Sub(p.at) > contactTime || len(p.others) >= maxOtherProbes {
		return
	}
	all := m.servicesByName()
	first := m.random.IntN(len(all))
	for k := range all {
		s := all[(first+k)%len(all)]
		for i := range s.set.Len() {
			u := s.set.At(i)
			if u.Eligible() && !m.wasReset(s, u.Row.Upstream) && !slices.Contains(p.others, u.Row.Upstream) {
				p.others = append(p.others, u.Row.Upstream)
				m.emitProbe(s, u, now.Add(crashProbeTimeout))
				return
			}
		}
	}
}

// wasReset reports whether an upstream has reset an attempt lately without evidence so far of a crash.
func (m *Machine) wasReset(s *service, upstream string) bool {
	return slices.ContainsFunc(m.pendingResets, func(p pendingReset) bool { return p.isOf(s.name, upstream) })
}

// recordUpstreamContact takes the resets of upstreams that refuse connections as crashes, because this VM reaches another upstream. A VM that is cut
// from one service alone may take harmless requests for suspects; the VMs that get answers to them say so.
func (m *Machine) recordUpstreamContact(now time.Time, upstream string) {
	if len(m.pendingResets) == 0 {
		return
	}
	m.takeResets(now, func(p pendingReset) (known, crashed bool) {
		crashed = p.refused && now.Sub(p.at) <= contactTime && p.upstream != upstream
		return crashed, crashed
	})
}

// resolveReplaced takes the resets of upstreams that are no longer listed, or have started again, as crashes.
func (m *Machine) resolveReplaced(now time.Time, service string, listed []Upstream) {
	m.takeResets(now, func(p pendingReset) (known, crashed bool) {
		gone := p.service.name == service && !slices.ContainsFunc(listed, func(u Upstream) bool {
			return u.Name == p.upstream && u.StartTime.Equal(p.startTime)
		})
		return gone, gone
	})
}

// takeResets removes the resets about which a function knows whether a crash was the cause, records the crashes, and goes on with the requests.
func (m *Machine) takeResets(now time.Time, resolve func(pendingReset) (known, crashed bool)) {
	var resolved, crashes []pendingReset
	m.pendingResets = slices.DeleteFunc(m.pendingResets, func(p pendingReset) bool {
		if now.Sub(p.at) > resetLifetime {
			return true
		}
		known, crashed := resolve(p)
		if known {
			resolved = append(resolved, p)
		}
		if crashed {
			crashes = append(crashes, p)
		}
		return known
	})
	for _, p := range crashes {
		c := quarantiner.Crash{Service: p.service.name, Upstream: p.upstream, Started: p.startTime}
		if a := p.attempt; a != nil {
			before, _ := m.quarantine.Check(now, a.signature)
			m.quarantine.RecordCrash(now, a.signature, c, a.alone)
			m.reportDecision(now, before, a.signature, c)
		}
		m.recordOrphanCrashes(now, m.orphans.TakeCrashed(p.at, c))
	}
	for _, p := range resolved {
		m.releaseReset(now, p)
	}
}

// releaseReset goes on with the request whose attempt was reset.
func (m *Machine) releaseReset(now time.Time, p pendingReset) {
	a := p.attempt
	if a == nil {
		return
	}
	if r := a.request; r != nil && !r.finished {
		r.subs[a.subIndex].heldUntil = time.Time{}
		if r.alone == a.id {
			r.alone = 0
		}
		m.releaseHeld(now, r)
	}
	if a.alone {
		m.releaseSame(now, a.signature)
	}
}

// emitProbe opens a connection to an upstream to find out whether it accepts one.
func (m *Machine) emitProbe(s *service, u *selector.Upstream, deadline time.Time) {
	m.emit(Probe{
		Service: s.name, Upstream: u.Row.Upstream, Address: u.Row.Address, Deadline: deadline, MaxConnections: s.connectionShare(m.fleetMax()),
	})
}
