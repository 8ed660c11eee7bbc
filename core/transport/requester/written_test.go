package requester

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

const (
	longBytes  = 250_000 // does not fit into the buffers of a connection of dialSmall
	shortBytes = 1_000   // fits into maxInlineBytes
	begunBytes = 500     // of a request with which an upstream begins to work
)

// partialConn accepts the first bytes of what is written, and then blocks until it is closed or its deadline is set to a time that has passed. It offers no
// writes that do not wait.
type partialConn struct {
	net.Conn
	accepts int
	once    sync.Once
	ended   chan error
}

func (c *partialConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b[:min(len(b), c.accepts)])
	if err != nil || n == len(b) {
		return n, err
	}
	return n, <-c.ended
}

func (c *partialConn) end(err error) { c.once.Do(func() { c.ended <- err }) }

func (c *partialConn) Close() error {
	c.end(net.ErrClosed)
	return c.Conn.Close()
}

func (c *partialConn) SetWriteDeadline(t time.Time) error {
	if time.Until(t) < 0 {
		c.end(os.ErrDeadlineExceeded)
	}
	return nil
}

// dialPartial returns a Dial whose connections accept a number of bytes.
func dialPartial(accepts int) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		nc, err := dialSmall(ctx, address)
		return &partialConn{Conn: nc, accepts: accepts, ended: make(chan error, 1)}, err
	}
}

// shrinkWindow makes the connections of a listener hold few bytes that are not read.
func shrinkWindow(t *testing.T, l *net.TCPListener) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var set error
	if err := raw.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); err != nil || set != nil {
		t.Fatal(err, set)
	}
}

// newBegunUpstream returns an upstream that reads the first bytes of a connection and then calls a function, while the rest stays unread.
func newBegunUpstream(t *testing.T, bytes int, begun func(*net.TCPConn)) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String()), listener: l}
	t.Cleanup(func() { _ = l.Close() })
	shrinkWindow(t, l.(*net.TCPListener))
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = nc.Close() })
			go func() {
				if _, err := io.ReadFull(nc, make([]byte, bytes)); err == nil {
					begun(nc.(*net.TCPConn))
				}
			}()
		}
	}()
	return u
}

// TestBegunRequestIsWritten guards against a request that runs twice, or is refused as not run, because an attempt ended while its request was being
// written: its upstream may have begun to work on the part that had arrived.
func TestBegunRequestIsWritten(t *testing.T) {
	reset := func(nc *net.TCPConn) {
		_ = nc.SetLinger(0)
		_ = nc.Close()
	}
	closeWrite := func(nc *net.TCPConn) { _ = nc.CloseWrite() }
	reply := func(text string) func(*net.TCPConn) {
		return func(nc *net.TCPConn) { _, _ = io.WriteString(nc, text) }
	}
	silent := func(*net.TCPConn) {}
	ends := []struct {
		name     string
		begun    func(*net.TCPConn)
		cancel   bool
		deadline time.Duration
	}{
		{"reset", reset, false, time.Second},
		{"closed in order", closeWrite, false, time.Second},
		{"reply to another request", reply("mismatched\n"), false, time.Second},
		{"reply that breaks off", func(nc *net.TCPConn) { reply("ear")(nc); closeWrite(nc) }, false, time.Second},
		{"cancelled", silent, true, time.Second},
		{"deadline", silent, false, 100 * time.Millisecond},
	}
	sizes := []struct {
		name string
		size int
		dial func(context.Context, netip.AddrPort) (net.Conn, error)
	}{
		{"long", longBytes, dialSmall},
		{"short in pieces", shortBytes, dialPartial(begunBytes)},
	}
	for _, size := range sizes {
		for _, end := range ends {
			t.Run(size.name+"/"+end.name, func(t *testing.T) {
				h, begun := newHarness(t), make(chan struct{})
				u := newBegunUpstream(t, begunBytes, func(nc *net.TCPConn) {
					end.begun(nc)
					close(begun)
				})
				h.client.Dial = size.dial
				h.send(u, "/", func(s *forwarder.Send) {
					s.Message.Body, s.Deadline = bytes.Repeat([]byte("x"), size.size), time.Now().Add(end.deadline)
				})
				<-begun
				if end.cancel {
					h.client.Do(forwarder.Cancel{Attempt: 1})
				}
				if got := h.result(); !strings.HasSuffix(got, " written") {
					t.Errorf("result %q, want a failure of a request that was written", got)
				}
			})
		}
	}
}

// TestUnwrittenRequest guards against a request that counts as one that may have run although the connection accepted no byte of it, so that it would not be sent to
// another upstream, and against bytes of it that follow after the report.
func TestUnwrittenRequest(t *testing.T) {
	cases := []struct {
		name string
		size int
	}{{"long", longBytes}, {"short", shortBytes}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, received := newHarness(t), make(chan int, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_ = nc.(*net.TCPConn).CloseWrite()
				b, err := io.ReadAll(nc)
				if err != nil && !errors.Is(err, syscall.ECONNRESET) {
					t.Error(err)
				}
				received <- len(b)
			}()
			h.client.Dial = dialPartial(0)
			h.send(&fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String())}, "/", func(s *forwarder.Send) { s.Message.Body = make([]byte, c.size) })
			if got := h.result(); got != "reset" {
				t.Errorf("result %q, want reset", got)
			}
			if n := <-received; n != 0 {
				t.Errorf("the upstream received %d bytes of a request that was reported as unwritten", n)
			}
		})
	}
}
