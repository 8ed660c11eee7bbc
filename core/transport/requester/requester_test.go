package requester

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lineProtocol is a line protocol: a request is the path and the body, and a reply is one word.
type lineProtocol struct{}

func (lineProtocol) AppendRequest(b []byte, s *forwarder.Send, _ time.Duration) []byte {
	b = append(b, s.Message.Path...)
	b = append(b, s.Message.Body...)
	return append(b, '\n')
}

func (lineProtocol) ReadReply(r *bounder.Reader, _ *forwarder.Send) (Response, error) {
	text, err := r.ReadString('\n')
	if err != nil {
		return Response{}, err
	}
	text = strings.TrimSpace(text)
	if text == "mismatched" {
		return Response{}, ErrMismatched
	}
	return Response{Reply: &forwarder.Reply{Status: 200, Body: []byte(text)}, Identified: strings.HasPrefix(text, "id:"), KeepAlive: text != "close"}, nil
}

// fakeUpstream replies to each line with the result of a handler. It does not reply when the result is "".
type fakeUpstream struct {
	address  netip.AddrPort
	accepted chan net.Conn
	listener net.Listener
}

func newFakeUpstream(t testing.TB, handle func(line string) string) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String()), accepted: make(chan net.Conn, 16), listener: l}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted <- nc
			go func() {
				defer func() { _ = nc.Close() }()
				for r := bufio.NewReader(nc); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if answer := handle(strings.TrimSpace(line)); answer != "" {
						if _, err := nc.Write([]byte(answer + "\n")); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return u
}

type harness struct {
	t      *testing.T
	client Client
	events chan forwarder.Result
	next   forwarder.AttemptID
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, events: make(chan forwarder.Result, 16)}
	h.client.Protocol = lineProtocol{}
	h.client.Report = func(_ *forwarder.Send, r forwarder.Result) { h.events <- r }
	t.Cleanup(h.client.Close)
	return h
}

// send starts a request and returns the event that Do returns.
func (h *harness) send(u *fakeUpstream, path string, change func(*forwarder.Send)) forwarder.Event {
	h.next++
	s := forwarder.Send{
		Attempt: h.next, Upstream: "u", Address: u.address, Message: &forwarder.Message{Path: path}, Deadline: time.Now().Add(2 * time.Second),
		MaxConnections: 2,
	}
	if change != nil {
		change(&s)
	}
	return h.client.Do(s)
}

// result waits for the end of an attempt and returns the body of its reply, or its failure.
func (h *harness) result() string {
	h.t.Helper()
	select {
	case e := <-h.events:
		switch r := e.(type) {
		case forwarder.Replied:
			return string(r.Reply.Body)
		case forwarder.Failed:
			if r.Written {
				return r.Failure.String() + " written"
			}
			return r.Failure.String()
		}
	case <-time.After(5 * time.Second):
		h.t.Fatal("the attempt did not end within 5 s")
	}
	return ""
}

func echo(line string) string { return line }

