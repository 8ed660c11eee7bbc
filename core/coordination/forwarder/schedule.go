package forwarder

import (
	"slices"
	"time"
)

// schedule sets the next time that a request needs attention.
func (m *Machine) schedule(now time.Time, r *request) {
	r.due = r.until
	if r.gather != nil && r.cut.After(now) && r.cut.Before(r.due) {
		r.due = r.cut
	}
	for g := range r.subs {
		b := &r.subs[g]
		switch {
		case b.state == subSent && !b.hedgeAt.IsZero() && b.hedgeAt.Before(r.due):
			r.due = b.hedgeAt
		case b.state == subWaiting && r.waitEnd.Before(r.due):
			r.due = r.waitEnd
		}
	}
	m.timers.Set(r)
}

// reschedule brings the next look at a request forward.
func (m *Machine) reschedule(r *request, at time.Time) {
	if r.place >= 0 && at.Before(r.due) {
		r.due = at
		m.timers.Set(r)
	}
}

// look does what is due for a request.
func (m *Machine) look(now time.Time, r *request) {
	if !now.Before(r.until) {
		m.expire(now, r)
		return
	}
	if !now.Before(r.cut) {
		m.complete(now, r)
	}
	for g := range r.subs {
		if r.finished {
			return
		}
		b := &r.subs[g]
		switch {
		case b.state == subSent && !b.hedgeAt.IsZero() && !b.hedgeAt.After(now):
			m.hedge(now, r, g)
		case b.state == subWaiting && !now.Before(r.waitEnd):
			b.service.dequeue(r, g)
			b.reason = Busy
			m.settleFailed(now, r, g)
		}
	}
	if !r.finished {
		m.schedule(now, r)
	}
}

// enqueue lets a sub-request wait for an upstream: the higher rank first, then the earlier one.
func (s *service) enqueue(r *request, g int) {
	at, _ := slices.BinarySearchFunc(s.waiting, r, func(w waiter, r *request) int {
		if w.request.route.Priority <= r.route.Priority {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, at, waiter{request: r, sub: g})
}

func (s *service) dequeue(r *request, g int) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.request == r && w.sub == g })
}

// wakeWaiting sends what waits for an upstream of a service, as far as upstreams are free.
func (m *Machine) wakeWaiting(now time.Time, s *service) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		b := &w.request.subs[w.sub]
		if w.request.finished || b.state != subWaiting {
			s.waiting = s.waiting[1:]
			continue
		}
		if _, ok := m.pick(now, b); !ok && b.mayBecomeFree() {
			return
		}
		s.waiting = s.waiting[1:]
		m.dispatch(now, w.request, w.sub)
	}
}
