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

// startOpener starts the opener when there is room for a connection. The caller holds the pool's lock.
func (p *pool) startOpener() {
	if p.opening || len(p.conns) >= p.limit || !p.owner.addGoroutine() {
		return
	}
	p.opening = true
	p.skipWait = make(chan struct{}, 1)
	go p.runOpener(p.skipWait)
}

// runOpener opens connections one at a time until the pool is full. A new connection counts against the limit from before its
// first packet until after its close.
func (p *pool) runOpener(skipWait <-chan struct{}) {
	defer p.owner.goroutines.Done()
	backoff := minBackoff
	p.mu.Lock()
	openInterval := p.openInterval
	p.mu.Unlock()
	// Wait until the upstream has noticed the close of the replaced connection; until then, it could count the new connection
	// as one above its limit. A probe does not wait, because it is sent after the upstream itself closed a connection.
	p.owner.wait(openInterval, skipWait)
	for {
		p.mu.Lock()
		if len(p.conns) >= p.limit || p.owner.stopped() {
			p.opening = false
			p.mu.Unlock()
			return
		}
		address := p.address
		openInterval = p.openInterval
		p.mu.Unlock()
		opened := p.openConn(address)
		p.mu.Lock()
		p.openAttempted = true
		p.mu.Unlock()
		if opened {
			backoff = minBackoff
			p.owner.wait(openInterval, nil)
			continue
		}
		// Jitter keeps the VMs of the fleet from reconnecting to a restarted upstream at the same time.
		p.owner.wait(backoff/2+rand.N(backoff), skipWait)
		backoff = min(2*backoff, maxBackoff)
	}
}

// findLateJob returns a late request for which no inquiry was answered, or nil.
func (p *pool) findLateJob() *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if j := c.job; j != nil && j.late && !j.inquiryAnswered && !j.cancelled {
			return j
		}
	}
	return nil
}

// pingNew sends the first ping on a new connection and reads the reply. The ping also asks about a late
// request unless lateJob is nil.
func (c *conn) pingNew(deadline time.Time, lateJob *job) (*encoder.SubReply, error) {
	_ = c.nc.SetDeadline(deadline)
	c.pool.owner.counts.pings.Add(1)
	c.message.prepare(http.MethodGet, encoder.PathPing, c.pool.owner.nextID(), nil)
	if lateJob != nil {
		c.message.setHeader(encoder.HeaderAskID, c.pool.owner.attemptID(lateJob.send.Attempt))
	}
	if err := c.writeRequest(); err != nil {
		return nil, err
	}
	if err := c.peekReply(); err != nil {
		return nil, err
	}
	reply, keep, err := c.readReply(c.message.id)
	if err == nil && !keep {
		err = net.ErrClosed
	}
	return reply, err
}

// openConn opens one connection and pings the upstream on it. A connection without a reply to its first ping is not used. It
// returns false when the connect or the ping failed.
func (p *pool) openConn(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(p.owner.context, connectTimeout)
	defer cancel()
	began := time.Now()
	nc, err := p.owner.options.Dial(ctx, address)
	if err != nil {
		p.reportUnreachable(errors.Is(err, syscall.ECONNREFUSED))
		return false
	}
	c := newConn(p, nc)
	lateJob := p.findLateJob()
	reply, err := c.pingNew(began.Add(connectTimeout), lateJob)
	if err != nil {
		_ = nc.Close()
		p.reportUnreachable(isReset(err))
		return false
	}
	p.owner.counts.opened.Add(1)
	p.mu.Lock()
	if p.owner.stopped() || len(p.conns) >= p.limit || p.address != address || !p.owner.addGoroutine() {
		p.mu.Unlock()
		_ = nc.Close()
		return true
	}
	_ = nc.SetDeadline(time.Time{})
	p.conns[c] = struct{}{}
	p.idle = append(p.idle, c)
	if lateJob != nil {
		p.recordPresenceLocked(lateJob, reply.Presence)
	}
	p.recordReplyLocked(c, began)
	p.mu.Unlock()
	go c.run()
	p.owner.reportEvent(router.UpstreamSeen{Service: p.key.service, Reply: reply})
	p.reportUsable()
	return true
}

func (p *pool) reportUnreachable(refused bool) {
	p.owner.counts.refused.Add(1)
	p.owner.reportEvent(router.UpstreamUnreachable{Service: p.key.service, Upstream: p.key.upstream, Refused: refused})
}
