package router

import (
	"time"

	"comfreyroute/core/coordination/admitter"
)

const (
	// capacityFactor is how many times the sub-request capacity of the smallest group is admitted. A request holds its place
	// until its slowest group has replied, while most groups are free again earlier; the rest waits in the groups' queues.
	capacityFactor = 4
	// capacityLife is how long the capacity is used before it is computed again.
	capacityLife = 100 * time.Millisecond
)

// admit offers a request to the operators' rate limit and to the queue of its service.
func (m *Machine) admit(now time.Time, r *request) {
	s := r.service
	if !s.rate.Allow(now) {
		m.reject(r, reasonRate, s.rate.RetryAfter(now))
		return
	}
	if s.capacityAt.IsZero() || now.Sub(s.capacityAt) >= capacityLife {
		s.capacityAt = now
		s.queue.SetCapacity(capacityFactor * s.set.Capacity(now))
	}
	v := s.queue.Offer(now, admitter.Entry{Request: uint64(r.id), Caller: r.caller, Deadline: r.until})
	m.touch(s)
	switch v.Decision {
	case admitter.Admit:
		m.requests[r.id] = r
		m.start(now, r)
	case admitter.Wait:
		m.requests[r.id] = r
		m.schedule(r)
	default:
		m.reject(r, v.Reason, v.RetryAfter)
	}
}

// release gives the place of a request in the queue of its service back.
func (m *Machine) release(now time.Time, r *request) {
	s := r.service
	if r.state == stateQueued {
		s.queue.Remove(uint64(r.id))
	} else {
		s.queue.Release(now, now.Sub(r.began))
	}
	m.touch(s)
}

// touch notes that the admission queue of a service is to be looked at at the end of the step.
func (m *Machine) touch(s *service) {
	if !s.touched {
		s.touched = true
		m.touched = append(m.touched, s)
	}
}

// runAdmission starts the waiting requests that have a place now and rejects those that were displaced.
func (m *Machine) runAdmission(now time.Time) {
	for len(m.touched) > 0 {
		s := m.touched[len(m.touched)-1]
		m.touched = m.touched[:len(m.touched)-1]
		s.touched = false
		for _, e := range s.queue.TakeDropped(now) {
			if r := m.requests[RequestID(e.Request)]; r != nil && r.state == stateQueued {
				m.drop(now, r)
			}
		}
		for {
			e, ok := s.queue.StartNext(now)
			if !ok {
				break
			}
			r := m.requests[RequestID(e.Request)]
			if r == nil || r.state != stateQueued {
				s.queue.Release(now, 0)
				continue
			}
			m.start(now, r)
		}
	}
}

// drop rejects a request that waited for admission.
func (m *Machine) drop(now time.Time, r *request) {
	reason := reasonQueueFull
	if !now.Before(r.until) {
		reason = reasonTimeout
	}
	m.reject(r, reason, r.service.delays(now).hedge)
	m.finish(now, r)
}
