package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Values of AnswerCall.Reason.
const (
	reasonInProgress     = "in_progress"
	reasonKeyExpired     = "key_expired"
	reasonKeyFuture      = "key_in_future"
	reasonKeyReused      = "key_reused"
	reasonNoKey          = "no_key_or_ticket"
	reasonBadKey         = "bad_key"
	reasonBadTicket      = "bad_ticket"
	reasonBusy           = "busy"
	reasonLeaving        = "leaving"
	reasonDeadline       = "deadline"
	reasonPlatform       = "platform_unavailable"
	reasonHolderGone     = "holder_unreachable"
	reasonIssuerGone     = "issuer_gone"
	reasonTicketExpired  = "ticket_expired"
	reasonTicketUnknown  = "ticket_unknown"
	reasonTicketService  = "ticket_of_other_service"
	reasonResultTooLarge = "result_too_large"
)

// phase is the progress of a run.
type phase int

// The phases of a run.
const (
	phaseIssued   phase = iota // issued
	phaseClaiming              // claiming
	phaseAsking                // asking
	phaseRunning               // running
	phaseEnded                 // ended
)

// run is the call of one key or ticket, as far as this VM knows it.
type run struct {
	id            string // key or ticket
	phase         phase
	service       string
	signature     uint64
	hasSignature  bool // signature is set
	body          json.RawMessage
	caller        string
	isTicket      bool
	ticketExpires time.Time // of an unused ticket
	waitingCalls  []CallID

	nonce           string
	abandonedNonces []string // nonces of earlier attempts that this VM did not dispatch
	revision        uint64   // of the claim in the store, or 0 when not known
	isFinal         bool     // the outcome can't change any more: the call ran, or may have run
	outcome         encoder.Outcome
	reason          string
	upstream        string
	result          json.RawMessage

	needsRecording bool      // the outcome is not in the store yet
	retryAt        time.Time // when the write of the outcome is retried
	retryDelay     time.Duration
}

func (r *run) removeWaiter(call CallID) {
	if i := slices.Index(r.waitingCalls, call); i >= 0 {
		r.waitingCalls = slices.Delete(r.waitingCalls, i, i+1)
	}
}

// mayRetry reports whether another attempt may start: the run ended, and nothing that this VM dispatched can have run.
func (r *run) mayRetry() bool { return r.phase == phaseEnded && !r.isFinal }

// callArrived starts the run of a key or ticket, or adds the call to its waiters.
func (s *step) callArrived(e CallArrived) {
	switch {
	case e.Ticket != "":
		s.ticketCallArrived(e)
	case e.Key != "":
		s.keyCallArrived(e)
	default:
		s.emit(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonNoKey})
	}
}

// refuseCall answers a call that this VM does not dispatch. An earlier attempt may have run elsewhere, so the outcome is unknown.
func (s *step) refuseCall(call CallID, reason string) {
	s.emit(AnswerCall{Call: call, Outcome: encoder.OutcomeUnknown, Reason: reason, RetryAfter: refusedRetryAfter})
}

// answerWaiters answers every waiting call with the outcome of its run.
func (s *step) answerWaiters(r *run, outcome encoder.Outcome, reason string) {
	for _, id := range r.waitingCalls {
		delete(s.m.waiters, id)
		s.emit(AnswerCall{Call: id, Outcome: outcome, Reason: reason, Upstream: r.upstream, Result: r.result})
	}
	r.waitingCalls = nil
}

// endRun sets the outcome of a run and answers the waiting calls. The outcome is final unless it is OutcomeNotRun.
func (s *step) endRun(r *run, outcome encoder.Outcome, reason string) {
	r.phase, r.outcome, r.reason = phaseEnded, outcome, reason
	r.isFinal = outcome != encoder.OutcomeNotRun
	r.body = nil
	s.answerWaiters(r, outcome, reason)
	s.removeIfIdle(r)
}

// removeIfIdle removes a run from activeRuns when nothing is left to do for it.
func (s *step) removeIfIdle(r *run) {
	if r.phase == phaseEnded && !r.needsRecording || r.phase == phaseIssued {
		delete(s.m.activeRuns, r.id)
	}
}

// latestDeadline returns the latest deadline of the waiting calls, or the zero time when none waits.
func (s *step) latestDeadline(r *run) time.Time {
	var t time.Time
	for _, id := range r.waitingCalls {
		if w := s.m.waiters[id]; w != nil && w.deadline.After(t) {
			t = w.deadline
		}
	}
	return t
}

// dispatchRun dispatches a run if a call still waits for it and enough time is left. It reports whether the run was dispatched.
// It checks the deadline because the process may have been paused between the claim and the dispatch.
func (s *step) dispatchRun(r *run) bool {
	deadline := s.latestDeadline(r)
	if s.m.isShuttingDown || deadline.IsZero() || deadline.Sub(s.now) < s.m.config.DispatchMargin {
		return false
	}
	r.phase = phaseRunning
	s.m.activeRuns[r.id] = r
	s.emit(DispatchCall{RunID: r.id, Service: r.service, Body: r.body, Caller: r.caller, Deadline: deadline})
	return true
}

// notDispatchedReason returns the reason why dispatchRun did not dispatch.
func (s *step) notDispatchedReason() string {
	if s.m.isShuttingDown {
		return reasonLeaving
	}
	return reasonDeadline
}

// runEnded handles the end of a dispatched run.
func (s *step) runEnded(e RunEnded) {
	r := s.m.runs[e.RunID]
	if r == nil || r.phase != phaseRunning {
		return
	}
	r.upstream, r.result = e.Upstream, e.Result
	switch {
	case r.isTicket:
		s.endRun(r, e.Outcome, e.Reason)
	default:
		r.needsRecording = true
		s.endRun(r, e.Outcome, e.Reason)
	}
	if len(r.result) > MaxResultBytes {
		// The waiting calls have received the whole result; only the copy for later attempts is dropped.
		r.result, r.reason = nil, reasonResultTooLarge
	}
	if r.needsRecording {
		s.writeOutcome(r)
	}
}

// addRun adds a run. At the limit it evicts the oldest run that is no longer in use, and reports false when there is none.
func (s *step) addRun(r *run) bool {
	m := s.m
	if len(m.runs) >= m.config.MaxRuns+m.config.MaxTickets && !s.evictOldestRun() {
		return false
	}
	m.runs[r.id] = r
	m.runOrder = append(m.runOrder, r.id)
	return true
}

// evictOldestRun removes the oldest run that is no longer in use. It reports false when there is none.
func (s *step) evictOldestRun() bool {
	m := s.m
	for i, id := range m.runOrder {
		r := m.runs[id]
		if r != nil && (r.phase != phaseEnded || r.needsRecording || len(r.waitingCalls) > 0) && !s.isEvictableTicket(r) {
			continue
		}
		m.runOrder = slices.Delete(m.runOrder, i, i+1)
		if r != nil {
			s.dropRun(r)
			return true
		}
		return s.evictOldestRun()
	}
	return false
}

func (s *step) dropRun(r *run) {
	delete(s.m.runs, r.id)
	delete(s.m.activeRuns, r.id)
	if !r.isTicket {
		return
	}
	s.m.ticketCount--
	if s.m.ticketsByCaller[r.caller]--; s.m.ticketsByCaller[r.caller] <= 0 {
		delete(s.m.ticketsByCaller, r.caller)
	}
}
