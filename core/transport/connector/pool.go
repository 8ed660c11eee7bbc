package connector

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"comfreyroute/core/coordination/prober"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// pool holds the connections to one upstream. Its lock also guards the state of each connection.
type pool struct {
	owner *Connector
	key   key

	mu      sync.Mutex
	address netip.AddrPort
	limit   int
	pace    time.Duration
	conns   map[*conn]struct{} // those that are open, idle or not
	idle    []*conn            // the one used last is at the end
	opening bool
	hurry   chan struct{} // ends the back-off of the opener
	prober  prober.Prober
	suspect time.Time // connections not heard since then are pinged before their next request
	tried   bool      // the first attempt to open a connection has ended
}

func (p *pool) resize(a router.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved := p.address.IsValid() && p.address != a.Address
	p.address, p.limit, p.pace = a.Address, a.Connections, max(a.ConnectCost, minPace)
	for len(p.idle) > 0 && (moved || len(p.conns) > p.limit) {
		p.drop(p.idle[0])
	}
	for c := range p.conns {
		c.retire = c.retire || moved
	}
	p.grow()
}

// drop closes a connection and removes it from the pool. The pool's lock is held.
func (p *pool) drop(c *conn) {
	if _, ok := p.conns[c]; !ok {
		return
	}
	delete(p.conns, c)
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	p.prober.Forget(c.number)
	_ = c.nc.Close()
}

// grow starts the opener when there is room for a connection. The pool's lock is held.
func (p *pool) grow() {
	if p.opening || len(p.conns) >= p.limit || !p.owner.start() {
		return
	}
	p.opening = true
	p.hurry = make(chan struct{}, 1)
	go p.open(p.hurry)
}

// open opens connections one at a time until the pool is full. A new connection counts against the bound from before its
// first packet until after its close.
func (p *pool) open(hurry <-chan struct{}) {
	defer p.owner.running.Done()
	backoff := minBackoff
	p.mu.Lock()
	pace := p.pace
	p.mu.Unlock()
	// The upstream has to notice the close of the connection that is replaced before it counts the new one. A probe does not
	// wait: it asks because the upstream itself closed a connection.
	p.owner.pause(pace, hurry)
	for {
		p.mu.Lock()
		if len(p.conns) >= p.limit || p.owner.stopped() {
			p.opening = false
			p.mu.Unlock()
			return
		}
		address := p.address
		pace = p.pace
		p.mu.Unlock()
		opened := p.openOne(address)
		p.mu.Lock()
		p.tried = true
		p.mu.Unlock()
		if opened {
			backoff = minBackoff
			p.owner.pause(pace, nil)
			continue
		}
		// Jitter keeps the VMs of the fleet from returning to a restarted upstream at the same moment.
		p.owner.pause(backoff/2+rand.N(backoff), hurry)
		backoff = min(2*backoff, maxBackoff)
	}
}

// openOne opens and pings one connection. A connection that does not answer its first ping carries no request.
func (p *pool) openOne(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(p.owner.context, connectTimeout)
	defer cancel()
	began := time.Now()
	nc, err := p.owner.options.Dial(ctx, address)
	if err != nil {
		p.unreachable(errors.Is(err, syscall.ECONNREFUSED))
		return false
	}
	c := newConn(p, nc)
	reply, err := c.ping(began.Add(connectTimeout), "")
	if err != nil {
		_ = nc.Close()
		p.unreachable(isReset(err))
		return false
	}
	p.owner.counts.opened.Add(1)
	p.mu.Lock()
	if p.owner.stopped() || len(p.conns) >= p.limit || p.address != address || !p.owner.start() {
		p.mu.Unlock()
		_ = nc.Close()
		return true
	}
	_ = nc.SetDeadline(time.Time{})
	p.conns[c] = struct{}{}
	p.idle = append(p.idle, c)
	p.answered(c, began)
	open := len(p.conns)
	p.mu.Unlock()
	go c.run()
	p.owner.report(router.UpstreamSeen{Service: p.key.service, Reply: reply})
	p.changed(open)
	return true
}

func (p *pool) unreachable(refused bool) {
	p.owner.counts.refused.Add(1)
	p.owner.report(router.UpstreamUnreachable{Service: p.key.service, Upstream: p.key.upstream, Refused: refused})
}

func (p *pool) changed(open int) {
	p.owner.report(router.ConnectionsChanged{Service: p.key.service, Upstream: p.key.upstream, Open: open})
}