// TestConnectionsAreReused guards against a new connection for each request, and against reuse of a connection after a reply that
// announced its close, was followed by extra bytes or belonged to another request.
func TestConnectionsAreReused(t *testing.T) {
	cases := []struct {
		name    string
		answers []string // to the requests, in turn
		want    []string
		opened  uint64
	}{
		{"kept", []string{"a", "b", "c"}, []string{"a", "b", "c"}, 1},
		{"closed", []string{"close", "b"}, []string{"close", "b"}, 2},
		{"extra bytes", []string{"a\nextra", "b"}, []string{"a", "b"}, 2},
		{"mismatched", []string{"mismatched", "b"}, []string{"mismatched written", "b"}, 2},
	}
	for _, c := range cases {
		h := newHarness(t)
		answers := c.answers
		u := newFakeUpstream(t, func(string) string {
			a := answers[0]
			answers = answers[1:]
			return a
		})
		var got []string
		for range c.answers {
			if ev := h.send(u, "x", nil); ev != nil {
				t.Fatalf("%s: %+v", c.name, ev)
			}
			got = append(got, h.result())
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		if n := h.client.Counts.Opened.Load(); n != c.opened {
			t.Errorf("%s: %d connections opened, want %d", c.name, n, c.opened)
		}
	}
}

// TestLateCopies guards against a second copy of a reply that is taken for the reply to the next request on its connection: one that names
// no request, and one that arrives in pieces while the connection is idle. A copy that names another request is mismatched in any case.
func TestLateCopies(t *testing.T) {
	cases := []struct {
		name   string
		answer []string // to the requests, in turn
		late   []string // pieces that follow while the connection is idle
		want   []string
		opened uint64
	}{
		{"identified replies", []string{"id:a", "id:b"}, nil, []string{"id:a", "id:b"}, 1},
		{"the second one names no request", []string{"id:a", "copy"}, nil, []string{"id:a", "mismatched written"}, 1},
		{"none names a request", []string{"a", "b"}, nil, []string{"a", "b"}, 1},
		{"in pieces", []string{"id:a", "id:b"}, []string{"i", "d:a"}, []string{"id:a", "id:b"}, 2},
	}
	for _, c := range cases {
		h := newHarness(t)
		answers := c.answer
		u := newFakeUpstream(t, func(string) string {
			a := answers[0]
			answers = answers[1:]
			return a
		})
		var got []string
		for k := range c.answer {
			h.send(u, "x", nil)
			got = append(got, h.result())
			if k > 0 || c.late == nil {
				continue
			}
			nc := <-u.accepted
			for _, piece := range c.late {
				if _, err := nc.Write([]byte(piece)); err != nil {
					break // the client has closed the connection after the first piece
				}
				h.awaitClosed()
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		if n := h.client.Counts.Opened.Load(); n != c.opened {
			t.Errorf("%s: %d connections opened, want %d", c.name, n, c.opened)
		}
	}
}

// awaitClosed waits until the client has no open connections to the fake upstream.
func (h *harness) awaitClosed() {
	for range 500 {
		h.client.mu.Lock()
		open := h.client.pools["u"].open
		h.client.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Error("the connection is still open after 5 s")
}

// TestCopyBeforeWrite guards against a late copy that arrives between the choice of an idle connection and the write of the next request.
func TestCopyBeforeWrite(t *testing.T) {
	h := newHarness(t)
	u := newFakeUpstream(t, func(string) string { return "id:a" })
	h.send(u, "x", nil)
	h.result()
	nc := <-u.accepted
	// The lock keeps the reader of the connection from seeing the copy before the connection has its next request, which is never written.
	h.client.mu.Lock()
	if _, err := nc.Write([]byte("id:a\n")); err != nil {
		t.Fatal(err)
	}
	n := h.client.pools["u"].takeIdle(false)
	j := &job{send: &forwarder.Send{Attempt: 2, Upstream: "u", Address: u.address, Deadline: time.Now().Add(time.Second)}}
	h.client.attempts[2] = j
	n.start(j)
	h.client.mu.Unlock()
	if got := h.result(); got != "mismatched" {
		t.Errorf("result %s, want mismatched: nothing of the request was written before these bytes", got)
	}
	j.send.Message = &forwarder.Message{Path: "late"}
	h.client.writeRequest(n, j)
	if got := j.accepted; got != 0 {
		t.Errorf("the connection accepted %d bytes after the report that nothing was written", got)
	}
}

// TestLimit guards against opening more connections than an upstream accepts.
func TestLimit(t *testing.T) {
	h := newHarness(t)
	u := newFakeUpstream(t, func(string) string { return "" })
	for range 2 {
		if ev := h.send(u, "x", nil); ev != nil {
			t.Fatalf("%+v", ev)
		}
	}
	want := forwarder.AttemptEnded{Attempt: 3, Result: forwarder.Failed{Failure: forwarder.NoConnection}}
	if diff := cmp.Diff(forwarder.Event(want), h.send(u, "x", nil)); diff != "" {
		t.Errorf("third request (-want +got):\n%s", diff)
	}
}

// TestCancel guards against a cancelled request that the upstream keeps working on because its connection was not closed.
func TestCancel(t *testing.T) {
	h := newHarness(t)
	received := make(chan struct{})
	u := newFakeUpstream(t, func(string) string { close(received); return "" })
	h.send(u, "x", nil)
	nc := <-u.accepted
	<-received
	h.client.Do(forwarder.Cancel{Attempt: 1})
	if got := h.result(); got != "cancelled written" {
		t.Errorf("result %s", got)
	}
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	for b := make([]byte, 16); ; {
		if _, err := nc.Read(b); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				t.Error("the connection stays open")
			}
			return
		}
	}
}

// TestLinger guards against a suspect of which nobody learns what became of it, because its attempt ends at its deadline or with its caller.
func TestLinger(t *testing.T) {
	linger := func(s *forwarder.Send) { s.Deadline, s.Linger = time.Now().Add(20*time.Millisecond), 5*time.Second }
	cases := []struct {
		name   string
		cancel bool
		crash  bool
		want   string
	}{
		{"reply after the deadline", false, false, "x"},
		{"reply after the caller has left", true, false, "x"},
		{"crash after the deadline", false, true, "reset written"},
		{"crash after the caller has left", true, true, "reset written"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			received, end := make(chan struct{}), make(chan struct{})
			u := newFakeUpstream(t, func(line string) string {
				close(received)
				<-end
				return line
			})
			h.send(u, "x", linger)
			nc := <-u.accepted
			<-received
			if c.cancel {
				h.client.Do(forwarder.Cancel{Attempt: 1})
			}
			time.Sleep(2 * replyGrace) // past the end of any other attempt
			if c.crash {
				_ = nc.(*net.TCPConn).SetLinger(0)
				_ = nc.Close()
			}
			close(end)
			if got := h.result(); got != c.want {
				t.Errorf("result %s, want %s", got, c.want)
			}
		})
	}
	t.Run("caller leaves before the connection is open", func(t *testing.T) {
		h := newHarness(t)
		opened := make(chan struct{})
		h.client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			<-opened
			return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		}
		u := newFakeUpstream(t, echo)
		h.send(u, "x", func(s *forwarder.Send) { s.Linger = time.Second })
		h.client.Do(forwarder.Cancel{Attempt: 1})
		close(opened)
		if got := h.result(); got != "cancelled" {
			t.Errorf("result %s, want cancelled", got)
		}
	})
}

