package claimrunner

import (
	"context"
	"time"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/protocol/exchanger"
)

// maxPeerDeadline bounds the deadlines in requests of peers. It is the longest deadline that the receiver accepts.
const maxPeerDeadline = time.Minute

// queryHolder asks the VM that holds a claim for the outcome.
func (cr *Runner) queryHolder(ctx context.Context, a claimer.QueryHolder) claimer.Event {
	ev := claimer.HolderAnswered{Key: a.Key, Nonce: a.Nonce}
	peer := cr.Peer(a.VM)
	if peer == nil {
		return ev
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	r, err := peer.Outcome(ctx, &exchanger.OutcomeRequest{
		Service: a.Service, Key: a.Key, Incarnation: a.Incarnation, Signature: a.Signature, WaitMs: time.Until(a.Deadline).Milliseconds(),
	})
	if err == nil {
		ev.Reached, ev.Outcome, ev.Reason, ev.Result = true, encoder.Outcome(r.GetOutcome()), r.GetReason(), r.GetResult()
	}
	return ev
}

// forwardCall forwards a call with a ticket to the VM that issued the ticket.
func (cr *Runner) forwardCall(ctx context.Context, a claimer.ForwardCall) claimer.Event {
	ev := claimer.ForwardEnded{Call: a.Call}
	peer := cr.Peer(a.VM)
	if peer == nil {
		return ev
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	r, err := peer.RunTicket(ctx, &exchanger.TicketRequest{
		Ticket: a.Ticket, Service: a.Service, Body: a.Body, Caller: a.Caller, DeadlineMs: time.Until(a.Deadline).Milliseconds(),
	})
	if err == nil {
		ev.Reached, ev.Outcome, ev.Reason, ev.Result = true, encoder.Outcome(r.GetOutcome()), r.GetReason(), r.GetResult()
	}
	return ev
}

// RunTicket handles a call with a ticket that a peer forwarded.
func (cr *Runner) RunTicket(ctx context.Context, r *exchanger.TicketRequest) (*exchanger.CallReply, error) {
	deadline := time.Now().Add(clampMillis(r.GetDeadlineMs()))
	return cr.answerPeer(ctx, func(id claimer.CallID) claimer.Event {
		return claimer.CallArrived{
			Call: id, Service: r.GetService(), Ticket: r.GetTicket(), Body: r.GetBody(), Caller: r.GetCaller(),
			Deadline: deadline, Nonce: NewSecret(), Forwarded: true,
		}
	})
}

// Outcome handles a peer's query for the outcome of a claim.
func (cr *Runner) Outcome(ctx context.Context, r *exchanger.OutcomeRequest) (*exchanger.CallReply, error) {
	deadline := time.Now().Add(clampMillis(r.GetWaitMs()))
	return cr.answerPeer(ctx, func(id claimer.CallID) claimer.Event {
		return claimer.OutcomeRequested{
			Call: id, Key: r.GetKey(), Signature: r.GetSignature(), Incarnation: r.GetIncarnation(), Deadline: deadline,
		}
	})
}

func (cr *Runner) answerPeer(ctx context.Context, newEvent func(claimer.CallID) claimer.Event) (*exchanger.CallReply, error) {
	a, ok := cr.AwaitAnswer(ctx, newEvent)
	if !ok {
		return &exchanger.CallReply{Outcome: string(encoder.OutcomeUnknown), Reason: "overloaded"}, nil
	}
	c := a.Call
	return &exchanger.CallReply{Outcome: string(c.Outcome), Reason: c.Reason, Result: c.Result, Upstream: c.Upstream}, nil
}

// clampMillis converts a duration in milliseconds from a peer's message and limits it to the range 0 to maxPeerDeadline.
func clampMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxPeerDeadline.Milliseconds())) * time.Millisecond
}
