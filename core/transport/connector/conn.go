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
	silent    bool      // its connection was unresponsive when it was cancelled
	writing   bool      // from before the first byte
	until     time.Time // when a cancelled request is given up
	lost      time.Time // when a request is given up that the upstream does not have; zero while that is not known
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
	retire       bool      // close after the current request
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
	ask := ""
	if j.about != nil {
		ask = c.pool.owner.attemptID(j.about.send.Attempt)
	}
	reply, err := c.ping(sent.Add(pingTimeout), ask)
	if err != nil {
		c.pool.lostPing(c, isTimeout(err))
		return false
	}
	kept := c.pool.finish(c, sent)
	if reply.Asked == encoder.AskedAbsent {
		c.pool.absent(j.about, sent)
	}
	c.pool.seen(reply)
	return kept
}

// ping sends a ping and reads the reply. ask is the id of a sub-request that the upstream is asked about, or empty.
func (c *conn) ping(deadline time.Time, ask string) (*encoder.SubReply, error) {
	c.pool.owner.counts.pings.Add(1)
	_ = c.nc.SetDeadline(deadline)
	id := c.pool.owner.nextID()
	c.message.prepare(http.MethodGet, encoder.PathPing, id, nil)
	if ask != "" {
		c.message.set(encoder.HeaderAskID, ask)
	}
	if err := c.write(); err != nil {
		return nil, err
	}
	reply, keep, err := c.read(id)
	if err == nil && !keep {
		err = net.ErrClosed
	}
	return reply, err
}

func (c *conn) carryCancel(j *job) bool {
	sent := time.Now()
	_ = c.nc.SetDeadline(sent.Add(pingTimeout))
	body, err := json.Marshal(encoder.CancelRequest{RequestID: j.target})
	if err == nil {
		id := c.pool.owner.nextID()
		c.message.prepare(http.MethodPost, encoder.PathCancel, id, body)
		if err = c.write(); err == nil {
			var keep bool
			if _, keep, err = c.read(id); err == nil && !keep {
				err = net.ErrClosed
			}
		}
	}
	if err != nil {
		c.pool.lostPing(c, isTimeout(err))
		return false
	}
	return c.pool.finish(c, sent)
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) }

// isBroken tells an error of the connection from an error of the message.
func isBroken(err error) bool {
	_, ok := errors.AsType[net.Error](err)
	return ok || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
