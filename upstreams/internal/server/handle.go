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

// maxDeadline limits the time of a sub-request that has no deadline or a longer one.
const maxDeadline = time.Minute

// Cancellation causes of a sub-request.
var (
	errCancelled = errors.New("cancelled")
	errCrashed   = errors.New("crashed")
)

// handleRequest serves one request. The HTTP status of every sub-reply is 200; the body holds the status of the sub-request.
func (f *Fleet) handleRequest(w http.ResponseWriter, r *http.Request) {
	u := r.Context().Value(upstreamKey{}).(*upstream)
	oneWay := f.deployment.OneWayDelay(r.Header.Get(encoder.HeaderFailureDomain), u.server.FailureDomain)
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
	if !sleep(r.Context(), oneWay) {
		return
	}
	switch r.URL.Path {
	case encoder.PathSubRequest:
		u.handleSubRequest(r, &request, reply)
	case encoder.PathCancel:
		u.cancelSubRequest(cancel.RequestID)
	case encoder.PathPing:
		reply.Presence = u.presenceOf(r.Header.Get(encoder.HeaderAskID))
	}
	if !sleep(r.Context(), oneWay) {
		return
	}
	body, ok := u.encodeReply(reply, r.URL.Path == encoder.PathSubRequest)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails if the peer has closed the connection
}

// handleSubRequest validates and runs one sub-request, and fills in the reply.
func (u *upstream) handleSubRequest(r *http.Request, request *encoder.SubRequest, reply *encoder.SubReply) {
	deadline := maxDeadline
	if ms, err := strconv.ParseInt(r.Header.Get(encoder.HeaderDeadlineMS), 10, 64); err == nil {
		deadline = min(deadline, time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond)
	}
	version, _ := strconv.ParseUint(r.Header.Get(encoder.HeaderIndexVersion), 10, 64) // 0 means the newest version
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, deadline)
	defer stop()
	lifetime := u.registerSubRequest(reply.RequestID, cancel)
	defer u.unregisterSubRequest(reply.RequestID)
	defer context.AfterFunc(lifetime, func() { cancel(errCrashed) })()

	if request.Service != u.server.Service.Name {
		reply.Status, reply.Message = encoder.StatusError, "service is not served here"
		return
	}
	held, ok := u.findVersion(version)
	if request.Kind == encoder.SubSearch && !ok {
		u.updateStats(func(s *Stats) { s.NotHeld++ })
		reply.Status = encoder.StatusVersionNotHeld
		return
	}
	if !u.runSubRequest(ctx, request, reply) {
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
		reply.Result, _ = json.Marshal(indexer.LookupResult(request.Service, request.Query)) // encoding a string can't fail
	case encoder.SubCall:
		reply.Result = request.Body
	default:
		reply.Status, reply.Message = encoder.StatusError, "kind is not search, lookup or call"
	}
}

func (u *upstream) cancelSubRequest(id string) {
	u.mu.Lock()
	cancel := u.inFlight[id]
	u.mu.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
}

// presenceOf returns SubPresent if the upstream has a sub-request queued or running, else SubAbsent. It returns "" if id is empty.
func (u *upstream) presenceOf(id string) encoder.SubPresence {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case id == "":
		return ""
	case u.inFlight[id] != nil:
		return encoder.SubPresent
	default:
		return encoder.SubAbsent
	}
}

func (u *upstream) registerSubRequest(id string, cancel context.CancelCauseFunc) context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.Received++
	u.inFlight[id] = cancel
	return u.lifetime
}

func (u *upstream) unregisterSubRequest(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.inFlight, id)
}

// encodeReply fills in the state of the upstream and encodes a reply. It returns false if the upstream has stopped or crashed.
func (u *upstream) encodeReply(reply *encoder.SubReply, sub bool) ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lifetime.Err() != nil {
		return nil, false
	}
	reply.Upstream, reply.Incarnation, reply.Draining = u.server.Name, u.incarnation, u.faults.isDraining
	reply.Load, reply.Held = u.reportLoad(time.Now()), u.heldVersions
	if sub && u.faults.wrongIDShare > 0 && u.random.Float64() < u.faults.wrongIDShare {
		reply.RequestID += "-wrong"
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return nil, false // impossible: the only raw JSON is the body of a call, which the decoder has validated
	}
	if sub && u.faults.swapsReplies {
		body, u.previousReply = u.previousReply, body
		if body == nil {
			body = u.previousReply
		}
	}
	return body, true
}

// reportLoad returns the load to report. Under the lag fault it may be outdated by up to loadLag.
func (u *upstream) reportLoad(now time.Time) encoder.Load {
	if now.Sub(u.reportedAt) >= u.faults.loadLag {
		u.reportedLoad = encoder.Load{Running: len(u.slots), Queued: u.queued, Slots: cap(u.slots), Connections: len(u.connections)}
		u.reportedAt = now
	}
	return u.reportedLoad
}

func (u *upstream) updateStats(f func(*Stats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(&u.stats)
}

// sleep waits for d. It reports whether d has passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
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
