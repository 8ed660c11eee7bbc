package connector

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/transport/bounder"
)

// errMismatched is the error for a reply that belongs to another request.
var errMismatched = eris.New("reply has the id of another request")

// errInvalid is the error for a malformed or oversized reply. The protocol gives every reply the HTTP status 200.
var errInvalid = eris.New("reply is malformed or too large")

// framingFactor bounds the bytes of a body in chunks on the wire: the chunk sizes may take as many bytes as the data.
const framingFactor = 2

func requestPrefix(vm string, incarnation uint64) string {
	return vm + "-" + strconv.FormatUint(incarnation, 36) + "-"
}

// attemptID returns the request id of an attempt on the wire. VM id, incarnation and attempt number make it unique in the
// fleet and across restarts.
func (c *Connector) attemptID(a router.AttemptID) string {
	return c.prefix + strconv.FormatUint(uint64(a), 10)
}

// nextID returns a new request id for a ping or cancellation.
func (c *Connector) nextID() string {
	return c.prefix + "p" + strconv.FormatUint(c.counts.numbers.Add(1), 10)
}

// message is the HTTP request of a connection. It is reused, because a new request for each sub-request costs a dozen
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
	m.setHeader(encoder.HeaderRequestID, id)
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

func (m *message) setHeader(header, value string) {
	if v := m.request.Header[header]; len(v) == 1 {
		v[0] = value
		return
	}
	m.request.Header[header] = []string{value}
}

// prepareSend prepares a sub-request. left is the time until its deadline.
func (m *message) prepareSend(s *router.Send, id string, left time.Duration) error {
	body, err := json.Marshal(encoder.SubRequest{Service: s.Service, Kind: s.Kind, Query: s.Query, Body: s.Body})
	if err != nil {
		return eris.Wrap(err, "encode sub-request")
	}
	m.prepare(http.MethodPost, encoder.PathSubRequest, id, body)
	m.setHeader(encoder.HeaderDeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
	if s.Version != 0 {
		m.setHeader(encoder.HeaderIndexVersion, strconv.FormatUint(s.Version, 10))
	}
	if s.Caller != "" {
		m.setHeader(encoder.HeaderCaller, s.Caller)
	}
	return nil
}

// writeRequest writes the prepared request.
func (c *conn) writeRequest() error {
	if err := c.message.request.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readReply reads the reply to the prepared request. keep reports whether the connection can carry another request.
func (c *conn) readReply(id string) (reply *encoder.SubReply, keep bool, err error) {
	defer c.br.Release()
	response, err := http.ReadResponse(c.br.Reader, &c.message.request)
	if c.br.Exceeded() != nil {
		return nil, false, errInvalid
	}
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK || response.ContentLength > encoder.MaxReplyBytes {
		return nil, false, errInvalid
	}
	c.br.Expect(bounder.Body, framingFactor*encoder.MaxReplyBytes+maxHeadBytes)
	memory := c.pool.owner.options.Memory
	body, held, err := memory.ReadBody(response.Body, response.ContentLength, encoder.MaxReplyBytes)
	if _, tooLarge := errors.AsType[*bounder.ExceededError](err); tooLarge || c.br.Exceeded() != nil {
		return nil, false, errInvalid
	}
	if err != nil {
		return nil, false, err
	}
	defer memory.Release(held)
	if h := response.Header.Get(encoder.HeaderRequestID); h != "" && h != id {
		return nil, false, errMismatched
	}
	reply = &encoder.SubReply{}
	if err := encoder.DecodeBytes(body, encoder.MaxReplyBytes, reply); err != nil {
		return nil, false, errInvalid
	}
	if reply.RequestID != id {
		return nil, false, errMismatched
	}
	return reply, !response.Close, nil
}
