package requester

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
)

// buffers holds buffers for the encoded bytes of requests.
var buffers = sync.Pool{New: func() any { return make([]byte, 0, connBufferBytes) }}

// pastDeadline is a deadline that has passed. It ends a write in progress.
var pastDeadline = time.Unix(1, 0)

// conn is one connection. Its goroutine reads it even while it is idle, so that a close by the upstream and unexpected bytes are
// noticed at once.
type conn struct {
	client *Client
	pool   *pool
	nc     net.Conn
	reader *bounder.Reader
	raw    syscall.RawConn // of nc; nil if it has none

	// Guarded by the client's lock.
	job         *job
	removed     bool          // closed and no longer counted in the pool
	writing     chan struct{} // closed once the rest of the last request is written; nil if the kernel took it at once
	writeErr    error         // of the last write that has ended
	long        bool          // it carried a long request, which the upstream may have answered without reading all of it
	idleSince   time.Time
	idleTimeout time.Duration
	opened      time.Time
	roundTrip   time.Duration // duration of the connect
	used        bool          // a reply was read
	attempted   attemptedWrite
	writeOnce   func(fd uintptr) (done bool) // writes attempted.bytes
	identified  bool                         // a reply named its request, so one that names none is not the reply to another request
}

// start assigns a job to an idle or new connection. The caller holds the client's lock.
func (n *conn) start(j *job) {
	n.job, j.conn = j, n
	_ = n.nc.SetReadDeadline(j.send.Deadline.Add(max(replyGrace, j.send.Linger)))
}

// makeIdle adds the connection to the idle ones. The caller holds the client's lock.
func (n *conn) makeIdle() {
	n.idleSince = time.Now()
	_ = n.nc.SetReadDeadline(n.idleSince.Add(n.idleTimeout))
	n.pool.idle = append(n.pool.idle, n)
}

// tryWrite writes what the kernel takes of an encoded request at once, and returns how many bytes that are. It never waits for the upstream to
// read. The caller holds the client's lock.
func (n *conn) tryWrite(b []byte) (written int, err error) {
	if n.raw == nil {
		return 0, nil
	}
	n.attempted = attemptedWrite{bytes: b}
	err = n.raw.Write(n.writeOnce)
	if errors.Is(n.attempted.err, syscall.EAGAIN) || errors.Is(n.attempted.err, syscall.EINTR) {
		n.attempted.err = nil
	}
	return max(0, n.attempted.written), cmp.Or(err, n.attempted.err)
}

// attemptedWrite is the input and the result of one write to a socket. It is a field of the connection to save allocations.
type attemptedWrite struct {
	bytes   []byte
	written int
	err     error
}

// openRaw prepares writes that do not wait. Without them, each request is written by a goroutine of its own.
func (n *conn) openRaw() {
	sc, ok := n.nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // the connection is closed, which its reader finds too
	}
	n.raw = raw
	n.writeOnce = func(fd uintptr) (done bool) {
		n.attempted.written, n.attempted.err = syscall.Write(int(fd), n.attempted.bytes)
		return true
	}
}

// writeBytes writes the rest of an encoded request, and closes done once it is known what the kernel accepted.
func (n *conn) writeBytes(j *job, b []byte, done chan struct{}) {
	written, err := n.nc.Write(b[j.accepted:])
	n.client.mu.Lock()
	j.accepted += written
	n.writeErr = err
	if err == nil {
		_ = n.nc.SetWriteDeadline(time.Time{}) // one that has passed would fail the next request
	}
	close(done)
	n.client.mu.Unlock()
	n.endWrite(b, err)
}

// isWriting reports whether the rest of a request is still being written, so that no other request may follow. The caller holds the client's lock.
func (n *conn) isWriting() bool {
	if n.writing == nil {
		return false
	}
	select {
	case <-n.writing:
		return false
	default:
		return true
	}
}

// endWrites closes the connection and waits for the end of a write in progress. From then on the accepted bytes of its job are final: if there are
// any, the upstream may have begun to work on the request, and if there are none, it never will.
func (n *conn) endWrites() {
	_ = n.nc.Close()
	n.client.mu.Lock()
	writing := n.writing
	n.client.mu.Unlock()
	if writing != nil {
		<-writing // Close has interrupted it
	}
}

// Read implements io.Reader for the reader of the connection. It returns io.EOF only if the upstream has closed the connection in order, because
// that may be the end of a reply without a length.
//
// The kernel reports a reset to one call. If that is a write, the read that follows gets a regular end. So the end is not trusted before the write in
// progress has returned without the error.
func (n *conn) Read(p []byte) (int, error) {
	count, err := n.nc.Read(p)
	if err == io.EOF {
		err = cmp.Or(n.stopWrite(), err)
	}
	return count, err
}

// stopWrite ends the write in progress and returns the error by which a write has found the connection broken, nil for none.
func (n *conn) stopWrite() error {
	n.client.mu.Lock()
	writing := n.writing
	if n.isWriting() {
		_ = n.nc.SetWriteDeadline(pastDeadline) // the upstream has ended its side, so that the rest of the request has no use
	}
	n.client.mu.Unlock()
	if writing != nil {
		<-writing
	}
	n.client.mu.Lock()
	defer n.client.mu.Unlock()
	err := n.writeErr
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil // not an error of the connection
	}
	if errors.Is(err, syscall.EPIPE) {
		return nil // of a reset after an orderly end; the kernel reports one before it as ECONNRESET
	}
	return err
}

