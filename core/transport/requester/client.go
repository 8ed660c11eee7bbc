package requester

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// Times of the transport.
const (
	// connectTimeout bounds the opening of a connection. A lost first packet is sent again after one second.
	connectTimeout = 1500 * time.Millisecond
	// replyGrace is the time after the deadline in which a reply may still arrive: the upstream answers at the deadline too.
	replyGrace = 100 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the upstream tells no time.
	defaultIdle = 30 * time.Second
	// idleMargin is how long before the upstream's idle timeout a connection is closed, so that no request crosses its close.
	idleMargin = 500 * time.Millisecond
	// freshIdle is how long a connection may have been idle to carry a request that must not be lost on a dead connection.
	// Upstreams may drop idle connections without notice.
	freshIdle = 100 * time.Millisecond
	// resetMargin is how long after a round trip the reset of a new connection may arrive that its upstream turned away: the delay
	// of both ends. The shortest work of the platform's services takes 3.8 ms on average.
	resetMargin = time.Millisecond
	// inlineBytes is the size up to which a request is written by the caller of Do: it fits into the socket's buffer.
	inlineBytes = 16 << 10
	bufferBytes = 2 << 10
)

// Protocol writes requests and reads replies. Its methods are called from several goroutines.
type Protocol interface {
	// AppendRequest appends the bytes of a request. left is the time until its deadline.
	AppendRequest(b []byte, s *forwarder.Send, left time.Duration) []byte
	// ReadReply reads the reply to a request as a whole. An error means that the connection is of no further use.
	ReadReply(r *bufio.Reader, s *forwarder.Send) (Response, error)
}

// Response is a reply and what it says about its connection.
type Response struct {
	Reply       *forwarder.Reply
	KeepAlive   bool          // the connection may carry another request
	IdleTimeout time.Duration // the upstream closes the connection when it was idle for so long; 0 when it does not say
}

// ErrMismatched tells that the bytes on a connection are no reply to its request. Read returns it.
var ErrMismatched = net.UnknownNetworkError("the reply belongs to another request")

// Counts are totals since the start.
type Counts struct {
	Opened, Unreachable, Reset, TimedOut, Mismatched, Cancelled, Sent atomic.Uint64
}

// Client holds the connections to all upstreams. Its exported fields are set before the first Do.
type Client struct {
	Protocol Protocol
	// Report takes the end of each attempt whose Send started. It is called without locks.
	Report func(*forwarder.Send, forwarder.Result)
	Counts Counts

	mu       sync.Mutex
	closed   bool
	pools    map[string]*pool
	attempts map[forwarder.AttemptID]*job
}

// pool is the connections to one upstream. The lock of the client guards it.
type pool struct {
	address netip.AddrPort
	idle    []*conn // the one used last is at the end
	open    int     // connections, those that are being opened included
}

// job is one request on its way.
type job struct {
	send      *forwarder.Send
	conn      *conn // nil while the connection is being opened
	cancelled bool
	unwritten bool // no byte was accepted for sending
}

// Do carries out an action and never blocks. A Send that cannot start returns the event that ends it.
func (c *Client) Do(a forwarder.Action) forwarder.Event {
	switch a := a.(type) {
	case forwarder.Send:
		return c.send(&a)
	case forwarder.Cancel:
		c.cancel(a.Attempt)
	case forwarder.Retire:
		c.retire(a.Upstream)
	}
	return nil
}

func (c *Client) send(s *forwarder.Send) forwarder.Event {
	c.mu.Lock()
	p := c.pool(s)
	j := &job{send: s}
	n := p.take(s.RecentlyActive)
	if n == nil && p.open >= s.MaxConnections && len(p.idle) > 0 {
		// All idle connections are too old for this request; the oldest makes room for a new one.
		n = p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		n.gone = true
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
		go c.dial(p, j)
		return nil
	}
	n.begin(j)
	c.mu.Unlock()
	c.write(n, j)
	return nil
}

// pool returns the pool of an upstream. A new address takes a new pool; the connections of the old one end with their requests.
func (c *Client) pool(s *forwarder.Send) *pool {
	if c.pools == nil {
		c.pools = map[string]*pool{}
		c.attempts = map[forwarder.AttemptID]*job{}
	}
	p := c.pools[s.Upstream]
	if p == nil || p.address != s.Address {
		if p != nil {
			p.abandon()
		}
		p = &pool{address: s.Address}
		c.pools[s.Upstream] = p
	}
	return p
}

// take removes an idle connection, nil when there is none that fits.
func (p *pool) take(fresh bool) *conn {
	if len(p.idle) == 0 {
		return nil
	}
	n := p.idle[len(p.idle)-1]
	if fresh && time.Since(n.heard) > freshIdle {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return n
}

// shut closes the idle connections. The client's lock is held.
func (p *pool) shut() {
	for _, n := range p.idle {
		n.gone = true
		p.open--
		_ = n.nc.Close()
	}
	p.idle = nil
}

// abandon closes the connections of a pool that is replaced or no longer needed; those that carry a request close after it.
func (p *pool) abandon() {
	p.shut()
	p.address = netip.AddrPort{}
}

func (c *Client) dial(p *pool, j *job) {
	ctx, cancel := context.WithDeadline(context.Background(), j.send.Deadline)
	defer cancel()
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	began := time.Now()
	nc, err := d.DialContext(ctx, "tcp", j.send.Address.String())
	if err != nil {
		c.Counts.Unreachable.Add(1)
		c.mu.Lock()
		p.open--
		delete(c.attempts, j.send.Attempt)
		failure := forwarder.Unreachable
		if j.cancelled {
			failure = forwarder.Cancelled
		}
		c.mu.Unlock()
		c.Report(j.send, forwarder.Failed{Failure: failure})
		return
	}
	c.Counts.Opened.Add(1)
	opened := time.Now()
	n := &conn{
		client: c, pool: p, nc: nc, reader: bufio.NewReaderSize(nc, bufferBytes), idleLimit: defaultIdle,
		opened: opened, roundTrip: opened.Sub(began),
	}
	c.mu.Lock()
	if j.cancelled || c.closed {
		delete(c.attempts, j.send.Attempt)
		n.rest()
		c.mu.Unlock()
		c.Report(j.send, forwarder.Failed{Failure: forwarder.Cancelled})
	} else {
		n.begin(j)
		c.mu.Unlock()
		c.write(n, j)
	}
	n.run()
}

// write sends the request of a job. An error closes the connection, and the goroutine that reads it reports the end.
func (c *Client) write(n *conn, j *job) {
	left := time.Until(j.send.Deadline)
	b := c.Protocol.AppendRequest(buffers.Get().([]byte)[:0], j.send, left)
	c.Counts.Sent.Add(1)
	if len(b) > inlineBytes {
		c.mu.Lock()
		n.writing = true
		c.mu.Unlock()
		go n.put(j, b)
		return
	}
	n.put(j, b)
}

func (c *Client) cancel(a forwarder.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.attempts[a]
	if j == nil {
		return
	}
	j.cancelled = true
	if j.conn != nil {
		_ = j.conn.nc.Close()
	}
}

func (c *Client) retire(upstream string) {
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
		p.shut()
	}
	for _, j := range c.attempts {
		if j.conn != nil {
			_ = j.conn.nc.Close()
		}
	}
}
