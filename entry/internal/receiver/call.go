package receiver

import (
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/entry/internal/claimrunner"
	"comfreyroute/entry/internal/looper"
)

const (
	maxTickets    = 1000 // in one request
	ticketTimeout = time.Second
)

func (r *Receiver) handleCall(c iris.Context) {
	var q encoder.CallRequest
	if !r.decodeBody(c, &q) {
		return
	}
	if message := findCallError(&q); message != "" {
		writeError(c, http.StatusBadRequest, message)
		return
	}
	v, ok := r.checkRequest(c, q.Service, encoder.SubCall, q.DeadlineMS)
	if !ok {
		return
	}
	requestID, ok := r.startRequest()
	if !ok {
		r.writeRefusal(c, encoder.SubCall, reasonBusy)
		return
	}
	defer r.endRequest(requestID)
	start := time.Now()
	a, ok := r.CallRunner.AwaitAnswer(c.Request().Context(), func(id claimer.CallID) claimer.Event {
		return claimer.CallArrived{
			Call: id, Service: q.Service, Key: q.Key, Ticket: q.Ticket, Body: q.Body,
			Caller: c.GetHeader(encoder.HeaderCaller), Deadline: start.Add(timeLimit(v, q.DeadlineMS)), Nonce: claimrunner.NewSecret(),
		}
	})
	switch {
	case ok:
		answer := &encoder.CallAnswer{
			RequestID: requestID, Outcome: a.Call.Outcome, Reason: a.Call.Reason, RetryAfterMS: a.Call.RetryAfter.Milliseconds(),
			Upstream: a.Call.Upstream, Result: a.Call.Result,
		}
		r.finishRequest(c, v, encoder.SubCall, start, looper.Answer{Point: answer})
	case c.Request().Context().Err() == nil:
		r.writeRefusal(c, encoder.SubCall, reasonBusy)
	}
}

// findCallError validates what needs no table and returns the error text, or "" for a valid call.
func findCallError(q *encoder.CallRequest) string {
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

func (r *Receiver) handleTickets(c iris.Context) {
	var q encoder.TicketsRequest
	if !r.decodeBody(c, &q) {
		return
	}
	if q.Count < 1 || q.Count > maxTickets {
		writeError(c, http.StatusBadRequest, "count is not between 1 and 1000")
		return
	}
	if _, ok := r.checkRequest(c, q.Service, encoder.SubCall, 0); !ok {
		return
	}
	numbers := make([]string, q.Count)
	for i := range numbers {
		numbers[i] = claimrunner.NewSecret()
	}
	a, ok := r.CallRunner.AwaitAnswer(c.Request().Context(), func(id claimer.CallID) claimer.Event {
		return claimer.TicketsRequested{Call: id, Service: q.Service, Caller: c.GetHeader(encoder.HeaderCaller), Numbers: numbers}
	})
	if !ok {
		r.writeRefusal(c, encoder.SubLookup, reasonBusy)
		return
	}
	writeJSON(c, http.StatusOK, 0, encoder.TicketsAnswer{Tickets: emptyIfNil(a.Tickets.Tickets), ExpiresInMS: a.Tickets.ExpiresIn.Milliseconds()})
}

func emptyIfNil(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

// timeLimit returns the deadline of the request, or that of the service when the request has none.
func timeLimit(v *tabler.Value, deadlineMS int64) time.Duration {
	if deadlineMS > 0 {
		return time.Duration(deadlineMS) * time.Millisecond
	}
	return v.Service.Deadline
}
