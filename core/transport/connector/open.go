package connector

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

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

// lateJob returns a late request that the upstream was not asked about, or nil.
func (p *pool) lateJob() *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if j := c.job; j != nil && j.late && !j.asked && !j.cancelled {
			return j
		}
	}
	return nil
}

// greet sends the first ping on a new connection, which may ask about a late request, and reads the reply.
func (c *conn) greet(deadline time.Time, about *job) (*encoder.SubReply, error) {
	_ = c.nc.SetDeadline(deadline)
	c.pool.owner.counts.pings.Add(1)
	c.message.prepare(http.MethodGet, encoder.PathPing, c.pool.owner.nextID(), nil)
	if about != nil {
		c.message.set(encoder.HeaderAskID, c.pool.owner.attemptID(about.send.Attempt))
	}
	if err := c.write(); err != nil {
		return nil, err
	}
	if err := c.peek(); err != nil {
		return nil, err
	}
	reply, keep, err := c.read(c.message.id)
	if err == nil && !keep {
		err = net.ErrClosed
	}
	return reply, err
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
	about := p.lateJob()
	reply, err := c.greet(began.Add(connectTimeout), about)
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
	if about != nil {
		p.learn(about, reply.Presence)
	}
	p.answered(c, began)
	p.mu.Unlock()
	go c.run()
	p.owner.report(router.UpstreamSeen{Service: p.key.service, Reply: reply})
	p.tell()
	return true
}

func (p *pool) unreachable(refused bool) {
	p.owner.counts.refused.Add(1)
	p.owner.report(router.UpstreamUnreachable{Service: p.key.service, Upstream: p.key.upstream, Refused: refused})
}
