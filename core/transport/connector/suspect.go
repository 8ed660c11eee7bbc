package connector

import (
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// recordReplyLocked records a reply to a message that was sent at a time, and marks the connections that were late meanwhile as
// unresponsive. It does not close them, because a slow request may still be answered and would be lost by an early close. It
// starts an inquiry about each late request instead. The caller holds the pool's lock.
func (p *pool) recordReplyLocked(c *conn, sent time.Time) {
	now := time.Now()
	c.lastReply, c.unresponsive = now, false
	if sent.After(p.lastAnsweredSend) {
		p.lastAnsweredSend = sent
	}
	for _, n := range p.prober.RecordReply(now, c.id, sent) {
		for o := range p.conns {
			if o.id == n {
				o.unresponsive = true
				if o.replyLate {
					_ = o.nc.SetReadDeadline(pastDeadline)
				}
				if j := o.job; j != nil && j.kind == jobSend && j.writeBegun && !j.inquiryAnswered && !j.cancelled && !p.assignIdle(&job{kind: jobPing, lateJob: j}) {
					p.pendingInquiry = j
				}
			}
		}
	}
}

// handleSilence pings the idle connections of the pool and informs the alarm after a connection was found silent, because others
// may have become silent at the same time. A request that is only late does not cause this, because each slow request would then
// make the VM ping all of its connections. The caller holds the pool's lock.
func (p *pool) handleSilence(now time.Time) {
	p.pingSuspects(now)
	p.owner.alarm.recordSilence(now, p.key)
}

// handlePingFailure removes a connection whose ping failed. The request that waited for the ping, if there is one, moves to
// another connection. If the connection was silent, the other idle ones are pinged, because they may be silent as well.
func (p *pool) handlePingFailure(c *conn, waiting *job, silent bool) {
	now := time.Now()
	if silent {
		p.mu.Lock()
		p.suspectBefore = now.Add(-freshReplyAge)
		p.mu.Unlock()
	}
	p.handleConnEnd(c)
	if waiting != nil {
		p.redispatch(waiting)
	}
	if silent {
		p.mu.Lock()
		p.pingSuspects(now)
		p.mu.Unlock()
	}
}

// keepWaiting reports whether a connection waits on for the late reply to a ping or cancellation. It does not when pingTimeout
// has passed and the upstream has answered a message that was sent later, when pingMaxWait has passed, or when the pool is full
// and needs room to try a new connection. Otherwise keepWaiting pings the upstream on another connection to get such an answer.
// When the upstream is paused, that ping has no reply either and all connections are kept until pingMaxWait.
func (p *pool) keepWaiting(c *conn, sent time.Time) bool {
	p.mu.Lock()
	now := time.Now()
	full := len(p.idle) == 0 && !p.opening && len(p.conns) >= p.limit
	if full && now.Sub(p.lastEviction) > pingMaxWait {
		p.lastEviction = now
		p.mu.Unlock()
		return false
	}
	next := sent.Add(pingTimeout)
	if !now.Before(next) {
		next = sent.Add(pingMaxWait)
		if c.unresponsive || p.lastAnsweredSend.After(sent) || !now.Before(next) {
			p.mu.Unlock()
			return false
		}
	}
	if p.prober.RecordLate(now, c.id) {
		p.pingElsewhere(nil)
	}
	c.replyLate = true
	p.moveWaitingSend(c)
	_ = c.nc.SetReadDeadline(next)
	p.mu.Unlock()
	p.reportUsable()
	return true
}

// moveWaitingSend moves the sub-request that waits for a late ping to an idle connection. The caller holds the pool's lock.
func (p *pool) moveWaitingSend(c *conn) {
	switch {
	case c.queued != nil && p.assignIdle(c.queued):
		c.queued = nil
	case c.job.kind == jobSend && p.assignIdle(c.job):
		c.job = &job{kind: jobPing}
	}
}

// recordPresence records the upstream's answer to an inquiry about a late request. A request that the upstream does not have
// was lost with its connection, and a retry is no extra work for the upstream. It is given up after absentGrace, because its
// reply may still be on the way. A call is not given up: it may be lost or still on its way, and only its deadline bounds that.
func (p *pool) recordPresence(j *job, a encoder.SubPresence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordPresenceLocked(j, a)
}

func (p *pool) recordPresenceLocked(j *job, a encoder.SubPresence) {
	j.inquiryAnswered = true
	if a == encoder.SubAbsent && j.conn.job == j {
		p.handleSilence(time.Now())
	}
	if a != encoder.SubAbsent || j.conn.job != j || j.cancelled || j.send.Kind == encoder.SubCall {
		return
	}
	j.abandonAt = time.Now().Add(absentGrace)
	_ = j.conn.nc.SetReadDeadline(j.abandonAt)
}

// replyBegun records that the first byte of the reply to a ping or cancellation has arrived.
func (p *pool) replyBegun(c *conn, limit time.Time) {
	p.mu.Lock()
	late := c.replyLate
	c.replyLate = false // so that recordReplyLocked does not interrupt the read of the rest
	_ = c.nc.SetReadDeadline(limit)
	p.mu.Unlock()
	if late {
		p.reportUsable()
	}
}

// probe opens a new connection, or pings the upstream on an idle connection when the pool is full.
func (p *pool) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.openNow() {
		p.assignIdle(&job{kind: jobPing})
	}
}

// pingElsewhere pings the upstream on an idle connection, or opens a new one when none is idle. The ping asks about a late
// request unless lateJob is nil. When the pool is full, the next connection that becomes free asks. The caller holds the pool's
// lock.
func (p *pool) pingElsewhere(lateJob *job) {
	if !p.assignIdle(&job{kind: jobPing, lateJob: lateJob}) && !p.openNow() && lateJob != nil {
		p.pendingInquiry = lateJob
	}
}

// openNow opens a connection without waiting for the end of the back-off. It returns false when the pool is full. The caller
// holds the pool's lock.
func (p *pool) openNow() bool {
	p.startOpener()
	if !p.opening {
		return false
	}
	select {
	case p.skipWait <- struct{}{}:
	default:
	}
	return true
}

// pingIdle pings one idle connection that had no reply for idlePingInterval.
func (p *pool) pingIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if now.Sub(c.lastReply) >= idlePingInterval {
			p.pingConn(c)
			return
		}
	}
}

// pingSuspects makes the connections without a reply within freshReplyAge suspect, and pings the idle ones among them. The
// caller holds the pool's lock.
func (p *pool) pingSuspects(now time.Time) {
	p.suspectBefore = now.Add(-freshReplyAge)
	for _, c := range slices.Clone(p.idle) {
		if c.lastReply.Before(p.suspectBefore) {
			p.pingConn(c)
		}
	}
}

// pingConn pings an idle connection. The caller holds the pool's lock.
func (p *pool) pingConn(c *conn) {
	i := slices.Index(p.idle, c)
	p.idle = append(slices.Delete(p.idle, i, i+1), c) // assignIdle takes the last one
	p.assignIdle(&job{kind: jobPing})
}
