package receiver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/kataras/iris/v12"

	"comfreyroute/core/coordination/doorkeeper"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
)

// readBody reads the body of a request within the bounds, and then lets the request run. Requests to paths without a route come here as well.
func (r *Receiver) readBody(c iris.Context) {
	request := c.Request()
	conn := acceptor.ConnOf(request)
	body, held, err := r.Memory.ReadCounted(conn.Body(request), request.ContentLength, r.MaxBodyBytes)
	defer r.Memory.Release(held)
	if err == nil {
		conn.Move(doorkeeper.Served)
		request.Body = io.NopCloser(bytes.NewReader(body))
		c.Next()
		return
	}
	c.Header("Connection", "close") // the rest of the body is not read
	exceeded, ok := errors.AsType[*bounder.ExceededError](err)
	switch {
	case ok && exceeded.Bound == bounder.Held:
		conn.Turn(doorkeeper.Short)
		r.writeRefusal(c, kindOfPath(request.URL.Path), reasonBusy)
	case ok:
		writeError(c, http.StatusRequestEntityTooLarge, "the body has more than "+strconv.FormatInt(r.MaxBodyBytes, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		conn.Turn(doorkeeper.Stalled)
		writeError(c, http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		writeError(c, http.StatusBadRequest, "the body cannot be read: "+err.Error())
	}
}

// kindOfPath returns the kind of the requests to a path. Those to other paths than that of calls run nothing.
func kindOfPath(path string) encoder.SubKind {
	switch path {
	case pathCall:
		return encoder.SubCall
	case pathSearch:
		return encoder.SubSearch
	default:
		return encoder.SubLookup
	}
}

// answerWriter counts what an answer holds while its caller reads it.
type answerWriter struct {
	http.ResponseWriter
	conn   *acceptor.Conn
	memory *bounder.Memory
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	size := int64(len(p))
	w.memory.Take(size)
	defer w.memory.Release(size)
	w.conn.Hold(size)
	defer w.conn.Hold(-size)
	w.conn.Move(doorkeeper.Reading)
	w.memory.EnforceLimit()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Overloaded is the HTTP response to a request whose head does not fit into the memory. It has no outcome: the path is not known, and an earlier
// attempt of a call may have run on another VM.
const Overloaded = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
