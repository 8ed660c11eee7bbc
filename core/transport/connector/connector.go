package connector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/transport/bounder"
)

// Bounds of the transport.
const (
	connectTimeout   = 250 * time.Millisecond
	pingTimeout      = 150 * time.Millisecond // after it, a connection without a reply to its ping is closed if another one has a reply
	pingLateAfter    = 10 * time.Millisecond  // a connection whose ping is late is used only when there is no other
	absentGrace      = 5 * time.Millisecond   // time for a reply that left the upstream before the inquiry about its request arrived
	pingMaxWait      = 400 * time.Millisecond // a connection without a reply to its ping for this long is closed
	pauseGrace       = 2 * time.Millisecond   // time to read a reply that arrived during a pause of this process
	cancelGrace      = 50 * time.Millisecond  // time for the reply to a cancelled request
	replyGrace       = 10 * time.Millisecond  // time after the deadline in which a reply may still arrive
	maxCallIdle      = 100 * time.Millisecond // a connection that was idle longer is pinged before it carries a call
	idlePingInterval = 2 * time.Second        // idle connections are pinged to find a silent one before it carries a request
	maintainInterval = 500 * time.Millisecond
	alarmWindow      = 200 * time.Millisecond // silent connections to two upstreams within this time make all idle connections suspect
	minAlarmInterval = 500 * time.Millisecond // bounds the pings that a paused process sends
	freshReplyAge    = 20 * time.Millisecond  // a connection with a more recent reply is not suspect
	minOpenInterval  = time.Millisecond       // minimum time between two connects to one upstream
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// Options configure a connector.
type Options struct {
	VM            string
	Incarnation   uint64
	FailureDomain string
	LocalAddress  netip.Addr          // local address of connections; the system chooses one when it is unset
	Events        chan<- router.Event // bounded; a connection waits while it is full
	// Dial opens a connection. The default is TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Memory counts the heads and bodies of replies while they are read; nil counts nothing.
	Memory *bounder.Memory
}

// Counts are totals since the start of the connector.
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
	options    Options
	prefix     string // prefix of request ids
	context    context.Context
	stop       context.CancelFunc
	done       chan struct{}
	goroutines sync.WaitGroup
	counts     counters

	mu     sync.Mutex // locked before a pool's lock, never after it
	closed bool
	pools  map[poolKey]*pool

	alarm silenceAlarm

	attemptsMu sync.Mutex // locked after all other locks
	attempts   map[router.AttemptID]*job
}

type poolKey struct{ service, upstream string }

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
		pools:    map[poolKey]*pool{},
		attempts: map[router.AttemptID]*job{},
		alarm:    silenceAlarm{raised: make(chan struct{}, 1)},
	}
	c.goroutines.Add(1)
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

// Do executes an action and never blocks. For a Send that cannot start it returns the event that ends the attempt. The routing
// loop, which calls Do, passes that event to the router itself, because it must not wait for room in its own channel. Do
// ignores actions that are not for the transport.
func (c *Connector) Do(a router.Action) router.Event {
	switch a := a.(type) {
	case router.Send:
		return c.startSend(&a)
	case router.Cancel:
		c.cancelAttempt(a.Attempt)
	case router.Pool:
		c.resizePool(a)
	case router.Probe:
		c.probeUpstream(a)
	}
	return nil
}

func (c *Connector) findPool(k poolKey) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[k]
}

func (c *Connector) resizePool(a router.Pool) {
	c.mu.Lock()
	k := poolKey{a.Service, a.Upstream}
	p := c.pools[k]
	if c.closed || p == nil && a.Connections == 0 {
		c.mu.Unlock()
		return
	}
	if p == nil {
		p = &pool{owner: c, key: k, conns: map[*conn]struct{}{}}
		c.pools[k] = p
	}
	p.resize(a) // before the unlock, so that removeUnusedPools does not remove a pool that is about to be used
	c.mu.Unlock()
}

func (c *Connector) probeUpstream(a router.Probe) {
	if p := c.findPool(poolKey{a.Service, a.Upstream}); p != nil {
		p.probe()
	}
}

func (c *Connector) startSend(s *router.Send) router.Event {
	refuse := router.AttemptFailed{Attempt: s.Attempt, Failure: router.FailureNoConnection}
	p := c.findPool(poolKey{s.Service, s.Upstream})
	if p == nil || !p.dispatchJob(&job{kind: jobSend, pool: p, send: s}) {
		return refuse
	}
	return nil
}

// reportEvent sends an event to the routing loop. It blocks while the channel is full.
func (c *Connector) reportEvent(ev router.Event) {
	select {
	case c.options.Events <- ev:
	case <-c.context.Done():
	}
}

// Counts returns the totals since the start of the connector.
func (c *Connector) Counts() Counts {
	n := &c.counts
	return Counts{
		Opened: n.opened.Load(), Refused: n.refused.Load(), Unresponsive: n.unresponsive.Load(),
		Mismatched: n.mismatched.Load(), Cancelled: n.cancelled.Load(), Pings: n.pings.Load(), Sent: n.sent.Load(),
	}
}

// OpenConnections returns how many connections are open and how many of these are busy with a request, a ping or a
// cancellation.
func (c *Connector) OpenConnections() (open, busy int) {
	for _, p := range c.allPools() {
		p.mu.Lock()
		open += len(p.conns)
		busy += len(p.conns) - len(p.idle)
		p.mu.Unlock()
	}
	return open, busy
}

// ConnectionsAttempted reports whether there is at least one pool and every pool has tried to open its first connection.
func (c *Connector) ConnectionsAttempted() bool {
	pools := c.allPools()
	for _, p := range pools {
		p.mu.Lock()
		tried := p.openAttempted || p.limit == 0
		p.mu.Unlock()
		if !tried {
			return false
		}
	}
	return len(pools) > 0
}

func (c *Connector) allPools() []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}

// maintain pings idle connections, so that a silent one is replaced before it gets a request, and removes unused pools.
func (c *Connector) maintain() {
	defer c.goroutines.Done()
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-c.context.Done():
			return
		case <-c.alarm.raised:
			for _, p := range c.allPools() {
				p.suspectAll()
			}
		case now := <-t.C:
			for _, p := range c.allPools() {
				p.pingIdle(now)
			}
			c.removeUnusedPools()
		}
	}
}

// removeUnusedPools removes the pools of upstreams that are no longer in the table, once their connections are closed.
func (c *Connector) removeUnusedPools() {
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

// Close closes all connections and stops reporting events. Requests in flight end without an event.
func (c *Connector) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.stop()
	for _, p := range c.allPools() {
		p.closeConns()
	}
	go func() {
		c.goroutines.Wait()
		close(c.done)
	}()
}

// Done is closed when every goroutine of the connector has ended after Close.
func (c *Connector) Done() <-chan struct{} { return c.done }
