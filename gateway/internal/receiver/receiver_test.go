package receiver

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/gateway/internal/logger"
)

// fakeDispatcher answers each request by its outcome; nil means never.
type fakeDispatcher struct {
	outcome   forwarder.Outcome
	bodies    []string
	cancelled chan forwarder.RequestID
}

func (q *fakeDispatcher) SubmitRequest(e forwarder.RequestArrived) (forwarder.RequestID, <-chan forwarder.Answer) {
	q.bodies = append(q.bodies, string(e.Message.Body))
	answer := make(chan forwarder.Answer, 1)
	if q.outcome != nil {
		answer <- forwarder.Answer{Outcome: q.outcome}
	}
	return 7, answer
}

func (q *fakeDispatcher) CancelRequest(r forwarder.RequestID) { q.cancelled <- r }

func newReceiver(o forwarder.Outcome) (*Receiver, *fakeDispatcher) {
	q := &fakeDispatcher{outcome: o, cancelled: make(chan forwarder.RequestID, 1)}
	return &Receiver{Dispatcher: q, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), Metrics: NewMetrics(metrics.NewSet())}, q
}

// TestSizes guards against an oversized request that reaches an upstream, and against one that the manifest allows and that does not.
func TestSizes(t *testing.T) {
	cases := []struct {
		name   string
		bytes  int // of the body
		header int // length of the only field, with its name "A"
		status int
		passed int
	}{
		{"allowed", 100, 50, http.StatusServiceUnavailable, 1},
		{"a long body", 101, 50, http.StatusRequestEntityTooLarge, 0},
		{"a long header", 100, 51, http.StatusRequestHeaderFieldsTooLarge, 0},
	}
	for _, c := range cases {
		r, q := newReceiver(forwarder.Refused{Reason: forwarder.Busy, RetryAfter: time.Second})
		r.SetManifest(forwarder.NewManifest(1, nil, nil, forwarder.Limits{MaxHeaderBytes: 50, MaxBodyBytes: 100}))
		w := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", c.bytes)))
		request.Header.Set("A", strings.Repeat("x", c.header-len("A: \r\n")))
		r.ServeHTTP(w, request)
		if w.Code != c.status || len(q.bodies) != c.passed {
			t.Errorf("%s: status %d, %d requests passed on", c.name, w.Code, len(q.bodies))
		}
	}
}

// TestReady guards against callers that are sent to a VM that knows no routes or upstreams, or that stops.
func TestReady(t *testing.T) {
	r, _ := newReceiver(forwarder.Unknown{Reason: forwarder.Lost})
	var got []int
	ask := func() {
		w := httptest.NewRecorder()
		r.ServeReady(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		got = append(got, w.Code)
	}
	ask()
	r.SetManifest(forwarder.NewManifest(1, nil, nil, forwarder.Limits{}))
	ask()
	r.SetUpstreamsKnown()
	ask()
	r.StartShutdown()
	ask()
	if diff := cmp.Diff([]int{503, 503, 200, 503}, got); diff != "" {
		t.Errorf("status at the start, with a manifest, with upstreams, while stopping (-want +got):\n%s", diff)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	if w.Header().Get("Connection") != "close" || w.Code != http.StatusBadGateway {
		t.Errorf("while stopping: status %d, header %v", w.Code, w.Header())
	}
}

// TestCallerLeaves guards against work that goes on for a caller that is gone, and against an empty success for one that has only
// closed its side of the connection.
func TestCallerLeaves(t *testing.T) {
	r, q := newReceiver(nil)
	server := httptest.NewServer(r)
	defer server.Close()
	nc, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, err := nc.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	select {
	case id := <-q.cancelled:
		if id != 7 {
			t.Errorf("request %d is left, want 7", id)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request goes on")
	}
	_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	if answer, _ := io.ReadAll(nc); len(answer) > 0 {
		t.Errorf("the caller gets %q", answer)
	}
}

// TestIdler guards against callers that hold connections for longer than the manifest allows, and against the close of a connection in use.
func TestIdler(t *testing.T) {
	limits := forwarder.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	cases := []struct {
		name   string
		limits forwarder.Limits
		states []http.ConnState // two seconds after each other
		want   time.Duration    // of the close; 0 for none in the first minute
	}{
		{"no request", limits, []http.ConnState{http.StateNew}, 3 * time.Second},
		{"a long request", limits, []http.ConnState{http.StateNew, http.StateActive}, 0},
		{"idle", limits, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 22 * time.Second},
		{"used again", limits, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive}, 0},
		{"closed", limits, []http.ConnState{http.StateNew, http.StateClosed}, 0},
		{"without limits", forwarder.Limits{}, []http.ConnState{http.StateNew}, defaultHeaderTimeout},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			var i connTimeouts
			near, far := net.Pipe()
			began := time.Now()
			var closed time.Duration
			go func() {
				if _, err := far.Read(make([]byte, 1)); err != nil {
					closed = time.Since(began)
				}
			}()
			for _, s := range c.states {
				i.observe(near, s, c.limits)
				time.Sleep(2 * time.Second)
			}
			time.Sleep(time.Minute - time.Since(began))
			synctest.Wait()
			if closed != c.want {
				t.Errorf("%s: closed after %v, want %v", c.name, closed, c.want)
			}
			i.observe(near, http.StateClosed, c.limits)
			_ = near.Close()
			if len(i.timers) != 0 {
				t.Errorf("%s: %d timers are kept", c.name, len(i.timers))
			}
		})
	}
}
