package connector

import (
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// answered records that the upstream answered something that was sent at a time, and notes which connections were silent
// meanwhile. They are not closed yet: a slow request may still be answered, and closing it early would only lose it. The
// pool's lock is held.
func (p *pool) answered(c *conn, sent time.Time) {
	now := time.Now()
	c.heard, c.unresponsive = now, false
	if sent.After(p.proof) {
		p.proof = sent
	}
	for _, n := range p.prober.RecordReply(now, c.number, sent) {
		for o := range p.conns {
			if o.number == n {
				o.unresponsive = true
				if o.asking {
					_ = o.nc.SetReadDeadline(past)
				}
				if j := o.job; j != nil && j.kind == jobSend && j.writing && !j.asked && !j.cancelled && !p.assign(&job{kind: jobPing, about: j}) {
					p.question = j
				}
			}
		}
	}
}

// silence acts on a connection that is known to be silent: others may have become silent with it. A request that is only late
// is no such sign, because each slow request would then make the VM ping all of its connections. The pool's lock is held.
func (p *pool) silence(now time.Time) {
	p.pingSuspects(now)
	p.owner.alarms.note(now, p.key)
}

// lostPing is lost for a connection that did not answer a ping. The request that waited for the ping, if there is one, goes
// to another connection. If the connection stayed silent, others may be silent as well.
func (p *pool) lostPing(c *conn, waiting *job, silent bool) {
	now := time.Now()
	if silent {
		p.mu.Lock()
		p.suspect = now.Add(-freshReply)
		p.mu.Unlock()
	}
	p.lost(c)
	if waiting != nil {
		p.again(waiting)
	}
	if silent {
		p.mu.Lock()
		p.pingSuspects(now)
		p.mu.Unlock()
	}
}

// patient is called when the reply to a ping or cancel is late. It returns false when the connection is given up: the
// upstream has answered something that was sent later, the limit has passed, or its place is needed to try a new connection.
// Otherwise it looks for such an answer: a pause of the upstream makes all its connections late, and they are all kept.
func (p *pool) patient(c *conn, sent time.Time) bool {
	p.mu.Lock()
	now := time.Now()
	full := len(p.idle) == 0 && !p.opening && len(p.conns) >= p.limit
	if full && now.Sub(p.offered) > pingLimit {
		p.offered = now
		p.mu.Unlock()
		return false
	}
	next := sent.Add(pingTimeout)
	if !now.Before(next) {
		next = sent.Add(pingLimit)
		if c.unresponsive || p.proof.After(sent) || !now.Before(next) {
			p.mu.Unlock()
			return false
		}
	}
	if p.prober.RecordLate(now, c.number) {
		p.ask(nil)
	}
	c.asking = true
	p.move(c)
	_ = c.nc.SetReadDeadline(next)
	p.mu.Unlock()
	p.tell()
	return true
}

// move gives the sub-request that waits for a late ping on a connection to an idle one. The pool's lock is held.
func (p *pool) move(c *conn) {
	switch {
	case c.next != nil && p.assign(c.next):
		c.next = nil
	case c.job.kind == jobSend && p.assign(c.job):
		c.job = &job{kind: jobPing}
	}
}

// learned takes the answer of the upstream to the question about a late request. One that the upstream does not have is
// given up after the time that a reply on its way may take: it was lost with its connection, so that sending it again is no
// extra work for the upstream. A call is not given up: it may have been lost or still be on its way, and only its deadline
// bounds that.
func (p *pool) learned(j *job, a encoder.SubPresence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(j, a)
}

func (p *pool) learn(j *job, a encoder.SubPresence) {
	j.asked = true
	if a == encoder.SubAbsent && j.conn.job == j {
		p.silence(time.Now())
	}
	if a != encoder.SubAbsent || j.conn.job != j || j.cancelled || j.send.Kind == encoder.SubCall {
		return
	}
	j.lost = time.Now().Add(absentGrace)
	_ = j.conn.nc.SetReadDeadline(j.lost)
}

// begun is called when the first byte of the reply to a ping or cancel has arrived.
func (p *pool) begun(c *conn, limit time.Time) {
	p.mu.Lock()
	late := c.asking
	c.asking = false // so that answered does not end the read of the rest
	_ = c.nc.SetReadDeadline(limit)
	p.mu.Unlock()
	if late {
		p.tell()
	}
}

// probe opens a new connection, or pings the upstream on an idle one when there is no room.
func (p *pool) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expand() {
		p.assign(&job{kind: jobPing})
	}
}

// ask pings the upstream on an idle connection, also about a late request if there is one, or opens a new one when none is
// idle. Without room the next connection that is free asks. The pool's lock is held.
func (p *pool) ask(about *job) {
	if !p.assign(&job{kind: jobPing, about: about}) && !p.expand() && about != nil {
		p.question = about
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

// pingIdle pings an idle connection on which nothing was heard for a while.
func (p *pool) pingIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if now.Sub(c.heard) >= idlePing {
			p.pingOne(c)
			return
		}
	}
}

// pingSuspects makes the connections suspect that were not heard just now, and pings those that are idle. The pool's lock
// is held.
func (p *pool) pingSuspects(now time.Time) {
	p.suspect = now.Add(-freshReply)
	for _, c := range slices.Clone(p.idle) {
		if c.heard.Before(p.suspect) {
			p.pingOne(c)
		}
	}
}

// pingOne pings an idle connection. The pool's lock is held.
func (p *pool) pingOne(c *conn) {
	i := slices.Index(p.idle, c)
	p.idle = append(slices.Delete(p.idle, i, i+1), c) // assign takes the last one
	p.assign(&job{kind: jobPing})
}