// endWrite releases the buffer of a request. After an error that the reader of the connection does not find by itself it closes the connection. A
// reader that finds a reset or the deadline still gets the reply that has arrived before.
func (n *conn) endWrite(b []byte, err error) {
	if cap(b) <= maxInlineBytes {
		buffers.Put(b[:0]) //nolint:staticcheck // a slice header is small next to the request that it saves
	}
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded):
	default:
		_ = n.nc.Close()
	}
}

// run reads replies until the connection ends.
func (n *conn) run() {
	for n.handleReply() {
	}
	_ = n.nc.Close()
}

// handleReply waits for one reply and reports it. It returns false when the connection has to be closed.
func (n *conn) handleReply() bool {
	n.reader.Expect(bounder.Head, maxHeadBytes)
	defer n.reader.Release()
	_, err := n.reader.Peek(1)
	rejected := isRejectedConn(err, n.used, time.Since(n.opened), n.roundTrip)
	c := n.client
	c.mu.Lock()
	j := n.job
	if j == nil {
		// The upstream closed the connection, the idle timeout passed, or the upstream sent unexpected bytes.
		n.removeFromPool()
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	var response Response
	switch {
	case err == nil && !j.writeBegun.Load():
		err = ErrMismatched // bytes that arrived before the request was written are not its reply
	case err == nil:
		response, err = c.Protocol.ReadReply(n.reader, j.send)
		if err == nil && n.identified && !response.Identified {
			c.Memory.Release(response.Held)
			err = ErrMismatched
		}
		n.identified = n.identified || response.Identified
		if err == nil && response.Reply != nil && n.overruns(len(response.Reply.Body)) {
			response.Reply.Overrun, response.KeepAlive = true, false
		}
	}
	if err != nil {
		n.endWrites()
	}
	c.mu.Lock()
	delete(c.attempts, j.send.Attempt)
	if err == nil {
		c.recordProgress(j)
	}
	n.job, n.used = nil, true
	keep := err == nil && response.KeepAlive && !n.isWriting() && n.writeErr == nil && !n.long && !j.cancelled && n.reader.Buffered() == 0 && n.poolActive()
	if keep {
		if response.IdleTimeout > idleMargin {
			n.idleTimeout = response.IdleTimeout - idleMargin
		}
		n.makeIdle()
	} else {
		n.removeFromPool()
	}
	cancelled, written := j.cancelled, j.accepted > 0
	c.mu.Unlock()
	if err != nil {
		failure := c.classifyFailure(err, cancelled)
		if rejected && failure == forwarder.Reset {
			failure = forwarder.ConnectionRejected
		}
		f := forwarder.Failed{Failure: failure, Written: written}
		if failure == forwarder.Oversized {
			f.Detail = err.Error()
		}
		c.Report(j.send, f)
		return false
	}
	if response.Answer != nil {
		c.Report(j.send, *response.Answer)
	} else {
		c.Report(j.send, forwarder.Replied{Reply: response.Reply})
	}
	c.Memory.Release(response.Held)
	return keep
}

// replyStart begins each reply.
const replyStart = "HTTP/1."

// overruns reports whether bytes that do not begin another reply follow one that was just read with a body of a length in bytes. They may be the rest
// of its body.
func (n *conn) overruns(length int) bool {
	next, err := n.reader.Peek(min(n.reader.Buffered(), len(replyStart)))
	if err != nil {
		return false // Peek does not read from the connection
	}
	if len(next) == 0 && length >= connBufferBytes { // the rest of a long body need not be in the buffer
		next = n.peekSocket()
	}
	return len(next) > 0 && !strings.HasPrefix(replyStart, string(next))
}

// peekSocket returns the first bytes that have arrived on the connection and were not read, without waiting for any.
func (n *conn) peekSocket() []byte {
	if n.raw == nil {
		return nil
	}
	b, count := make([]byte, len(replyStart)), 0
	err := n.raw.Read(func(fd uintptr) (done bool) {
		count, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // the next read reports an error
		return true
	})
	if err != nil || count < 0 {
		return nil // the connection is closed
	}
	return b[:count]
}

// isRejectedConn reports whether the upstream reset a new connection before it can have processed the first request, as it does
// with connections beyond its limit. age is the time since the connection was opened, and roundTrip the duration of the connect.
func isRejectedConn(err error, used bool, age, roundTrip time.Duration) bool {
	return !used && errors.Is(err, syscall.ECONNRESET) && age < roundTrip+resetMargin
}

// poolActive reports whether the pool still belongs to the upstream. The caller holds the client's lock.
func (n *conn) poolActive() bool { return n.pool.address.IsValid() && !n.client.closed }

// removeFromPool removes a connection that has ended from its pool. The caller holds the client's lock.
func (n *conn) removeFromPool() {
	if n.removed {
		return
	}
	n.removed = true
	n.pool.open--
	for i, o := range n.pool.idle {
		if o == n {
			n.pool.idle = append(n.pool.idle[:i], n.pool.idle[i+1:]...)
			break
		}
	}
}

// classifyFailure returns the failure of an attempt without a reply, and counts it.
func (c *Client) classifyFailure(err error, cancelled bool) forwarder.Failure {
	_, oversized := errors.AsType[*bounder.ExceededError](err)
	switch {
	case cancelled:
		c.Counts.Cancelled.Add(1)
		return forwarder.Cancelled
	case errors.Is(err, ErrMismatched):
		c.Counts.Mismatched.Add(1)
		return forwarder.Mismatched
	case oversized:
		c.Counts.Oversized.Add(1)
		return forwarder.Oversized
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Counts.TimedOut.Add(1)
		return forwarder.TimedOut
	default:
		c.Counts.Reset.Add(1)
		return forwarder.Reset
	}
}
