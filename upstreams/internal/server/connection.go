package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// listener applies the connection limit of a host and the cost of a new connection.
type listener struct {
	net.Listener
	host   *host
	once   sync.Once
	closed chan struct{}
}

// Close also ends an Accept that waits for the end of the darkness: http.Server.Close waits for it.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept closes connections above the limit at once, and accepts nothing while the host is dark.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.host.waitForLight(l.closed)
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if w := l.host.admit(c); w != nil {
			return w, nil
		}
		_ = c.Close()
	}
}

// admit counts a connection. It returns nil when the limit is reached, or when the peer has closed the connection already.
// Connections are set up one after the other.
//
// Only connections that the peer holds open count: after a darkness, the server finds connections that the peer gave up long
// ago, in its own list and in the backlog of the listener.
func (h *host) admit(c net.Conn) *connection {
	h.mu.Lock()
	defer h.mu.Unlock()
	if peerClosed(c) {
		return nil
	}
	for o := range h.open {
		if peerClosed(o.Conn) {
			delete(h.open, o)
			go func() { _ = o.Close() }() // Close needs the lock
		}
	}
	if len(h.open) >= h.server.Service.Connections {
		h.stats.Violations++
		return nil
	}
	h.setup = later(time.Now(), h.setup).Add(h.server.Service.ConnectCost)
	w := &connection{Conn: c, host: h, ready: h.setup, closed: make(chan struct{})}
	h.open[w] = struct{}{}
	h.stats.Accepted++
	h.stats.MaxConnections = max(h.stats.MaxConnections, len(h.open))
	return w
}

// tcpEstablished is the state of a connection that neither side has closed, in the kernel's TCP_INFO.
const tcpEstablished = 1

// peerClosed asks the kernel whether the peer has closed or reset a connection, also when data is waiting on it.
func peerClosed(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != tcpEstablished
	})
	return closed || err != nil
}

// waitForLight waits until the host is reachable, or until abort is closed.
func (h *host) waitForLight(abort <-chan struct{}) {
	h.mu.Lock()
	light := h.light
	h.mu.Unlock()
	if light == nil {
		return
	}
	select {
	case <-light:
	case <-abort:
	}
}

// connection is one connection of a host. It delays its first bytes by the connection cost, holds its data while the host
// is dark, and drops its data in both directions once it is silent.
type connection struct {
	net.Conn
	host   *host
	ready  time.Time
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read reads from the peer. A silent connection reads and drops data until the peer closes it.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.silent.Load() && err == nil {
			continue
		}
		if n > 0 {
			time.Sleep(time.Until(c.ready))
			c.host.waitForLight(c.closed)
		}
		if n == 0 || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the peer, or drops the data of a silent connection.
func (c *connection) Write(p []byte) (int, error) {
	c.host.waitForLight(c.closed)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place to another one.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.host.mu.Lock()
		delete(c.host.open, c)
		c.host.mu.Unlock()
	})
	return c.Conn.Close()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
