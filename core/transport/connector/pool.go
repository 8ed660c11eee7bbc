package connector

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreyroute/core/coordination/prober"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// pool holds the connections to one upstream. Its lock also guards the state of its connections and their jobs.
type pool struct {
	owner *Connector
	key   poolKey

	reportMu       sync.Mutex // held while the number of usable connections is reported, which keeps reports in order
	reportedUsable int        // guarded by reportMu

	mu               sync.Mutex
	address          netip.AddrPort
	limit            int
	openInterval     time.Duration
	conns            map[*conn]struct{} // all open connections
	idle             []*conn            // most recently used last
	opening          bool               // the opener is running
	skipWait         chan struct{}      // ends the back-off of the opener
	prober           prober.Prober
	lastAnsweredSend time.Time // send time of the newest message that the upstream has answered
	lastEviction     time.Time // when a late connection was last closed to make room for a new one
	suspectBefore    time.Time // connections without a reply since then are pinged before their next request
	pendingInquiry   *job      // late request to ask about on the next connection that becomes free
	openAttempted    bool      // the first attempt to open a connection has ended
}

func (p *pool) resize(a router.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved := p.address.IsValid() && p.address != a.Address
	p.address, p.limit, p.openInterval = a.Address, a.Connections, max(a.ConnectCost, minOpenInterval)
	for len(p.idle) > 0 && (moved || len(p.conns) > p.limit) {
		p.removeConn(p.idle[0])
	}
	for c := range p.conns {
		c.closeAfterJob = c.closeAfterJob || moved
	}
	p.startOpener()
}

// removeConn closes a connection and removes it from the pool. The caller holds the pool's lock.
func (p *pool) removeConn(c *conn) {
	if _, ok := p.conns[c]; !ok {
		return
	}
	delete(p.conns, c)
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	p.prober.Forget(c.id)
	_ = c.nc.Close()
}

// reportUsable reports the number of usable connections when it has changed. A connection whose ping is late is not usable while
// there are others. A connection with a late sub-request is usable, because the router counts the sub-request itself.
func (p *pool) reportUsable() {
	p.reportMu.Lock()
	defer p.reportMu.Unlock()
	p.mu.Lock()
	usable := 0
	for c := range p.conns {
		if !c.replyLate {
			usable++
		}
	}
	if usable == 0 {
		usable = len(p.conns) // a pause of the upstream or of this process makes all pings late
	}
	same := usable == p.reportedUsable
	p.reportedUsable = usable
	p.mu.Unlock()
	if !same {
		p.owner.reportEvent(router.ConnectionsChanged{Service: p.key.service, Upstream: p.key.upstream, Open: usable})
	}
}

// dispatchJob gives a job to an idle connection, or queues it on one that waits for the reply to a ping or cancellation, which
// takes a few milliseconds. It returns false when there is none.
func (p *pool) dispatchJob(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assignIdle(j) || p.queueSend(j)
}

// assignIdle gives a job to the most recently used idle connection. It returns false when none is idle. The caller holds the
// pool's lock.
func (p *pool) assignIdle(j *job) bool {
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	p.startJob(c, j)
	return true
}

// startJob gives a job to a connection and wakes its goroutine, which blocks in a read, with a read deadline in the past. The
// caller holds the pool's lock.
func (p *pool) startJob(c *conn, j *job) {
	c.job, j.conn = j, c
	if j.kind == jobSend {
		p.owner.registerAttempt(j)
	}
	_ = c.nc.SetReadDeadline(pastDeadline)
}

// queueSend queues a sub-request on a connection that waits for the reply to a ping or cancellation. It takes a connection whose
// reply is late only when there is no other. The caller holds the pool's lock.
func (p *pool) queueSend(j *job) bool {
	if j.kind != jobSend {
		return false
	}
	var chosen *conn
	for c := range p.conns {
		if c.job != nil && c.job.kind != jobSend && c.queued == nil && (chosen == nil || chosen.replyLate && !c.replyLate) {
			chosen = c
		}
	}
	if chosen == nil {
		return false
	}
	chosen.queued, j.conn = j, chosen
	p.owner.registerAttempt(j)
	return true
}

// releaseConn starts the next job of a connection or makes it idle, or closes it when the pool has shrunk. It returns false when
// the connection was closed.
func (p *pool) releaseConn(c *conn) bool {
	p.mu.Lock()
	if _, ok := p.conns[c]; !ok || c.closeAfterJob || len(p.conns) > p.limit {
		p.mu.Unlock()
		p.handleConnEnd(c)
		return false
	}
	defer p.mu.Unlock()
	if next := c.queued; next != nil {
		c.queued = nil
		p.startJob(c, next)
		return true
	}
	if q := p.pendingInquiry; q != nil {
		p.pendingInquiry = nil
		if q.conn.job == q && !q.inquiryAnswered && !q.cancelled {
			p.startJob(c, &job{kind: jobPing, lateJob: q})
			return true
		}
	}
	c.job = nil
	_ = c.nc.SetReadDeadline(time.Time{})
	p.idle = append(p.idle, c)
	return true
}

// handleConnEnd removes a connection that has ended, starts the opener to replace it and dispatches its queued job again.
func (p *pool) handleConnEnd(c *conn) {
	p.mu.Lock()
	p.removeConn(c)
	p.startOpener()
	next := c.queued
	c.queued = nil
	p.mu.Unlock()
	if next != nil {
		p.redispatch(next)
	}
	p.reportUsable()
}

// finishExchange records a reply and releases its connection. It returns false when the connection was closed.
func (p *pool) finishExchange(c *conn, sent time.Time) bool {
	p.recordReply(c, sent)
	return p.releaseConn(c)
}

func (p *pool) recordReply(c *conn, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordReplyLocked(c, sent)
}

// redispatch gives a job to another connection after its connection ended before the first byte of the job was written. A
// sub-request fails when there is no other connection; a ping or cancellation is dropped.
func (p *pool) redispatch(j *job) {
	if p.dispatchJob(j) || j.kind != jobSend {
		return
	}
	p.owner.failAttempt(j.send, router.FailureNoConnection, false)
}

func (p *pool) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = 0
	for c := range p.conns {
		_ = c.nc.Close()
	}
}

func (p *pool) reportSeen(r *encoder.SubReply) {
	p.owner.reportEvent(router.UpstreamSeen{Service: p.key.service, Reply: r})
}
