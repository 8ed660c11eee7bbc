package receiver

import (
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/entry/internal/booker"
	"comfreyroute/entry/internal/looper"
)

const (
	maxTickets    = 1000 // of one request
	ticketTimeout = time.Second
)

func (r *Receiver) call(c iris.Context) {
	var q encoder.CallRequest
	if !r.decode(c, &q) {
		return
	}
	if fault := callFault(&q); fault != "" {
		fail(c, http.StatusBadRequest, fault)
		return
	}
	v, ok := r.check(c, q.Service, encoder.SubCall, q.DeadlineMS)
	if !ok {
		return
	}
	name, ok := r.enter()
	if !ok {
		r.refuse(c, encoder.SubCall, reasonBusy)
		return
	}
	defer r.leave(name)
	began := time.Now()
	a, ok := r.Calls.Call(c.Request().Context(), func(id claimer.CallID) claimer.Event {
		return claimer.CallArrived{
			Call: id, Service: q.Service, Key: q.Key, Ticket: q.Ticket, Body: q.Body,
			Caller: c.GetHeader(encoder.HeaderCaller), Deadline: began.Add(allowed(v, q.DeadlineMS)), Nonce: booker.Secret(),
		}
	})
	switch {
	case ok:
		answer := &encoder.CallAnswer{
			RequestID: name, Outcome: a.Call.Outcome, Reason: a.Call.Reason, RetryAfterMS: a.Call.RetryAfter.Milliseconds(),
			Upstream: a.Call.Upstream, Result: a.Call.Result,
		}
		r.finish(c, v, encoder.SubCall, began, looper.Answer{Point: answer})
	case c.Request().Context().Err() == nil:
		r.refuse(c, encoder.SubCall, reasonBusy)
	}
}

// callFault checks what can be checked without the table.
func callFault(q *encoder.CallRequest) string {
	switch {
	case (q.Key == "") == (q.Ticket == ""):
		return "exactly one of key and ticket is needed"
	case len(q.Body) == 0:
		return "body is missing"
	case q.Key != "" && claimer.CheckKey(q.Key) != nil:
		return "key is not a lower-case UUIDv7"
	}
	if q.Ticket != "" {
		if _, err := claimer.ParseTicket(q.Ticket); err != nil {
			return "ticket is malformed"
		}
	}
	return ""
}

func (r *Receiver) tickets(c iris.Context) {
	var q encoder.TicketsRequest
	if !r.decode(c, &q) {
		return
	}
	if q.Count < 1 || q.Count > maxTickets {
		fail(c, http.StatusBadRequest, "count is not between 1 and 1000")
		return
	}
	if _, ok := r.check(c, q.Service, encoder.SubCall, 0); !ok {
		return
	}
	numbers := make([]string, q.Count)
	for i := range numbers {
		numbers[i] = booker.Secret()
	}
	a, ok := r.Calls.Call(c.Request().Context(), func(id claimer.CallID) claimer.Event {
		return claimer.TicketsRequested{Call: id, Service: q.Service, Caller: c.GetHeader(encoder.HeaderCaller), Numbers: numbers}
	})
	if !ok {
		r.refuse(c, encoder.SubLookup, reasonBusy)
		return
	}
	write(c, http.StatusOK, 0, encoder.TicketsAnswer{Tickets: notNil(a.Tickets.Tickets), ExpiresInMS: a.Tickets.ExpiresIn.Milliseconds()})
}

func notNil(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

// allowed returns the time that a request may take.
func allowed(v *tabler.Value, deadlineMS int64) time.Duration {
	if deadlineMS > 0 {
		return time.Duration(deadlineMS) * time.Millisecond
	}
	return v.Service.Deadline
}
