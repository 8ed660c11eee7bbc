package router

import (
	"time"

	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// failure describes how an attempt ended without a usable reply.
type failure struct {
	reason           string
	possiblyRun      bool // the upstream may have executed it
	unwritten        bool // no byte was written
	noConnection     bool // the transport had no free connection
	lostOnConnection bool // the request was lost on an unresponsive connection
	retryAfter       int64
}

// sendFirst sends the first attempt of a sub-request or puts the sub-request into the wait queue.
func (m *Machine) sendFirst(now time.Time, r *request, g int) {
	sub := &r.subs[g]
	i, ok := m.pickReplica(now, r, g)
	if !ok && r.version() != 0 {
		// Reports of held versions can be outdated. Asking a replica that did not report the version refreshes them.
		i, ok = r.service.set.Pick(now, m.random, selector.Query{Group: r.selectionGroup(g), Policy: m.config.Selection})
	}
	if ok {
		m.sendAttempt(now, r, g, i, false)
		return
	}
	if reason := m.blockedReason(r, g); reason != "" {
		sub.reason = reason
		m.failSubRequest(now, r, g)
		return
	}
	m.enqueueSubRequest(now, r, g, false)
}

func (m *Machine) pickReplica(now time.Time, r *request, g int) (int, bool) {
	sub := &r.subs[g]
	return r.service.set.Pick(now, m.random, selector.Query{
		Group: r.selectionGroup(g), Version: r.version(), Exclude: sub.tried[:sub.attempts], Policy: m.config.Selection,
	})
}

// pickTriedReplica chooses a replica for one last attempt after every replica was tried, if the last attempt failed by its
// connection or by a timeout: the only working replica may have lost the connection of its first attempt. Replicas that refused
// their attempt are excluded.
func (m *Machine) pickTriedReplica(now time.Time, r *request, g int) (int, bool) {
	sub := &r.subs[g]
	var exclude [maxAttempts]int
	n := 0
	for k, i := range sub.tried[:sub.attempts] {
		if sub.refusedAttempts&(1<<k) != 0 {
			exclude[n] = i
			n++
		}
	}
	if g >= len(r.service.replicas) || int(sub.attempts) > len(r.service.replicas[g]) {
		return 0, false
	}
	switch sub.reason {
	case reasonUnreachable, reasonReset, reasonUnresponsive, reasonTimeout:
		return r.service.set.Pick(now, m.random, selector.Query{
			Group: r.selectionGroup(g), Version: r.version(), Exclude: exclude[:n], Policy: m.config.Selection,
		})
	default:
		return 0, false
	}
}

// blockedReason returns the reason why no replica of a group can become available, or "" if one can.
func (m *Machine) blockedReason(r *request, g int) string {
	s, sub := r.service, &r.subs[g]
	if g >= len(s.replicas) || len(s.replicas[g]) == 0 {
		return reasonUnknownGroup
	}
	reason := reasonDraining
	for _, i := range s.replicas[g] {
		u := s.set.At(i)
		if !u.Eligible() {
			continue
		}
		tried := false
		for _, t := range sub.tried[:sub.attempts] {
			tried = tried || t == i
		}
		switch {
		case tried:
			reason = sub.reason
		case sub.attempts > 0 && !mayHoldVersion(u, r.version()):
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

func mayHoldVersion(u *selector.Upstream, version uint64) bool {
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

// sendAttempt sends one attempt of a sub-request to the upstream with index i.
func (m *Machine) sendAttempt(now time.Time, r *request, g, i int, hedge bool) {
	s, sub := r.service, &r.subs[g]
	u := s.set.At(i)
	a := m.attempts.add()
	a.request, a.service, a.subIndex, a.upstream, a.group = r, s, g, i, s.groupOf(i)
	a.name, a.address, a.sent, a.deadline, a.hedge = u.Row.Upstream, u.Row.Address, now, r.answerBy, hedge
	if !sub.primaryCounted {
		sub.primaryCounted = true
		if r.restarted {
			m.stats.Resent++
		} else {
			s.budget.AddPrimaries(1)
			m.stats.Primaries++
		}
	}
	sub.tried[sub.attempts] = i
	sub.attempts++
	sub.inFlight.Add(a.id)
	sub.state = subSent
	m.emit(Send{
		Attempt: a.id, Request: r.id, Service: s.name, Upstream: u.Row.Upstream, Address: u.Row.Address, Kind: r.kind,
		Query: r.query, Body: r.body, Version: r.version(), Deadline: r.answerBy, Caller: r.caller,
	})
	s.set.RecordStart(now, i)
	m.recordSent(now, r, a, u)
	if !hedge && m.mayHedge(r) {
		sub.hedgeAt = now.Add(s.delays(now).hedge)
		m.checkBy(r, sub.hedgeAt)
	}
}

// retrySubRequest sends or queues another attempt of a sub-request that has none in flight. It takes no budget token if free is
// set, which is the case if the previous attempt cost its upstream no work: no byte of it was written, or it was lost on an
// unresponsive connection. It returns false if no further attempt is possible.
func (m *Machine) retrySubRequest(now time.Time, r *request, g int, free bool) bool {
	sub := &r.subs[g]
	if sub.attempts >= maxAttempts || m.attempts.isFull() {
		return false
	}
	i, ok := m.pickReplica(now, r, g)
	if !ok && m.blockedReason(r, g) == "" {
		m.enqueueSubRequest(now, r, g, !free)
		return true
	}
	if !ok {
		i, ok = m.pickTriedReplica(now, r, g)
	}
	if !ok || !m.takeRetryToken(r, sub, free) {
		return false
	}
	m.sendAttempt(now, r, g, i, false)
	return true
}

// takeRetryToken takes a budget token for a retry, unless the retry is free. It returns false if the budget is used up.
func (m *Machine) takeRetryToken(r *request, sub *subRequest, free bool) bool {
	if free {
		m.stats.Reroutes++
		return true
	}
	if !r.service.budget.TakeToken() {
		m.stats.BudgetRefusals++
		sub.reason = reasonBudget
		return false
	}
	m.stats.Retries++
	return true
}

// processFailure handles the end of an attempt without a usable reply.
func (m *Machine) processFailure(now time.Time, a *attempt, f failure) {
	r := a.request
	sub := &r.subs[a.subIndex]
	if sub.state != subSent {
		return
	}
	sub.possiblyRun = sub.possiblyRun || f.possiblyRun
	sub.reason, sub.retryAfter = f.reason, f.retryAfter
	if f.unwritten && !f.noConnection {
		for k, i := range sub.tried[:sub.attempts] {
			if i == a.upstream {
				sub.refusedAttempts |= 1 << k
			}
		}
	}
	sub.notHeld = sub.notHeld || f.reason == reasonVersionNotHeld
	if r.probeGroup != noProbe && f.possiblyRun && f.reason == reasonReset {
		m.recordProbeReset(now, a)
	}
	if r.kind == encoder.SubCall {
		m.handleCallFailure(now, r, f)
		return
	}
	if sub.inFlight.Count() > 0 {
		if m.mayHedge(r) {
			sub.hedgeAt = now.Add(r.service.delays(now).hedge)
			m.checkBy(r, sub.hedgeAt)
		}
		return
	}
	if f.possiblyRun && r.probeGroup != noProbe {
		m.failSubRequest(now, r, a.subIndex)
		return
	}
	if f.reason == reasonReset && f.possiblyRun && m.holdBackSubRequest(now, r, a.subIndex) {
		return
	}
	if m.retrySubRequest(now, r, a.subIndex, f.unwritten || f.lostOnConnection) || f.noConnection && m.pauseSubRequest(now, r, a.subIndex) {
		return
	}
	if f.reason == reasonVersionNotHeld && sub.reason != reasonBudget && m.restartSearch(now, r) {
		return
	}
	m.failSubRequest(now, r, a.subIndex)
}

// failSubRequest ends a sub-request without a result.
func (m *Machine) failSubRequest(now time.Time, r *request, g int) {
	r.subs[g].state = subFailed
	r.pending--
	if r.probeGroup != noProbe && r.kind == encoder.SubSearch {
		m.giveUpSearch(now, r, reasonSuspect)
		return
	}
	m.completeIfEnded(now, r)
}

func (m *Machine) completeIfEnded(now time.Time, r *request) {
	if r.pending > 0 || r.state != stateRunning {
		return
	}
	if r.kind == encoder.SubSearch {
		m.completeSearch(now, r)
		return
	}
	m.answerPointFailure(now, r)
}

// enqueueSubRequest puts a sub-request into the wait queue of its group.
func (m *Machine) enqueueSubRequest(now time.Time, r *request, g int, needsToken bool) {
	s, sub := r.service, &r.subs[g]
	limit := s.row.Queue
	if limit <= 0 {
		limit = tabler.DefaultQueue
	}
	if len(s.waitQueues[g]) >= limit {
		s.waitQueues[g] = removeStale(s.waitQueues[g])
	}
	if len(s.waitQueues[g]) >= limit {
		sub.reason = reasonQueueFull
		m.failSubRequest(now, r, g)
		return
	}
	sub.state = subWaiting
	sub.needsToken = needsToken
	m.checkBy(r, now.Add(s.delays(now).hedge))
	s.waitQueues[g] = append(s.waitQueues[g], waiter{request: r, subIndex: g})
}

func (w waiter) isStale() bool {
	return w.request.state != stateRunning || w.request.subs[w.subIndex].state != subWaiting
}

// pauseSubRequest queues a sub-request that found no free connection at any replica, with a delay. Connections are opened one
// at a time, so one may become free within a few milliseconds after a fault. The attempts were not sent and do not count. It
// returns false after maxPauses pauses.
func (m *Machine) pauseSubRequest(now time.Time, r *request, g int) bool {
	sub := &r.subs[g]
	if sub.pauses >= maxPauses {
		return false
	}
	sub.resumeAt = now.Add(min(firstPause<<sub.pauses, maxPause))
	sub.pauses++
	sub.attempts, sub.refusedAttempts = 0, 0
	m.enqueueSubRequest(now, r, g, false)
	if r.state == stateRunning {
		m.checkBy(r, sub.resumeAt)
	}
	return true
}

func removeStale(q []waiter) []waiter {
	kept := q[:0]
	for _, w := range q {
		if !w.isStale() {
			kept = append(kept, w)
		}
	}
	clear(q[len(kept):])
	return kept
}

// scheduleWaitQueue marks the wait queue of a group to run at the end of the step, because a replica may have become available.
func (m *Machine) scheduleWaitQueue(s *service, g int) {
	if g < len(s.waitQueues) && len(s.waitQueues[g]) > 0 {
		m.readyQueues = append(m.readyQueues, waitQueueRef{s, g})
	}
}

type waitQueueRef struct {
	service *service
	group   int
}

// runWaitQueues sends the waiting sub-requests for which a replica is available.
func (m *Machine) runWaitQueues(now time.Time) {
	for len(m.readyQueues) > 0 {
		q := m.readyQueues[len(m.readyQueues)-1]
		m.readyQueues = m.readyQueues[:len(m.readyQueues)-1]
		m.runWaitQueue(now, q.service, q.group)
	}
}

func (m *Machine) runWaitQueue(now time.Time, s *service, g int) {
	queue := s.waitQueues[g]
	s.waitQueues[g] = nil
	for k, w := range queue {
		if w.isStale() {
			continue
		}
		r, sub := w.request, &w.request.subs[w.subIndex]
		if now.Before(sub.resumeAt) {
			s.waitQueues[g] = append(s.waitQueues[g], w)
			continue
		}
		i, ok := m.pickReplica(now, r, w.subIndex)
		if !ok {
			if reason := m.blockedReason(r, w.subIndex); reason != "" {
				sub.reason = reason
				m.failSubRequest(now, r, w.subIndex)
				continue
			}
			s.waitQueues[g] = append(s.waitQueues[g], w)
			if sub.attempts == 0 {
				s.waitQueues[g] = append(s.waitQueues[g], queue[k+1:]...)
				return
			}
			continue
		}
		if sub.attempts > 0 && !m.takeRetryToken(r, sub, !sub.needsToken) {
			m.failSubRequest(now, r, w.subIndex)
			continue
		}
		m.sendAttempt(now, r, w.subIndex, i, false)
	}
}
