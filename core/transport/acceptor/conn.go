package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"comfreyroute/core/coordination/doorkeeper"
	"comfreyroute/core/transport/bounder"
)

const (
	// pieceBytes is the most that is written at once. A caller that reads makes progress with each piece.
	pieceBytes = 64 << 10
	// refusalTime bounds the write of a refusal.
	refusalTime = 10 * time.Millisecond
)

// errNoRoom ends a connection whose head does not fit into memory. net/http sends no answer of its own after an error of a read.
var errNoRoom = errors.New("no memory for the head of a request")

// Departure is a caller that was turned away.
type Departure struct {
	Address netip.AddrPort
	Cause   doorkeeper.Cause
	State   doorkeeper.State
	Held    int64         // bytes
	Age     time.Duration // of the state
}

// Bounds limits what the connections of a listener take. The zero value has no limit.
type Bounds struct {
	MaxConns int
	Memory   *bounder.Memory // counts the heads of requests; nil for none
	// StallTime returns how long a caller may make no progress while it sends a body or reads an answer; nil or 0 for no limit.
	StallTime func() time.Duration
	Refusal   []byte          // answer to a request whose head does not fit into the memory
	OnDepart  func(Departure) // may be nil
}

// door is the state of the connections of a listener.
type door struct {
	mu     sync.Mutex
	keeper doorkeeper.Keeper
	conns  map[*doorkeeper.Caller]*Conn
}

// Conn is the connection of a caller. Its methods may be called on nil, which stands for a connection of a test.
type Conn struct {
	*net.TCPConn
	listener *Listener
	caller   doorkeeper.Caller // guarded by the mutex of the door

	headless atomic.Bool  // the head of the current request is complete
	counted  atomic.Int64 // bytes of heads in the Memory
	ahead    int64        // cost of what the last read may hold of further requests
	head     bounder.HeadMeter
	behind   int64 // bytes that were read together with the end of the head of the current request, and belong behind it
	left     int64 // bytes of its body that were not read yet; negative if its length is not known
}

// admit returns the connection to serve, or nil if it is closed.
func (l *Listener) admit(nc *net.TCPConn) *Conn {
	address, _ := nc.RemoteAddr().(*net.TCPAddr)
	c := &Conn{TCPConn: nc, listener: l, caller: doorkeeper.Caller{Address: address.AddrPort().Addr().Unmap()}}
	d := &l.door
	now := time.Now()
	d.mu.Lock()
	d.keeper.MaxConns = l.Bounds.MaxConns
	evicted, admitted := d.keeper.Admit(&c.caller, now)
	if admitted {
		if d.conns == nil {
			d.conns = map[*doorkeeper.Caller]*Conn{}
		}
		d.conns[&c.caller] = c
	}
	departures := d.remove(nil, doorkeeper.Crowded, now, evicted)
	d.mu.Unlock()
	l.depart(departures)
	if admitted {
		return c
	}
	_ = nc.Close() // no byte of a request was read
	l.report(Departure{Address: address.AddrPort(), Cause: doorkeeper.Crowded})
	return nil
}

// departing is a connection that is closed by the bounds.
type departing struct {
	conn      *Conn
	departure Departure
}

// remove takes evicted callers off the door and appends them to all. The caller of remove holds d.mu.
func (d *door) remove(all []departing, cause doorkeeper.Cause, now time.Time, evicted ...*doorkeeper.Caller) []departing {
	for _, e := range evicted {
		if e == nil {
			continue
		}
		c := d.conns[e]
		delete(d.conns, e)
		all = append(all, departing{c, Departure{Address: c.remote(), Cause: cause, State: e.State(), Held: e.Held(), Age: now.Sub(e.Since())}})
	}
	return all
}

// depart closes connections and reports them.
func (l *Listener) depart(all []departing) {
	for _, d := range all {
		_ = d.conn.Close() // the caller may have closed it already
		l.report(d.departure)
	}
}

func (l *Listener) report(d Departure) {
	if l.Bounds.OnDepart != nil {
		l.Bounds.OnDepart(d)
	}
}

// MakeRoom closes connections that hold about a number of bytes, and reports whether there are any.
func (l *Listener) MakeRoom(size int64) bool {
	now := time.Now()
	l.door.mu.Lock()
	departures := l.door.remove(nil, doorkeeper.Short, now, l.door.keeper.MakeRoom(size, now)...)
	l.door.mu.Unlock()
	l.depart(departures)
	return len(departures) > 0
}

// Conns returns the number of connections.
func (l *Listener) Conns() int {
	l.door.mu.Lock()
	defer l.door.mu.Unlock()
	return l.door.keeper.Len()
}

// Observe follows the state of a connection. It is the ConnState hook of http.Server.
func Observe(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.headless.Store(true)
		c.Move(doorkeeper.Sending)
	case http.StateIdle:
		c.headless.Store(false)
		c.endRequest()
	case http.StateClosed:
		c.listener.Bounds.Memory.Release(c.counted.Swap(0))
	}
}

type connKey struct{}

// WithConn adds a connection to the context of its requests. It is the ConnContext hook of http.Server.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ConnOf returns the connection of a request, nil if it came by no Listener.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Move records what the connection is used for from now on.
func (c *Conn) Move(s doorkeeper.State) { c.update(s, 0, true) }

// Serve records that the request in the bytes read so far is served until end is called. It is for protocols whose requests Observe does not see.
func (c *Conn) Serve() (end func()) {
	size := c.counted.Load()
	c.Move(doorkeeper.Served)
	return func() {
		c.counted.Add(-size)
		c.listener.Bounds.Memory.Release(size)
		c.Hold(-size)
		c.Move(doorkeeper.Idle)
	}
}

