package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/indexer"
)

// maxDeadline bounds the work of one sub-request without a deadline or with a very long one.
const maxDeadline = time.Minute

// Causes of the end of a sub-request.
var (
	errCancelled = errors.New("cancelled")
	errCrashed   = errors.New("crashed")
)

// handle answers one request. The HTTP status is 200 for every sub-reply; the envelope tells the status.
func (f *Fleet) handle(w http.ResponseWriter, r *http.Request) {
	h := r.Context().Value(hostKey{}).(*host)
	oneWay := f.deployment.OneWayDelay(r.Header.Get(encoder.HeaderFailureDomain), h.server.FailureDomain)
	reply := &encoder.SubReply{RequestID: r.Header.Get(encoder.HeaderRequestID), Status: encoder.StatusOK}
	var request encoder.SubRequest
	var cancel encoder.CancelRequest
	var err error
	switch {
	case r.URL.Path == encoder.PathSubRequest && r.Method == http.MethodPost:
		err = encoder.Decode(r.Body, encoder.MaxCallerBytes, &request)
	case r.URL.Path == encoder.PathCancel && r.Method == http.MethodPost:
		err = encoder.Decode(r.Body, encoder.MaxCallerBytes, &cancel)
	case r.URL.Path != encoder.PathPing:
		http.Error(w, "no such path or method", http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !pause(r.Context(), oneWay) {
		return
	}
	switch r.URL.Path {
	case encoder.PathSubRequest:
		h.sub(r, &request, reply)
	case encoder.PathCancel:
		h.cancel(cancel.RequestID)
	case encoder.PathPing:
		reply.Presence = h.asked(r.Header.Get(encoder.HeaderAskID))
	}
	if !pause(r.Context(), oneWay) {
		return
	}
	body, ok := h.envelope(reply, r.URL.Path == encoder.PathSubRequest)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the client may have gone
}

// sub decides on and runs one sub-request.
func (h *host) sub(r *http.Request, request *encoder.SubRequest, reply *encoder.SubReply) {
	deadline := maxDeadline
	if ms, err := strconv.ParseInt(r.Header.Get(encoder.HeaderDeadlineMS), 10, 64); err == nil {
		deadline = min(deadline, time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond)
	}
	version, _ := strconv.ParseUint(r.Header.Get(encoder.HeaderIndexVersion), 10, 64) // 0: the newest version
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, deadline)
	defer stop()
	life := h.register(reply.RequestID, cancel)
	defer h.unregister(reply.RequestID)
	defer context.AfterFunc(life, func() { cancel(errCrashed) })()

	if request.Service != h.server.Service.Name {
		reply.Status, reply.Message = encoder.StatusError, "service is not served here"
		return
	}
	held, ok := h.version(version)
	if request.Kind == encoder.SubSearch && !ok {
		h.count(func(s *Stats) { s.NotHeld++ })
		reply.Status = encoder.StatusVersionNotHeld
		return
	}
	if !h.work(ctx, request, reply) {
		return
	}
	switch request.Kind {
	case encoder.SubSearch:
		reply.Version, reply.Layout = held.Version, held.Layout
		for _, s := range held.Shards {
			items := indexer.Items(request.Service, held.Version, held.Layout, s, request.Query)
			reply.Results = append(reply.Results, encoder.ShardResult{Shard: s, Items: items})
		}
	case encoder.SubLookup:
		reply.Result, _ = json.Marshal(indexer.LookupResult(request.Service, request.Query)) // a string always encodes
	case encoder.SubCall:
		reply.Result = request.Body
	default:
		reply.Status, reply.Message = encoder.StatusError, "kind is not search, lookup or call"
	}
}

func (h *host) cancel(id string) {
	h.mu.Lock()
	cancel := h.inFlight[id]
	h.mu.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
}

// asked tells whether the host has a sub-request, or nothing when no id is given.
func (h *host) asked(id string) encoder.SubPresence {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case id == "":
		return ""
	case h.inFlight[id] != nil:
		return encoder.SubPresent
	default:
		return encoder.SubAbsent
	}
}

func (h *host) register(id string, cancel context.CancelCauseFunc) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Received++
	h.inFlight[id] = cancel
	return h.life
}

func (h *host) unregister(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, id)
}

// envelope fills in the state of the host and encodes a reply. It returns false when the host has crashed.
func (h *host) envelope(reply *encoder.SubReply, sub bool) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life.Err() != nil {
		return nil, false
	}
	reply.Upstream, reply.Incarnation, reply.Draining = h.server.Name, h.incarnation, h.faults.draining
	reply.Load, reply.Held = h.load(time.Now()), h.held
	if sub && h.faults.wrongID > 0 && h.random.Float64() < h.faults.wrongID {
		reply.RequestID += "-wrong"
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return nil, false // the body of a call was not JSON; the decoder excludes that
	}
	if sub && h.faults.swap {
		body, h.previous = h.previous, body
		if body == nil {
			body = h.previous
		}
	}
	return body, true
}

// load returns the reported load, which may be as old as the lag fault says.
func (h *host) load(now time.Time) encoder.Load {
	if now.Sub(h.reportedAt) >= h.faults.lag {
		h.reported = encoder.Load{Running: len(h.slots), Queued: h.queued, Slots: cap(h.slots), Connections: len(h.open)}
		h.reportedAt = now
	}
	return h.reported
}

func (h *host) count(f func(*Stats)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.stats)
}

// pause waits for a time. It returns false when the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
