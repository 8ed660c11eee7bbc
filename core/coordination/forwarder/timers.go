package forwarder

import (
	"container/heap"
	"slices"
	"time"
)

// timers orders the requests by the time of their next step.
type timers []*request

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

// Push adds a request; package heap calls it.
func (t *timers) Push(x any) {
	r := x.(*request)
	r.place = len(*t)
	*t = append(*t, r)
}

// Pop removes the last request; package heap calls it.
func (t *timers) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	r.place = -1
	return r
}

func (t *timers) set(r *request) {
	if r.place < 0 {
		heap.Push(t, r)
		return
	}
	heap.Fix(t, r.place)
}

func (t *timers) remove(r *request) {
	if r.place >= 0 {
		heap.Remove(t, r.place)
	}
}

// schedule sets the next time that a request needs attention.
func (m *Machine) schedule(r *request) {
	r.due = r.until
	if r.gather != nil && r.cut.After(r.arrived) && r.cut.Before(r.due) && !r.cutPassed {
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
	m.timers.set(r)
}

// reschedule brings the next look at a request forward.
func (m *Machine) reschedule(r *request, at time.Time) {
	if r.place >= 0 && at.Before(r.due) {
		r.due = at
		m.timers.set(r)
	}
}

// look does what is due for a request.
func (m *Machine) look(now time.Time, r *request) {
	if !now.Before(r.until) {
		m.expire(now, r)
		return
	}
	if !now.Before(r.cut) {
		r.cutPassed = true
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
		m.schedule(r)
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
