package forwarder

import (
	"slices"
	"time"
)

// schedule sets the timer of a request to its next step.
func (m *Machine) schedule(now time.Time, r *request) {
	r.due = r.answerBy
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
		case sub.state == subWaiting:
			m.dispatchWaiting(now, sub.service)
		}
	}
	if !r.finished {
		m.schedule(now, r)
	}
}

// precedes reports whether a waiting request goes before a new one: the requests of this VM's callers before those of other VMs, then by
// priority, then by age.
func (r *request) precedes(o *request) bool {
	if own := r.detoured == nil; own != (o.detoured == nil) {
		return own
	}
	a, b := r.priorities(), o.priorities()
	return slices.Compare(a[:], b[:]) <= 0
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

// popWaiting removes the first waiting sub-request. The array must not keep its request, which may hold a large body and reply.
func (s *service) popWaiting() {
	s.waiting[0] = waiter{}
	s.waiting = s.waiting[1:]
}

// dispatchWaiting dispatches waiting sub-requests of a service while upstreams have free capacity.
func (m *Machine) dispatchWaiting(now time.Time, s *service) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		sub := &w.request.subs[w.subIndex]
		if w.request.finished || sub.state != subWaiting {
			s.popWaiting()
			continue
		}
		if _, ok := m.pickUpstream(now, sub, false); !ok && sub.hasUntriedUpstream() {
			return
		}
		s.popWaiting()
		m.dispatch(now, w.request, w.subIndex)
	}
}
