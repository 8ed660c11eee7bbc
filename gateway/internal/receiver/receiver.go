// Package receiver serves the HTTP requests of callers and the readiness probes of the load balancer.
//
// A request is read completely before it is forwarded, so that a caller that disconnects while it sends causes no work at an upstream.
package receiver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/doorkeeper"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/gateway/internal/driver"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

// defaultMaxBodyBytes bounds the body of a request while the manifest sets no limit.
const defaultMaxBodyBytes = 1 << 20

// Dispatcher forwards the requests of callers.
type Dispatcher interface {
	SubmitRequest(forwarder.RequestArrived) (forwarder.RequestID, <-chan forwarder.Answer)
	CancelRequest(forwarder.RequestID)
}

// Receiver answers the requests of callers. Its exported fields must be set before the first request.
type Receiver struct {
	Dispatcher Dispatcher
	Log        *logger.Logger
	Metrics    *Metrics
	Memory     *bounder.Memory // counts the bodies of requests and answers

	manifest       atomic.Pointer[forwarder.Manifest]
	upstreamsKnown atomic.Bool
	stopping       atomic.Bool
	conns          connTimeouts
}

// SetManifest sets the manifest whose limits apply to callers.
func (r *Receiver) SetManifest(m *forwarder.Manifest) { r.manifest.Store(m) }

// SetUpstreamsKnown records that the list of upstreams was received, which readiness depends on.
func (r *Receiver) SetUpstreamsKnown() { r.upstreamsKnown.Store(true) }

// ObserveConnection applies the timeouts of the manifest to a caller's connection. It is the ConnState hook of http.Server.
func (r *Receiver) ObserveConnection(c net.Conn, s http.ConnState) {
	acceptor.Observe(c, s)
	r.conns.observe(c, s, r.limits())
}

// limits returns the limits of the current manifest, or none.
func (r *Receiver) limits() forwarder.Limits {
	if m := r.manifest.Load(); m != nil {
		return m.Limits
	}
	return forwarder.Limits{}
}

// StallTime returns how long a caller may make no progress while it sends a body or reads an answer. It is that of an idle connection.
func (r *Receiver) StallTime() time.Duration {
	return orDefault(r.limits().IdleTimeout, defaultIdleTimeout)
}

// StartShutdown makes the readiness probe fail and every answer close its connection, so that callers move to other VMs.
func (r *Receiver) StartShutdown() { r.stopping.Store(true) }

// Ready reports whether the load balancer may send callers to this VM.
func (r *Receiver) Ready() bool {
	return r.manifest.Load() != nil && r.upstreamsKnown.Load() && !r.stopping.Load()
}

// ServeReady answers a readiness probe of the load balancer.
func (r *Receiver) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP answers one request of a caller.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	received := time.Now()
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	conn := acceptor.ConnOf(request)
	body, held, status := r.readBody(conn, request)
	defer r.Memory.Release(held)
	if status != 0 {
		r.Metrics.rejectedBodies.Inc()
		r.Log.InfoLimited("receiver: request rejected", zap.String("path", request.URL.Path), zap.Int("status", status))
		// The rest of the body is not read, so the connection cannot carry another request.
		w.Header().Set("Connection", "close")
		translator.WriteRejection(w, status)
		return
	}
	conn.Move(doorkeeper.Served)
	e := translator.DecodeRequest(request, body, received)
	id, answers := r.Dispatcher.SubmitRequest(e)
	select {
	case a := <-answers:
		if r.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		cost := driver.AnswerBytes(a.Outcome)
		defer r.Memory.Release(cost) // also when the answer cannot be written
		conn.Hold(cost)
		conn.Move(doorkeeper.Reading)
		r.Memory.EnforceLimit()
		status := translator.WriteAnswer(w, e.Message, a.Outcome)
		r.recordAnswer(e.Message, &a, status, time.Since(received))
	case <-request.Context().Done():
		r.Dispatcher.CancelRequest(id)
		driver.Discard(answers, r.Memory)
		r.Metrics.callersGone.Inc()
		r.Log.InfoLimited("receiver: caller disconnected", zap.String("request", e.Message.RequestID), zap.Duration("after", time.Since(received)))
		// If the handler returned, net/http would send an empty 200 response, which the caller could take for the answer.
		panic(http.ErrAbortHandler)
	}
}

