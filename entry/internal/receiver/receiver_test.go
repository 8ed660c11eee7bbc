package receiver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/entry/internal/claimrunner"
	"comfreyroute/entry/internal/looper"
)

// stub is a routing loop and a call runner. It answers requests with a fixed answer, if it has one.
type stub struct {
	received  int
	abandoned chan router.RequestID
	full      bool // whether the queues of both are full
	answer    *looper.Answer
}

func (s *stub) SubmitRequest(router.RequestArrived) (router.RequestID, <-chan looper.Answer, bool) {
	s.received++
	answers := make(chan looper.Answer, 1)
	if s.answer != nil {
		answers <- *s.answer
	}
	return 7, answers, !s.full
}

func (s *stub) AbandonRequest(r router.RequestID) { s.abandoned <- r }

func (s *stub) AwaitAnswer(context.Context, func(claimer.CallID) claimer.Event) (claimrunner.Answer, bool) {
	s.received++
	return claimrunner.Answer{Call: &claimer.AnswerCall{Outcome: encoder.OutcomeDone}}, !s.full
}

func table() *tabler.Snapshot {
	var t *tabler.Snapshot
	for _, s := range []tabler.ServiceRow{tabler.NewServiceRow("matching"), tabler.NewServiceRow("ledger")} {
		if s.Service == "ledger" {
			s.Kind = tabler.KindPoint
		}
		t = t.WithValue(&tabler.Value{Revision: 1, Service: s, Upstreams: []tabler.UpstreamRow{
			{Service: s.Service, Upstream: "u", Address: netip.MustParseAddrPort("127.0.0.1:7000"), Weight: 100, Connections: 1, Slots: 1},
		}})
	}
	return t
}

func handler(t *testing.T, s *stub, r *Receiver) http.Handler {
	t.Helper()
	yes := func() (bool, string) { return true, "" }
	r.Loop, r.CallRunner, r.Table, r.Ready = s, s, table, yes
	if r.AcceptsRequests == nil {
		r.AcceptsRequests = yes
	}
	r.MaxBodyBytes, r.MaxRequests, r.Log = 200, 10, zap.NewNop()
	r.RecordAnswer = func(*tabler.ServiceRow, string, time.Duration, looper.Answer) {}
	h, err := r.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func post(h http.Handler, path, body, caller string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	q.Header.Set(encoder.HeaderCaller, caller)
	h.ServeHTTP(w, q)
	return w
}

const key = "0197a4b6-1111-7abc-8def-0123456789ab"

// TestInvalidRequests guards against malformed or oversized requests that reach the routing loop or are not answered with a 4xx
// status.
func TestInvalidRequests(t *testing.T) {
	cases := []struct {
		name, path, body, caller string
		want                     int
	}{
		{"not JSON", "/v1/search", `{`, "", http.StatusBadRequest},
		{"unknown field", "/v1/search", `{"service":"matching","limit":1}`, "", http.StatusBadRequest},
		{"oversized", "/v1/search", `{"service":"matching","query":"` + strings.Repeat("q", 200) + `"}`, "", http.StatusRequestEntityTooLarge},
		{"unknown service", "/v1/search", `{"service":"roster"}`, "", http.StatusNotFound},
		{"search of a point service", "/v1/search", `{"service":"ledger"}`, "", http.StatusBadRequest},
		{"coverage above 1", "/v1/search", `{"service":"matching","min_coverage":1.5}`, "", http.StatusBadRequest},
		{"negative deadline", "/v1/search", `{"service":"matching","deadline_ms":-1}`, "", http.StatusBadRequest},
		{"caller with a control character", "/v1/search", `{"service":"matching"}`, "a\x01b", http.StatusBadRequest},
		{"lookup without key", "/v1/lookup", `{"service":"ledger"}`, "", http.StatusBadRequest},
		{"call without key and ticket", "/v1/call", `{"service":"ledger","body":{}}`, "", http.StatusBadRequest},
		{"call with key and ticket", "/v1/call", `{"service":"ledger","body":{},"key":"` + key + `","ticket":"a.1.b"}`, "", http.StatusBadRequest},
		{"call with a random key", "/v1/call", `{"service":"ledger","body":{},"key":"7b0f4b4e-9d0f-4f4e-8f53-0123456789ab"}`, "", http.StatusBadRequest},
		{"call without body", "/v1/call", `{"service":"ledger","key":"` + key + `"}`, "", http.StatusBadRequest},
		{"too many tickets", "/v1/tickets", `{"service":"ledger","count":1000000}`, "", http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &stub{}
			w := post(handler(t, s, &Receiver{}), c.path, c.body, c.caller)
			if diff := cmp.Diff(c.want, w.Code); diff != "" {
				t.Errorf("status (-want +got):\n%s\n%s", diff, w.Body)
			}
			if s.received > 0 {
				t.Error("the request reached the routing loop or the call runner")
			}
		})
	}
}

// TestRefusals guards against refusing a call with the outcome not_run although an earlier attempt may have run on another VM, and
// against a refusal without a Retry-After header.
func TestRefusals(t *testing.T) {
	search, call := `{"service":"matching"}`, `{"service":"ledger","body":{},"key":"`+key+`"}`
	const memoryLimit = 1 << 20
	isolated := func() (bool, string) { return false, "isolated" }
	cases := []struct {
		name, path, body string
		accepts          func() (bool, string)
		full             bool
		held             int64 // bytes of memory that others hold, of memoryLimit
		want             string
	}{
		{"search while isolated", "/v1/search", search, isolated, false, 0, `"outcome":"not_run","reason":"isolated"`},
		{"call while isolated", "/v1/call", call, isolated, false, 0, `"outcome":"unknown","reason":"isolated"`},
		{"search while the queue is full", "/v1/search", search, nil, true, 0, `"outcome":"not_run","reason":"overloaded"`},
		{"call while the queue is full", "/v1/call", call, nil, true, 0, `"outcome":"unknown","reason":"overloaded"`},
		{"search while the memory is full", "/v1/search", search, nil, false, memoryLimit, `"outcome":"not_run","reason":"overloaded"`},
		{"call while the memory is full", "/v1/call", call, nil, false, memoryLimit, `"outcome":"unknown","reason":"overloaded"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			memory := &bounder.Memory{Limit: memoryLimit}
			memory.Take(c.held)
			w := post(handler(t, &stub{full: c.full}, &Receiver{AcceptsRequests: c.accepts, Memory: memory}), c.path, c.body, "")
			if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), c.want) || w.Header().Get("Retry-After") == "" {
				t.Errorf("got status %d, Retry-After %q, %s; want 503 with %s", w.Code, w.Header().Get("Retry-After"), w.Body, c.want)
			}
		})
	}
}

// TestCallerGone guards against a request that stays in the routing loop after its caller has disconnected.
func TestCallerGone(t *testing.T) {
	s := &stub{abandoned: make(chan router.RequestID, 1)}
	r := &Receiver{}
	h := handler(t, s, r)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	q := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/search", strings.NewReader(`{"service":"matching"}`))
	h.ServeHTTP(httptest.NewRecorder(), q)
	if diff := cmp.Diff(router.RequestID(7), <-s.abandoned); diff != "" {
		t.Errorf("abandoned request (-want +got):\n%s", diff)
	}
	if n := r.RunningRequests(); len(n) > 0 {
		t.Errorf("requests %v are still registered", n)
	}
}
