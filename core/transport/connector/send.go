package connector

import (
	"errors"
	"net/http"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// carrySend carries one sub-request and reports its end.
func (c *conn) carrySend(j *job) bool {
	p, s := c.pool, j.send
	if p.doubtful(c, s) {
		sent := time.Now()
		c.message.prepare(http.MethodGet, encoder.PathPing, p.owner.nextID(), nil)
		reply, err := c.ask(sent)
		moved := p.moved(c, j)
		if err != nil {
			// No byte of the request was written: another connection may carry it.
			if moved {
				j = nil
			}
			p.lostPing(c, j, isTimeout(err))
			return false
		}
		if moved {
			kept := p.finish(c, sent)
			p.seen(reply)
			return kept
		}
		p.confirm(c, sent)
		p.seen(reply)
	}
	left := time.Until(s.Deadline)
	if left < time.Millisecond {
		return c.unsent(s, router.FailureTimeout)
	}
	id := p.owner.attemptID(s.Attempt)
	if err := c.message.prepareSend(s, id, left); err != nil {
		return c.unsent(s, router.FailureInvalid)
	}
	late, ok := p.begin(c, j)
	if !ok {
		return c.unsent(s, router.FailureCancelled)
	}
	return c.transfer(j, id, late)
}

// unsent ends an attempt of which nothing was written. The connection stays usable.
func (c *conn) unsent(s *router.Send, f router.Failure) bool {
	kept := c.pool.release(c)
	c.pool.owner.fail(s, f, false)
	return kept
}

// transfer writes the request and reads its reply.
func (c *conn) transfer(j *job, id string, late time.Time) bool {
	p, s := c.pool, j.send
	p.owner.counts.sent.Add(1)
	sent := time.Now()
	c.out.written = 0
	_ = c.nc.SetWriteDeadline(s.Deadline)
	err := c.write()
	written := c.out.written > 0
	if err != nil {
		return c.broken(j, err, written)
	}
	if err := c.await(j, late); err != nil {
		return c.broken(j, err, true)
	}
	reply, keep, err := c.read(id)
	if err != nil {
		return c.broken(j, err, true)
	}
	p.owner.leave(s.Attempt)
	if keep {
		keep = p.finish(c, sent) // before the report, so that the router can use the connection at once
	} else {
		p.confirm(c, sent)
		p.lost(c)
	}
	p.owner.report(router.ReplyArrived{Attempt: s.Attempt, Reply: reply})
	return keep
}

// await waits for the first byte of the reply. It asks for a ping on another connection when the reply is late.
func (c *conn) await(j *job, late time.Time) error {
	p, limit := c.pool, j.send.Deadline.Add(replyGrace)
	p.setRead(j, late)
	for {
		err := c.peek()
		if err == nil {
			p.setRead(j, limit)
			return nil
		}
		if !isTimeout(err) || !p.overdue(c, j, limit) {
			return err
		}
	}
}

// broken ends an attempt whose connection failed, and closes the connection.
func (c *conn) broken(j *job, err error, written bool) bool {
	p := c.pool
	f := p.classify(c, j, err)
	p.lost(c)
	switch f {
	case router.FailureMismatched:
		p.owner.counts.mismatched.Add(1)
	case router.FailureCancelled:
		p.owner.counts.cancelled.Add(1)
	}
	p.owner.fail(j.send, f, written)
	return false
}

// classify tells why an attempt failed.
func (p *pool) classify(c *conn, j *job, err error) router.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := c.unresponsive && isTimeout(err)
	if silent {
		p.pingSuspects(time.Now())
		p.owner.counts.unresponsive.Add(1)
	}
	switch {
	case silent && (!j.cancelled || j.silent):
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

// doubtful tells whether a connection is pinged before it carries a request: before a call when it was idle for long,
// and before any request when another connection to the upstream turned out to be unresponsive meanwhile.
func (p *pool) doubtful(c *conn, s *router.Send) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.Kind == encoder.SubCall && time.Since(c.heard) > maxIdleCall || c.heard.Before(p.suspect)
}

// moved tells whether another connection has taken a request that waited for a ping on this one.
func (p *pool) moved(c *conn, j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.job != j
}

// begin marks a request as being written, unless it was cancelled, and returns when its reply is late.
func (p *pool) begin(c *conn, j *job) (late time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelled {
		return time.Time{}, false
	}
	j.writing, j.conn = true, c
	return p.prober.LateAt(time.Now(), j.send.Deadline), true
}

// setRead sets the time until which the connection waits for its reply.
func (p *pool) setRead(j *job, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelled {
		t = j.until
	}
	_ = j.conn.nc.SetReadDeadline(t)
}

// overdue is called when the wait for a reply ended without one. It returns false when the request is given up.
func (p *pool) overdue(c *conn, j *job, limit time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	next := limit
	if j.cancelled {
		next = j.until
	}
	if !j.lost.IsZero() && j.lost.Before(next) {
		next = j.lost
	}
	if !now.Before(next) {
		return false
	}
	j.late = true
	if !j.cancelled && p.prober.RecordLate(now, c.number) {
		p.ask(j)
	}
	_ = c.nc.SetReadDeadline(next)
	return true
}

// cancel ends an attempt. The upstream is told on an idle connection; without one, the connection is closed, which the
// upstream notices as well.
func (c *Connector) cancel(a router.AttemptID) {
	j := c.find(a)
	if j == nil {
		return
	}
	p := j.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelled || j.conn.job != j && j.conn.next != j {
		return // the reply arrived meanwhile
	}
	j.cancelled, j.silent = true, j.conn.unresponsive
	if !j.writing {
		return
	}
	now := time.Now()
	j.until = now.Add(cancelGrace)
	_ = j.conn.nc.SetReadDeadline(j.until)
	p.prober.RecordLate(now, j.conn.number)
	if !p.assign(&job{kind: jobCancel, target: c.attemptID(a)}) {
		p.drop(j.conn)
	}
}
