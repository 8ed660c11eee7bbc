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
	"comfreyroute/entry/internal/booker"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/looper"
)

// Bounds of requests.
const (
	maxNameBytes  = 128
	maxDeadline   = time.Minute
	answerGrace   = time.Second            // after the deadline, before a request without an answer is given up
	retryHint     = 100 * time.Millisecond // when the loop is full
	contentJSON   = "application/json"
	reasonBusy    = "overloaded"
	reasonLeaving = "leaving"
)

// Loop takes the requests of callers.
type Loop interface {
	Submit(router.RequestArrived) (router.RequestID, <-chan looper.Answer, bool)
	Leave(router.RequestID)
}

// Calls takes non-idempotent calls and requests for tickets.
type Calls interface {
	Call(ctx context.Context, make func(claimer.CallID) claimer.Event) (booker.Answer, bool)
}

// Receiver answers callers and operators. Its fields are set before Handler.
type Receiver struct {
	Loop      Loop
	Calls     Calls
	Table     func() *tabler.Snapshot              // in effect
	Ready     func() (ready bool, reason string)   // for the load balancer
	Accepts   func() (accepts bool, reason string) // for requests; a VM that leaves accepts for a while without being ready
	BodyBytes int64
	IDPrefix  string // of request ids
	Requests  int    // limit of requests in flight
	Log       *zap.Logger
	Admin     map[string]http.HandlerFunc
	Measure   func(row *tabler.ServiceRow, kind string, took time.Duration, a looper.Answer)

	refusing atomic.Bool
	numbers  atomic.Uint64
	count    atomic.Int64
	running  sync.Map // request ids
}

// Handler returns the HTTP handler of all paths. It returns an error when iris cannot build its routes.
func (r *Receiver) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog)
	app.Logger().SetLevel("disable")
	app.Post("/v1/search", r.search)
	app.Post("/v1/lookup", r.lookup)
	app.Post("/v1/call", r.call)
	app.Post("/v1/tickets", r.tickets)
	app.Get("/livez", func(c iris.Context) { c.StatusCode(http.StatusOK) })
	app.Get("/readyz", r.readyz)
	app.Get("/metrics", func(c iris.Context) { metrics.WritePrometheus(c.ResponseWriter(), true) })
	for path, h := range r.Admin {
		app.Get(path, iris.FromStd(h))
	}
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// Refuse makes the receiver answer every new request with "not run".
func (r *Receiver) Refuse() { r.refusing.Store(true) }

// Running returns the ids of the requests in flight.
func (r *Receiver) Running() []string {
	var ids []string
	r.running.Range(func(id, _ any) bool {
		ids = append(ids, id.(string))
		return true
	})
	return ids
}

// enter counts a request and returns its id, or false when too many are in flight or the VM leaves. It counts before it
// looks whether the VM leaves, so that a request that is not seen by Running is refused.
func (r *Receiver) enter() (string, bool) {
	id := r.IDPrefix + strconv.FormatUint(r.numbers.Add(1), 36)
	r.running.Store(id, nil)
	if r.count.Add(1) > int64(r.Requests) || r.refusing.Load() {
		r.leave(id)
		return id, false
	}
	return id, true
}

func (r *Receiver) leave(id string) {
	r.count.Add(-1)
	r.running.Delete(id)
}

func (r *Receiver) readyz(c iris.Context) {
	if ok, reason := r.Ready(); !ok {
		c.StatusCode(http.StatusServiceUnavailable)
		_, _ = c.WriteString(reason)
	}
}

func (r *Receiver) search(c iris.Context) {
	var q encoder.SearchRequest
	if !r.decode(c, &q) {
		return
	}
	v, ok := r.check(c, q.Service, encoder.SubSearch, q.DeadlineMS)
	if !ok {
		return
	}
	if q.MinCoverage < 0 || q.MinCoverage > 1 {
		fail(c, http.StatusBadRequest, "min_coverage is not between 0 and 1")
		return
	}
	r.run(c, v, router.RequestArrived{Kind: encoder.SubSearch, Query: q.Query, MinCoverage: q.MinCoverage}, q.DeadlineMS)
}

func (r *Receiver) lookup(c iris.Context) {
	var q encoder.LookupRequest
	if !r.decode(c, &q) {
		return
	}
	v, ok := r.check(c, q.Service, encoder.SubLookup, q.DeadlineMS)
	if !ok {
		return
	}
	if q.Key == "" {
		fail(c, http.StatusBadRequest, "key is empty")
		return
	}
	r.run(c, v, router.RequestArrived{Kind: encoder.SubLookup, Query: q.Key}, q.DeadlineMS)
}