// answered records that the upstream answered something that was sent at a time, and notes which connections were silent
// meanwhile. They are not closed yet: a slow request may still be answered, and closing it early would only lose it. The
// pool's lock is held.
func (p *pool) answered(c *conn, sent time.Time) {
	now := time.Now()
	c.heard, c.unresponsive = now, false
	for _, n := range p.prober.Answered(now, c.number, sent) {
		for o := range p.conns {
			o.unresponsive = o.unresponsive || o.number == n
		}
	}
}

// absent gives up a late request that the upstream does not have, after the time that a reply on its way may take. The
// request was lost with its connection, so that sending it again is no extra work for the upstream. A call is not given up:
// it may have been lost or still be on its way, and only its deadline bounds that.
func (p *pool) absent(j *job, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j == nil || j.conn.job != j || j.cancelled || j.send.Kind == encoder.SubCall {
		return
	}
	j.lost = time.Now().Add(absentGrace)
	_ = j.conn.nc.SetReadDeadline(j.lost)
	p.suspect = asked
	p.pingSuspects()
}

// pingSuspects pings the idle connections that may have become silent with another one. The pool's lock is held.
func (p *pool) pingSuspects() {
	for _, c := range slices.Clone(p.idle) {
		if c.heard.Before(p.suspect) {
			p.pingOne(c)
		}
	}
}

// pingOne pings one idle connection. The pool's lock is held.
func (p *pool) pingOne(c *conn) {
	i := slices.Index(p.idle, c)
	p.idle = append(slices.Delete(p.idle, i, i+1), c) // assign takes the last one
	p.assign(&job{kind: jobPing})
}

// dispatch gives a job to an idle connection. It returns false when there is none.
func (p *pool) dispatch(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assign(j)
}

func (p *pool) assign(j *job) bool {
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	c.job = j
	j.conn = c
	if j.kind == jobSend {
		p.owner.enter(j)
	}
	// An idle connection waits in a read; a read deadline in the past wakes it.
	_ = c.nc.SetReadDeadline(past)
	return true
}

// release returns a connection to the idle ones, or closes it when the pool has shrunk. It returns false when it was closed.
func (p *pool) release(c *conn) bool {
	p.mu.Lock()
	if _, ok := p.conns[c]; !ok || c.retire || len(p.conns) > p.limit {
		p.mu.Unlock()
		p.lost(c)
		return false
	}
	defer p.mu.Unlock()
	c.job = nil
	_ = c.nc.SetReadDeadline(time.Time{})
	p.idle = append(p.idle, c)
	return true
}

// lost removes a connection that ended and lets the opener replace it.
func (p *pool) lost(c *conn) {
	p.mu.Lock()
	p.drop(c)
	p.grow()
	open := len(p.conns)
	p.mu.Unlock()
	p.changed(open)
}

// lostPing is lost for a connection that did not answer a ping. If it stayed silent, others may be silent as well, so
// they are pinged before their next request.
func (p *pool) lostPing(c *conn, silent bool) {
	if silent {
		p.mu.Lock()
		p.suspect = time.Now()
		p.mu.Unlock()
	}
	p.lost(c)
}

// finish records a reply and releases the connection.
func (p *pool) finish(c *conn, sent time.Time) bool {
	p.confirm(c, sent)
	return p.release(c)
}

func (p *pool) confirm(c *conn, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered(c, sent)
}

// again gives a job whose connection ended before its first byte to another connection.
func (p *pool) again(j *job) {
	if p.dispatch(j) || j.kind != jobSend {
		return
	}
	p.owner.fail(j.send, router.FailureNoConnection, false)
}

// probe opens a new connection, or pings the upstream on an idle one when there is no room.
func (p *pool) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expand() {
		p.assign(&job{kind: jobPing})
	}
}

// ask pings the upstream about a late request on an idle connection, or opens a new one when none is idle. The pool's lock
// is held.
func (p *pool) ask(about *job) {
	if !p.assign(&job{kind: jobPing, about: about}) {
		p.expand()
	}
}

// expand opens a connection without waiting for the end of the back-off. It returns false when there is no room. The
// pool's lock is held.
func (p *pool) expand() bool {
	p.grow()
	if !p.opening {
		return false
	}
	select {
	case p.hurry <- struct{}{}:
	default:
	}
	return true
}

// pingIdle pings the idle connections that may have become silent with another one, and one that was idle for long.
func (p *pool) pingIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pingSuspects()
	for _, c := range p.idle {
		if now.Sub(c.heard) >= idlePing {
			p.pingOne(c)
			return
		}
	}
}

func (p *pool) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = 0
	for c := range p.conns {
		_ = c.nc.Close()
	}
}

func (p *pool) seen(r *encoder.SubReply) {
	p.owner.report(router.UpstreamSeen{Service: p.key.service, Reply: r})
}