// Hold records that the connection holds more bytes, which are counted elsewhere.
func (c *Conn) Hold(size int64) { c.update(0, size, false) }

func (c *Conn) update(s doorkeeper.State, size int64, move bool) {
	if c == nil {
		return
	}
	now := time.Now()
	c.listener.door.mu.Lock()
	defer c.listener.door.mu.Unlock()
	if move {
		c.listener.door.keeper.Move(&c.caller, s, now)
	}
	if !move || size != 0 {
		c.listener.door.keeper.Hold(&c.caller, size, now)
	}
}

// Turn reports that this caller is turned away.
func (c *Conn) Turn(cause doorkeeper.Cause) {
	if c == nil {
		return
	}
	c.listener.door.mu.Lock()
	d := Departure{Address: c.remote(), Cause: cause, State: c.caller.State(), Held: c.caller.Held(), Age: time.Since(c.caller.Since())}
	c.listener.door.mu.Unlock()
	c.listener.report(d)
}

func (c *Conn) remote() netip.AddrPort {
	address, _ := c.RemoteAddr().(*net.TCPAddr)
	return address.AddrPort()
}

// stallTime returns how long the caller may make no progress, 0 for no limit.
func (c *Conn) stallTime() time.Duration {
	if c == nil || c.listener.Bounds.StallTime == nil {
		return 0
	}
	return c.listener.Bounds.StallTime()
}

// Read implements net.Conn. It counts the heads of requests as what they take in memory, from the first byte.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	switch {
	case !c.headless.Load():
		if !c.countHead(bounder.HeadCost(p[:n])) {
			c.refuse()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom}
		}
		size, _ := c.head.Measure(p[:n])
		c.ahead, c.behind, c.left = bounder.HeadCost(p[size:n]), int64(n-size), -1
	case c.left >= 0:
		body := int(min(int64(n), c.left))
		c.left -= int64(body)
		c.ahead += bounder.HeadCost(p[body:n])
		c.Hold(int64(body))
	case n == 1: // read by net/http while the request is served
		c.ahead += bounder.HeadCost(p[:n])
	default:
		c.ahead = bounder.HeadCost(p[:n])
		c.Hold(int64(n))
	}
	return n, err
}

// expectBody records the length of the body of the current request, so that no part of it counts as the head of the next one. A negative length is not known.
func (c *Conn) expectBody(length int64) {
	if c == nil || !c.head.Ended() || length < c.behind {
		return // parts of other requests may be in what was read
	}
	c.ahead, c.left = 0, length-c.behind
}

// countHead counts bytes of a head. It returns false if they do not fit.
func (c *Conn) countHead(size int64) bool {
	memory := c.listener.Bounds.Memory
	if !memory.TryTake(size) && !c.claim(size) {
		return false
	}
	c.Hold(size)
	c.counted.Add(size)
	return true
}

// claim counts bytes that others have to make room for.
func (c *Conn) claim(size int64) bool {
	set := func(claiming bool) {
		c.listener.door.mu.Lock()
		defer c.listener.door.mu.Unlock()
		c.listener.door.keeper.SetClaiming(&c.caller, claiming)
	}
	set(true)
	defer set(false)
	return c.listener.Bounds.Memory.Claim(size)
}

// refuse answers that there is no room.
func (c *Conn) refuse() {
	c.Turn(doorkeeper.Short)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.TCPConn.Write(c.listener.Bounds.Refusal) // the connection is closed next
}

// endRequest ends the counting of the head of a request, except for what has been read of the next one.
func (c *Conn) endRequest() {
	d := &c.listener.door
	now := time.Now()
	d.mu.Lock()
	d.keeper.Hold(&c.caller, c.ahead-c.caller.Held(), now)
	d.keeper.Move(&c.caller, doorkeeper.Idle, now)
	d.mu.Unlock()
	c.head, c.left = bounder.HeadMeter{}, -1
	memory := c.listener.Bounds.Memory
	memory.Take(c.ahead - c.counted.Swap(c.ahead))
}

// Write implements net.Conn. A caller that does not read in time is turned away.
func (c *Conn) Write(p []byte) (int, error) {
	stall := c.stallTime()
	if stall <= 0 {
		return c.TCPConn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+pieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(stall)) // fails only on a closed connection, and then Write does too
		n, err := c.TCPConn.Write(piece)
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.Turn(doorkeeper.Unread)
			}
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
		c.Hold(0)
	}
}

// Close implements net.Conn. The head of a request stays counted until its goroutine ends, which frees the memory.
func (c *Conn) Close() error {
	d := &c.listener.door
	d.mu.Lock()
	d.keeper.Leave(&c.caller)
	delete(d.conns, &c.caller)
	d.mu.Unlock()
	return c.TCPConn.Close()
}

// Body returns the body of a request, whose read fails with os.ErrDeadlineExceeded when the caller makes no progress. It must be called before the body is read.
func (c *Conn) Body(request *http.Request) *Body {
	c.expectBody(request.ContentLength)
	return &Body{conn: c, request: request}
}

// Body is the body of a request as its caller sends it.
type Body struct {
	conn    *Conn
	request *http.Request
	unpaid  int // bytes that may still be read before the deadline moves
}

// progressBytes is what a caller must send of a body within the stall time.
const progressBytes = 1 << 10

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.unpaid <= 0 {
		b.unpaid = progressBytes
		if stall := b.conn.stallTime(); stall > 0 {
			_ = b.conn.SetReadDeadline(time.Now().Add(stall)) // net/http ends it with the body
		}
	}
	n, err := b.request.Body.Read(p)
	b.unpaid -= n
	return n, err
}
