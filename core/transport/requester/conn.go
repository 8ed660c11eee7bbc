package requester

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// buffers holds the bytes of requests that are being written.
var buffers = sync.Pool{New: func() any { return make([]byte, 0, bufferBytes) }}

// conn is one connection. One goroutine reads it all the time, so that a close by the upstream and bytes that nobody asked for
// are noticed at once.
type conn struct {
	client *Client
	pool   *pool
	nc     net.Conn
	reader *bufio.Reader

	// Guarded by the client's lock.
	job       *job
	gone      bool // closed and no longer counted in the pool
	writing   bool // a long request is not written in full; its rest must not meet the next request
	heard     time.Time
	idleLimit time.Duration
	opened    time.Time
	roundTrip time.Duration // that opening took
	used      bool          // a reply was read
}

// begin gives an idle connection a request. The client's lock is held.
func (n *conn) begin(j *job) {
	n.job, j.conn = j, n
	_ = n.nc.SetReadDeadline(j.send.Deadline.Add(replyGrace))
}

// rest returns a connection to the idle ones. The client's lock is held.
func (n *conn) rest() {
	n.heard = time.Now()
	_ = n.nc.SetReadDeadline(n.heard.Add(n.idleLimit))
	n.pool.idle = append(n.pool.idle, n)
}

// put writes a request.
func (n *conn) put(j *job, b []byte) {
	_ = n.nc.SetWriteDeadline(j.send.Deadline)
	written, err := n.nc.Write(b)
	c := n.client
	c.mu.Lock()
	n.writing = false
	j.unwritten = written == 0
	c.mu.Unlock()
	if cap(b) <= inlineBytes {
		buffers.Put(b[:0]) //nolint:staticcheck // a slice header is small next to the request that it saves
	}
	if err != nil {
		_ = n.nc.Close()
	}
}

// run reads replies until the connection ends.
func (n *conn) run() {
	for n.next() {
	}
	_ = n.nc.Close()
}

// next waits for one reply and reports it. It returns false when the connection is of no further use.
func (n *conn) next() bool {
	_, err := n.reader.Peek(1)
	turnedAway := isTurnedAway(err, n.used, time.Since(n.opened), n.roundTrip)
	c := n.client
	c.mu.Lock()
	j := n.job
	if j == nil {
		// The upstream closed the connection, it was idle for too long, or the upstream sent something that nobody asked for.
		n.remove()
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	var response Response
	if err == nil {
		response, err = c.Protocol.ReadReply(n.reader, j.send)
	}
	c.mu.Lock()
	delete(c.attempts, j.send.Attempt)
	n.job, n.used = nil, true
	keep := err == nil && response.KeepAlive && !n.writing && !j.cancelled && n.reader.Buffered() == 0 && n.usable()
	if keep {
		if response.IdleTimeout > idleMargin {
			n.idleLimit = response.IdleTimeout - idleMargin
		}
		n.rest()
	} else {
		n.remove()
	}
	cancelled, written := j.cancelled, !j.unwritten
	c.mu.Unlock()
	if err != nil {
		_ = n.nc.Close()
		failure := c.classify(err, cancelled)
		if turnedAway && failure == forwarder.Reset {
			failure = forwarder.ConnectionRejected
		}
		c.Report(j.send, forwarder.Failed{Failure: failure, Written: written})
		return false
	}
	c.Report(j.send, forwarder.Replied{Reply: response.Reply})
	return keep
}

// isTurnedAway tells whether the upstream reset a new connection before it can have worked on the first request, as it does with those
// beyond its limit. Age is the time since the connection was opened, and roundTrip how long that took.
func isTurnedAway(err error, used bool, age, roundTrip time.Duration) bool {
	return !used && errors.Is(err, syscall.ECONNRESET) && age < roundTrip+resetMargin
}

// usable tells whether the pool still belongs to the upstream. The client's lock is held.
func (n *conn) usable() bool { return n.pool.address.IsValid() && !n.client.closed }

// remove takes a connection that ended out of its pool. The client's lock is held.
func (n *conn) remove() {
	if n.gone {
		return
	}
	n.gone = true
	n.pool.open--
	for i, o := range n.pool.idle {
		if o == n {
			n.pool.idle = append(n.pool.idle[:i], n.pool.idle[i+1:]...)
			break
		}
	}
}

// classify tells why an attempt has no reply, and counts it.
func (c *Client) classify(err error, cancelled bool) forwarder.Failure {
	switch {
	case cancelled:
		c.Counts.Cancelled.Add(1)
		return forwarder.Cancelled
	case errors.Is(err, ErrMismatched):
		c.Counts.Mismatched.Add(1)
		return forwarder.Mismatched
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Counts.TimedOut.Add(1)
		return forwarder.TimedOut
	default:
		c.Counts.Reset.Add(1)
		return forwarder.Reset
	}
}
