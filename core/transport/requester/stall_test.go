package requester

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// dialSmall opens a connection that holds few bytes which the other side has not read.
func dialSmall(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address.String())
	if err == nil {
		err = nc.(*net.TCPConn).SetWriteBuffer(64 << 10)
	}
	return nc, err
}

// newEarlyUpstream returns an upstream that reads the first bytes of a connection only, and replies when it is told to: as a server that has rejected a
// long request.
func newEarlyUpstream(t *testing.T) (u *fakeUpstream, reply chan<- struct{}) {
	t.Helper()
	told := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u = &fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String()), accepted: make(chan net.Conn, 16), listener: l}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted <- nc
			t.Cleanup(func() { _ = nc.Close() })
			go func() {
				_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
				if _, err := bufio.NewReaderSize(nc, 16).ReadByte(); err != nil {
					return
				}
				for range told {
					if _, err := nc.Write([]byte("early\n")); err != nil {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		close(told)
	})
	return u, told
}

// TestRequestAfterEarlyReply guards against a request that is sent behind the bytes of a long one which the upstream has answered and not read.
func TestRequestAfterEarlyReply(t *testing.T) {
	h := newHarness(t)
	u, reply := newEarlyUpstream(t)
	h.send(u, "/long", func(s *forwarder.Send) { s.Message.Body = []byte(strings.Repeat("x", 40<<10)) })
	reply <- struct{}{}
	if got := h.result(); got != "early" {
		t.Fatalf("result %q of the long request", got)
	}
	<-u.accepted
	h.send(u, "/short", nil)
	select {
	case <-u.accepted:
	case <-time.After(2 * time.Second):
		t.Error("the next request uses the connection on which bytes of the long one are unread")
	}
}

// isWriting reports whether bytes of a request wait for an upstream that does not read.
func (h *harness) isWriting() bool {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	for _, j := range h.client.attempts {
		if j.conn != nil && j.conn.isWriting() {
			return true
		}
	}
	return false
}

// TestSendNeverBlocks guards against a whole VM that waits, with the driver's lock held, for an upstream that replies and does not read.
func TestSendNeverBlocks(t *testing.T) {
	h := newHarness(t)
	u, reply := newEarlyUpstream(t)
	h.client.Dial = dialSmall
	body := []byte(strings.Repeat("x", maxInlineBytes-100))
	for k := range 100 {
		began := time.Now()
		h.send(u, "/short", func(s *forwarder.Send) {
			s.Message.Body, s.MaxConnections, s.Deadline = body, 1, time.Now().Add(time.Second)
		})
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Fatalf("send %d blocked for %v", k, took)
		}
		if h.isWriting() {
			return // the connection is full, and the rest of the request waits without blocking anybody
		}
		reply <- struct{}{}
		if got := h.result(); got != "early" {
			t.Fatalf("result %q of send %d", got, k)
		}
	}
	t.Errorf("the connection never was full: %d connections", len(u.accepted))
}

// TestRequestAfterSlowWrite guards against a connection that takes no further request because the deadline of an earlier one, which had to wait for the upstream
// to read, has passed.
func TestRequestAfterSlowWrite(t *testing.T) {
	h, full, answered := newHarness(t), make(chan struct{}), make(chan struct{})
	u := newBegunUpstream(t, 1, func(nc *net.TCPConn) {
		<-full
		r := bufio.NewReader(nc)
		for {
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
			if _, err := nc.Write([]byte("x\n")); err != nil {
				return
			}
			<-answered
		}
	})
	h.client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		nc, err := dialSmall(ctx, address)
		if err == nil {
			err = nc.(*net.TCPConn).SetWriteBuffer(2 << 10) // less than a request
		}
		return nc, err
	}
	const patience = 300 * time.Millisecond
	deadline := time.Now().Add(patience)
	body := []byte(strings.Repeat("x", maxInlineBytes-100))
	h.send(u, "/first", func(s *forwarder.Send) { s.Message.Body, s.Deadline = body, deadline })
	for end := time.Now().Add(patience / 3); !h.isWriting(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is not full")
		}
	}
	close(full)
	if got := h.result(); got != "x" {
		t.Fatalf("result %q of the first request", got)
	}
	answered <- struct{}{}
	time.Sleep(time.Until(deadline.Add(20 * time.Millisecond)))
	h.send(u, "/second", nil)
	if got := h.result(); got != "x" || h.client.Counts.Opened.Load() != 1 {
		t.Errorf("result %q over %d connections, want that of the first one", got, h.client.Counts.Opened.Load())
	}
	close(answered)
}

// TestDeadlineDuringWrite guards against an upstream that is taken for one that resets connections, as a crash does, because the deadline of a request has passed while it
// was being written.
func TestDeadlineDuringWrite(t *testing.T) {
	h := newHarness(t)
	u := newBegunUpstream(t, 1, func(*net.TCPConn) {})
	h.client.Dial = dialSmall
	h.send(u, "/", func(s *forwarder.Send) {
		s.Message.Body, s.Deadline = make([]byte, longBytes), time.Now().Add(50*time.Millisecond)
	})
	if got := h.result(); got != "timed_out written" {
		t.Errorf("result %q, want timed_out written", got)
	}
}
