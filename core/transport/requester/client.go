package requester

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
)

// Bounds of the transport.
const (
	// connectTimeout is the timeout of a connect. It allows for one retransmission of a lost SYN packet after one second.
	connectTimeout = 1500 * time.Millisecond
	// replyGrace is the time after the deadline in which a reply may still arrive, because the upstream may answer at the deadline.
	replyGrace = 100 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the upstream announces no idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin is how long before the upstream's idle timeout a connection is closed, so that no request is sent while the
	// upstream closes it.
	idleMargin = 500 * time.Millisecond
	// maxRecentIdle is how long a connection may have been idle when it carries a request that must not be lost on a dead
	// connection. Upstreams may drop idle connections without notice.
	maxRecentIdle = 100 * time.Millisecond
	// resetMargin is how long after one round trip a reset counts as the upstream's rejection of a new connection. It covers the
	// processing delay of both ends. The shortest work of the platform's services takes 3.8 ms on average.
	resetMargin = time.Millisecond
	// maxInlineBytes is the size up to which Do writes a request itself, as far as it fits into the socket's buffer.
	maxInlineBytes = 16 << 10
	// connectCheckInterval is how long after ConnectBy an attempt that waits for its connection is looked at again.
	connectCheckInterval = 5 * time.Millisecond
	connBufferBytes      = 2 << 10
	// maxHeadBytes bounds the header of a reply together with the interim replies before it; see bounder.Reader.Expect.
	maxHeadBytes = 64 << 10
)

// Protocol encodes requests and decodes replies. Its methods must be safe for concurrent use.
type Protocol interface {
	// AppendRequest appends the encoded request to b. left is the time until its deadline.
	AppendRequest(b []byte, s *forwarder.Send, left time.Duration) []byte
	// ReadReply reads the whole reply to a request. The reader allows the head of a reply; the protocol allows the body when it knows
	// the framing. After an error the connection is closed.
	ReadReply(r *bounder.Reader, s *forwarder.Send) (Response, error)
}

// Response is a reply with its information about the connection.
type Response struct {
	Reply       *forwarder.Reply
	Answer      *forwarder.PeerAnswered // of a peer, in place of Reply
	Identified  bool                    // the reply names its request
	Held        int64                   // bytes that the body counts for in the Memory of the protocol
	KeepAlive   bool                    // the connection can carry another request
	IdleTimeout time.Duration           // time after which the upstream closes the idle connection; 0 when the reply does not say
}

// ErrMismatched is the error that ReadReply returns when the bytes on a connection are not the reply to its request.
var ErrMismatched = net.UnknownNetworkError("reply belongs to another request")

// Counts are totals since the start of the client.
type Counts struct {
	Opened, Unreachable, SlowConnects, Reset, TimedOut, Mismatched, Oversized, Cancelled, Sent atomic.Uint64
}

// Client holds the connections to all upstreams. Its exported fields must be set before the first Do.
type Client struct {
	Protocol Protocol
	// Report is called at the end of each attempt whose Send started. The client holds no lock during the call.
	Report func(*forwarder.Send, forwarder.Result)
	// ReportProbe is called at the end of each Probe. The client holds no lock during the call.
	ReportProbe func(forwarder.ProbeEnded)
	// Dial opens a connection to an upstream; nil stands for TCP.
	Dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Memory *bounder.Memory // counts the heads and bodies of replies until Report returns; nil if Protocol counts none
	Counts Counts

	mu       sync.Mutex
	closed   bool
	pools    map[string]*pool
	attempts map[forwarder.AttemptID]*job
	progress time.Time // start of the latest attempt that has a connection or a reply already
}

// pool holds the connections to one upstream. It is guarded by the client's lock.
type pool struct {
	address netip.AddrPort
	idle    []*conn // most recently used last
	open    int     // connections, including those being opened
}

// job is one request in flight.
type job struct {
	send      *forwarder.Send
	started   time.Time
	watch     *time.Timer // ends the wait for a connection; guarded by the client's lock
	conn      *conn       // nil while the connection is being opened
	cancelled bool
	accepted  int // bytes of the request that the kernel has accepted; final after conn.endWrites

	writeBegun atomic.Bool // the first byte may have been written
}

