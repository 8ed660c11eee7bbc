package connector

import (
	"errors"
	"net/http"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// executeSend sends one sub-request and reports its end. It returns false when the connection has ended.
func (c *conn) executeSend(j *job) bool {
	p, s := c.pool, j.send
	if p.needsPing(c, s) {
		sent := time.Now()
		c.message.prepare(http.MethodGet, encoder.PathPing, p.owner.nextID(), nil)
		reply, err := c.exchange(sent)
		moved := p.jobMoved(c, j)
		if err != nil {
			// No byte of the request was written, so another connection may carry it.
			if moved {
				j = nil
			}
			p.handlePingFailure(c, j, isTimeout(err))
			return false
		}
		if moved {
			kept := p.finishExchange(c, sent)
			p.reportSeen(reply)
			return kept
		}
		p.recordReply(c, sent)
		p.reportSeen(reply)
	}
	left := time.Until(s.Deadline)
	if left < time.Millisecond {
		return c.failUnsent(s, router.FailureTimeout)
	}
	id := p.owner.attemptID(s.Attempt)
	if err := c.message.prepareSend(s, id, left); err != nil {
		return c.failUnsent(s, router.FailureInvalid)
	}
	late, ok := p.beginWrite(c, j)
	if !ok {
		return c.failUnsent(s, router.FailureCancelled)
	}
	return c.exchangeSend(j, id, late)
}

// failUnsent ends an attempt of which nothing was written. The connection remains usable.
func (c *conn) failUnsent(s *router.Send, f router.Failure) bool {
	kept := c.pool.releaseConn(c)
	c.pool.owner.failAttempt(s, f, false)
	return kept
}

// exchangeSend writes the sub-request, reads its reply and reports it. It returns false when the connection has ended.
func (c *conn) exchangeSend(j *job, id string, late time.Time) bool {
	p, s := c.pool, j.send
	p.owner.counts.sent.Add(1)
	sent := time.Now()
	c.writer.written = 0
	_ = c.nc.SetWriteDeadline(s.Deadline)
	err := c.writeRequest()
	written := c.writer.written > 0
	if err != nil {
		return c.failBroken(j, err, written)
	}
	if err := c.awaitReply(j, late); err != nil {
		return c.failBroken(j, err, true)
	}
	reply, keep, err := c.readReply(id)
	if err != nil {
		return c.failBroken(j, err, true)
	}
	p.owner.unregisterAttempt(s.Attempt)
	if keep {
		keep = p.finishExchange(c, sent) // before the report, so that the router can use the connection at once
	} else {
		p.recordReply(c, sent)
		p.handleConnEnd(c)
	}
	p.owner.reportEvent(router.ReplyArrived{Attempt: s.Attempt, Reply: reply})
	return keep
}

// awaitReply waits for the first byte of the reply. When the reply is late, it starts an inquiry about the request on
// another connection.
func (c *conn) awaitReply(j *job, late time.Time) error {
	p, limit := c.pool, j.send.Deadline.Add(replyGrace)
	p.setReadDeadline(j, late)
	for {
		err := c.peekReply()
		if err == nil {
			p.setReadDeadline(j, limit)
			return nil
		}
		if !isTimeout(err) || !p.handleLateReply(c, j, limit) {
			return err
		}
	}
}

// failBroken closes a connection that failed, ends its attempt and returns false.
func (c *conn) failBroken(j *job, err error, written bool) bool {
	p := c.pool
	f := p.classifyFailure(c, j, err)
	p.handleConnEnd(c)
	switch f {
	case router.FailureMismatched:
		p.owner.counts.mismatched.Add(1)
	case router.FailureCancelled:
		p.owner.counts.cancelled.Add(1)
	}
	p.owner.failAttempt(j.send, f, written)
	return false
}

// classifyFailure returns the failure of an attempt. If its connection was silent, the idle connections of the pool are pinged,
// because they may be silent as well.
func (p *pool) classifyFailure(c *conn, j *job, err error) router.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := c.unresponsive && isTimeout(err)
	if silent {
		p.pingSuspects(time.Now())
		p.owner.counts.unresponsive.Add(1)
	}
	switch {
	case silent && (!j.cancelled || j.unresponsive):
		return router.FailureUnresponsive
	case errors.Is(err, errMismatched):
		return router.FailureMismatched
	case j.cancelled:
		return router.FailureCancelled
	case isTimeout(err):
		return router.FailureTimeout
	case isBroken(err):
		return router.FailureReset
	default:
		return router.FailureInvalid
	}
}

// needsPing reports whether a connection is pinged before it carries a request: before a call when it was idle for longer than
// maxCallIdle, and before any request when its last reply was before suspectBefore, because another connection was found silent.
func (p *pool) needsPing(c *conn, s *router.Send) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.Kind == encoder.SubCall && time.Since(c.lastReply) > maxCallIdle || c.lastReply.Before(p.suspectBefore)
}

// jobMoved reports whether another connection has taken a request that waited for a ping on this one.
func (p *pool) jobMoved(c *conn, j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.job != j
}

// beginWrite marks a request as being written and returns the time after which its reply is late. ok is false when the request
// was cancelled.
func (p *pool) beginWrite(c *conn, j *job) (late time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelled {
		return time.Time{}, false
	}
	j.writeBegun, j.conn = true, c
	return p.prober.LateAt(time.Now(), j.send.Deadline), true
}

// setReadDeadline sets the read deadline for a reply. A cancelled request keeps its cancelDeadline.
func (p *pool) setReadDeadline(j *job, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelled {
		t = j.cancelDeadline
	}
	_ = j.conn.nc.SetReadDeadline(t)
}

// handleLateReply sets the next read deadline after one has passed without a reply, and starts an inquiry about the request
// on another connection unless the request was cancelled. It returns false when the request is given up.
func (p *pool) handleLateReply(c *conn, j *job, limit time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	next := limit
	if j.cancelled {
		next = j.cancelDeadline
	}
	if !j.abandonAt.IsZero() && j.abandonAt.Before(next) {
		next = j.abandonAt
	}
	if !now.Before(next) {
		return false
	}
	j.late = true
	if !j.cancelled && p.prober.RecordLate(now, c.id) {
		p.pingElsewhere(j)
	}
	_ = c.nc.SetReadDeadline(next)
	return true
}

// cancelAttempt cancels an attempt. The cancellation is sent on an idle connection. Without one, the connection of the attempt
// is closed, which the upstream notices as well.
func (c *Connector) cancelAttempt(a router.AttemptID) {
	j := c.findAttempt(a)
	if j == nil {
		return
	}
	p := j.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelled || j.conn.job != j && j.conn.queued != j {
		return // the reply arrived meanwhile
	}
	j.cancelled, j.unresponsive = true, j.conn.unresponsive
	if !j.writeBegun {
		return
	}
	now := time.Now()
	j.cancelDeadline = now.Add(cancelGrace)
	_ = j.conn.nc.SetReadDeadline(j.cancelDeadline)
	p.prober.RecordLate(now, j.conn.id)
	if !p.assignIdle(&job{kind: jobCancel, cancelID: c.attemptID(a)}) {
		p.removeConn(j.conn)
	}
}
