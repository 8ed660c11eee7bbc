package forwarder

import (
	"slices"
	"time"
)

// schedule sets the timer of a request to its next step.
func (m *Machine) schedule(now time.Time, r *request) {
	r.due = r.answerBy
	if !r.grantBy.IsZero() {
		if r.grantBy.Before(r.due) {
			r.due = r.grantBy
		}
		m.timers.Set(r)
		return
	}
	if r.gather != nil && r.partialAt.After(now) && r.partialAt.Before(r.due) {
		r.due = r.partialAt
	}
	for index := range r.subs {
		sub := &r.subs[index]
		switch {
		case sub.state == subSent && !sub.hedgeAt.IsZero() && sub.hedgeAt.Before(r.due):
			r.due = sub.hedgeAt
		case sub.state == subHeld && !sub.heldUntil.IsZero() && sub.heldUntil.Before(r.due):
			r.due = sub.heldUntil
		case sub.state == subWaiting:
			if at := sub.retryAt(now, r); at.Before(r.due) {
				r.due = at
			}
		}
	}
	m.timers.Set(r)
}

// retryAt returns when a waiting sub-request is looked at again: when the rate of an upstream allows another request, at the latest at the
// end of the wait. Capacity that becomes free earlier is noticed at the end of the attempt that held it.
func (s *subRequest) retryAt(now time.Time, r *request) time.Time {
	if at := s.nextGrant(now); at.After(now) && at.Before(r.waitUntil) {
		return at
	}
	return r.waitUntil
}

// reschedule moves the timer of a request to the given time, unless it is due earlier.
func (m *Machine) reschedule(r *request, at time.Time) {
	if r.heapIndex >= 0 && at.Before(r.due) {
		r.due = at
		m.timers.Set(r)
	}
}

// runDueSteps carries out the steps of a request that are due: expiry, a partial answer, hedges, and the end of waiting.
func (m *Machine) runDueSteps(now time.Time, r *request) {
	if !r.grantBy.IsZero() {
		m.endGrantWait(now, r)
		return
	}
	if !now.Before(r.answerBy) {
		m.answerExpired(now, r)
		return
	}
	if !now.Before(r.partialAt) {
		m.answerIfDecided(now, r)
	}
	for index := range r.subs {
		if r.finished {
			return
		}
		sub := &r.subs[index]
		switch {
		case sub.state == subSent && !sub.hedgeAt.IsZero() && !sub.hedgeAt.After(now):
			m.hedge(now, r, index)
		case sub.state == subHeld && !sub.heldUntil.IsZero() && !sub.heldUntil.After(now):
			m.endHold(now, r, index)
		case sub.state == subWaiting && !now.Before(r.waitUntil):
			sub.service.dequeue(r, index)
			sub.reason = Busy
			m.failSub(now, r, index)
			r.leaveTurns()
		case sub.state == subWaiting:
			m.dispatchWaiting(now, sub.service)
		}
	}
	if !r.finished {
		m.schedule(now, r)
	}
}

// precedes reports whether a waiting request goes before another one: the requests of this VM's callers before those of other VMs, then by
// priority, then by the turns of customers, then by age.
func (r *request) precedes(o *request) bool {
	return r != o && r.place().Compare(o.place()) <= 0
}

// enqueue adds a sub-request to the waiting ones, in the order of precedes.
func (s *service) enqueue(r *request, index int) {
	at, _ := slices.BinarySearchFunc(s.waiting, r, func(w waiter, r *request) int {
		if w.request.precedes(r) {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, at, waiter{request: r, subIndex: index})
}

func (s *service) dequeue(r *request, index int) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.request == r && w.subIndex == index })
}

// dispatchWaiting dispatches waiting sub-requests of a service while upstreams have free capacity.
func (m *Machine) dispatchWaiting(now time.Time, s *service) {
	for len(s.waiting) > 0 {
		var at int
		at, m.waiters = s.next(now, m.waiters)
		w := s.waiting[at]
		sub := &w.request.subs[w.subIndex]
		if w.request.finished || sub.state != subWaiting {
			s.waiting = slices.Delete(s.waiting, at, at+1)
			continue
		}
		if _, ok := m.pickUpstream(now, sub, false); !ok && sub.hasUntriedUpstream() {
			return
		}
		s.waiting = slices.Delete(s.waiting, at, at+1)
		m.dispatch(now, w.request, w.subIndex)
		w.request.leaveTurns()
	}
}
