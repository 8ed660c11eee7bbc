// Package receiver is the HTTP interface of the entry daemon to callers and operators.
//
// Everything that a caller sends is checked here, so that malformed input costs no upstream anything.
package receiver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/entry/internal/claimrunner"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/looper"
)

// Bounds of requests.
const (
	maxCallerBytes  = 128
	maxDeadline     = time.Minute
	answerGrace     = time.Second            // after the deadline, before a request without an answer is given up
	retryDelay      = 100 * time.Millisecond // when the loop is full
	contentTypeJSON = "application/json"
	reasonBusy      = "overloaded"
	reasonLeaving   = "leaving"
)

// Loop takes the requests of callers.
type Loop interface {
	Submit(router.RequestArrived) (router.RequestID, <-chan looper.Answer, bool)
	AbandonRequest(router.RequestID)
}

// CallRunner takes non-idempotent calls and requests for tickets.
type CallRunner interface {
	AwaitAnswer(ctx context.Context, make func(claimer.CallID) claimer.Event) (claimrunner.Answer, bool)
}

// Receiver answers callers and operators. Its fields are set before Handler.
type Receiver struct {
	Loop         Loop
	CallRunner   CallRunner
	Table        func() *tabler.Snapshot              // in effect
	Ready        func() (ready bool, reason string)   // for the load balancer
	Accepts      func() (accepts bool, reason string) // for requests; a VM that leaves accepts for a while without being ready
	MaxBodyBytes int64
	IDPrefix     string // of request ids
	MaxRequests  int    // limit of requests in flight
	Log          *zap.Logger
	Admin        map[string]http.HandlerFunc
	RecordAnswer func(row *tabler.ServiceRow, kind string, took time.Duration, a looper.Answer)

	admissionClosed atomic.Bool
	lastRequest     atomic.Uint64
	inFlight        atomic.Int64
	running         sync.Map // request ids
}

// Handler returns the HTTP handler of all paths. It returns an error when iris cannot build its routes.
func (r *Receiver) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog)
	app.Logger().SetLevel("disable")
	app.Post("/v1/search", r.handleSearch)
	app.Post("/v1/lookup", r.handleLookup)
	app.Post("/v1/call", r.handleCall)
	app.Post("/v1/tickets", r.handleTickets)
	app.Get("/livez", func(c iris.Context) { c.StatusCode(http.StatusOK) })
	app.Get("/readyz", r.handleReady)
	app.Get("/metrics", func(c iris.Context) { metrics.WritePrometheus(c.ResponseWriter(), true) })
	for path, h := range r.Admin {
		app.Get(path, iris.FromStd(h))
	}
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// CloseAdmission makes the receiver answer every new request with "not run".
func (r *Receiver) CloseAdmission() { r.admissionClosed.Store(true) }

// RunningRequests returns the ids of the requests in flight.
func (r *Receiver) RunningRequests() []string {
	var ids []string
	r.running.Range(func(id, _ any) bool {
		ids = append(ids, id.(string))
		return true
	})
	return ids
}

// startRequest counts a request and returns its id, or false when too many are in flight or the VM leaves. It counts before it
// looks whether the VM leaves, so that a request that is not seen by Running is refused.
func (r *Receiver) startRequest() (string, bool) {
	id := r.IDPrefix + strconv.FormatUint(r.lastRequest.Add(1), 36)
	r.running.Store(id, nil)
	if r.inFlight.Add(1) > int64(r.MaxRequests) || r.admissionClosed.Load() {
		r.endRequest(id)
		return id, false
	}
	return id, true
}

func (r *Receiver) endRequest(id string) {
	r.inFlight.Add(-1)
	r.running.Delete(id)
}

func (r *Receiver) handleReady(c iris.Context) {
	if ok, reason := r.Ready(); !ok {
		c.StatusCode(http.StatusServiceUnavailable)
		_, _ = c.WriteString(reason)
	}
}

func (r *Receiver) handleSearch(c iris.Context) {
	var q encoder.SearchRequest
	if !r.decodeBody(c, &q) {
		return
	}
	v, ok := r.checkRequest(c, q.Service, encoder.SubSearch, q.DeadlineMS)
	if !ok {
		return
	}
	if q.MinCoverage < 0 || q.MinCoverage > 1 {
		writeError(c, http.StatusBadRequest, "min_coverage is not between 0 and 1")
		return
	}
	r.runRequest(c, v, router.RequestArrived{Kind: encoder.SubSearch, Query: q.Query, MinCoverage: q.MinCoverage}, q.DeadlineMS)
}

func (r *Receiver) handleLookup(c iris.Context) {
	var q encoder.LookupRequest
	if !r.decodeBody(c, &q) {
		return
	}
	v, ok := r.checkRequest(c, q.Service, encoder.SubLookup, q.DeadlineMS)
	if !ok {
		return
	}
	if q.Key == "" {
		writeError(c, http.StatusBadRequest, "key is empty")
		return
	}
	r.runRequest(c, v, router.RequestArrived{Kind: encoder.SubLookup, Query: q.Key}, q.DeadlineMS)
}

