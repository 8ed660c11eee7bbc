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
)

const bufferBytes = 4 << 10

// past is a deadline that has already passed.
var past = time.Unix(1, 0)

type jobKind int

const (
	jobSend jobKind = iota
	jobPing
	jobCancel
)

// job is one thing that a connection has to do.
type job struct {
	kind   jobKind
	pool   *pool // of a jobSend
	send   *router.Send
	target string // id of the attempt that a jobCancel ends
	about  *job   // late request that a jobPing asks about

	// Guarded by the pool's lock.
	conn      *conn
	cancelled bool
	silent    bool // its connection was unresponsive when it was cancelled
	writing   bool // from before the first byte
	late      bool
	until     time.Time // when a cancelled request is given up
	lost      time.Time // when a request is given up that the upstream does not have; zero while that is not known
	asked     bool      // the upstream has answered the question about it
}

// conn is one connection. Its goroutine alone reads and writes it.
type conn struct {
	pool    *pool
	nc      net.Conn
	number  prober.Connection
	br      *bufio.Reader
	bw      *bufio.Writer
	out     counter
	message message

	// Guarded by the pool's lock.
	job          *job
	next         *job      // a sub-request that waits for the end of a ping or cancel
	retire       bool      // close after the current request
	asking       bool      // waits for the reply to a ping or cancel that is late
	unresponsive bool      // the upstream answered on another connection while this one was late
	heard        time.Time // last reply
}

// counter counts the bytes that the kernel accepted.
type counter struct {
	nc      net.Conn
	written int
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.nc.Write(b)
	c.written += n
	return n, err
}

func newConn(p *pool, nc net.Conn) *conn {
	c := &conn{pool: p, nc: nc, number: prober.Connection(p.owner.counts.numbers.Add(1)), out: counter{nc: nc}}
	c.br = bufio.NewReaderSize(nc, bufferBytes)
	c.bw = bufio.NewWriterSize(&c.out, bufferBytes)
	c.message.init(nc.RemoteAddr().String(), p.owner.options.FailureDomain)
	return c
}

// run carries jobs until the connection ends. An idle connection waits in a read, so that its end is noticed at once.
func (c *conn) run() {
	p := c.pool
	defer p.owner.running.Done()
	for {
		_, err := c.br.Peek(1)
		p.mu.Lock()
		j := c.job
		if j == nil {
			p.drop(c) // under the same lock, so that no job is given to it meanwhile
		}
		p.mu.Unlock()
		if j == nil {
			p.lost(c)
			return
		}
		if !isTimeout(err) {
			// The connection ended before the job began, so the job has not been written.
			p.lost(c)
			p.again(j)
			return
		}
		if !c.carry(j) {
			return
		}
	}
}

// carry does a job. It returns false when the connection has ended.
func (c *conn) carry(j *job) bool {
	switch j.kind {
	case jobPing:
		return c.carryPing(j)
	case jobCancel:
		return c.carryCancel(j)
	default:
		return c.carrySend(j)
	}
}

func (c *conn) carryPing(j *job) bool {
	sent := time.Now()
	c.message.prepare(http.MethodGet, encoder.PathPing, c.pool.owner.nextID(), nil)
	if j.about != nil {
		c.message.set(encoder.HeaderAskID, c.pool.owner.attemptID(j.about.send.Attempt))
	}
	reply, err := c.ask(sent)
	if err != nil {
		c.pool.lostPing(c, nil, isTimeout(err))
		return false
	}
	if j.about != nil {
		c.pool.learned(j.about, reply.Presence)
	}
	kept := c.pool.finish(c, sent)
	c.pool.seen(reply)
	return kept
}

func (c *conn) carryCancel(j *job) bool {
	sent := time.Now()
	body, err := json.Marshal(encoder.CancelRequest{RequestID: j.target})
	if err == nil {
		c.message.prepare(http.MethodPost, encoder.PathCancel, c.pool.owner.nextID(), body)
		_, err = c.ask(sent)
	}
	if err != nil {
		c.pool.lostPing(c, nil, isTimeout(err))
		return false
	}
	return c.pool.finish(c, sent)
}

// ask sends the prepared message, which is no sub-request, and reads the reply. A connection that is late is given up when
// the upstream answers elsewhere, or at pingLimit.
func (c *conn) ask(sent time.Time) (*encoder.SubReply, error) {
	limit := sent.Add(pingLimit)
	c.pool.owner.counts.pings.Add(1)
	_ = c.nc.SetDeadline(sent.Add(pingLate))
	if err := c.write(); err != nil {
		return nil, err
	}
	for {
		err := c.peek()
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.pool.patient(c, sent) {
			return nil, err
		}
	}
	c.pool.begun(c, limit)
	reply, keep, err := c.read(c.message.id)
	if err == nil && !keep {
		err = net.ErrClosed
	}
	return reply, err
}

// peek waits for the first byte of a reply. When the read deadline has passed it looks once more: after a pause of this
// process the reply may be in the socket's buffer already.
func (c *conn) peek() error {
	_, err := c.br.Peek(1)
	if isTimeout(err) {
		_ = c.nc.SetReadDeadline(time.Now().Add(stallGrace))
		_, err = c.br.Peek(1)
	}
	return err
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) }

// isBroken tells an error of the connection from an error of the message.
func isBroken(err error) bool {
	_, ok := errors.AsType[net.Error](err)
	return ok || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
