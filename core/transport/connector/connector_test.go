package connector

import (
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

// hold answers nothing until the connection is closed.
func hold(nc net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, nc)
	return false
}

func failed(a router.AttemptID, f router.Failure, written bool) router.AttemptFailed {
	return router.AttemptFailed{Attempt: a, Failure: f, Written: written}
}

// TestSendEnds guards against an attempt that ends with the wrong failure, ends twice or never, or is sent twice.
func TestSendEnds(t *testing.T) {
	cases := []struct {
		name string
		sub  func(nc net.Conn, r *http.Request) bool
		mute func(int) bool
		want any
		open int // connections that were opened in all, 2 at the start
	}{
		{"reply", nil, nil, arrived{1, encoder.StatusOK}, 2},
		{"reply of another request", func(nc net.Conn, _ *http.Request) bool { return reply(nc, "vm-7-2") }, nil, failed(1, router.FailureMismatched, true), 3},
		{"reset", func(net.Conn, *http.Request) bool { return false }, nil, failed(1, router.FailureReset, true), 3},
		{"reset inside the reply", func(nc net.Conn, _ *http.Request) bool {
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"))
			return false
		}, nil, failed(1, router.FailureReset, true), 3},
		{"no HTTP", func(nc net.Conn, _ *http.Request) bool { _, _ = nc.Write([]byte("hello\r\n\r\n")); return false }, nil, failed(1, router.FailureInvalid, true), 3},
		{"unknown field", func(nc net.Conn, _ *http.Request) bool { return text(nc, `{"request_id":"vm-7-1","more":1}`) }, nil, failed(1, router.FailureInvalid, true), 3},
		{"oversized", func(nc net.Conn, _ *http.Request) bool { return text(nc, strings.Repeat(" ", encoder.MaxReplyBytes+1)) }, nil, failed(1, router.FailureInvalid, true), 3},
		{"one connection silent", nil, func(n int) bool { return n == 1 }, failed(1, router.FailureUnresponsive, true), 3},
		{"all old connections silent", nil, func(n int) bool { return n < 2 }, failed(1, router.FailureUnresponsive, true), 4},
		{"slow reply on a suspect connection", func(nc net.Conn, r *http.Request) bool {
			time.Sleep(900 * time.Millisecond)
			return reply(nc, r.Header.Get(encoder.HeaderRequestID))
		}, nil, arrived{1, encoder.StatusOK}, 2},
		{"upstream silent", hold, func(int) bool { return true }, failed(1, router.FailureTimeout, true), -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{}
			start(t, f, 2, func(t *testing.T, b *bench) {
				f.mu.Lock()
				f.sub, f.mute = c.sub, c.mute
				f.mu.Unlock()
				if ev := b.Do(send(1, time.Second)); ev != nil {
					t.Fatalf("the send ended at once: %+v", ev)
				}
				time.Sleep(2 * time.Second)
				if diff := cmp.Diff([]any{c.want}, b.ends()); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]string{"vm-7-1"}, f.subs); diff != "" {
					t.Errorf("sub-requests that reached the upstream (-want +got):\n%s", diff)
				}
				if c.open >= 0 && f.opened != c.open {
					t.Errorf("%d connections were opened, want %d", f.opened, c.open)
				}
				if f.most > 2 {
					t.Errorf("%d connections were open at once, the bound is 2", f.most)
				}
			})
		})
	}
}

// TestSendHeaders guards against a sub-request without the headers that upstreams rely on.
func TestSendHeaders(t *testing.T) {
	f := &fake{}
	start(t, f, 1, func(t *testing.T, b *bench) {
		b.Do(send(5, 1500*time.Millisecond))
		b.drain()
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

// TestUnsent guards against a request that is written although its deadline has passed, it was cancelled or its
// connection is gone, and against a false Written of such a request.
func TestUnsent(t *testing.T) {
	cases := []struct {
		name    string
		before  func(b *bench)
		allowed time.Duration
		want    any
	}{
		{"deadline", func(*bench) {}, -time.Millisecond, failed(1, router.FailureTimeout, false)},
		{"closed while idle", func(b *bench) {
			for _, nc := range b.fake.conns {
				_ = nc.Close()
			}
		}, time.Second, failed(1, router.FailureNoConnection, false)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{}
			start(t, f, 2, func(t *testing.T, b *bench) {
				f.mu.Lock()
				f.refuse = true
				f.mu.Unlock()
				c.before(b)
				ev := b.Do(send(1, c.allowed))
				ends := b.ends()
				if ev != nil {
					ends = append(ends, ev)
				}
				if diff := cmp.Diff([]any{c.want}, ends); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if len(f.subs) > 0 {
					t.Errorf("the upstream got %v, want nothing", f.subs)
				}
			})
		})
	}
}

// TestCancel guards against a cancelled request that keeps its connection or its upstream busy.
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
			return reply(nc, r.Header.Get(encoder.HeaderRequestID))
		}, arrived{1, encoder.StatusOK}, 1, 2},
		{"no reply", 2, hold, failed(1, router.FailureCancelled, true), 1, 3},
		{"no idle connection", 1, hold, failed(1, router.FailureCancelled, true), 0, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{sub: c.sub}
			start(t, f, c.connections, func(t *testing.T, b *bench) {
				b.Do(send(1, 10*time.Second))
				time.Sleep(10 * time.Millisecond)
				b.Do(router.Cancel{Attempt: 1, Upstream: "u"})
				time.Sleep(time.Second)
				if diff := cmp.Diff([]any{c.want}, b.ends()); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if len(f.cancels) != c.cancels || c.cancels > 0 && f.cancels[0] != `{"request_id":"vm-7-1"}` {
					t.Errorf("cancels are %v, want %d", f.cancels, c.cancels)
				}
				if f.opened != c.opened || f.most > c.connections {
					t.Errorf("%d connections were opened, %d at once, want %d and at most %d", f.opened, f.most, c.opened, c.connections)
				}
			})
		})
	}
}

