package connector

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"comfreyroute/core/coordination/prober"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/transport/bounder"
)

const (
	connBufferBytes = 4 << 10
	// maxHeadBytes bounds the header of a reply.
	maxHeadBytes = 64 << 10
)

// pastDeadline is a deadline that has passed; setting it wakes a blocked read.
var pastDeadline = time.Unix(1, 0)

type jobKind int

const (
	jobSend jobKind = iota
	jobPing
	jobCancel
)

// job is a sub-request, a ping or a cancellation that a connection carries.
type job struct {
	kind     jobKind
	pool     *pool // set for a jobSend
	send     *router.Send
	cancelID string // request id of the attempt that a jobCancel cancels
	lateJob  *job   // late request that a jobPing asks about

	// Guarded by the pool's lock.
	conn            *conn
	cancelled       bool
	unresponsive    bool // the connection was unresponsive when the job was cancelled
	writeBegun      bool // set before the first byte is written
	late            bool
	cancelDeadline  time.Time // when a cancelled request is given up
	abandonAt       time.Time // when a request that the upstream does not have is given up; zero while that is not known
	inquiryAnswered bool      // the upstream has answered an inquiry about the request
}

// conn is one connection. Only its goroutine reads and writes it.
type conn struct {
	pool    *pool
	nc      net.Conn
	id      prober.Connection
	br      *bounder.Reader
	bw      *bufio.Writer
	writer  countingWriter
	message message

	// Guarded by the pool's lock.
	job           *job
	queued        *job // sub-request that waits for the end of a ping or cancellation
	closeAfterJob bool
	replyLate     bool // the reply to a ping or cancellation is late
	unresponsive  bool // the upstream answered on another connection while this one was late
	lastReply     time.Time
}

// countingWriter counts the bytes that the kernel accepted.
type countingWriter struct {
	nc      net.Conn
	written int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.nc.Write(b)
	c.written += n
	return n, err
}

func newConn(p *pool, nc net.Conn) *conn {
	c := &conn{pool: p, nc: nc, id: prober.Connection(p.owner.counts.numbers.Add(1)), writer: countingWriter{nc: nc}}
	c.br = bounder.NewReader(nc, connBufferBytes)
	c.br.CountHeads(p.owner.options.Memory)
	c.bw = bufio.NewWriterSize(&c.writer, connBufferBytes)
	c.message.init(nc.RemoteAddr().String(), p.owner.options.FailureDomain)
	return c
}

// run executes jobs until the connection ends. An idle connection blocks in a read, so that its end is noticed at once.
func (c *conn) run() {
	p := c.pool
	defer p.owner.goroutines.Done()
	for {
		c.br.Expect(bounder.Head, maxHeadBytes)
		_, err := c.br.Peek(1)
		p.mu.Lock()
		j := c.job
		if j == nil {
			p.removeConn(c) // under the same lock, so that the connection gets no job meanwhile
		}
		p.mu.Unlock()
		if j == nil {
			p.handleConnEnd(c)
			return
		}
		if !isTimeout(err) {
			// The connection ended before the job started, so no byte of the job was written.
			p.handleConnEnd(c)
			p.redispatch(j)
			return
		}
		if !c.execute(j) {
			return
		}
	}
}

// execute executes a job. It returns false when the connection has ended.
func (c *conn) execute(j *job) bool {
	switch j.kind {
	case jobPing:
		return c.executePing(j)
	case jobCancel:
		return c.executeCancel(j)
	default:
		return c.executeSend(j)
	}
}

func (c *conn) executePing(j *job) bool {
	sent := time.Now()
	c.message.prepare(http.MethodGet, encoder.PathPing, c.pool.owner.nextID(), nil)
	if j.lateJob != nil {
		c.message.setHeader(encoder.HeaderAskID, c.pool.owner.attemptID(j.lateJob.send.Attempt))
	}
	reply, err := c.exchange(sent)
	if err != nil {
		c.pool.handlePingFailure(c, nil, isTimeout(err))
		return false
	}
	if j.lateJob != nil {
		c.pool.recordPresence(j.lateJob, reply.Presence)
	}
	kept := c.pool.finishExchange(c, sent)
	c.pool.reportSeen(reply)
	return kept
}

func (c *conn) executeCancel(j *job) bool {
	sent := time.Now()
	body, err := json.Marshal(encoder.CancelRequest{RequestID: j.cancelID})
	if err == nil {
		c.message.prepare(http.MethodPost, encoder.PathCancel, c.pool.owner.nextID(), body)
		_, err = c.exchange(sent)
	}
	if err != nil {
		c.pool.handlePingFailure(c, nil, isTimeout(err))
		return false
	}
	return c.pool.finishExchange(c, sent)
}

// exchange sends the prepared ping or cancellation and reads the reply. It waits for a late reply as long as keepWaiting allows.
func (c *conn) exchange(sent time.Time) (*encoder.SubReply, error) {
	limit := sent.Add(pingMaxWait)
	c.pool.owner.counts.pings.Add(1)
	_ = c.nc.SetDeadline(sent.Add(pingLateAfter))
	if err := c.writeRequest(); err != nil {
		return nil, err
	}
	for {
		err := c.peekReply()
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.pool.keepWaiting(c, sent) {
			return nil, err
		}
	}
	c.pool.replyBegun(c, limit)
	reply, keep, err := c.readReply(c.message.id)
	if err == nil && !keep {
		err = net.ErrClosed
	}
	return reply, err
}

// peekReply waits for the first byte of a reply. When the read deadline has passed, it tries once more for pauseGrace, because
// after a pause of this process the reply may already be in the socket's buffer.
func (c *conn) peekReply() error {
	c.br.Expect(bounder.Head, maxHeadBytes)
	_, err := c.br.Peek(1)
	if isTimeout(err) {
		_ = c.nc.SetReadDeadline(time.Now().Add(pauseGrace))
		_, err = c.br.Peek(1)
	}
	return err
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) }

// isBroken reports whether an error comes from the connection and not from the content of a message.
func isBroken(err error) bool {
	_, ok := errors.AsType[net.Error](err)
	return ok || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
