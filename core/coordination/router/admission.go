package router

import (
	"time"

	"comfreyroute/core/coordination/admitter"
)

const (
	// capacityFactor is the ratio of admitted requests to the sub-request capacity of the smallest group. A request stays admitted
	// until its slowest group has replied, while most groups are free earlier; the excess waits in the wait queues of the groups.
	capacityFactor = 4
	// capacityCacheTime is how long a computed capacity is used.
	capacityCacheTime = 100 * time.Millisecond
)

// admitRequest applies the rate limit of the operators and the admission queue of the service to a request.
func (m *Machine) admitRequest(now time.Time, r *request) {
	s := r.service
	if !s.rate.Allow(now) {
		m.rejectRequest(r, reasonRate, s.rate.RetryAfter(now))
		return
	}
	if s.capacityAt.IsZero() || now.Sub(s.capacityAt) >= capacityCacheTime {
		s.capacityAt = now
		s.queue.SetCapacity(capacityFactor * s.set.Capacity(now))
	}
	v := s.queue.Offer(now, admitter.Entry{Request: uint64(r.id), Caller: r.caller, Deadline: r.answerBy})
	m.scheduleAdmission(s)
	switch v.Decision {
	case admitter.Admit:
		m.requests[r.id] = r
		m.startRequest(now, r)
	case admitter.Wait:
		m.requests[r.id] = r
		m.scheduleRequest(r)
	default:
		m.rejectRequest(r, v.Reason, v.RetryAfter)
	}
}

// releaseAdmission removes a request from the admission queue of its service or frees its in-flight place.
func (m *Machine) releaseAdmission(now time.Time, r *request) {
	s := r.service
	if r.state == stateQueued {
		s.queue.Remove(uint64(r.id))
	} else {
		s.queue.Release(now, now.Sub(r.startedAt))
	}
	m.scheduleAdmission(s)
}

// scheduleAdmission marks a service so that its admission queue runs at the end of the step.
func (m *Machine) scheduleAdmission(s *service) {
	if !s.admissionPending {
		s.admissionPending = true
		m.pendingAdmissions = append(m.pendingAdmissions, s)
	}
}

// runAdmissions starts the queued requests that can now be admitted and rejects those that expired or were displaced.
func (m *Machine) runAdmissions(now time.Time) {
	for len(m.pendingAdmissions) > 0 {
		s := m.pendingAdmissions[len(m.pendingAdmissions)-1]
		m.pendingAdmissions = m.pendingAdmissions[:len(m.pendingAdmissions)-1]
		s.admissionPending = false
		for _, e := range s.queue.TakeDropped(now) {
			if r := m.requests[RequestID(e.Request)]; r != nil && r.state == stateQueued {
				m.rejectQueued(now, r)
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
			m.startRequest(now, r)
		}
	}
}

// rejectQueued rejects a request that is waiting for admission.
func (m *Machine) rejectQueued(now time.Time, r *request) {
	reason := reasonQueueFull
	if !now.Before(r.answerBy) {
		reason = reasonTimeout
	}
	m.rejectRequest(r, reason, r.service.delays(now).hedge)
	m.finishRequest(now, r)
}
