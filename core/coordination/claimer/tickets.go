package claimer

import (
	"comfreyroute/core/protocol/encoder"
)

// ticketCallArrived handles a call with a ticket, from a caller or forwarded by a peer.
func (s *step) ticketCallArrived(e CallArrived) {
	t, err := ParseTicket(e.Ticket)
	switch {
	case err != nil:
		// No VM issues such a ticket, so no attempt under it can have run.
		s.emit(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonBadTicket})
	case t.VM == s.m.config.VM && t.Incarnation == s.m.config.Incarnation:
		s.useOwnTicket(e, t)
	case t.VM == s.m.config.VM || e.Forwarded:
		s.refuseCall(e.Call, reasonIssuerGone)
	default:
		s.m.waiters[e.Call] = &waiter{call: e.Call, deadline: e.Deadline}
		s.emit(ForwardCall{
			Call: e.Call, VM: t.VM, Incarnation: t.Incarnation, Ticket: e.Ticket,
			Service: e.Service, Body: e.Body, Caller: e.Caller, Deadline: e.Deadline,
		})
	}
}

// useOwnTicket runs a call under a ticket that this incarnation issued. No other VM can run it, so "not run" is certain here.
// The first use consumes the ticket, even when the call was not run. Otherwise a later use could contradict a "not run" answer that
// is still on its way to the caller.
func (s *step) useOwnTicket(e CallArrived, t Ticket) {
	r := s.m.runs[t.String()]
	signature := Signature(e.Service, e.Body)
	switch {
	case r == nil:
		// The ticket may have been used and evicted from memory.
		s.refuseCall(e.Call, reasonTicketUnknown)
	case r.service != e.Service:
		s.refuseCall(e.Call, reasonTicketService)
	case r.hasSignature && r.signature != signature:
		s.refuseCall(e.Call, reasonKeyReused)
	case r.phase == phaseEnded:
		s.emit(AnswerCall{Call: e.Call, Outcome: r.outcome, Reason: r.reason, Upstream: r.upstream, Result: r.result})
	case r.phase == phaseRunning:
		s.addWaiter(r, e.Call, e.Deadline)
	case !s.now.Before(r.ticketExpires):
		s.emit(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonTicketExpired})
	default:
		r.signature, r.hasSignature, r.body = signature, true, e.Body
		s.addWaiter(r, e.Call, e.Deadline)
		if !s.dispatchRun(r) {
			s.endRun(r, encoder.OutcomeNotRun, s.notDispatchedReason())
		}
	}
}

// forwardEnded passes the answer of the VM that issued the ticket to the caller. Without an answer the outcome is unknown, because
// an earlier attempt may have run.
func (s *step) forwardEnded(e ForwardEnded) {
	if s.m.waiters[e.Call] == nil {
		return
	}
	delete(s.m.waiters, e.Call)
	if !e.Reached {
		s.refuseCall(e.Call, reasonIssuerGone)
		return
	}
	s.emit(AnswerCall{Call: e.Call, Outcome: e.Outcome, Reason: e.Reason, Result: e.Result})
}

// ticketsRequested issues tickets within the limits of this VM and of the caller.
func (s *step) ticketsRequested(e TicketsRequested) {
	m := s.m
	a := AnswerTickets{Call: e.Call, ExpiresIn: m.config.TicketLifetime}
	for _, n := range e.Numbers {
		if m.isShuttingDown || !s.hasRoomForTicket(e.Caller) {
			break
		}
		t := Ticket{VM: m.config.VM, Incarnation: m.config.Incarnation, Number: n}.String()
		r := &run{id: t, phase: phaseIssued, service: e.Service, caller: e.Caller, isTicket: true, ticketExpires: s.now.Add(m.config.TicketLifetime)}
		if m.runs[t] != nil || !s.addRun(r) {
			break
		}
		m.ticketCount++
		m.ticketsByCaller[e.Caller]++
		a.Tickets = append(a.Tickets, t)
	}
	s.emit(a)
}

// hasRoomForTicket reports whether another ticket may be issued to a caller. At a limit it first evicts the tickets that are no
// longer needed.
func (s *step) hasRoomForTicket(caller string) bool {
	m := s.m
	if m.ticketCount < m.config.MaxTickets && m.ticketsByCaller[caller] < m.config.MaxTicketsPerCaller {
		return true
	}
	for i := 0; i < len(m.runOrder); i++ {
		r := m.runs[m.runOrder[i]]
		if r != nil && r.isTicket && s.isEvictableTicket(r) {
			s.dropRun(r)
		}
	}
	s.compactRunOrder()
	return m.ticketCount < m.config.MaxTickets && m.ticketsByCaller[caller] < m.config.MaxTicketsPerCaller
}

// isEvictableTicket reports whether a ticket may be evicted from memory: it expired unused, or it was used and expired longer
// than KeyRetention ago, after which no caller resends the call.
func (s *step) isEvictableTicket(r *run) bool {
	if !r.isTicket || r.phase == phaseRunning || len(r.waitingCalls) > 0 {
		return false
	}
	if r.phase == phaseEnded {
		return s.now.Sub(r.ticketExpires) > s.m.config.KeyRetention
	}
	return !s.now.Before(r.ticketExpires)
}

// compactRunOrder removes the entries of evicted runs from runOrder.
func (s *step) compactRunOrder() {
	kept := s.m.runOrder[:0]
	for _, id := range s.m.runOrder {
		if s.m.runs[id] != nil {
			kept = append(kept, id)
		}
	}
	s.m.runOrder = kept
}
