package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// listener enforces the connection limit of an upstream and applies the cost of a new connection.
type listener struct {
	net.Listener
	upstream  *upstream
	closeOnce sync.Once
	closed    chan struct{}
}

// Close also unblocks an Accept that waits for the end of the dark fault, because http.Server.Close waits for Accept to return.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept accepts no connections while the upstream has the dark fault, and immediately closes connections above the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.upstream.waitUntilReachable(l.closed)
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if w := l.upstream.admitConnection(c); w != nil {
			return w, nil
		}
		_ = c.Close()
	}
}

// admitConnection adds a connection to the connections of the upstream. It returns nil if the limit is reached, or if the peer has
// already closed the connection. Connections are set up one after the other.
//
// Only connections that the peer holds open count against the limit: after a dark fault, connections that the peer closed long ago
// are still in the upstream's set and in the backlog of the listener.
func (u *upstream) admitConnection(c net.Conn) *connection {
	u.mu.Lock()
	defer u.mu.Unlock()
	if peerClosed(c) {
		return nil
	}
	for o := range u.connections {
		if peerClosed(o.Conn) {
			delete(u.connections, o)
			go func() { _ = o.Close() }() // in a goroutine because Close acquires u.mu
		}
	}
	if len(u.connections) >= u.server.Service.Connections {
		u.stats.Violations++
		return nil
	}
	u.setupDone = laterTime(time.Now(), u.setupDone).Add(u.server.Service.ConnectCost)
	w := &connection{Conn: c, upstream: u, readyAt: u.setupDone, closed: make(chan struct{})}
	u.connections[w] = struct{}{}
	u.stats.Accepted++
	u.stats.MaxConnections = max(u.stats.MaxConnections, len(u.connections))
	return w
}

// tcpEstablished is the state, in the kernel's TCP_INFO, of a connection that neither side has closed.
const tcpEstablished = 1

// peerClosed reports whether the peer has closed or reset a connection. It asks the kernel, so that it also works while unread
// data is waiting.
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

// waitUntilReachable waits until the upstream has no dark fault, or until abort is closed.
func (u *upstream) waitUntilReachable(abort <-chan struct{}) {
	u.mu.Lock()
	reachable := u.reachable
	u.mu.Unlock()
	if reachable == nil {
		return
	}
	select {
	case <-reachable:
	case <-abort:
	}
}

// connection is a connection of an upstream. It delays its first bytes by the connection cost, holds back data while the upstream
// has the dark fault, and drops the data of both directions once it is silent.
type connection struct {
	net.Conn
	upstream  *upstream
	readyAt   time.Time
	isSilent  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read reads from the peer. A silent connection discards the data until the peer closes it.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.isSilent.Load() && err == nil {
			continue
		}
		if n > 0 {
			time.Sleep(time.Until(c.readyAt))
			c.upstream.waitUntilReachable(c.closed)
		}
		if n == 0 || !c.isSilent.Load() {
			return n, err
		}
	}
}

// Write writes to the peer. A silent connection discards the data.
func (c *connection) Write(p []byte) (int, error) {
	c.upstream.waitUntilReachable(c.closed)
	if c.isSilent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from those of the upstream, so that it no longer counts against the limit.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.upstream.mu.Lock()
		delete(c.upstream.connections, c)
		c.upstream.mu.Unlock()
	})
	return c.Conn.Close()
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
