package router

import (
	"time"

	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// failure says how an attempt ended without a usable reply.
type failure struct {
	reason      string
	possiblyRun bool // the upstream may have run it
	unsent      bool // no byte was written
	busy        bool // the transport had no free connection
	lost        bool // the request was lost on an unresponsive connection
	retryAfter  int64
}

// first sends the first attempt of a sub-request, or makes it wait.
func (m *Machine) first(now time.Time, r *request, g int) {
	b := &r.subs[g]
	i, ok := m.pick(now, r, g)
	if !ok && r.version() != 0 {
		// Reports of held versions may be old. Asking a replica that did not report the version refreshes them.
		i, ok = r.service.set.Pick(now, m.random, selector.Query{Group: r.group(g), Policy: m.config.Selection})
	}
	if ok {
		m.send(now, r, g, i, false)
		return
	}
	if reason := m.blocked(r, g); reason != "" {
		b.reason = reason
		m.settleFailed(now, r, g)
		return
	}
	m.enqueue(now, r, g, false)
}

func (m *Machine) pick(now time.Time, r *request, g int) (int, bool) {
	b := &r.subs[g]
	return r.service.set.Pick(now, m.random, selector.Query{
		Group: r.group(g), Version: r.version(), Exclude: b.tried[:b.attempts], Policy: m.config.Selection,
	})
}

// pickAgain chooses a replica for a last attempt after each replica failed once, if the last failure was one of a connection:
// the only replica that works may have lost the connection of its first attempt. Replicas that refused are left out.
func (m *Machine) pickAgain(now time.Time, r *request, g int) (int, bool) {
	b := &r.subs[g]
	var exclude [maxAttempts]int
	n := 0
	for k, i := range b.tried[:b.attempts] {
		if b.refused&(1<<k) != 0 {
			exclude[n] = i
			n++
		}
	}
	if g >= len(r.service.members) || int(b.attempts) > len(r.service.members[g]) {
		return 0, false
	}
	switch b.reason {
	case reasonUnreachable, reasonReset, reasonUnresponsive, reasonTimeout:
		return r.service.set.Pick(now, m.random, selector.Query{
			Group: r.group(g), Version: r.version(), Exclude: exclude[:n], Policy: m.config.Selection,
		})
	default:
		return 0, false
	}
}

// blocked returns why waiting for a replica is useless, or "" when one may become free.
func (m *Machine) blocked(r *request, g int) string {
	s, b := r.service, &r.subs[g]
	if g >= len(s.members) || len(s.members[g]) == 0 {
		return reasonUnknownGroup
	}
	reason := reasonDraining
	for _, i := range s.members[g] {
		u := s.set.At(i)
		if !u.Eligible() {
			continue
		}
		tried := false
		for _, t := range b.tried[:b.attempts] {
			tried = tried || t == i
		}
		switch {
		case tried:
			reason = b.reason
		case b.attempts > 0 && !mayHold(u, r.version()):
			reason = reasonVersionNotHeld
		default:
			return ""
		}
	}
	if reason == "" {
		reason = reasonUnreachable
	}
	return reason
}

func mayHold(u *selector.Upstream, version uint64) bool {
	if version == 0 || len(u.Held) == 0 {
		return true
	}
	for k := range u.Held {
		if u.Held[k].Version == version {
			return true
		}
	}
	return false
}

// send dispatches one attempt.
func (m *Machine) send(now time.Time, r *request, g, i int, hedge bool) {
	s, b := r.service, &r.subs[g]
	u := s.set.At(i)
	a := m.attempts.add()
	a.request, a.service, a.sub, a.upstream, a.group = r, s, g, i, s.groupOf(i)
	a.name, a.address, a.sent, a.deadline, a.hedge = u.Row.Upstream, u.Row.Address, now, r.until, hedge
	if !b.counted {
		b.counted = true
		if r.restarted {
			m.stats.Resent++
		} else {
			s.budget.AddPrimaries(1)
			m.stats.Primaries++
		}
	}
	b.tried[b.attempts] = i
	b.attempts++
	b.live.Add(a.id)
	b.state = subSent
	m.emit(Send{
		Attempt: a.id, Request: r.id, Service: s.name, Upstream: u.Row.Upstream, Address: u.Row.Address, Kind: r.kind,
		Query: r.query, Body: r.body, Version: r.version(), Deadline: r.until, Caller: r.caller,
	})
	s.set.RecordStart(now, i)
	m.sent(now, r, a, u)
	if !hedge && m.mayHedge(r) {
		b.hedgeAt = now.Add(s.delays(now).hedge)
		m.soon(r, b.hedgeAt)
	}
}

// retry sends another attempt of a sub-request that has none in flight. An attempt that cost its upstream no work is replaced
// without a token: no byte of it was written, or it was lost on an unresponsive connection. It returns false when the sub-request has failed.
func (m *Machine) retry(now time.Time, r *request, g int, free bool) bool {
	b := &r.subs[g]
	if b.attempts >= maxAttempts || m.attempts.full() {
		return false
	}
	i, ok := m.pick(now, r, g)
	if !ok && m.blocked(r, g) == "" {
		m.enqueue(now, r, g, !free)
		return true
	}
	if !ok {
		i, ok = m.pickAgain(now, r, g)
	}
	if !ok || !m.pay(r, b, free) {
		return false
	}
	m.send(now, r, g, i, false)
	return true
}

// pay takes the token of a retry.
func (m *Machine) pay(r *request, b *sub, free bool) bool {
	if free {
		m.stats.Reroutes++
		return true
	}
	if !r.service.budget.TakeToken() {
		m.stats.BudgetRefusals++
		b.reason = reasonBudget
		return false
	}
	m.stats.Retries++
	return true
}

// failed handles the end of an attempt without a usable reply.
func (m *Machine) failed(now time.Time, a *attempt, f failure) {
	r := a.request
	b := &r.subs[a.sub]
	if b.state != subSent {
		return
	}
	b.possiblyRun = b.possiblyRun || f.possiblyRun
	b.reason, b.retryAfter = f.reason, f.retryAfter
	if f.unsent && !f.busy {
		for k, i := range b.tried[:b.attempts] {
			if i == a.upstream {
				b.refused |= 1 << k
			}
		}
	}
	b.notHeld = b.notHeld || f.reason == reasonVersionNotHeld
	if r.probeGroup != noProbe && f.possiblyRun && f.reason == reasonReset {
		m.probeReset(now, a)
	}
	if r.kind == encoder.SubCall {
		m.callFailed(now, r, f)
		return
	}
	if b.live.Count() > 0 {
		if m.mayHedge(r) {
			b.hedgeAt = now.Add(r.service.delays(now).hedge)
			m.soon(r, b.hedgeAt)
		}
		return
	}
	if f.possiblyRun && r.probeGroup != noProbe {
		m.settleFailed(now, r, a.sub)
		return
	}
	if f.reason == reasonReset && f.possiblyRun && m.hold(now, r, a.sub) {
		return
	}
	if m.retry(now, r, a.sub, f.unsent || f.lost) || f.busy && m.pause(now, r, a.sub) {
		return
	}
	if f.reason == reasonVersionNotHeld && b.reason != reasonBudget && m.restart(now, r) {
		return
	}
	m.settleFailed(now, r, a.sub)
}

// settleFailed ends a sub-request without a result.
func (m *Machine) settleFailed(now time.Time, r *request, g int) {
	r.subs[g].state = subFailed
	r.pending--
	if r.probeGroup != noProbe && r.kind == encoder.SubSearch {
		m.giveUp(now, r, reasonSuspect)
		return
	}
	m.completeIfSettled(now, r)
}

func (m *Machine) completeIfSettled(now time.Time, r *request) {
	if r.pending > 0 || r.state != stateRunning {
		return
	}
	if r.kind == encoder.SubSearch {
		m.completeSearch(now, r)
		return
	}
	m.answerPointFailure(now, r)
}

// enqueue makes a sub-request wait for a replica of its group.
func (m *Machine) enqueue(now time.Time, r *request, g int, retry bool) {
	s, b := r.service, &r.subs[g]
	limit := s.row.Queue
	if limit <= 0 {
		limit = tabler.DefaultQueue
	}
	if len(s.waiting[g]) >= limit {
		s.waiting[g] = dropStale(s.waiting[g])
	}
	if len(s.waiting[g]) >= limit {
		b.reason = reasonQueueFull
		m.settleFailed(now, r, g)
		return
	}
	b.state = subWaiting
	b.owing = retry
	m.soon(r, now.Add(s.delays(now).hedge))
	s.waiting[g] = append(s.waiting[g], waiter{request: r, sub: g})
}

func (w waiter) stale() bool {
	return w.request.state != stateRunning || w.request.subs[w.sub].state != subWaiting
}

// pause makes a sub-request wait that found no free connection at any replica. Connections are opened one at a time, so that
// after a fault a free one may be a few milliseconds away. The attempts were not sent and do not count.
func (m *Machine) pause(now time.Time, r *request, g int) bool {
	b := &r.subs[g]
	if b.pauses >= maxPauses {
		return false
	}
	b.resumeAt = now.Add(min(firstPause<<b.pauses, maxPause))
	b.pauses++
	b.attempts, b.refused = 0, 0
	m.enqueue(now, r, g, false)
	if r.state == stateRunning {
		m.soon(r, b.resumeAt)
	}
	return true
}

func dropStale(q []waiter) []waiter {
	kept := q[:0]
	for _, w := range q {
		if !w.stale() {
			kept = append(kept, w)
		}
	}
	clear(q[len(kept):])
	return kept
}

// drain notes that the wait queue of a group may have a replica again. The queues run at the end of the step.
func (m *Machine) drain(s *service, g int) {
	if g < len(s.waiting) && len(s.waiting[g]) > 0 {
		m.ready = append(m.ready, readyQueue{s, g})
	}
}

type readyQueue struct {
	service *service
	group   int
}

// runQueues sends what waits and can be sent.
func (m *Machine) runQueues(now time.Time) {
	for len(m.ready) > 0 {
		q := m.ready[len(m.ready)-1]
		m.ready = m.ready[:len(m.ready)-1]
		m.runQueue(now, q.service, q.group)
	}
}

func (m *Machine) runQueue(now time.Time, s *service, g int) {
	queue := s.waiting[g]
	s.waiting[g] = nil
	for k, w := range queue {
		if w.stale() {
			continue
		}
		r, b := w.request, &w.request.subs[w.sub]
		if now.Before(b.resumeAt) {
			s.waiting[g] = append(s.waiting[g], w)
			continue
		}
		i, ok := m.pick(now, r, w.sub)
		if !ok {
			if reason := m.blocked(r, w.sub); reason != "" {
				b.reason = reason
				m.settleFailed(now, r, w.sub)
				continue
			}
			s.waiting[g] = append(s.waiting[g], w)
			if b.attempts == 0 {
				s.waiting[g] = append(s.waiting[g], queue[k+1:]...)
				return
			}
			continue
		}
		if b.attempts > 0 && !m.pay(r, b, !b.owing) {
			m.settleFailed(now, r, w.sub)
			continue
		}
		m.send(now, r, w.sub, i, false)
	}
}