// decode reads the body of a request. It answers with a 4xx status and returns false when the body is not valid.
func (r *Receiver) decode(c iris.Context, v any) bool {
	body := http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, r.BodyBytes)
	err := encoder.Decode(body, r.BodyBytes, v)
	if err == nil {
		return true
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		fail(c, http.StatusRequestEntityTooLarge, "the body has more than "+strconv.FormatInt(r.BodyBytes, 10)+" bytes")
		return false
	}
	fail(c, http.StatusBadRequest, "the body is not a valid request: "+err.Error())
	return false
}

// check tells whether a request can be taken, and answers it if not.
func (r *Receiver) check(c iris.Context, service string, sub encoder.SubKind, deadlineMS int64) (*tabler.Value, bool) {
	if deadlineMS < 0 || deadlineMS > maxDeadline.Milliseconds() {
		fail(c, http.StatusBadRequest, "deadline_ms is not between 0 and "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		return nil, false
	}
	if !validCaller(c.GetHeader(encoder.HeaderCaller)) {
		fail(c, http.StatusBadRequest, encoder.HeaderCaller+" has more than 128 bytes or characters that are not printable")
		return nil, false
	}
	if ok, reason := r.Accepts(); !ok {
		r.refuse(c, sub, reason)
		return nil, false
	}
	v := r.Table().FindService(service)
	if v == nil {
		fail(c, http.StatusNotFound, "there is no such service in the table")
		return nil, false
	}
	kind := tabler.KindPoint
	if sub == encoder.SubSearch {
		kind = tabler.KindSearch
	}
	if v.Service.Kind != kind {
		fail(c, http.StatusBadRequest, "the service is of kind "+v.Service.Kind.String())
		return nil, false
	}
	return v, true
}

// run hands a request to the loop and answers it.
func (r *Receiver) run(c iris.Context, v *tabler.Value, ev router.RequestArrived, deadlineMS int64) {
	name, ok := r.enter()
	if !ok {
		r.refuse(c, ev.Kind, reasonBusy)
		return
	}
	defer r.leave(name)
	began := time.Now()
	ev.Service, ev.Caller = v.Service.Service, c.GetHeader(encoder.HeaderCaller)
	limit := allowed(v, deadlineMS)
	ev.Deadline = began.Add(limit)
	if a, ok := r.wait(c, ev, limit); ok {
		r.finish(c, v, ev.Kind, began, named(a, name))
	}
}

// finish measures and writes an answer.
func (r *Receiver) finish(c iris.Context, v *tabler.Value, kind encoder.SubKind, began time.Time, a looper.Answer) {
	r.Measure(&v.Service, string(kind), time.Since(began), a)
	if a.Search != nil {
		if a.Search.Outcome != encoder.OutcomeDone {
			r.note(a.Search.RequestID, v, a.Search.Outcome, a.Search.Reason)
		}
		write(c, status(a.Search.Outcome), a.Search.RetryAfterMS, a.Search)
		return
	}
	if a.Point.Outcome != encoder.OutcomeDone {
		r.note(a.Point.RequestID, v, a.Point.Outcome, a.Point.Reason)
	}
	write(c, status(a.Point.Outcome), a.Point.RetryAfterMS, a.Point)
}

// note logs an answer that is not done.
func (r *Receiver) note(id string, v *tabler.Value, o encoder.Outcome, reason string) {
	r.Log.Info("receiver: a request is not done", logger.Request(id), zap.String("service", v.Service.Service),
		zap.String("outcome", string(o)), zap.String("reason", reason))
}

// wait returns the answer of a request, or false when the caller is gone.
func (r *Receiver) wait(c iris.Context, ev router.RequestArrived, limit time.Duration) (looper.Answer, bool) {
	id, answers, ok := r.Loop.Submit(ev)
	if !ok {
		return refusal(ev.Kind, reasonBusy, retryHint), true
	}
	t := time.NewTimer(limit + answerGrace)
	defer t.Stop()
	select {
	case a := <-answers:
		a.AwaitSpread()
		return a, true
	case <-c.Request().Context().Done():
		r.Loop.Leave(id)
		return looper.Answer{}, false
	case <-t.C:
		r.Loop.Leave(id)
		return unknown(ev.Kind), true
	}
}
