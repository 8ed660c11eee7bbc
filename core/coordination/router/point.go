package router

import (
	"time"

	"comfreyroute/core/protocol/encoder"
)

// startPoint sends a lookup or a call to one upstream.
func (m *Machine) startPoint(now time.Time, r *request) {
	r.subs = make([]subRequest, 1)
	r.pending = 1
	m.sendFirst(now, r, 0)
}

// handleMatchedReply handles a reply that arrived in time from the upstream to which its attempt was sent.
func (m *Machine) handleMatchedReply(now time.Time, a *attempt, reply *encoder.SubReply) {
	switch reply.Status {
	case encoder.StatusOK:
		if a.request.kind == encoder.SubSearch {
			m.handleSearchReply(now, a, reply)
			return
		}
		a.service.latencies.Add(now, now.Sub(a.sent))
		m.handlePointReply(now, a, reply)
	case encoder.StatusShed:
		m.processFailure(now, a, failure{reason: reasonShed, retryAfter: reply.RetryAfterMS})
	case encoder.StatusDraining:
		m.processFailure(now, a, failure{reason: reasonDraining, retryAfter: reply.RetryAfterMS})
	case encoder.StatusVersionNotHeld:
		// For a call, only StatusShed and StatusDraining guarantee that it was not executed.
		m.processFailure(now, a, failure{reason: reasonVersionNotHeld, possiblyRun: a.request.kind == encoder.SubCall})
	case encoder.StatusExpired:
		m.processFailure(now, a, failure{reason: reasonExpired, possiblyRun: true})
	case encoder.StatusCancelled:
		m.processFailure(now, a, failure{reason: reasonCancelled, possiblyRun: true})
	default:
		m.processFailure(now, a, failure{reason: reasonError, possiblyRun: true})
	}
}

func (m *Machine) handlePointReply(now time.Time, a *attempt, reply *encoder.SubReply) {
	r := a.request
	m.endProbe(now, r)
	m.cancelAttempts(now, &r.subs[0])
	m.answerPoint(now, r, &encoder.CallAnswer{Outcome: encoder.OutcomeDone, Upstream: a.name, Result: reply.Result})
}

// handleCallFailure handles a failed attempt of a call. The call is sent to another upstream only if it was certainly not
// executed.
func (m *Machine) handleCallFailure(now time.Time, r *request, f failure) {
	sub := &r.subs[0]
	if !sub.possiblyRun && (m.retrySubRequest(now, r, 0, f.unwritten) || f.noConnection && m.pauseSubRequest(now, r, 0)) {
		return
	}
	m.failSubRequest(now, r, 0)
}

// answerPointFailure answers a lookup or a call that has no result.
func (m *Machine) answerPointFailure(now time.Time, r *request) {
	sub := &r.subs[0]
	a := &encoder.CallAnswer{Outcome: encoder.OutcomeNotRun, Reason: sub.reason, RetryAfterMS: sub.retryAfter}
	if sub.possiblyRun {
		a.Outcome = encoder.OutcomeUnknown
	}
	m.answerPoint(now, r, a)
}

func (m *Machine) answerPoint(now time.Time, r *request, a *encoder.CallAnswer) {
	a.RequestID = r.idString()
	m.emit(AnswerPoint{Request: r.id, Answer: a})
	m.finishRequest(now, r)
}

// handlePointDeadline answers a lookup or a call at its deadline. An attempt in flight may have been executed.
func (m *Machine) handlePointDeadline(now time.Time, r *request) {
	sub := &r.subs[0]
	if sub.state == subSent || sub.state == subHeldBack {
		sub.reason = reasonTimeout
		sub.possiblyRun = sub.possiblyRun || sub.inFlight.Count() > 0
	} else {
		sub.reason = reasonBusy
	}
	m.answerPointFailure(now, r)
}