// Do executes an action and never blocks. For a Send that cannot start it returns the event that ends the attempt.
func (c *Client) Do(a forwarder.Action) forwarder.Event {
	switch a := a.(type) {
	case forwarder.Send:
		return c.startSend(&a)
	case forwarder.Cancel:
		c.cancelAttempt(a.Attempt)
	case forwarder.Retire:
		c.retireUpstream(a.Upstream)
	case forwarder.Probe:
		go c.probe(&a)
	}
	return nil
}

func (c *Client) startSend(s *forwarder.Send) forwarder.Event {
	c.mu.Lock()
	p := c.findPool(s.Upstream, s.Address)
	j := &job{send: s, started: time.Now()}
	n := p.takeIdle(s.RecentlyActive)
	if n == nil && p.open >= s.MaxConnections && len(p.idle) > 0 {
		// All idle connections were idle too long for this request. Close the oldest to make room for a new one.
		n = p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		n.removed = true
		_ = n.nc.Close()
		n = nil
	}
	if n == nil && (c.closed || p.open >= s.MaxConnections) {
		c.mu.Unlock()
		return forwarder.AttemptEnded{Attempt: s.Attempt, Result: forwarder.Failed{Failure: forwarder.NoConnection}}
	}
	c.attempts[s.Attempt] = j
	if n == nil {
		p.open++
		c.mu.Unlock()
		go c.openConn(p, j)
		return nil
	}
	n.start(j)
	c.mu.Unlock()
	c.writeRequest(n, j)
	return nil
}

// findPool returns the pool of an upstream and creates it if necessary. An upstream with a new address gets a new pool, and the
// connections of the old pool are closed after their requests.
func (c *Client) findPool(upstream string, address netip.AddrPort) *pool {
	if c.pools == nil {
		c.pools = map[string]*pool{}
		c.attempts = map[forwarder.AttemptID]*job{}
	}
	p := c.pools[upstream]
	if p == nil || p.address != address {
		if p != nil {
			p.abandon()
		}
		p = &pool{address: address}
		c.pools[upstream] = p
	}
	return p
}

// takeIdle removes and returns the most recently used idle connection. It returns nil when there is none, or when the
// connection must be recently active and was idle for longer than maxRecentIdle.
func (p *pool) takeIdle(recentlyActive bool) *conn {
	if len(p.idle) == 0 {
		return nil
	}
	n := p.idle[len(p.idle)-1]
	if recentlyActive && time.Since(n.idleSince) > maxRecentIdle {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return n
}

// closeIdle closes the idle connections. The caller holds the client's lock.
func (p *pool) closeIdle() {
	for _, n := range p.idle {
		n.removed = true
		p.open--
		_ = n.nc.Close()
	}
	p.idle = nil
}

// abandon closes the idle connections of a pool that was replaced or is no longer needed. Those that carry a request are closed
// after it, because the invalid address makes poolActive false. The caller holds the client's lock.
func (p *pool) abandon() {
	p.closeIdle()
	p.address = netip.AddrPort{}
}

// dial opens a connection to an upstream.
func (c *Client) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address.String())
}

// watchConnect ends the attempt of a job that still waits for its connection at ConnectBy. Nothing of it was or will be written. The
// attempt goes on while no later one has made progress: then this VM is behind, and the host of the upstream may have answered. A request to a
// peer does not wait for that, because any other peer will do.
func (c *Client) watchConnect(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.watch = time.AfterFunc(time.Until(j.send.ConnectBy), func() { c.checkConnect(j) })
}

// checkConnect ends the attempt of a job whose connection is overdue, or checks again later if this VM is behind.
func (c *Client) checkConnect(j *job) {
	c.mu.Lock()
	pending := c.attempts[j.send.Attempt] == j && j.conn == nil
	if pending && j.send.Detour == nil && c.progress.Before(j.started) {
		j.watch.Reset(connectCheckInterval)
		pending = false
	}
	if pending {
		delete(c.attempts, j.send.Attempt)
	}
	c.mu.Unlock()
	if pending {
		c.Counts.SlowConnects.Add(1)
		c.Report(j.send, forwarder.Failed{Failure: forwarder.SlowConnect})
	}
}

// recordProgress records that an attempt has a connection or a reply. The caller holds the client's lock.
func (c *Client) recordProgress(j *job) {
	if j.started.After(c.progress) {
		c.progress = j.started
	}
}

