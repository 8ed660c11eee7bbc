package detourer

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/core/transport/requester"
	"comfreyroute/platform/translator"
)

// Protocol implements requester.Protocol for requests to peers.
type Protocol struct {
	Memory *bounder.Memory // counts the bodies of answers
}

// AppendRequest appends the bytes of a request to a peer to b. Left is the time until its deadline.
func (Protocol) AppendRequest(b []byte, s *forwarder.Send, left time.Duration) []byte {
	m, d := s.Message, s.Detour
	h := make(http.Header, len(m.Header)+12)
	outerHeaders(h, m.Header)
	h.Set(headerFormat, format)
	switch {
	case !d.Identity.Verified:
		outerHeaders(h, m.Identity)
	default:
		h.Set(headerFormat, verifiedFormat)
		if d.Identity.Customer != "" {
			h.Set(headerCustomer, d.Identity.Customer)
			h.Set(headerKey, d.Key.String())
		}
	}
	h.Set(headerID, m.RequestID)
	h.Set(headerMethod, m.Method)
	h.Set(headerHost, m.Host)
	h.Set(headerTarget, m.Target)
	h.Set(headerLeft, formatMicroseconds(left))
	h.Set(headerRoute, strconv.FormatUint(d.Route, 16))
	h.Set(headerAge, formatMicroseconds(d.Age))
	h.Set(headerAttempts, strconv.Itoa(d.Attempts))
	h.Set(headerCounted, strconv.FormatBool(d.Counted))
	h.Set(headerPaid, strconv.FormatBool(d.Paid))
	if d.Suspect {
		h.Set(headerSuspect, strconv.FormatBool(d.Suspect))
	}
	h.Set("Content-Length", strconv.Itoa(len(m.Body)))
	w := bytes.NewBuffer(b)
	w.WriteString(http.MethodPost + " " + path + " HTTP/1.1\r\nHost: " + s.Upstream + "\r\n")
	_ = h.Write(w) // writing to a buffer never fails
	w.WriteString("\r\n")
	w.Write(m.Body)
	return w.Bytes()
}

// ReadReply reads the answer of a peer. It returns requester.ErrMismatched for the answer to another request.
func (p Protocol) ReadReply(r *bounder.Reader, s *forwarder.Send) (requester.Response, error) {
	response, err := http.ReadResponse(r.Reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return requester.Response{}, eris.Wrap(err, "read the header of a peer's answer")
	}
	defer func() { _ = response.Body.Close() }()
	h := response.Header
	if response.StatusCode != http.StatusOK || h.Get(headerID) != s.Message.RequestID || response.ContentLength < 0 {
		return requester.Response{}, requester.ErrMismatched
	}
	r.Expect(bounder.Body, s.MaxBodyBytes+1)
	body, held, err := p.Memory.ReadBody(response.Body, response.ContentLength, s.MaxBodyBytes)
	if err != nil {
		return requester.Response{}, eris.Wrap(err, "read the body of a peer's answer")
	}
	answer := &forwarder.PeerAnswered{Missing: splitList(h.Get(headerAbsent)), Leaving: splitList(h.Get(headerLeaving))}
	if answer.Runs, err = strconv.Atoi(h.Get(headerRuns)); err == nil {
		answer.Outcome, err = decodeOutcome(h, body)
	}
	if err != nil {
		p.Memory.Release(held)
		return requester.Response{}, err
	}
	return requester.Response{Answer: answer, Identified: true, Held: held, KeepAlive: !response.Close}, nil
}

// decodeOutcome decodes the outcome of a request at a peer.
func decodeOutcome(h http.Header, body []byte) (forwarder.Outcome, error) {
	switch kind := h.Get(headerOutcome); kind {
	case outcomeRelayed:
		status, err := strconv.Atoi(h.Get(headerStatus))
		if err != nil || !translator.IsFinalStatus(status) {
			return nil, eris.Errorf("a peer's answer has the status %q, want that of a final HTTP answer", h.Get(headerStatus))
		}
		inner := innerHeaders(h)
		return forwarder.Relayed{Reply: &forwarder.Reply{Status: status, Header: inner, Body: body, Signature: translator.Signature(inner)}}, nil
	case outcomeGathered:
		missing, err := strconv.Atoi(h.Get(headerMissing))
		if err != nil || missing < 0 {
			return nil, eris.Errorf("a peer's answer has %q missing shards, want a number", h.Get(headerMissing))
		}
		return forwarder.Gathered{Signatures: splitList(h.Get(headerSignatures)), Missing: missing, Body: body}, nil
	case outcomeRefused:
		after, err := parseMicroseconds(h.Get(headerRetryAfter))
		if err != nil {
			return nil, eris.Wrap(err, "decode when to retry a request that a peer has refused")
		}
		return forwarder.Refused{Reason: parseReason(h.Get(headerReason)), RetryAfter: after}, nil
	case outcomeUnknown:
		return forwarder.Unknown{Reason: parseReason(h.Get(headerReason))}, nil
	default:
		return nil, eris.Errorf("a peer's answer has the outcome %q", kind)
	}
}