// TestFailures guards against a failure that is taken for another one. Only a request of which no byte was written can be sent
// to another upstream without being counted as an attempt.
func TestFailures(t *testing.T) {
	silent := newFakeUpstream(t, func(string) string { return "" })
	closed := newFakeUpstream(t, echo)
	_ = closed.listener.Close()
	cases := []struct {
		name string
		to   *fakeUpstream
		want string
	}{
		{"no answer", silent, "timed_out written"},
		{"nothing listens", closed, "unreachable"},
	}
	for _, c := range cases {
		h := newHarness(t)
		h.send(c.to, "x", func(s *forwarder.Send) { s.Deadline = time.Now().Add(50 * time.Millisecond) })
		if got := h.result(); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// TestRejectedConnection guards against counting a connection that the upstream rejected because of its limit as a failed
// attempt, and against a request that may have run being reported as one that cannot have run.
func TestRejectedConnection(t *testing.T) {
	const roundTrip = 3 * time.Millisecond
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	cases := []struct {
		name string
		err  error
		used bool
		age  time.Duration
		want bool
	}{
		{"reset at once", reset, false, roundTrip, true},
		{"reset after some work", reset, false, 2 * roundTrip, false},
		{"reset after a reply", reset, true, roundTrip, false},
		{"orderly close", io.EOF, false, roundTrip, false},
		{"no error", nil, false, roundTrip, false},
	}
	for _, c := range cases {
		if got := isRejectedConn(c.err, c.used, c.age, roundTrip); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
	late := newFakeUpstream(t, func(string) string { return "" })
	go func() {
		nc := <-late.accepted
		time.Sleep(50 * time.Millisecond)
		if err := nc.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
		_ = nc.Close()
	}()
	h := newHarness(t)
	h.send(late, "x", nil)
	if got := h.result(); got != "reset written" {
		t.Errorf("result of a reset after 50 ms is %s, want reset written", got)
	}
}

// TestSlowConnect guards against a request that waits for a connection to a silent host, against a request that is written after the
// attempt was reported as unwritten, against losing the connection that opens later, and against blaming the host when this VM is late.
func TestSlowConnect(t *testing.T) {
	received := make(chan string, 4)
	u := newFakeUpstream(t, func(line string) string { received <- line; return line })
	other := newFakeUpstream(t, echo)
	h := newHarness(t)
	open := make(chan struct{})
	h.client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		if address == u.address {
			<-open
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address.String())
	}
	h.send(u, "first", func(s *forwarder.Send) { s.ConnectBy = time.Now().Add(10 * time.Millisecond) })
	select {
	case e := <-h.events:
		t.Errorf("%+v although no other attempt shows that this VM is not behind", e)
	case <-time.After(50 * time.Millisecond):
	}
	h.send(other, "other", func(s *forwarder.Send) { s.Upstream = "other" })
	results := []string{h.result(), h.result()}
	slices.Sort(results)
	if diff := cmp.Diff([]string{"other", "slow_connect"}, results); diff != "" {
		t.Errorf("results of the other attempt and of the slow connect, which is not written (-want +got):\n%s", diff)
	}
	close(open)
	for range 500 {
		h.client.mu.Lock()
		idle := len(h.client.pools["u"].idle)
		h.client.mu.Unlock()
		if idle > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.send(u, "second", nil)
	if diff := cmp.Diff([]string{"second", "second"}, []string{h.result(), <-received}); diff != "" {
		t.Errorf("result and received request (-want +got):\n%s", diff)
	}
	if n := h.client.Counts.Opened.Load(); n != 2 {
		t.Errorf("%d connections opened, want 2", n)
	}
}

// TestCloseDuringConnect guards against a connection that opens while the client is closed and stays open.
func TestCloseDuringConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	u := &fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String())}
	h := newHarness(t)
	dialing, open := make(chan struct{}), make(chan struct{})
	h.client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		close(dialing)
		<-open
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address.String())
	}
	h.send(u, "x", nil)
	<-dialing
	h.client.Close()
	close(open)
	if got := h.result(); got != "cancelled" {
		t.Errorf("result %s", got)
	}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading the connection returns %v, want its end", err)
	}
}

