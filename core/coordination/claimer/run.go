package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Reasons of answers.
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

// phase is where a run stands.
type phase int

// The phases of a run.
const (
	phaseIssued   phase = iota // issued
	phaseClaiming              // claiming
	phaseAsking                // asking
	phaseRunning               // running
	phaseEnded                 // ended
)

// run is what this VM knows about one key or ticket.
type run struct {
	name      string
	phase     phase
	service   string
	signature uint64
	bound     bool // signature is set
	body      json.RawMessage
	caller    string
	ticket    bool
	expires   time.Time // of an unused ticket
	waiting   []CallID

	nonce     string
	abandoned []string // nonces of earlier attempts of this VM that were not dispatched
	revision  uint64   // of the claim in the store, 0 when not known
	final     bool     // the outcome can't change any more: the call ran, or may have run
	outcome   encoder.Outcome
	reason    string
	upstream  string
	result    json.RawMessage

	recording bool      // the outcome is not in the store yet
	retryAt   time.Time // when the write of the outcome is repeated
	pause     time.Duration
}

func (r *run) forget(call CallID) {
	if i := slices.Index(r.waiting, call); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// open reports whether a new attempt may follow: the run ended and this VM dispatched nothing that can have run.
func (r *run) open() bool { return r.phase == phaseEnded && !r.final }

// callArrived starts or joins the run of a key or ticket.
func (s *step) callArrived(e CallArrived) {
	switch {
	case e.Ticket != "":
		s.ticketArrived(e)
	case e.Key != "":
		s.keyArrived(e)
	default:
		s.do(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonNoKey})
	}
}

// refuse answers a call that this VM does not dispatch. An earlier attempt may have run elsewhere, so the outcome is unknown.
func (s *step) refuse(call CallID, reason string) {
	s.do(AnswerCall{Call: call, Outcome: encoder.OutcomeUnknown, Reason: reason, RetryAfter: busyRetryAfter})
}

// answerAll gives the outcome of a run to every waiting party.
func (s *step) answerAll(r *run, outcome encoder.Outcome, reason string) {
	for _, id := range r.waiting {
		delete(s.m.calls, id)
		s.do(AnswerCall{Call: id, Outcome: outcome, Reason: reason, Upstream: r.upstream, Result: r.result})
	}
	r.waiting = nil
}

// end stores the outcome of a run and answers. The outcome is final unless nothing was run.
func (s *step) end(r *run, outcome encoder.Outcome, reason string) {
	r.phase, r.outcome, r.reason = phaseEnded, outcome, reason
	r.final = outcome != encoder.OutcomeNotRun
	r.body = nil
	s.answerAll(r, outcome, reason)
	s.rest(r)
}

// rest takes a run off the busy list once nothing is left to do for it.
func (s *step) rest(r *run) {
	if r.phase == phaseEnded && !r.recording || r.phase == phaseIssued {
		delete(s.m.busy, r.name)
	}
}

// latest returns the latest deadline of the waiting parties, zero when nobody waits.
func (s *step) latest(r *run) time.Time {
	var t time.Time
	for _, id := range r.waiting {
		if w := s.m.calls[id]; w != nil && w.deadline.After(t) {
			t = w.deadline
		}
	}
	return t
}

// dispatch runs a call when somebody still waits for it and its deadline leaves time. It reports false when nothing was dispatched.
// The deadline is checked here because a pause of the process may lie between the claim and the dispatch.
func (s *step) dispatch(r *run) bool {
	deadline := s.latest(r)
	if s.m.leaving || deadline.IsZero() || deadline.Sub(s.now) < s.m.config.DispatchMargin {
		return false
	}
	r.phase = phaseRunning
	s.m.busy[r.name] = r
	s.do(DispatchCall{RunID: r.name, Service: r.service, Body: r.body, Caller: r.caller, Deadline: deadline})
	return true
}

// notDispatchedReason says why dispatch reported false.
func (s *step) notDispatchedReason() string {
	if s.m.leaving {
		return reasonLeaving
	}
	return reasonDeadline
}

// runEnded records the outcome of a dispatched call.
func (s *step) runEnded(e RunEnded) {
	r := s.m.runs[e.RunID]
	if r == nil || r.phase != phaseRunning {
		return
	}
	r.upstream, r.result = e.Upstream, e.Result
	switch {
	case r.ticket:
		s.end(r, e.Outcome, e.Reason)
	default:
		r.recording = true
		s.end(r, e.Outcome, e.Reason)
	}
	if len(r.result) > MaxResultBytes {
		// The waiting parties got the whole result; only the copy for later attempts is dropped.
		r.result, r.reason = nil, reasonResultTooLarge
	}
	if r.recording {
		s.writeOutcome(r)
	}
}

// add remembers a run, forgetting the oldest ended one when the bound is reached. It reports false when every run is in use.
func (s *step) add(r *run) bool {
	m := s.m
	if len(m.runs) >= m.config.MaxRuns+m.config.MaxTickets && !s.forgetOldest() {
		return false
	}
	m.runs[r.name] = r
	m.order = append(m.order, r.name)
	return true
}

func (s *step) forgetOldest() bool {
	m := s.m
	for i, name := range m.order {
		r := m.runs[name]
		if r != nil && (r.phase != phaseEnded || r.recording || len(r.waiting) > 0) && !s.ticketOver(r) {
			continue
		}
		m.order = slices.Delete(m.order, i, i+1)
		if r != nil {
			s.drop(r)
			return true
		}
		return s.forgetOldest()
	}
	return false
}

func (s *step) drop(r *run) {
	delete(s.m.runs, r.name)
	delete(s.m.busy, r.name)
	if !r.ticket {
		return
	}
	s.m.tickets--
	if s.m.issued[r.caller]--; s.m.issued[r.caller] <= 0 {
		delete(s.m.issued, r.caller)
	}
}
