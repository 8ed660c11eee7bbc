package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"

	"comfreyroute/core/coordination/router/tracer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/configloader"
	"comfreyroute/core/state/tabler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const searchBody = `{"service":"matching","query":"q"}`

func newCallBody(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return `{"service":"ledger","body":{},"key":"` + key.String() + `"}`
}

// TestShutdownInFlight guards against a graceful shutdown that interrupts a request, in each state that a request can be in.
func TestShutdownInFlight(t *testing.T) {
	cases := []struct {
		name  string
		path  string
		body  func(*testing.T) string
		setUp func(*fakePlatform) // runs before the request
		want  string
	}{
		{"search at an upstream", "/v1/search", func(*testing.T) string { return searchBody }, func(*fakePlatform) {}, `"outcome":"done"`},
		{"call at an upstream", "/v1/call", newCallBody, func(*fakePlatform) {}, `"result":"booked"`},
		{"call whose claim is being written", "/v1/call", newCallBody, func(p *fakePlatform) {
			p.gate, p.writing = make(chan struct{}), make(chan struct{}, 10)
		}, `"result":"booked"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTestDaemon(t, nil)
			c.setUp(s.platform)
			answers := s.post(context.Background(), c.path, c.body(t))
			if s.platform.gate != nil {
				<-s.platform.writing
			} else {
				<-s.upstream.running
			}
			s.signals <- os.Interrupt
			for s.status("/readyz") == http.StatusOK || !s.admissionClosed.Load() {
				time.Sleep(time.Millisecond)
			}
			if refused := <-s.post(context.Background(), "/v1/search", searchBody); !strings.Contains(refused, `"reason":"leaving"`) {
				t.Errorf("answer to a new request: %s, want reason leaving", refused)
			}
			if s.platform.gate != nil {
				close(s.platform.gate)
			}
			close(s.upstream.gate)
			if a := <-answers; !strings.Contains(a, c.want) {
				t.Errorf("answer to the request in flight: %s, want %s", a, c.want)
			}
			if err := <-s.ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}

// TestShutdownForced guards against a second signal that does not end the shutdown, and against a forced shutdown that reports no
// error although a request was lost.
func TestShutdownForced(t *testing.T) {
	s := startTestDaemon(t, func(x *configloader.Settings) { x.Shutdown.BalancerWait = time.Hour / 2 })
	answers := s.post(context.Background(), "/v1/search", searchBody)
	<-s.upstream.running
	s.signals <- os.Interrupt
	s.signals <- os.Interrupt
	if err := <-s.ended; err == nil || !strings.Contains(err.Error(), "second signal") {
		t.Errorf("shutdown: %v, want an error that names the second signal", err)
	}
	<-answers
}

// TestCallerGone guards against a sub-request that continues after the caller has disconnected.
func TestCallerGone(t *testing.T) {
	s := startTestDaemon(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	answers := s.post(ctx, "/v1/search", searchBody)
	<-s.upstream.running
	cancel()
	<-answers
	<-s.upstream.ended
	s.stop(t)
}

// TestFleet guards against VMs that do not discover each other, against a table edit that does not reach every VM, and against a
// ticket that does not run at its issuer or runs twice.
func TestFleet(t *testing.T) {
	a := startTestDaemon(t, nil)
	b := &testDaemon{platform: a.platform, upstream: a.upstream, address: a.address}
	b.launch(t, "wm", nil)
	close(a.upstream.gate)
	for _, s := range []*testDaemon{a, b} {
		for len(s.registrar.View().Members) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	revision := a.platform.put(tabler.Key("matching"), a.platform.items[tabler.Key("matching")].Value)
	for _, s := range []*testDaemon{a, b} {
		for s.table.Load().Revision("matching") != revision {
			time.Sleep(time.Millisecond)
		}
	}
	var issued encoder.TicketsAnswer
	if err := json.Unmarshal([]byte(<-a.post(context.Background(), "/v1/tickets", `{"service":"ledger","count":1}`)), &issued); err != nil {
		t.Fatal(err)
	}
	body := `{"service":"ledger","body":{},"ticket":"` + issued.Tickets[0] + `"}`
	for _, s := range []*testDaemon{b, a, b} {
		if got := <-s.post(context.Background(), "/v1/call", body); !strings.Contains(got, `"result":"booked"`) {
			t.Errorf("answer to a call with the ticket: %s, want result booked", got)
		}
	}
	if n := len(a.upstream.running); n != 1 {
		t.Errorf("the call ran %d times, want once", n)
	}
	b.stop(t)
	a.stop(t)
}

// TestTraceReplay guards against a trace of the daemon whose replay does not give the same decisions.
func TestTraceReplay(t *testing.T) {
	s := startTestDaemon(t, nil)
	close(s.upstream.gate)
	for range 20 {
		if a := <-s.post(context.Background(), "/v1/search", searchBody); !strings.Contains(a, `"outcome":"done"`) {
			t.Errorf("answer to a search: %s, want outcome done", a)
		}
		<-s.upstream.running
	}
	reply, err := s.client.Get("http://" + s.callerAddress.String() + "/admin/trace")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	steps, err := tracer.Replay(reply.Body)
	if err != nil || steps < 40 {
		t.Errorf("replayed %d steps, error %v; want at least an arrival and a reply for each of 20 searches", steps, err)
	}
	s.stop(t)
}