// TestPool guards against connections that are opened in a burst or above the bound, and against a shrunk pool that
// keeps its connections.
func TestPool(t *testing.T) {
	f := &fake{}
	start(t, f, 4, func(t *testing.T, b *bench) {
		for i := 1; i < len(f.openedAt); i++ {
			if gap := f.openedAt[i].Sub(f.openedAt[i-1]); gap < 5*time.Millisecond {
				t.Errorf("connection %d was opened %s after the one before, want 5ms or more", i, gap)
			}
		}
		b.Do(router.Probe{Service: "s", Upstream: "u", Address: address})
		time.Sleep(100 * time.Millisecond)
		b.drain()
		if f.open != 4 || f.most != 4 {
			t.Errorf("%d connections are open, at most %d were, want 4", f.open, f.most)
		}
		b.Do(router.Pool{Service: "s", Upstream: "u", Address: address, Connections: 1})
		b.drain()
		if f.open != 1 {
			t.Errorf("%d connections are open after the pool shrank to 1", f.open)
		}
	})
}

// TestIdleCall guards against a call that is written to a connection that went silent while it was idle.
func TestIdleCall(t *testing.T) {
	f := &fake{}
	start(t, f, 2, func(t *testing.T, b *bench) {
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		f.mute = func(n int) bool { return n == 1 } // the one that is used first
		f.mu.Unlock()
		s := send(1, time.Second)
		s.Kind = encoder.SubCall
		b.Do(s)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]any{arrived{1, encoder.StatusOK}}, b.ends()); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if len(f.subs) != 1 {
			t.Errorf("the upstream got %v, want one call", f.subs)
		}
	})
}

// TestIdleSilent guards against an idle connection that went silent and is only noticed by the request that it loses.
func TestIdleSilent(t *testing.T) {
	f := &fake{}
	start(t, f, 2, func(t *testing.T, b *bench) {
		f.mu.Lock()
		f.mute = func(n int) bool { return n < 2 }
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		b.drain()
		b.Do(send(1, 50*time.Millisecond))
		time.Sleep(time.Second)
		if diff := cmp.Diff([]any{arrived{1, encoder.StatusOK}}, b.ends()); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if f.most > 2 {
			t.Errorf("%d connections were open at once, the bound is 2", f.most)
		}
	})
}

// TestSendDuringPing guards against a request that is refused because the only connection is being pinged, and against one
// that ends with a silent connection whose ping it waits for.
func TestSendDuringPing(t *testing.T) {
	for _, mute := range []bool{false, true} {
		f := &fake{}
		start(t, f, 1, func(t *testing.T, b *bench) {
			f.mu.Lock()
			f.mute = func(n int) bool { return mute && n == 0 }
			f.mu.Unlock()
			b.Do(router.Probe{Service: "s", Upstream: "u", Address: address})
			b.Do(send(1, time.Second))
			time.Sleep(time.Second)
			want := []any{arrived{1, encoder.StatusOK}}
			if mute {
				want = []any{failed(1, router.FailureNoConnection, false)} // no other connection is open when this one is closed
			}
			if diff := cmp.Diff(want, b.ends()); diff != "" {
				t.Errorf("silent %v: ends (-want +got):\n%s", mute, diff)
			}
		})
	}
}

// TestPause guards against a paused upstream that loses its connections although it answers a moment later.
func TestPause(t *testing.T) {
	f := &fake{}
	start(t, f, 4, func(t *testing.T, b *bench) {
		paused := make(chan struct{})
		f.mu.Lock()
		f.paused = paused
		f.mu.Unlock()
		time.Sleep(idlePing + maintainEvery + 2*pingTimeout/3) // the pings of idle connections fall into the pause
		close(paused)
		time.Sleep(time.Second)
		b.drain()
		if f.pings < 8 {
			t.Errorf("%d pings were answered, want one of each connection in the pause", f.pings)
		}
		if f.opened > 5 || f.open != 4 {
			t.Errorf("%d connections were opened and %d are open, want at most 5 and 4", f.opened, f.open)
		}
	})
}
