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
