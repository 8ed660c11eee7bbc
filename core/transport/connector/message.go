package connector

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// errMismatched tells that a reply belongs to another request.
var errMismatched = eris.New("the reply carries the id of another request")

// errInvalid tells that a reply is malformed or oversized.
var errInvalid = eris.New("the reply is malformed")

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func requestPrefix(vm string, incarnation uint64) string {
	return vm + "-" + strconv.FormatUint(incarnation, 36) + "-"
}

// attemptID returns the id of an attempt on the wire. VM id, incarnation and attempt number make it unique over the
// fleet and over restarts.
func (c *Connector) attemptID(a router.AttemptID) string {
	return c.prefix + strconv.FormatUint(uint64(a), 10)
}

// nextID returns an id for a message that belongs to no attempt.
func (c *Connector) nextID() string {
	return c.prefix + "p" + strconv.FormatUint(c.counts.numbers.Add(1), 10)
}

// message is a request that a connection uses again and again, because a new one for each sub-request costs a dozen
// allocations.
type message struct {
	request http.Request
	body    bytes.Reader
	id      string
}

func (m *message) init(host, failureDomain string) {
	m.request = http.Request{
		URL: &url.URL{Host: host}, Host: host, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"User-Agent": {""}, encoder.HeaderFailureDomain: {failureDomain}, "Content-Type": {"application/json"}},
	}
}

func (m *message) prepare(method, path, id string, body []byte) {
	m.request.Method, m.request.URL.Path, m.id = method, path, id
	m.set(encoder.HeaderRequestID, id)
	delete(m.request.Header, encoder.HeaderDeadlineMS)
	delete(m.request.Header, encoder.HeaderIndexVersion)
	delete(m.request.Header, encoder.HeaderCaller)
	delete(m.request.Header, encoder.HeaderAskID)
	m.body.Reset(body)
	m.request.ContentLength = int64(len(body))
	m.request.Body = nil
	if len(body) > 0 {
		m.request.Body = io.NopCloser(&m.body)
	}
}

func (m *message) set(header, value string) {
	if v := m.request.Header[header]; len(v) == 1 {
		v[0] = value
		return
	}
	m.request.Header[header] = []string{value}
}

// prepareSend fills in a sub-request. left is the time until its deadline.
func (m *message) prepareSend(s *router.Send, id string, left time.Duration) error {
	body, err := json.Marshal(encoder.SubRequest{Service: s.Service, Kind: s.Kind, Query: s.Query, Body: s.Body})
	if err != nil {
		return eris.Wrap(err, "encode sub-request")
	}
	m.prepare(http.MethodPost, encoder.PathSubRequest, id, body)
	m.set(encoder.HeaderDeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
	if s.Version != 0 {
		m.set(encoder.HeaderIndexVersion, strconv.FormatUint(s.Version, 10))
	}
	if s.Caller != "" {
		m.set(encoder.HeaderCaller, s.Caller)
	}
	return nil
}

// write sends the prepared request.
func (c *conn) write() error {
	if err := c.message.request.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// read reads the reply to the prepared request. keep tells whether the connection may carry another request.
func (c *conn) read(id string) (reply *encoder.SubReply, keep bool, err error) {
	response, err := http.ReadResponse(c.br, &c.message.request)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > encoder.MaxReplyBytes {
		return nil, false, errInvalid
	}
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	if _, err := b.ReadFrom(io.LimitReader(response.Body, encoder.MaxReplyBytes+1)); err != nil {
		return nil, false, err
	}
	if h := response.Header.Get(encoder.HeaderRequestID); h != "" && h != id {
		return nil, false, errMismatched
	}
	reply = &encoder.SubReply{}
	if err := encoder.DecodeBytes(b.Bytes(), encoder.MaxReplyBytes, reply); err != nil {
		return nil, false, errInvalid
	}
	if reply.RequestID != id {
		return nil, false, errMismatched
	}
	return reply, !response.Close, nil
}
