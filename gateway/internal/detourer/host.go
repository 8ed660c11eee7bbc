package detourer

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/authenticator"
	"comfreyroute/core/coordination/doorkeeper"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/gateway/internal/driver"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

const (
	// maxBodyBytes bounds the body of a request. The VM that sends it keeps the bound of the manifest.
	maxBodyBytes = 32 << 20
	// refusedRetryAfter is when a VM may ask again that this one could not serve for lack of memory, or because it stops.
	refusedRetryAfter = 200 * time.Millisecond
)

// Dispatcher serves requests.
type Dispatcher interface {
	SubmitRequest(forwarder.RequestArrived) (forwarder.RequestID, <-chan forwarder.Answer)
	CancelRequest(forwarder.RequestID)
}

// Host serves the requests of other VMs. Its exported fields must be set before the first request.
type Host struct {
	Dispatcher Dispatcher
	Memory     *bounder.Memory
	Log        *logger.Logger

	stopping atomic.Bool
}

// StartShutdown makes the host refuse further requests, so that other VMs turn to other peers.
func (s *Host) StartShutdown() { s.stopping.Store(true) }

// ServeHTTP serves one request of another VM. Each refusal says that the request has not run.
func (s *Host) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	received := time.Now()
	e, err := decodeRequest(request, received)
	if err != nil {
		s.Log.InfoLimited("detourer: request of another VM is malformed", zap.String("from", request.RemoteAddr), zap.String("error", err.Error()))
		w.Header().Set("Connection", "close")
		writeAnswer(w, request.Header.Get(headerID), &forwarder.Answer{Outcome: forwarder.Refused{Reason: forwarder.OtherManifest, RetryAfter: refusedRetryAfter}})
		return
	}
	body, held, err := s.Memory.ReadCounted(request.Body, request.ContentLength, maxBodyBytes)
	defer s.Memory.Release(held)
	if err != nil || s.stopping.Load() {
		w.Header().Set("Connection", "close")
		writeAnswer(w, e.Message.RequestID, &forwarder.Answer{Outcome: forwarder.Refused{Reason: forwarder.Busy, RetryAfter: refusedRetryAfter}})
		return
	}
	e.Message.Body = body
	conn := acceptor.ConnOf(request)
	conn.Move(doorkeeper.Served)
	id, answers := s.Dispatcher.SubmitRequest(e)
	select {
	case a := <-answers:
		defer s.Memory.Release(driver.AnswerBytes(a.Outcome)) // also when the answer cannot be written
		conn.Move(doorkeeper.Reading)
		writeAnswer(w, e.Message.RequestID, &a)
		s.Log.InfoLimited("detourer: request of another VM answered", zap.String("request", e.Message.RequestID), zap.String("from", request.RemoteAddr),
			zap.String("outcome", outcomeName(a.Outcome)), zap.Duration("took", time.Since(received)), zap.Int("sends", a.Report.Sends))
	case <-request.Context().Done():
		s.Dispatcher.CancelRequest(id)
		driver.Discard(answers, s.Memory)
		panic(http.ErrAbortHandler) // an empty 200 response would look like an answer
	}
}

// decodeRequest decodes a request of another VM, without its body.
func decodeRequest(request *http.Request, received time.Time) (forwarder.RequestArrived, error) {
	h := request.Header
	verified := h.Get(headerFormat) == verifiedFormat
	if h.Get(headerFormat) != format && !verified || request.URL.Path != path {
		return forwarder.RequestArrived{}, eris.Errorf("the format is %q at %s, want %q or %q at %s", h.Get(headerFormat), request.URL.Path, format, verifiedFormat, path)
	}
	left, err := parseMicroseconds(h.Get(headerLeft))
	if err != nil {
		return forwarder.RequestArrived{}, eris.Wrapf(err, "decode %s", headerLeft)
	}
	d := &forwarder.Detour{Counted: h.Get(headerCounted) == "true", Paid: h.Get(headerPaid) == "true", Suspect: h.Get(headerSuspect) == "true"}
	if d.Age, err = parseMicroseconds(h.Get(headerAge)); err != nil {
		return forwarder.RequestArrived{}, eris.Wrapf(err, "decode %s", headerAge)
	}
	if d.Route, err = strconv.ParseUint(h.Get(headerRoute), 16, 64); err != nil {
		return forwarder.RequestArrived{}, eris.Wrapf(err, "decode %s", headerRoute)
	}
	if d.Attempts, err = strconv.Atoi(h.Get(headerAttempts)); err != nil || d.Attempts < 1 {
		return forwarder.RequestArrived{}, eris.Errorf("%s is %q, want at least 1", headerAttempts, h.Get(headerAttempts))
	}
	d.Identity = forwarder.Identity{Verified: verified, Customer: h.Get(headerCustomer)}
	if key := h.Get(headerKey); key != "" {
		if d.Key, err = authenticator.ParseDigest(key); err != nil {
			return forwarder.RequestArrived{}, eris.Wrapf(err, "decode %s", headerKey)
		}
	}
	m := &forwarder.Message{
		RequestID: h.Get(headerID), Method: h.Get(headerMethod), Host: h.Get(headerHost), Target: h.Get(headerTarget), Header: innerHeaders(h),
	}
	m.Identity = translator.SplitIdentity(m.Header)
	m.Path, _, _ = strings.Cut(m.Target, "?")
	return forwarder.RequestArrived{Message: m, Deadline: received.Add(left), Detour: d}, nil
}

// writeAnswer writes the answer to a request of another VM.
func writeAnswer(w http.ResponseWriter, id string, a *forwarder.Answer) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil // the other VM does not read them
	h.Set(headerID, id)
	h.Set(headerOutcome, outcomeName(a.Outcome))
	h.Set(headerRuns, strconv.Itoa(a.Runs))
	if len(a.Leaving) > 0 {
		h.Set(headerLeaving, strings.Join(a.Leaving, separator))
	}
	var body []byte
	switch o := a.Outcome.(type) {
	case forwarder.Relayed:
		outerHeaders(h, o.Reply.Header)
		h.Set(headerStatus, strconv.Itoa(o.Reply.Status))
		body = o.Reply.Body
	case forwarder.Gathered:
		h.Set(headerSignatures, strings.Join(o.Signatures, separator))
		h.Set(headerMissing, strconv.Itoa(o.Missing))
		body = o.Body
	case forwarder.Refused:
		h.Set(headerReason, o.Reason.String())
		h.Set(headerRetryAfter, formatMicroseconds(o.RetryAfter))
	case forwarder.Unknown:
		h.Set(headerReason, o.Reason.String())
	}
	if len(a.Report.Missing) > 0 {
		absent := make([]string, 0, len(a.Report.Missing))
		for _, m := range a.Report.Missing {
			absent = append(absent, m.Service)
		}
		h.Set(headerAbsent, strings.Join(absent, separator))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails when the other VM has disconnected
}

// outcomeName returns the name of an outcome on the wire.
func outcomeName(o forwarder.Outcome) string {
	switch o.(type) {
	case forwarder.Relayed:
		return outcomeRelayed
	case forwarder.Gathered:
		return outcomeGathered
	case forwarder.Refused:
		return outcomeRefused
	default:
		return outcomeUnknown
	}
}