// TestClosedWhileIdle guards against sending a request on a connection that the upstream has closed.
func TestClosedWhileIdle(t *testing.T) {
	h := newHarness(t)
	u := newFakeUpstream(t, echo)
	h.send(u, "a", nil)
	h.result()
	_ = (<-u.accepted).Close()
	h.awaitClosed()
	h.send(u, "b", nil)
	if got := h.result(); got != "b" {
		t.Errorf("result %s", got)
	}
}

// TestRecentlyActive guards against sending a request that must run at most once on a connection that may be dead.
func TestRecentlyActive(t *testing.T) {
	h := newHarness(t)
	u := newFakeUpstream(t, echo)
	h.send(u, "a", nil)
	h.result()
	h.client.mu.Lock()
	h.client.pools["u"].idle[0].idleSince = time.Now().Add(-2 * maxRecentIdle)
	h.client.mu.Unlock()
	for range 2 {
		h.send(u, "b", func(s *forwarder.Send) { s.RecentlyActive, s.MaxConnections = true, 1 })
		if got := h.result(); got != "b" {
			t.Errorf("result %s", got)
		}
	}
	if n := h.client.Counts.Opened.Load(); n != 2 {
		t.Errorf("%d connections opened, want 2", n)
	}
}

// TestRetire guards against keeping connections open to an upstream that gets no new requests.
func TestRetire(t *testing.T) {
	h := newHarness(t)
	u := newFakeUpstream(t, echo)
	h.send(u, "a", nil)
	h.result()
	nc := <-u.accepted
	h.client.Do(forwarder.Retire{Upstream: "u"})
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := nc.Read(make([]byte, 1)); err == nil {
		t.Error("the connection received more data, want it closed")
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Error("the connection stays open")
	}
}

// TestEarlyAnswer guards against sending another request on a connection while the rest of a long request is still being written.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	u := &fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String())}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		nc, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = nc.Write([]byte("early\n"))
		time.Sleep(50 * time.Millisecond)
		_ = nc.Close()
	}()
	h := newHarness(t)
	h.send(u, "x", func(s *forwarder.Send) { s.Message.Body = make([]byte, 16<<20) })
	if got := h.result(); got != "early" {
		t.Errorf("result %s", got)
	}
	h.client.mu.Lock()
	idle := len(h.client.pools["u"].idle)
	h.client.mu.Unlock()
	if idle != 0 {
		t.Error("the connection is idle, want it closed")
	}
	<-ended
}

// TestProbe guards against a probe whose connection is lost or exceeds the share of this VM, and against one without a report.
func TestProbe(t *testing.T) {
	h, reports := newHarness(t), make(chan forwarder.ProbeEnded, 1)
	h.client.ReportProbe = func(e forwarder.ProbeEnded) { reports <- e }
	u := newFakeUpstream(t, echo)
	probe := func(address netip.AddrPort) bool {
		h.client.Do(forwarder.Probe{Upstream: "u", Address: address, Deadline: time.Now().Add(time.Second), MaxConnections: 1})
		return (<-reports).Connected
	}
	if !probe(u.address) {
		t.Fatal("the probe of a running upstream fails")
	}
	<-u.accepted
	h.send(u, "a", func(s *forwarder.Send) { s.MaxConnections = 1 })
	if got := h.result(); got != "a" || h.client.Counts.Opened.Load() != 1 {
		t.Errorf("result %q over %d connections, want the one of the probe", got, h.client.Counts.Opened.Load())
	}
	if !probe(u.address) {
		t.Error("the second probe fails")
	}
	extra := <-u.accepted
	_ = extra.SetReadDeadline(time.Now().Add(5 * time.Second))
	// The fake closes its side once it has read the end of the connection.
	if _, err := extra.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		t.Errorf("reading a connection beyond the share ends with %v, want its end", err)
	}
	_ = u.listener.Close()
	if probe(u.address) {
		t.Error("the probe of a stopped upstream succeeds")
	}
}

// TestPeerThatDoesNotAnswerAConnect guards against a request that waits for a peer without power while others could serve it.
func TestPeerThatDoesNotAnswerAConnect(t *testing.T) {
	h := newHarness(t)
	h.client.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.send(&fakeUpstream{address: netip.MustParseAddrPort("127.0.0.1:1")}, "a", func(s *forwarder.Send) {
		s.Detour, s.ConnectBy, s.Deadline = &forwarder.Detour{}, time.Now().Add(20*time.Millisecond), time.Now().Add(300*time.Millisecond)
	})
	if got := h.result(); got != forwarder.SlowConnect.String() {
		t.Errorf("result %q, want %v", got, forwarder.SlowConnect)
	}
}
