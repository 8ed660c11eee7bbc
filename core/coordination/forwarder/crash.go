package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

// pendingReset is an attempt that its upstream has reset, without evidence so far whether the upstream crashed.
type pendingReset struct {
	attempt   *attempt
	at        time.Time
	startTime time.Time // of the upstream
	refused   bool      // the upstream's host refuses connections: it has crashed, or this VM does not reach it
	others    []string  // upstreams that were probed since, because this VM may not reach any
}

// recordReset keeps an attempt that was reset until it is known whether its upstream has crashed, and probes the upstream.
func (m *Machine) recordReset(now time.Time, a *attempt) {
	i, ok := a.service.set.Index(a.upstream)
	if !ok || !a.service.set.At(i).Eligible() {
		return // an upstream that leaves may end
	}
	m.pendingResets = slices.DeleteFunc(m.pendingResets, func(p pendingReset) bool { return now.Sub(p.at) > resetLifetime })
	if len(m.pendingResets) >= maxPendingResets {
		return
	}
	probed := slices.ContainsFunc(m.pendingResets, func(p pendingReset) bool {
		return p.attempt.upstream == a.upstream && now.Sub(p.at) < crashProbeTimeout
	})
	m.pendingResets = append(m.pendingResets, pendingReset{attempt: a, at: now, startTime: a.service.startTime(a.upstream)})
	if r := a.request; r != nil {
		r.subs[a.subIndex].heldUntil = now.Add(maxResetHold)
	}
	if !probed {
		m.emitProbe(a.service, a.service.set.At(i), now.Add(crashProbeTimeout))
	}
}

// resolveResets uses what a probe says of the upstreams. One that accepts connections has not crashed. One whose host refuses them has, if this
// VM reaches other upstreams; otherwise its own connections may be the fault, so that a further probe is sent. Without an answer of the host, the
// list of upstreams may still tell.
func (m *Machine) resolveResets(now time.Time, e ProbeEnded) {
	switch {
	case e.Connected:
		m.takeResets(now, func(p pendingReset) (known, crashed bool) {
			return p.attempt.upstream == e.Upstream && p.attempt.service.name == e.Service, false
		})
		m.recordUpstreamContact(now, e.Upstream)
	case e.Refused:
		asked := false // one further probe tells for all resets of the upstream
		for i := range m.pendingResets {
			p := &m.pendingResets[i]
			first := p.attempt.upstream == e.Upstream && p.attempt.service.name == e.Service && !p.refused
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

// releaseUnexplained lets requests go on whose reset has no explanation yet, because the host of the upstream does not answer.
func (m *Machine) releaseUnexplained(now time.Time, e ProbeEnded) {
	for _, p := range slices.Clone(m.pendingResets) {
		r := p.attempt.request
		if p.attempt.upstream == e.Upstream && p.attempt.service.name == e.Service && r != nil && !r.finished && r.alone == p.attempt.id {
			r.alone = 0
			m.releaseHeld(now, r)
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
	return slices.ContainsFunc(m.pendingResets, func(p pendingReset) bool { return p.attempt.service == s && p.attempt.upstream == upstream })
}

// recordUpstreamContact takes the resets of upstreams that refuse connections as crashes, because this VM reaches another upstream. A VM that is cut
// from one service alone may take harmless requests for suspects; the VMs that get answers to them say so.
func (m *Machine) recordUpstreamContact(now time.Time, upstream string) {
	if len(m.pendingResets) == 0 {
		return
	}
	m.takeResets(now, func(p pendingReset) (known, crashed bool) {
		crashed = p.refused && now.Sub(p.at) <= contactTime && p.attempt.upstream != upstream
		return crashed, crashed
	})
}

// resolveReplaced takes the resets of upstreams that are no longer listed, or have started again, as crashes.
func (m *Machine) resolveReplaced(now time.Time, service string, listed []Upstream) {
	m.takeResets(now, func(p pendingReset) (known, crashed bool) {
		gone := p.attempt.service.name == service && !slices.ContainsFunc(listed, func(u Upstream) bool {
			return u.Name == p.attempt.upstream && u.StartTime.Equal(p.startTime)
		})
		return gone, gone
	})
}

// takeResets removes the resets about which a function knows whether a crash was the cause, records the crashes, and goes on with the requests.
func (m *Machine) takeResets(now time.Time, resolve func(pendingReset) (known, crashed bool)) {
	var resolved []*attempt
	m.pendingResets = slices.DeleteFunc(m.pendingResets, func(p pendingReset) bool {
		if now.Sub(p.at) > resetLifetime {
			return true
		}
		known, crashed := resolve(p)
		if !known {
			return false
		}
		resolved = append(resolved, p.attempt)
		if crashed {
			before, _ := m.quarantine.Check(now, p.attempt.signature)
			c := quarantiner.Crash{Service: p.attempt.service.name, Upstream: p.attempt.upstream, Started: p.startTime}
			m.quarantine.RecordCrash(now, p.attempt.signature, c, p.attempt.alone)
			m.reportDecision(now, before, p.attempt)
		}
		return true
	})
	for _, a := range resolved {
		if r := a.request; r != nil && !r.finished {
			r.subs[a.subIndex].heldUntil = time.Time{}
			if r.alone == a.id {
				r.alone = 0
			}
			m.releaseHeld(now, r)
		}
	}
}

// emitProbe opens a connection to an upstream to find out whether it accepts one.
func (m *Machine) emitProbe(s *service, u *selector.Upstream, deadline time.Time) {
	m.emit(Probe{
		Service: s.name, Upstream: u.Row.Upstream, Address: u.Row.Address, Deadline: deadline, MaxConnections: s.connectionShare(m.fleetMax()),
	})
}
