package router

import (
	"time"

	"comfreyroute/core/protocol/encoder"
)

// startPoint sends a lookup or a call to one upstream.
func (m *Machine) startPoint(now time.Time, r *request) {
	r.subs = make([]sub, 1)
	r.pending = 1
	m.first(now, r, 0)
}

// checkReply handles a reply that came in time and names the upstream it was asked from.
func (m *Machine) checkReply(now time.Time, a *attempt, reply *encoder.SubReply) {
	switch reply.Status {
	case encoder.StatusOK:
		if a.request.kind == encoder.SubSearch {
			m.searchReplied(now, a, reply)
			return
		}
		a.service.latencies.Add(now, now.Sub(a.sent))
		m.pointReplied(now, a, reply)
	case encoder.StatusShed:
		m.failed(now, a, failure{reason: reasonShed, retryAfter: reply.RetryAfterMS})
	case encoder.StatusDraining:
		m.failed(now, a, failure{reason: reasonDraining, retryAfter: reply.RetryAfterMS})
	case encoder.StatusVersionNotHeld:
		// Only shed and draining promise a call that it was not run.
		m.failed(now, a, failure{reason: reasonVersionNotHeld, possiblyRun: a.request.kind == encoder.SubCall})
	case encoder.StatusExpired:
		m.failed(now, a, failure{reason: reasonExpired, possiblyRun: true})
	case encoder.StatusCancelled:
		m.failed(now, a, failure{reason: reasonCancelled, possiblyRun: true})
	default:
		m.failed(now, a, failure{reason: reasonError, possiblyRun: true})
	}
}

func (m *Machine) pointReplied(now time.Time, a *attempt, reply *encoder.SubReply) {
	r := a.request
	m.probeReplied(now, r)
	m.cancelAll(now, &r.subs[0])
	m.answerPoint(now, r, &encoder.CallAnswer{Outcome: encoder.OutcomeDone, Upstream: a.name, Result: reply.Result})
}

// callFailed decides about a call that got no result. It goes to another upstream only when the first certainly did not run it.
func (m *Machine) callFailed(now time.Time, r *request, f failure) {
	b := &r.subs[0]
	if !b.possiblyRun && (m.retry(now, r, 0, f.unsent) || f.busy && m.pause(now, r, 0)) {
		return
	}
	m.settleFailed(now, r, 0)
}

// answerPointFailure answers a lookup or a call without a result.
func (m *Machine) answerPointFailure(now time.Time, r *request) {
	b := &r.subs[0]
	a := &encoder.CallAnswer{Outcome: encoder.OutcomeNotRun, Reason: b.reason, RetryAfterMS: b.retryAfter}
	if b.possiblyRun {
		a.Outcome = encoder.OutcomeUnknown
	}
	m.answerPoint(now, r, a)
}

func (m *Machine) answerPoint(now time.Time, r *request, a *encoder.CallAnswer) {
	a.RequestID = r.label()
	m.emit(AnswerPoint{Request: r.id, Answer: a})
	m.finish(now, r)
}

// pointDeadline answers a lookup or a call at its deadline. An attempt in flight may have run.
func (m *Machine) pointDeadline(now time.Time, r *request) {
	b := &r.subs[0]
	if b.state == subSent || b.state == subHeld {
		b.reason = reasonTimeout
		b.possiblyRun = b.possiblyRun || b.live.Count() > 0
	} else {
		b.reason = reasonBusy
	}
	m.answerPointFailure(now, r)
}
