// Package receiver is the HTTP interface of the entry daemon to callers and operators.
//
// Everything that a caller sends is checked here, so that malformed input costs no upstream anything.
package receiver

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kataras/iris/v12"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/entry/internal/looper"
)

// Bounds of requests.
const (
	maxNameBytes  = 128
	maxDeadline   = time.Minute
	answerGrace   = time.Second            // after the deadline, before a request without an answer is given up
	spreadWait    = 20 * time.Millisecond  // an answer waits at most so long for peers to hear of a suspicion
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

// Receiver answers callers and operators. Table returns the table in effect.
type Receiver struct {
	Loop      Loop
	Table     func() *tabler.Snapshot
	Ready     func() (ready bool, reason string)
	BodyBytes int64
	IDPrefix  string // of request ids
	Requests  int    // limit of requests in flight
	Admin     map[string]http.HandlerFunc
	Measure   func(service, kind string, took time.Duration, a looper.Answer)

	refusing atomic.Bool
	running  atomic.Int64
}

// Handler returns the HTTP handler of all paths. It returns an error when iris cannot build its routes.
func (r *Receiver) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog)
	app.Logger().SetLevel("disable")
	app.Post("/v1/search", r.search)
	app.Post("/v1/lookup", r.lookup)
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

// Running returns how many requests are in flight.
func (r *Receiver) Running() int { return int(r.running.Load()) }

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
	v, ok := r.check(c, q.Service, tabler.KindSearch, q.DeadlineMS)
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
	v, ok := r.check(c, q.Service, tabler.KindPoint, q.DeadlineMS)
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

func (r *Receiver) check(c iris.Context, service string, kind tabler.Kind, deadlineMS int64) (*tabler.Value, bool) {
	if deadlineMS < 0 || deadlineMS > maxDeadline.Milliseconds() {
		fail(c, http.StatusBadRequest, "deadline_ms is not between 0 and "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		return nil, false
	}
	if !validCaller(c.GetHeader(encoder.HeaderCaller)) {
		fail(c, http.StatusBadRequest, encoder.HeaderCaller+" has more than 128 bytes or characters that are not printable")
		return nil, false
	}
	if ready, reason := r.Ready(); !ready && r.Table().Find(service) == nil || r.refusing.Load() {
		r.refuse(c, kind, reason)
		return nil, false
	}
	v := r.Table().Find(service)
	if v == nil {
		fail(c, http.StatusNotFound, "there is no such service in the table")
		return nil, false
	}
	if v.Service.Kind != kind {
		fail(c, http.StatusBadRequest, "the service is of kind "+v.Service.Kind.String())
		return nil, false
	}
	return v, true
}

// run hands a request to the loop and answers it.
func (r *Receiver) run(c iris.Context, v *tabler.Value, ev router.RequestArrived, deadlineMS int64) {
	if r.running.Add(1) > int64(r.Requests) {
		r.running.Add(-1)
		r.refuse(c, v.Service.Kind, reasonBusy)
		return
	}
	defer r.running.Add(-1)
	began := time.Now()
	ev.Service, ev.Caller = v.Service.Service, c.GetHeader(encoder.HeaderCaller)
	allowed := v.Service.Deadline
	if deadlineMS > 0 {
		allowed = time.Duration(deadlineMS) * time.Millisecond
	}
	ev.Deadline = began.Add(allowed)
	a, ok := r.wait(c, ev, allowed)
	if !ok {
		return
	}
	r.Measure(ev.Service, string(ev.Kind), time.Since(began), a)
	if a.Search != nil {
		write(c, status(a.Search.Outcome), a.Search.RetryAfterMS, a.Search)
		return
	}
	write(c, status(a.Point.Outcome), a.Point.RetryAfterMS, a.Point)
}

// wait returns the answer of a request, or false when the caller is gone.
func (r *Receiver) wait(c iris.Context, ev router.RequestArrived, allowed time.Duration) (looper.Answer, bool) {
	id, answers, ok := r.Loop.Submit(ev)
	name := r.IDPrefix + strconv.FormatUint(uint64(id), 10)
	if !ok {
		return r.name(refusal(ev.Kind, reasonBusy, retryHint), name), true
	}
	t := time.NewTimer(allowed + answerGrace)
	defer t.Stop()
	select {
	case a := <-answers:
		await(a.Spread, t)
		return r.name(a, name), true
	case <-c.Request().Context().Done():
		r.Loop.Leave(id)
		return looper.Answer{}, false
	case <-t.C:
		r.Loop.Leave(id)
		return r.name(unknown(ev.Kind), name), true
	}
}

// await waits until the peers have heard what a request has shown, but only for a short time.
func await(spread <-chan struct{}, t *time.Timer) {
	if spread == nil {
		return
	}
	t.Reset(spreadWait)
	select {
	case <-spread:
	case <-t.C:
	}
}

// name sets the request id on a copy, because the decision trace keeps the answer of the machine.
func (r *Receiver) name(a looper.Answer, id string) looper.Answer {
	if a.Search != nil {
		named := *a.Search
		named.RequestID = id
		return looper.Answer{Search: &named}
	}
	named := *a.Point
	named.RequestID = id
	return looper.Answer{Point: &named}
}

func refusal(kind encoder.SubKind, reason string, retry time.Duration) looper.Answer {
	if kind == encoder.SubSearch {
		return looper.Answer{Search: &encoder.SearchAnswer{
			Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: retry.Milliseconds(),
			Covered: []int{}, Missing: []encoder.MissingShard{}, Results: []encoder.ShardResult{},
		}}
	}
	return looper.Answer{Point: &encoder.CallAnswer{
		Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: retry.Milliseconds(),
	}}
}

// unknown answers a request that the loop did not answer in time: parts of it may have run.
func unknown(kind encoder.SubKind) looper.Answer {
	a := refusal(kind, "late", 0)
	if a.Search != nil {
		a.Search.Outcome = encoder.OutcomeUnknown
	} else {
		a.Point.Outcome = encoder.OutcomeUnknown
	}
	return a
}

func (r *Receiver) refuse(c iris.Context, kind tabler.Kind, reason string) {
	if r.refusing.Load() {
		reason = reasonLeaving
	}
	sub := encoder.SubLookup
	if kind == tabler.KindSearch {
		sub = encoder.SubSearch
	}
	a := refusal(sub, reason, retryHint)
	if a.Search != nil {
		write(c, http.StatusServiceUnavailable, a.Search.RetryAfterMS, a.Search)
		return
	}
	write(c, http.StatusServiceUnavailable, a.Point.RetryAfterMS, a.Point)
}

// status returns the HTTP status of an outcome.
func status(o encoder.Outcome) int {
	switch o {
	case encoder.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case encoder.OutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

func write(c iris.Context, status int, retryMS int64, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		fail(c, http.StatusInternalServerError, "the answer cannot be encoded")
		return
	}
	if retryMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((retryMS+999)/1000, 10))
	}
	c.ContentType(contentJSON)
	c.StatusCode(status)
	_, _ = c.Write(data)
}

// fail answers a request that is not valid.
func fail(c iris.Context, status int, message string) {
	write(c, status, 0, struct {
		Outcome encoder.Outcome `json:"outcome"`
		Reason  string          `json:"reason"`
	}{encoder.OutcomeNotRun, message})
}

// validCaller accepts what can be repeated in a header.
func validCaller(name string) bool {
	if len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}