// openConn opens a connection for a job, writes the request of the job and then reads replies until the connection ends. When
// the job was cancelled or abandoned meanwhile, the new connection becomes idle.
func (c *Client) openConn(p *pool, j *job) {
	ctx, cancel := context.WithDeadline(context.Background(), j.send.Deadline)
	defer cancel()
	began := time.Now()
	if !j.send.ConnectBy.IsZero() {
		c.watchConnect(j)
		defer j.watch.Stop()
	}
	nc, err := c.dial(ctx, j.send.Address)
	if err != nil {
		c.mu.Lock()
		p.open--
		pending := c.attempts[j.send.Attempt] == j
		delete(c.attempts, j.send.Attempt)
		failure := forwarder.Unreachable
		if j.cancelled {
			failure = forwarder.Cancelled
		}
		c.mu.Unlock()
		if pending {
			c.Counts.Unreachable.Add(1)
			c.Report(j.send, forwarder.Failed{Failure: failure})
		}
		return
	}
	n := c.newConn(p, nc, began)
	c.mu.Lock()
	c.recordProgress(j)
	pending := c.attempts[j.send.Attempt] == j
	if !pending || j.cancelled || c.closed {
		delete(c.attempts, j.send.Attempt)
		n.makeIdle()
		if c.closed {
			_ = nc.Close() // Close has not seen this connection; its reader removes it
		}
		c.mu.Unlock()
		if pending {
			c.Report(j.send, forwarder.Failed{Failure: forwarder.Cancelled})
		}
	} else {
		n.start(j)
		c.mu.Unlock()
		c.writeRequest(n, j)
	}
	n.run()
}

// newConn returns a connection that was opened for a pool by a dial that began at a time.
func (c *Client) newConn(p *pool, nc net.Conn, began time.Time) *conn {
	c.Counts.Opened.Add(1)
	opened := time.Now()
	n := &conn{client: c, pool: p, nc: nc, idleTimeout: defaultIdleTimeout, opened: opened, roundTrip: opened.Sub(began)}
	n.reader = bounder.NewReader(n, connBufferBytes)
	n.reader.CountHeads(c.Memory)
	n.openRaw()
	return n
}

// probe opens a connection to an upstream and reports whether it did. The connection is kept for requests if the pool has room.
func (c *Client) probe(a *forwarder.Probe) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	began := time.Now()
	nc, err := c.dial(ctx, a.Address)
	c.ReportProbe(forwarder.ProbeEnded{Service: a.Service, Upstream: a.Upstream, Connected: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED)})
	if err != nil {
		return // the report says so
	}
	c.mu.Lock()
	p := c.findPool(a.Upstream, a.Address)
	if c.closed || p.open >= a.MaxConnections {
		c.mu.Unlock()
		_ = nc.Close()
		return
	}
	p.open++
	n := c.newConn(p, nc, began)
	n.makeIdle()
	c.mu.Unlock()
	n.run()
}

// writeRequest writes the request of a job. What the kernel does not take at once, and a request that is longer than maxInlineBytes, is written in a
// new goroutine. An error closes the connection, and the goroutine that reads the connection reports the end of the attempt.
func (c *Client) writeRequest(n *conn, j *job) {
	left := time.Until(j.send.Deadline)
	b := c.Protocol.AppendRequest(buffers.Get().([]byte)[:0], j.send, left)
	j.writeBegun.Store(true)
	c.Counts.Sent.Add(1)
	var written int
	var err error
	c.mu.Lock() // a reply that arrives before the rest is written must find the connection marked
	if len(b) <= maxInlineBytes {
		written, err = n.tryWrite(b)
	}
	n.long = n.long || len(b) > maxInlineBytes
	j.accepted, n.writeErr = written, err
	n.writing = nil
	if err == nil && written < len(b) {
		n.writing = make(chan struct{})
		_ = n.nc.SetWriteDeadline(j.send.Deadline) // under the lock, so that it does not replace that of stopWrite
		go n.writeBytes(j, b, n.writing)
	}
	writing := n.writing != nil
	c.mu.Unlock()
	if !writing {
		n.endWrite(b, err)
	}
}

func (c *Client) cancelAttempt(a forwarder.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.attempts[a]
	if j == nil || j.conn != nil && j.send.Linger > 0 {
		return
	}
	j.cancelled = true
	if j.conn != nil {
		_ = j.conn.nc.Close()
	}
}

func (c *Client) retireUpstream(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[upstream]; p != nil {
		p.abandon()
		delete(c.pools, upstream)
	}
}

// Close closes all connections. Requests in flight end with a failure.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.closeIdle()
	}
	for _, j := range c.attempts {
		if j.conn != nil {
			_ = j.conn.nc.Close()
		}
	}
}
