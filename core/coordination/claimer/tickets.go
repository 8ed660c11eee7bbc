package claimer

import (
	"comfreyroute/core/protocol/encoder"
)

// ticketArrived handles a ticketed call of a caller or of a peer that passed it on.
func (s *step) ticketArrived(e CallArrived) {
	t, err := ParseTicket(e.Ticket)
	switch {
	case err != nil:
		// No VM issues such a ticket, so no attempt under it can have run.
		s.do(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonBadTicket})
	case t.VM == s.m.config.VM && t.Incarnation == s.m.config.Incarnation:
		s.ownTicket(e, t)
	case t.VM == s.m.config.VM || e.Forwarded:
		s.refuse(e.Call, reasonIssuerGone)
	default:
		s.m.calls[e.Call] = &waiter{call: e.Call, deadline: e.Deadline}
		s.do(ForwardCall{
			Call: e.Call, VM: t.VM, Incarnation: t.Incarnation, Ticket: e.Ticket,
			Service: e.Service, Body: e.Body, Caller: e.Caller, Deadline: e.Deadline,
		})
	}
}

// ownTicket runs a call under a ticket that this incarnation issued. Its memory alone decides, so "not run" is certain here.
// A ticket is spent by its first use, also when the call was not run: an answer "not run" that is still on its way to the caller
// can then never be contradicted by a later use.
func (s *step) ownTicket(e CallArrived, t Ticket) {
	r := s.m.runs[t.String()]
	signature := Signature(e.Service, e.Body)
	switch {
	case r == nil:
		// The ticket may have been used and forgotten.
		s.refuse(e.Call, reasonTicketUnknown)
	case r.service != e.Service:
		s.refuse(e.Call, reasonTicketService)
	case r.bound && r.signature != signature:
		s.refuse(e.Call, reasonKeyReused)
	case r.phase == phaseEnded:
		s.do(AnswerCall{Call: e.Call, Outcome: r.outcome, Reason: r.reason, Upstream: r.upstream, Result: r.result})
	case r.phase == phaseRunning:
		s.wait(r, e.Call, e.Deadline)
	case !s.now.Before(r.expires):
		s.do(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonTicketExpired})
	default:
		r.signature, r.bound, r.body = signature, true, e.Body
		s.wait(r, e.Call, e.Deadline)
		if !s.dispatch(r) {
			s.end(r, encoder.OutcomeNotRun, s.notDispatchedReason())
		}
	}
}

// forwardEnded gives the word of the issuer to the caller. Without it an earlier attempt may have run.
func (s *step) forwardEnded(e ForwardEnded) {
	if s.m.calls[e.Call] == nil {
		return
	}
	delete(s.m.calls, e.Call)
	if !e.Reached {
		s.refuse(e.Call, reasonIssuerGone)
		return
	}
	s.do(AnswerCall{Call: e.Call, Outcome: e.Outcome, Reason: e.Reason, Result: e.Result})
}

// ticketsAsked issues tickets within the bounds of this VM and of the caller.
func (s *step) ticketsAsked(e TicketsRequested) {
	m := s.m
	a := AnswerTickets{Call: e.Call, ExpiresIn: m.config.TicketLifetime}
	for _, n := range e.Numbers {
		if m.leaving || !s.roomForTicket(e.Caller) {
			break
		}
		t := Ticket{VM: m.config.VM, Incarnation: m.config.Incarnation, Number: n}.String()
		r := &run{name: t, phase: phaseIssued, service: e.Service, caller: e.Caller, ticket: true, expires: s.now.Add(m.config.TicketLifetime)}
		if m.runs[t] != nil || !s.add(r) {
			break
		}
		m.tickets++
		m.issued[e.Caller]++
		a.Tickets = append(a.Tickets, t)
	}
	s.do(a)
}

// roomForTicket reports whether one more ticket may be issued to a caller, after forgetting tickets that are over.
func (s *step) roomForTicket(caller string) bool {
	m := s.m
	if m.tickets < m.config.MaxTickets && m.issued[caller] < m.config.MaxTicketsPerCaller {
		return true
	}
	for i := 0; i < len(m.order); i++ {
		r := m.runs[m.order[i]]
		if r != nil && r.ticket && s.ticketOver(r) {
			s.drop(r)
		}
	}
	s.compact()
	return m.tickets < m.config.MaxTickets && m.issued[caller] < m.config.MaxTicketsPerCaller
}

// ticketOver reports whether a ticket may be forgotten: unused past its life, or ended for longer than a caller may resend.
func (s *step) ticketOver(r *run) bool {
	if !r.ticket || r.phase == phaseRunning || len(r.waiting) > 0 {
		return false
	}
	if r.phase == phaseEnded {
		return s.now.Sub(r.expires) > s.m.config.KeyRetention
	}
	return !s.now.Before(r.expires)
}

// compact removes the names of forgotten runs.
func (s *step) compact() {
	kept := s.m.order[:0]
	for _, n := range s.m.order {
		if s.m.runs[n] != nil {
			kept = append(kept, n)
		}
	}
	s.m.order = kept
}
