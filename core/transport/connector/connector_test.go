package connector

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// holdConnection reads without replying until the connection is closed.
func holdConnection(nc net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, nc)
	return false
}

func newFailure(a router.AttemptID, f router.Failure, written bool) router.AttemptFailed {
	return router.AttemptFailed{Attempt: a, Failure: f, Written: written}
}

// TestSendEnds guards against an attempt that ends with the wrong failure, that does not end exactly once, or that is sent twice.
func TestSendEnds(t *testing.T) {
	cases := []struct {
		name   string
		sub    func(nc net.Conn, r *http.Request) bool
		silent func(int) bool
		want   any
		opened int // total of opened connections, including 2 at the start; -1 for any number
	}{
		{"reply", nil, nil, reducedReply{1, encoder.StatusOK}, 2},
		{"reply of another request", func(nc net.Conn, _ *http.Request) bool { return writeReply(nc, "vm-7-2") }, nil, newFailure(1, router.FailureMismatched, true), 3},
		{"reset", func(net.Conn, *http.Request) bool { return false }, nil, newFailure(1, router.FailureReset, true), 3},
		{"reset inside the reply", func(nc net.Conn, _ *http.Request) bool {
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"))
			return false
		}, nil, newFailure(1, router.FailureReset, true), 3},
		{"not HTTP", func(nc net.Conn, _ *http.Request) bool { _, _ = nc.Write([]byte("hello\r\n\r\n")); return false }, nil, newFailure(1, router.FailureInvalid, true), 3},
		{"unknown field", func(nc net.Conn, _ *http.Request) bool { return writeBody(nc, `{"request_id":"vm-7-1","more":1}`) }, nil, newFailure(1, router.FailureInvalid, true), 3},
		{"oversized", func(nc net.Conn, _ *http.Request) bool {
			return writeBody(nc, strings.Repeat(" ", encoder.MaxReplyBytes+1))
		}, nil, newFailure(1, router.FailureInvalid, true), 3},
		{"header without end", func(nc net.Conn, _ *http.Request) bool { return writeEndless(nc, "HTTP/1.1 200 OK\r\n", "X: y\r\n") },
			nil, newFailure(1, router.FailureInvalid, true), 3},
		{"chunks without end", func(nc net.Conn, _ *http.Request) bool {
			return writeEndless(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n")
		}, nil, newFailure(1, router.FailureInvalid, true), 3},
		{"one connection silent", nil, func(n int) bool { return n == 1 }, newFailure(1, router.FailureUnresponsive, true), 3},
		{"all old connections silent", nil, func(n int) bool { return n < 2 }, newFailure(1, router.FailureUnresponsive, true), 4},
		{"slow reply on a suspect connection", func(nc net.Conn, r *http.Request) bool {
			time.Sleep(900 * time.Millisecond)
			return writeReply(nc, r.Header.Get(encoder.HeaderRequestID))
		}, nil, reducedReply{1, encoder.StatusOK}, 2},
		{"upstream silent", holdConnection, func(int) bool { return true }, newFailure(1, router.FailureTimeout, true), -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeUpstream{}
			runWithPool(t, f, 2, func(t *testing.T, b *fixture) {
				f.mu.Lock()
				f.handleSub, f.silent = c.sub, c.silent
				f.mu.Unlock()
				if ev := b.Do(newSend(1, time.Second)); ev != nil {
					t.Fatalf("Do returned the end of the attempt: %+v", ev)
				}
				time.Sleep(2 * time.Second)
				if diff := cmp.Diff([]any{c.want}, b.attemptEnds()); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]string{"vm-7-1"}, f.subs); diff != "" {
					t.Errorf("sub-requests that reached the upstream (-want +got):\n%s", diff)
				}
				if c.opened >= 0 && f.opened != c.opened {
					t.Errorf("%d connections were opened, want %d", f.opened, c.opened)
				}
				if f.maxOpen > 2 {
					t.Errorf("%d connections were open at once, the limit is 2", f.maxOpen)
				}
			})
		})
	}
}

