package connector

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
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

	telling sync.Mutex // held while the number of usable connections is reported
	told    int        // guarded by telling

	mu       sync.Mutex
	address  netip.AddrPort
	limit    int
	pace     time.Duration
	conns    map[*conn]struct{} // those that are open, idle or not
	idle     []*conn            // the one used last is at the end
	opening  bool
	hurry    chan struct{} // ends the back-off of the opener
	prober   prober.Prober
	proof    time.Time // when the newest message was sent that the upstream has answered
	offered  time.Time // when a late connection was last closed to make room for a new one
	suspect  time.Time // connections not heard since then are pinged before their next request
	question *job      // late request to ask about on the next connection that is free
	tried    bool      // the first attempt to open a connection has ended
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
		p.learn(about, reply.Asked)
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

// tell reports how many connections are usable when that has changed. Those whose ping is late are not while there are
// others; those with a late sub-request are, because the router counts the sub-request itself. Reports keep their order.
func (p *pool) tell() {
	p.telling.Lock()
	defer p.telling.Unlock()
	p.mu.Lock()
	usable := 0
	for c := range p.conns {
		if !c.asking {
			usable++
		}
	}
	if usable == 0 {
		usable = len(p.conns) // a pause of the upstream or of this process makes all pings late
	}
	same := usable == p.told
	p.told = usable
	p.mu.Unlock()
	if !same {
		p.owner.report(router.ConnectionsChanged{Service: p.key.service, Upstream: p.key.upstream, Open: usable})
	}
}

// answered records that the upstream answered something that was sent at a time, and notes which connections were silent
// meanwhile. They are not closed yet: a slow request may still be answered, and closing it early would only lose it. The
// pool's lock is held.
func (p *pool) answered(c *conn, sent time.Time) {
	now := time.Now()
	c.heard, c.unresponsive = now, false
	if sent.After(p.proof) {
		p.proof = sent
	}
	for _, n := range p.prober.Answered(now, c.number, sent) {
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
		p.pingSuspects(now)
		p.owner.alarms.note(now, p.key)
	}
}

// dispatch gives a job to an idle connection, or to one that waits for the reply to a ping or cancel, which takes a few
// milliseconds. It returns false when there is none.
func (p *pool) dispatch(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assign(j) || p.enqueue(j)
}

func (p *pool) assign(j *job) bool {
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	p.give(c, j)
	return true
}

// give hands a job to a connection whose goroutine waits in a read; a read deadline in the past wakes it.
func (p *pool) give(c *conn, j *job) {
	c.job, j.conn = j, c
	if j.kind == jobSend {
		p.owner.enter(j)
	}
	_ = c.nc.SetReadDeadline(past)
}

// enqueue lets a sub-request wait for a ping or cancel, on a connection where that is late only when there is no other.
func (p *pool) enqueue(j *job) bool {
	if j.kind != jobSend {
		return false
	}
	var chosen *conn
	for c := range p.conns {
		if c.job != nil && c.job.kind != jobSend && c.next == nil && (chosen == nil || chosen.asking && !c.asking) {
			chosen = c
		}
	}
	if chosen == nil {
		return false
	}
	chosen.next, j.conn = j, chosen
	p.owner.enter(j)
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
	if next := c.next; next != nil {
		c.next = nil
		p.give(c, next)
		return true
	}
	if q := p.question; q != nil {
		p.question = nil
		if q.conn.job == q && !q.asked && !q.cancelled {
			p.give(c, &job{kind: jobPing, about: q})
			return true
		}
	}
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
	next := c.next
	c.next = nil
	p.mu.Unlock()
	if next != nil {
		p.again(next)
	}
	p.tell()
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
	if p.prober.Late(now, c.number) {
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
func (p *pool) learned(j *job, a encoder.Asked) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(j, a)
}

func (p *pool) learn(j *job, a encoder.Asked) {
	j.asked = true
	if a != encoder.AskedAbsent || j.conn.job != j || j.cancelled || j.send.Kind == encoder.SubCall {
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