// readBody returns the body of a request with the bytes that it counts for, or the HTTP status to reject the request with. The status is
// 0 for a valid request.
func (r *Receiver) readBody(conn *acceptor.Conn, request *http.Request) (body []byte, held int64, status int) {
	limits := r.limits()
	if limits.MaxHeaderBytes > 0 && headerSize(request) > limits.MaxHeaderBytes {
		return nil, 0, http.StatusRequestHeaderFieldsTooLarge
	}
	if request.Body == nil || request.Body == http.NoBody {
		return nil, 0, 0
	}
	limit := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		limit = limits.MaxBodyBytes
	}
	body, held, err := r.Memory.ReadCounted(conn.Body(request), request.ContentLength, limit)
	if err == nil {
		return body, held, 0
	}
	exceeded, ok := errors.AsType[*bounder.ExceededError](err)
	switch {
	case ok && exceeded.Bound == bounder.Held:
		conn.Turn(doorkeeper.Short)
		return nil, 0, http.StatusServiceUnavailable
	case ok:
		return nil, 0, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		conn.Turn(doorkeeper.Stalled)
		return nil, 0, http.StatusRequestTimeout
	default:
		return nil, 0, http.StatusBadRequest
	}
}

// headerSize returns the least size that the header fields had on the wire, in bytes.
func headerSize(request *http.Request) int64 {
	const separators = 3 // colon, CR and LF; the space is optional
	n := 0
	for name, values := range request.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// recordAnswer updates the metrics and logs an answer.
func (r *Receiver) recordAnswer(m *forwarder.Message, a *forwarder.Answer, status int, elapsed time.Duration) {
	outcome, reason := classifyOutcome(a.Outcome)
	r.Metrics.observe(outcome, elapsed)
	fields := make([]zap.Field, 0, 14)
	fields = append(fields, zap.String("request", m.RequestID), zap.String("route", a.Report.Route), zap.Uint64("manifest", a.Report.Manifest),
		zap.Stringer("outcome", outcome), zap.Int("status", status), zap.Duration("took", elapsed), zap.Int("sends", a.Report.Sends))
	if a.Report.Customer != "" {
		fields = append(fields, zap.String("customer", a.Report.Customer))
	}
	if reason != forwarder.None {
		fields = append(fields, zap.Stringer("reason", reason))
	}
	if a.Report.Spent > 0 {
		fields = append(fields, zap.Duration("spent", a.Report.Spent))
	}
	if a.Report.Hedges > 0 {
		fields = append(fields, zap.Int("hedges", a.Report.Hedges))
	}
	if a.Report.Retries > 0 {
		fields = append(fields, zap.Int("retries", a.Report.Retries))
	}
	if refused, ok := a.Outcome.(forwarder.Refused); ok {
		fields = append(fields, zap.Duration("retry_after", refused.RetryAfter))
	}
	if a.Report.Peer != "" {
		fields = append(fields, zap.String("peer", a.Report.Peer))
	}
	if len(a.Report.Missing) > 0 {
		fields = append(fields, zap.Any("missing", formatMissing(a.Report.Missing)))
	}
	r.Log.InfoLimited("receiver: request answered", fields...)
}

// formatMissing formats each missing shard of an answer as its service, the reason and the upstream.
func formatMissing(shards []forwarder.MissingShard) []string {
	out := make([]string, 0, len(shards))
	for _, s := range shards {
		out = append(out, s.Service+" "+s.Reason.String()+" "+s.Upstream)
	}
	return out
}

// classifyOutcome returns the outcome for logs and metrics, and the reason of a failure.
func classifyOutcome(o forwarder.Outcome) (Outcome, forwarder.Reason) {
	switch o := o.(type) {
	case forwarder.Gathered:
		if o.Missing > 0 {
			return Partial, forwarder.None
		}
		return Whole, forwarder.None
	case forwarder.Refused:
		return Rejected, o.Reason
	case forwarder.Unknown:
		return Failed, o.Reason
	case forwarder.Relayed:
		if o.Reply.Status >= http.StatusInternalServerError {
			return UpstreamFailed, forwarder.Errored
		}
	}
	return Whole, forwarder.None
}

// NewMetrics registers the metrics of a receiver in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		rejectedBodies: set.NewCounter(`comfreyroute_gateway_rejected_bodies_total`),
		callersGone:    set.NewCounter(`comfreyroute_gateway_callers_gone_total`),
	}
	for o := Whole; o <= UpstreamFailed; o++ {
		m.answers = append(m.answers, set.NewCounter(`comfreyroute_gateway_answers_total{outcome="`+o.String()+`"}`))
		m.latency = append(m.latency, set.NewHistogram(`comfreyroute_gateway_answer_seconds{outcome="`+o.String()+`"}`))
	}
	return m
}