// TestReplyWithAnotherStatus guards against a reply in which a status other than 200 shows that the upstream is in trouble, and which is taken for an
// answer because its body looks like one.
func TestReplyWithAnotherStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "1000", "600", "999", "500", "204"} {
		f := &fakeUpstream{}
		runWithPool(t, f, 1, func(t *testing.T, b *fixture) {
			f.mu.Lock()
			f.handleSub = func(nc net.Conn, _ *http.Request) bool {
				const body = `{"request_id":"vm-7-1","upstream":"u","status":"ok"}`
				_, err := fmt.Fprintf(nc, "HTTP/1.1 %s OK\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				return err == nil
			}
			f.mu.Unlock()
			b.Do(newSend(1, time.Second))
			time.Sleep(2 * time.Second)
			if diff := cmp.Diff([]any{newFailure(1, router.FailureInvalid, true)}, b.attemptEnds()); diff != "" {
				t.Errorf("status %s: ends (-want +got):\n%s", status, diff)
			}
		})
	}
}

// writeEndless writes a start and then a text until the connection is closed.
func writeEndless(nc net.Conn, start, text string) bool {
	b := []byte(start + strings.Repeat(text, 1000))
	for {
		if _, err := nc.Write(b); err != nil {
			return false
		}
		b = []byte(strings.Repeat(text, 1000))
	}
}

// TestSendHeaders guards against a sub-request without a header that upstreams rely on.
func TestSendHeaders(t *testing.T) {
	f := &fakeUpstream{}
	runWithPool(t, f, 1, func(t *testing.T, b *fixture) {
		b.Do(newSend(5, 1500*time.Millisecond))
		b.drainEvents()
		want := http.Header{
			encoder.HeaderRequestID: {"vm-7-5"}, encoder.HeaderDeadlineMS: {"1500"}, encoder.HeaderIndexVersion: {"3"},
			encoder.HeaderCaller: {"c"}, encoder.HeaderFailureDomain: {"d1"}, "Content-Type": {"application/json"},
			"Content-Length": {"43"},
		}
		if diff := cmp.Diff(want, f.lastSub); diff != "" {
			t.Errorf("headers (-want +got):\n%s", diff)
		}
	})
}

// TestUnsent guards against a request that is written although its deadline has passed or its connection is closed, and against
// reporting such a request as written.
func TestUnsent(t *testing.T) {
	cases := []struct {
		name    string
		before  func(b *fixture)
		allowed time.Duration
		want    any
	}{
		{"deadline", func(*fixture) {}, -time.Millisecond, newFailure(1, router.FailureTimeout, false)},
		{"closed while idle", func(b *fixture) {
			for _, nc := range b.fake.conns {
				_ = nc.Close()
			}
		}, time.Second, newFailure(1, router.FailureNoConnection, false)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeUpstream{}
			runWithPool(t, f, 2, func(t *testing.T, b *fixture) {
				f.mu.Lock()
				f.refuse = true
				f.mu.Unlock()
				c.before(b)
				ev := b.Do(newSend(1, c.allowed))
				ends := b.attemptEnds()
				if ev != nil {
					ends = append(ends, ev)
				}
				if diff := cmp.Diff([]any{c.want}, ends); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if len(f.subs) > 0 {
					t.Errorf("the upstream received %v, want nothing", f.subs)
				}
			})
		})
	}
}

// TestCancel guards against a cancelled request that keeps its connection or the upstream busy.
func TestCancel(t *testing.T) {
	cases := []struct {
		name        string
		connections int
		sub         func(nc net.Conn, r *http.Request) bool
		want        any
		cancels     int
		opened      int
	}{
		{"reply in time", 2, func(nc net.Conn, r *http.Request) bool {
			time.Sleep(20 * time.Millisecond)
			return writeReply(nc, r.Header.Get(encoder.HeaderRequestID))
		}, reducedReply{1, encoder.StatusOK}, 1, 2},
		{"no reply", 2, holdConnection, newFailure(1, router.FailureCancelled, true), 1, 3},
		{"no idle connection", 1, holdConnection, newFailure(1, router.FailureCancelled, true), 0, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeUpstream{handleSub: c.sub}
			runWithPool(t, f, c.connections, func(t *testing.T, b *fixture) {
				b.Do(newSend(1, 10*time.Second))
				time.Sleep(10 * time.Millisecond)
				b.Do(router.Cancel{Attempt: 1, Upstream: "u"})
				time.Sleep(time.Second)
				if diff := cmp.Diff([]any{c.want}, b.attemptEnds()); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if len(f.cancels) != c.cancels || c.cancels > 0 && f.cancels[0] != `{"request_id":"vm-7-1"}` {
					t.Errorf("cancels are %v, want %d", f.cancels, c.cancels)
				}
				if f.opened != c.opened || f.maxOpen > c.connections {
					t.Errorf("%d connections were opened, %d at once, want %d and at most %d", f.opened, f.maxOpen, c.opened, c.connections)
				}
			})
		})
	}
}

