// Package receiver serves the HTTP API of the entry daemon for callers and operators.
//
// It validates all input from callers, so that malformed input causes no load on upstreams.
package receiver

import (
	"context"
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
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/entry/internal/claimrunner"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/looper"
)

// Limits of requests, and values of responses.
const (
	maxCallerBytes  = 128
	maxDeadline     = time.Minute
	answerGrace     = time.Second            // wait after the deadline for the answer to a request
	retryDelay      = 100 * time.Millisecond // Retry-After of a request refused by this VM
	contentTypeJSON = "application/json"
	reasonBusy      = "overloaded"
	reasonLeaving   = "leaving"
	pathSearch      = "/v1/search"
	pathCall        = "/v1/call"
)

// Loop is the routing loop, which runs the requests of callers.
type Loop interface {
	SubmitRequest(router.RequestArrived) (router.RequestID, <-chan looper.Answer, bool)
	AbandonRequest(router.RequestID)
}

// CallRunner runs non-idempotent calls and issues tickets.
type CallRunner interface {
	AwaitAnswer(ctx context.Context, newEvent func(claimer.CallID) claimer.Event) (claimrunner.Answer, bool)
}

// Receiver serves callers and operators. Its exported fields must be set before Handler.
type Receiver struct {
	Loop       Loop
	CallRunner CallRunner
	Table      func() *tabler.Snapshot            // returns the current table
	Ready      func() (ready bool, reason string) // reports whether the load balancer should send requests
	// AcceptsRequests reports whether requests are accepted. During shutdown a VM accepts them for a while although it is not ready.
	AcceptsRequests func() (accepts bool, reason string)
	MaxBodyBytes    int64
	Memory          *bounder.Memory // counts the bodies of requests and answers; nil for none
	IDPrefix        string          // prefix of request IDs
	MaxRequests     int             // limit of requests in flight
	Log             *zap.Logger
	Admin           map[string]http.HandlerFunc // handlers of the operators' GET requests, by path
	RecordAnswer    func(row *tabler.ServiceRow, kind string, latency time.Duration, a looper.Answer)

	admissionClosed atomic.Bool
	lastRequestID   atomic.Uint64
	inFlight        atomic.Int64
	running         sync.Map // IDs of the requests in flight
}

// Handler returns the HTTP handler for all paths. It returns an error when iris cannot build the routes.
func (r *Receiver) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog)
	app.Logger().SetLevel("disable")
	app.UseRouter(r.readBody)
	app.Post(pathSearch, r.handleSearch)
	app.Post("/v1/lookup", r.handleLookup)
	app.Post(pathCall, r.handleCall)
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
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		app.ServeHTTP(&answerWriter{ResponseWriter: w, conn: acceptor.ConnOf(request), memory: r.Memory}, request)
	}), nil
}

// CloseAdmission makes the receiver refuse every new request.
func (r *Receiver) CloseAdmission() { r.admissionClosed.Store(true) }

// RunningRequests returns the IDs of the requests in flight.
func (r *Receiver) RunningRequests() []string {
	var ids []string
	r.running.Range(func(id, _ any) bool {
		ids = append(ids, id.(string))
		return true
	})
	return ids
}

// startRequest registers a request and returns its ID, or false when too many requests are in flight or admission is closed. It
// registers the request before it checks admission, so that a request that RunningRequests misses is refused.
func (r *Receiver) startRequest() (string, bool) {
	id := r.IDPrefix + strconv.FormatUint(r.lastRequestID.Add(1), 36)
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

// decodeBody decodes the JSON body of a request into v. For an invalid body it answers with a 4xx status and returns false.
func (r *Receiver) decodeBody(c iris.Context, v any) bool {
	err := encoder.Decode(c.Request().Body, r.MaxBodyBytes, v)
	if err == nil {
		return true
	}
	writeError(c, http.StatusBadRequest, "the body is not a valid request: "+err.Error())
	return false
}

// checkRequest validates a request and returns the table value of its service. If the request cannot be accepted, it answers it and
// returns false.
func (r *Receiver) checkRequest(c iris.Context, service string, sub encoder.SubKind, deadlineMS int64) (*tabler.Value, bool) {
	if deadlineMS < 0 || deadlineMS > maxDeadline.Milliseconds() {
		writeError(c, http.StatusBadRequest, "deadline_ms is not between 0 and "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		return nil, false
	}
	if !validCaller(c.GetHeader(encoder.HeaderCaller)) {
		writeError(c, http.StatusBadRequest, encoder.HeaderCaller+" has more than 128 bytes or characters that are not printable")
		return nil, false
	}
	if ok, reason := r.AcceptsRequests(); !ok {
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

// runRequest submits a request to the routing loop and answers it.
func (r *Receiver) runRequest(c iris.Context, v *tabler.Value, ev router.RequestArrived, deadlineMS int64) {
	requestID, ok := r.startRequest()
	if !ok {
		r.writeRefusal(c, ev.Kind, reasonBusy)
		return
	}
	defer r.endRequest(requestID)
	start := time.Now()
	ev.Service, ev.Caller = v.Service.Service, c.GetHeader(encoder.HeaderCaller)
	limit := timeLimit(v, deadlineMS)
	ev.Deadline = start.Add(limit)
	if a, ok := r.awaitAnswer(c, ev, limit); ok {
		r.finishRequest(c, v, ev.Kind, start, withRequestID(a, requestID))
	}
}

// finishRequest records an answer in the metrics, logs it if its outcome is not done, and writes it.
func (r *Receiver) finishRequest(c iris.Context, v *tabler.Value, kind encoder.SubKind, start time.Time, a looper.Answer) {
	r.RecordAnswer(&v.Service, string(kind), time.Since(start), a)
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

// logOutcome logs a request whose outcome is not done.
func (r *Receiver) logOutcome(id string, v *tabler.Value, o encoder.Outcome, reason string) {
	r.Log.Info("receiver: request outcome is not done", logger.RequestField(id), zap.String("service", v.Service.Service),
		zap.String("outcome", string(o)), zap.String("reason", reason))
}

// awaitAnswer submits a request and returns its answer, or false when the caller has disconnected.
func (r *Receiver) awaitAnswer(c iris.Context, ev router.RequestArrived, limit time.Duration) (looper.Answer, bool) {
	id, answers, ok := r.Loop.SubmitRequest(ev)
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
