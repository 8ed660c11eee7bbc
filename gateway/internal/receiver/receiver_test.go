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

// fakeDispatcher answers each request with its outcome. With a nil outcome it never answers.
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

// TestSizeLimits guards against oversized requests that reach an upstream, and against rejected requests that the manifest allows.
func TestSizeLimits(t *testing.T) {
	cases := []struct {
		name      string
		body      int // bytes
		header    int // bytes on the wire of the only field, whose name is "A", without a space before the value
		status    int
		submitted int
	}{
		{"at the limits", 100, 50, http.StatusServiceUnavailable, 1},
		{"body too large", 101, 50, http.StatusRequestEntityTooLarge, 0},
		{"header too large", 100, 51, http.StatusRequestHeaderFieldsTooLarge, 0},
	}
	for _, c := range cases {
		r, q := newReceiver(forwarder.Refused{Reason: forwarder.Busy, RetryAfter: time.Second})
		r.SetManifest(forwarder.NewManifest(1, nil, nil, forwarder.Limits{MaxHeaderBytes: 50, MaxBodyBytes: 100}))
		w := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", c.body)))
		request.Header.Set("A", strings.Repeat("x", c.header-len("A:\r\n")))
		r.ServeHTTP(w, request)
		if w.Code != c.status || len(q.bodies) != c.submitted {
			t.Errorf("%s: status %d, %d requests submitted", c.name, w.Code, len(q.bodies))
		}
	}
}

// TestReady guards against callers that are sent to a VM that has no manifest or upstreams yet, or that is shutting down.
func TestReady(t *testing.T) {
	r, _ := newReceiver(forwarder.Unknown{Reason: forwarder.Lost})
	var got []int
	probe := func() {
		w := httptest.NewRecorder()
		r.ServeReady(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		got = append(got, w.Code)
	}
	probe()
	r.SetManifest(forwarder.NewManifest(1, nil, nil, forwarder.Limits{}))
	probe()
	r.SetUpstreamsKnown()
	probe()
	r.StartShutdown()
	probe()
	if diff := cmp.Diff([]int{503, 503, 200, 503}, got); diff != "" {
		t.Errorf("status at the start, with a manifest, with upstreams, during shutdown (-want +got):\n%s", diff)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	if w.Header().Get("Connection") != "close" || w.Code != http.StatusBadGateway {
		t.Errorf("during shutdown: status %d, header %v", w.Code, w.Header())
	}
}

// TestCallerDisconnects guards against work that continues for a caller that has disconnected, and against an empty 200 response to a
// caller that has only closed its sending side of the connection.
func TestCallerDisconnects(t *testing.T) {
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
			t.Errorf("request %d is cancelled, want 7", id)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request is not cancelled")
	}
	_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	if answer, _ := io.ReadAll(nc); len(answer) > 0 {
		t.Errorf("the caller received %q", answer)
	}
}

// TestConnTimeouts guards against callers that hold connections for longer than the manifest allows, and against closing a connection
// that is in use.
func TestConnTimeouts(t *testing.T) {
	limits := forwarder.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	cases := []struct {
		name   string
		limits forwarder.Limits
		states []http.ConnState // one every two seconds
		want   time.Duration    // when the connection is closed; 0 if it is still open after a minute
	}{
		{"no request", limits, []http.ConnState{http.StateNew}, 3 * time.Second},
		{"long request", limits, []http.ConnState{http.StateNew, http.StateActive}, 0},
		{"idle", limits, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 22 * time.Second},
		{"used again", limits, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive}, 0},
		{"closed", limits, []http.ConnState{http.StateNew, http.StateClosed}, 0},
		{"without limits", forwarder.Limits{}, []http.ConnState{http.StateNew}, defaultHeaderTimeout},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			var ct connTimeouts
			server, client := net.Pipe()
			start := time.Now()
			var closed time.Duration
			go func() {
				if _, err := client.Read(make([]byte, 1)); err != nil {
					closed = time.Since(start)
				}
			}()
			for _, s := range c.states {
				ct.observe(server, s, c.limits)
				time.Sleep(2 * time.Second)
			}
			time.Sleep(time.Minute - time.Since(start))
			synctest.Wait()
			if closed != c.want {
				t.Errorf("%s: closed after %v, want %v", c.name, closed, c.want)
			}
			ct.observe(server, http.StateClosed, c.limits)
			_ = server.Close()
			if len(ct.timers) != 0 {
				t.Errorf("%s: %d timers remain", c.name, len(ct.timers))
			}
		})
	}
}