// TestPool guards against connections that are opened in a burst or beyond the limit, and against a pool that keeps its
// connections after its limit was lowered.
func TestPool(t *testing.T) {
	f := &fakeUpstream{}
	runWithPool(t, f, 4, func(t *testing.T, b *fixture) {
		for i := 1; i < len(f.openedAt); i++ {
			if gap := f.openedAt[i].Sub(f.openedAt[i-1]); gap < 5*time.Millisecond {
				t.Errorf("connection %d was opened %s after the one before, want 5ms or more", i, gap)
			}
		}
		b.Do(router.Probe{Service: "s", Upstream: "u", Address: address})
		time.Sleep(100 * time.Millisecond)
		b.drainEvents()
		if f.open != 4 || f.maxOpen != 4 {
			t.Errorf("%d connections are open, at most %d were, want 4", f.open, f.maxOpen)
		}
		b.Do(router.Pool{Service: "s", Upstream: "u", Address: address, Connections: 1})
		b.drainEvents()
		if f.open != 1 {
			t.Errorf("%d connections are open after the pool shrank to 1", f.open)
		}
	})
}

// TestIdleCall guards against a call that is written to a connection that became silent while it was idle.
func TestIdleCall(t *testing.T) {
	f := &fakeUpstream{}
	runWithPool(t, f, 2, func(t *testing.T, b *fixture) {
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		f.silent = func(n int) bool { return n == 1 } // the most recently used connection, which is used next
		f.mu.Unlock()
		s := newSend(1, time.Second)
		s.Kind = encoder.SubCall
		b.Do(s)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]any{reducedReply{1, encoder.StatusOK}}, b.attemptEnds()); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if len(f.subs) != 1 {
			t.Errorf("the upstream received %v, want one call", f.subs)
		}
	})
}

// TestIdleSilent guards against an idle connection that became silent and is found only by a request that is lost on it.
func TestIdleSilent(t *testing.T) {
	f := &fakeUpstream{}
	runWithPool(t, f, 2, func(t *testing.T, b *fixture) {
		f.mu.Lock()
		f.silent = func(n int) bool { return n < 2 }
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		b.drainEvents()
		b.Do(newSend(1, 50*time.Millisecond))
		time.Sleep(time.Second)
		if diff := cmp.Diff([]any{reducedReply{1, encoder.StatusOK}}, b.attemptEnds()); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if f.maxOpen > 2 {
			t.Errorf("%d connections were open at once, the limit is 2", f.maxOpen)
		}
	})
}

// TestSendDuringPing guards against a request that is refused because the only connection is being pinged, and against a request
// that is lost with a silent connection while it waits for the reply to a ping on it.
func TestSendDuringPing(t *testing.T) {
	for _, silent := range []bool{false, true} {
		f := &fakeUpstream{}
		runWithPool(t, f, 1, func(t *testing.T, b *fixture) {
			f.mu.Lock()
			f.silent = func(n int) bool { return silent && n == 0 }
			f.mu.Unlock()
			b.Do(router.Probe{Service: "s", Upstream: "u", Address: address})
			b.Do(newSend(1, time.Second))
			time.Sleep(time.Second)
			want := []any{reducedReply{1, encoder.StatusOK}}
			if silent {
				want = []any{newFailure(1, router.FailureNoConnection, false)} // there is no other connection when this one is closed
			}
			if diff := cmp.Diff(want, b.attemptEnds()); diff != "" {
				t.Errorf("silent %v: ends (-want +got):\n%s", silent, diff)
			}
		})
	}
}

// TestPause guards against closing the connections to an upstream that is paused for a short time: all its pings are late, and
// it answers them after the pause.
func TestPause(t *testing.T) {
	f := &fakeUpstream{}
	runWithPool(t, f, 4, func(t *testing.T, b *fixture) {
		paused := make(chan struct{})
		f.mu.Lock()
		f.paused = paused
		f.mu.Unlock()
		time.Sleep(idlePingInterval + maintainInterval + 2*pingTimeout/3) // the pings of idle connections are sent during the pause
		close(paused)
		time.Sleep(time.Second)
		b.drainEvents()
		if f.pings < 8 {
			t.Errorf("%d pings were answered, want at least 8: one when each connection was opened and one sent during the pause", f.pings)
		}
		if f.opened > 5 || f.open != 4 {
			t.Errorf("%d connections were opened and %d are open, want at most 5 and 4", f.opened, f.open)
		}
	})
}