// decodeBody reads the body of a request. It answers with a 4xx status and returns false when the body is not valid.
func (r *Receiver) decodeBody(c iris.Context, v any) bool {
	body := http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, r.MaxBodyBytes)
	err := encoder.Decode(body, r.MaxBodyBytes, v)
	if err == nil {
		return true
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		writeError(c, http.StatusRequestEntityTooLarge, "the body has more than "+strconv.FormatInt(r.MaxBodyBytes, 10)+" bytes")
		return false
	}
	writeError(c, http.StatusBadRequest, "the body is not a valid request: "+err.Error())
	return false
}

// checkRequest tells whether a request can be taken, and answers it if not.
func (r *Receiver) checkRequest(c iris.Context, service string, sub encoder.SubKind, deadlineMS int64) (*tabler.Value, bool) {
	if deadlineMS < 0 || deadlineMS > maxDeadline.Milliseconds() {
		writeError(c, http.StatusBadRequest, "deadline_ms is not between 0 and "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		return nil, false
	}
	if !validCaller(c.GetHeader(encoder.HeaderCaller)) {
		writeError(c, http.StatusBadRequest, encoder.HeaderCaller+" has more than 128 bytes or characters that are not printable")
		return nil, false
	}
	if ok, reason := r.Accepts(); !ok {
		r.writeRefusal(c, sub, reason)
		return nil, false
	}
	v := r.Table().FindService(service)
	if v == nil {
		writeError(c, http.StatusNotFound, "there is no such service in the table")
		return nil, false
	}
	kind := tabler.KindPoint
	if sub == encoder.SubSearch {
		kind = tabler.KindSearch
	}
	if v.Service.Kind != kind {
		writeError(c, http.StatusBadRequest, "the service is of kind "+v.Service.Kind.String())
		return nil, false
	}
	return v, true
}

// runRequest hands a request to the loop and answers it.
func (r *Receiver) runRequest(c iris.Context, v *tabler.Value, ev router.RequestArrived, deadlineMS int64) {
	name, ok := r.startRequest()
	if !ok {
		r.writeRefusal(c, ev.Kind, reasonBusy)
		return
	}
	defer r.endRequest(name)
	began := time.Now()
	ev.Service, ev.Caller = v.Service.Service, c.GetHeader(encoder.HeaderCaller)
	limit := timeLimit(v, deadlineMS)
	ev.Deadline = began.Add(limit)
	if a, ok := r.awaitAnswer(c, ev, limit); ok {
		r.finishRequest(c, v, ev.Kind, began, withRequestID(a, name))
	}
}

// finishRequest measures and writes an answer.
func (r *Receiver) finishRequest(c iris.Context, v *tabler.Value, kind encoder.SubKind, began time.Time, a looper.Answer) {
	r.RecordAnswer(&v.Service, string(kind), time.Since(began), a)
	if a.Search != nil {
		if a.Search.Outcome != encoder.OutcomeDone {
			r.logOutcome(a.Search.RequestID, v, a.Search.Outcome, a.Search.Reason)
		}
		writeJSON(c, httpStatus(a.Search.Outcome), a.Search.RetryAfterMS, a.Search)
		return
	}
	if a.Point.Outcome != encoder.OutcomeDone {
		r.logOutcome(a.Point.RequestID, v, a.Point.Outcome, a.Point.Reason)
	}
	writeJSON(c, httpStatus(a.Point.Outcome), a.Point.RetryAfterMS, a.Point)
}

// logOutcome logs an answer that is not done.
func (r *Receiver) logOutcome(id string, v *tabler.Value, o encoder.Outcome, reason string) {
	r.Log.Info("receiver: a request is not done", logger.Request(id), zap.String("service", v.Service.Service),
		zap.String("outcome", string(o)), zap.String("reason", reason))
}

// awaitAnswer returns the answer of a request, or false when the caller is gone.
func (r *Receiver) awaitAnswer(c iris.Context, ev router.RequestArrived, limit time.Duration) (looper.Answer, bool) {
	id, answers, ok := r.Loop.Submit(ev)
	if !ok {
		return notRunAnswer(ev.Kind, reasonBusy, retryDelay), true
	}
	t := time.NewTimer(limit + answerGrace)
	defer t.Stop()
	select {
	case a := <-answers:
		a.AwaitSpread()
		return a, true
	case <-c.Request().Context().Done():
		r.Loop.AbandonRequest(id)
		return looper.Answer{}, false
	case <-t.C:
		r.Loop.AbandonRequest(id)
		return lateAnswer(ev.Kind), true
	}
}
