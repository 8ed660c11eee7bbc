package connector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"comfreyroute/core/coordination/router"
)

// Bounds of the transport.
const (
	connectTimeout = 250 * time.Millisecond
	pingTimeout    = 150 * time.Millisecond // after it an answer on another connection closes the silent one
	pingLate       = 10 * time.Millisecond  // a connection whose ping is late is used last
	absentGrace    = 5 * time.Millisecond   // time for a reply that left the upstream before it was asked about the request
	pingLimit      = 400 * time.Millisecond
	stallGrace     = 2 * time.Millisecond
	cancelGrace    = 50 * time.Millisecond  // time for the reply of a cancelled request
	replyGrace     = 10 * time.Millisecond  // time after the deadline in which a reply may still arrive
	maxIdleCall    = 100 * time.Millisecond // a call is preceded by a ping on a connection that was idle longer
	idlePing       = 2 * time.Second        // an idle connection is pinged this often, so that a silent one is found before a request
	maintainEvery  = 500 * time.Millisecond
	alarmWindow    = 200 * time.Millisecond // late connections to two upstreams within it make all idle connections suspect
	alarmPause     = 500 * time.Millisecond // bounds the pings that a paused process sends
	freshReply     = 20 * time.Millisecond  // a connection that was heard so recently is not suspect
	minPace        = time.Millisecond       // shortest time between two openings to one upstream
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Options configure a connector.
type Options struct {
	VM            string
	Incarnation   uint64
	FailureDomain string
	LocalAddress  netip.Addr          // local address of connections; unset lets the system choose
	Events        chan<- router.Event // bounded; a connection waits while it is full
	// Dial opens a connection; nil takes TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Counts are totals since the start.
type Counts struct {
	Opened       uint64
	Refused      uint64
	Unresponsive uint64
	Mismatched   uint64
	Cancelled    uint64
	Pings        uint64
	Sent         uint64
}

type counters struct {
	opened, refused, unresponsive, mismatched, cancelled, pings, sent, numbers atomic.Uint64
}

// Connector holds a pool of connections for each upstream.
type Connector struct {
	options Options
	prefix  string // of request ids
	context context.Context
	stop    context.CancelFunc
	done    chan struct{}
	running sync.WaitGroup
	counts  counters

	mu     sync.Mutex // taken before a pool's lock, never after it
	closed bool
	pools  map[key]*pool

	alarms alarms

	attemptsMu sync.Mutex // taken last
	attempts   map[router.AttemptID]*job
}

type key struct{ service, upstream string }

// New returns a connector without connections.
func New(o Options) *Connector {
	if o.Dial == nil {
		o.Dial = dialer(o.LocalAddress)
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Connector{
		options:  o,
		prefix:   requestPrefix(o.VM, o.Incarnation),
		context:  ctx,
		stop:     stop,
		done:     make(chan struct{}),
		pools:    map[key]*pool{},
		attempts: map[router.AttemptID]*job{},
		alarms:   alarms{raised: make(chan struct{}, 1)},
	}
	c.running.Add(1)
	go c.maintain()
	return c
}

func dialer(local netip.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// Do carries out an action and never blocks. A Send that cannot start returns the event that ends it; the caller passes
// it to the router itself, because the routing loop must not wait for room in its own channel. Actions that are not for
// the transport are ignored.
func (c *Connector) Do(a router.Action) router.Event {
	switch a := a.(type) {
	case router.Send:
		return c.send(&a)
	case router.Cancel:
		c.cancel(a.Attempt)
	case router.Pool:
		c.resize(a)
	case router.Probe:
		c.probe(a)
	}
	return nil
}

func (c *Connector) pool(k key) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[k]
}

func (c *Connector) resize(a router.Pool) {
	c.mu.Lock()
	k := key{a.Service, a.Upstream}
	p := c.pools[k]
	if c.closed || p == nil && a.Connections == 0 {
		c.mu.Unlock()
		return
	}
	if p == nil {
		p = &pool{owner: c, key: k, conns: map[*conn]struct{}{}}
		c.pools[k] = p
	}
	p.resize(a) // before the unlock, so that forget does not drop a pool that is about to be used
	c.mu.Unlock()
}

func (c *Connector) probe(a router.Probe) {
	if p := c.pool(key{a.Service, a.Upstream}); p != nil {
		p.probe()
	}
}

func (c *Connector) send(s *router.Send) router.Event {
	refuse := router.AttemptFailed{Attempt: s.Attempt, Failure: router.FailureNoConnection}
	p := c.pool(key{s.Service, s.Upstream})
	if p == nil || !p.dispatch(&job{kind: jobSend, pool: p, send: s}) {
		return refuse
	}
	return nil
}

// report passes an event to the routing loop and waits while its channel is full.
func (c *Connector) report(ev router.Event) {
	select {
	case c.options.Events <- ev:
	case <-c.context.Done():
	}
}

// Counts returns the totals since the start.
func (c *Connector) Counts() Counts {
	n := &c.counts
	return Counts{
		Opened: n.opened.Load(), Refused: n.refused.Load(), Unresponsive: n.unresponsive.Load(),
		Mismatched: n.mismatched.Load(), Cancelled: n.cancelled.Load(), Pings: n.pings.Load(), Sent: n.sent.Load(),
	}
}

// OpenConnections returns how many connections are open and how many of them carry a request.
func (c *Connector) OpenConnections() (open, busy int) {
	for _, p := range c.list() {
		p.mu.Lock()
		open += len(p.conns)
		busy += len(p.conns) - len(p.idle)
		p.mu.Unlock()
	}
	return open, busy
}

// ConnectionsAttempted reports whether there are pools and each of them has tried to open its first connection.
func (c *Connector) ConnectionsAttempted() bool {
	pools := c.list()
	for _, p := range pools {
		p.mu.Lock()
		tried := p.tried || p.limit == 0
		p.mu.Unlock()
		if !tried {
			return false
		}
	}
	return len(pools) > 0
}

func (c *Connector) list() []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}

// maintain pings connections that carry no traffic, so that a silent one is replaced before it gets a request.
func (c *Connector) maintain() {
	defer c.running.Done()
	t := time.NewTicker(maintainEvery)
	defer t.Stop()
	for {
		select {
		case <-c.context.Done():
			return
		case <-c.alarms.raised:
			for _, p := range c.list() {
				p.suspectAll()
			}
		case now := <-t.C:
			for _, p := range c.list() {
				p.pingIdle(now)
			}
			c.forget()
		}
	}
}

// forget drops the pools of upstreams that the table no longer has, once their connections are closed.
func (c *Connector) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.pools {
		p.mu.Lock()
		unused := p.limit == 0 && len(p.conns) == 0 && !p.opening
		p.mu.Unlock()
		if unused {
			delete(c.pools, k)
		}
	}
}

// Close closes every connection and stops reporting. Requests in flight end without an event.
func (c *Connector) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.stop()
	for _, p := range c.list() {
		p.shut()
	}
	go func() {
		c.running.Wait()
		close(c.done)
	}()
}

// Done is closed when every goroutine of the connector has ended after Close.
func (c *Connector) Done() <-chan struct{} { return c.done }
