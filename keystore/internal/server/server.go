package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/keystore/internal/storer"
)

// Limits of a request.
const (
	maxWatchWait = 60 * time.Second
	maxBodyBytes = 2 * encoder.MaxValueBytes // a value is encoded as base64 in JSON
	maxPageKeys  = 1000                      // per range reply
	controlPath  = "/control"
)

// Server serves the calls to the platform. The zero value has an empty store, no limits and no faults.
type Server struct {
	Store  storer.Store
	VMList storer.VMList

	counters callCounters
	faults   faults
	endpoint endpoint
}

type callCounters struct{ reads, writes, watches, lists atomic.Uint64 }

type faults struct {
	callDelay     atomic.Int64 // delay of each call, in nanoseconds
	repliesToDrop atomic.Int64 // number of upcoming writes whose reply is dropped
	readLimiter   atomic.Pointer[rate.Limiter]
	writeLimiter  atomic.Pointer[rate.Limiter]
}

// CallCounts returns the number of calls by kind. Reads of the counts and calls of the control interface are not counted.
func (s *Server) CallCounts() encoder.CallCounts {
	return encoder.CallCounts{
		Reads:   s.counters.reads.Load(),
		Writes:  s.counters.writes.Load(),
		Watches: s.counters.watches.Load(),
		Lists:   s.counters.lists.Load(),
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == encoder.PathCalls && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.CallCounts())
		return
	case path == controlPath:
		s.handleControl(w, r)
		return
	}
	if !s.waitCallDelay(r) {
		return
	}
	switch {
	case path == encoder.PathRange && r.Method == http.MethodGet:
		s.handleRead(w, r, s.rangeKeys)
	case path == encoder.PathWatch && r.Method == http.MethodGet:
		s.counters.watches.Add(1)
		s.handleWatch(w, r)
	case path == encoder.PathVMs && r.Method == http.MethodGet:
		s.counters.lists.Add(1)
		writeJSON(w, http.StatusOK, s.VMList.VisibleVMs(time.Now()))
	case strings.HasPrefix(path, encoder.PathLeases) && r.Method == http.MethodPost:
		s.handleWrite(w, r, s.grantOrRenewLease)
	case strings.HasPrefix(path, encoder.PathKeys) && len(path) > len(encoder.PathKeys):
		s.handleKey(w, r)
	default:
		http.Error(w, "no such path or method", http.StatusNotFound)
	}
}

func (s *Server) handleKey(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		s.handleRead(w, r, s.getKey)
	case http.MethodPut:
		s.handleWrite(w, r, s.putKey)
	case http.MethodDelete:
		s.handleWrite(w, r, s.deleteKey)
	default:
		http.Error(w, "method is not GET, PUT or DELETE", http.StatusMethodNotAllowed)
	}
}

// reply is an HTTP status and a body, which is encoded as JSON.
type reply struct {
	status int
	body   any
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request, handle func(*http.Request) reply) {
	s.counters.reads.Add(1)
	if !allowCall(w, s.faults.readLimiter.Load()) {
		return
	}
	a := handle(r)
	writeJSON(w, a.status, a.body)
}

// handleWrite performs a write and sends the reply, or aborts the connection if the reply is to be dropped.
func (s *Server) handleWrite(w http.ResponseWriter, r *http.Request, handle func(*http.Request) reply) {
	s.counters.writes.Add(1)
	if !allowCall(w, s.faults.writeLimiter.Load()) {
		return
	}
	a := handle(r)
	if s.shouldDropReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, a.status, a.body)
}

// shouldDropReply reports whether the reply to the current write is to be dropped. If so, it decrements the number of replies to drop.
func (s *Server) shouldDropReply() bool {
	for {
		n := s.faults.repliesToDrop.Load()
		if n <= 0 {
			return false
		}
		if s.faults.repliesToDrop.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (s *Server) getKey(r *http.Request) reply {
	kv, ok := s.Store.Get(keyFromPath(r))
	if !ok {
		return reply{http.StatusNotFound, kv}
	}
	return reply{http.StatusOK, kv}
}

func (s *Server) putKey(r *http.Request) reply {
	var request encoder.PutRequest
	if err := encoder.Decode(r.Body, maxBodyBytes, &request); err != nil {
		return badRequest(err.Error())
	}
	if len(request.Value) > encoder.MaxValueBytes {
		return reply{http.StatusRequestEntityTooLarge, errorBody{"value has more than 1 MB"}}
	}
	return writeReply(s.Store.Put(keyFromPath(r), request))
}

func (s *Server) deleteKey(r *http.Request) reply {
	var request encoder.DeleteRequest
	if err := encoder.Decode(r.Body, maxBodyBytes, &request); err != nil {
		return badRequest(err.Error())
	}
	return writeReply(s.Store.Delete(keyFromPath(r), request))
}

func writeReply(a encoder.WriteReply, o storer.Outcome) reply {
	switch o {
	case storer.Conflict:
		return reply{http.StatusConflict, a}
	case storer.UnknownLease:
		return reply{http.StatusPreconditionFailed, a}
	default:
		return reply{http.StatusOK, a}
	}
}

func (s *Server) rangeKeys(r *http.Request) reply {
	q := r.URL.Query()
	limit, ok := parseNumber(q.Get("limit"), maxPageKeys)
	if !ok {
		return badRequest("limit is not a number")
	}
	return reply{http.StatusOK, s.Store.Range(q.Get("prefix"), q.Get("after"), int(min(limit, maxPageKeys)))}
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, isAfterValid := parseNumber(q.Get("after"), 0)
	waitMS, isWaitValid := parseNumber(q.Get("wait_ms"), 0)
	if !isAfterValid || !isWaitValid {
		http.Error(w, "after or wait_ms is not a number", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(time.Duration(min(waitMS, 1<<32))*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		a, changed := s.Store.ChangesAfter(q.Get("prefix"), after)
		if changed == nil {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) grantOrRenewLease(r *http.Request) reply {
	var request encoder.LeaseRequest
	if err := encoder.Decode(r.Body, maxBodyBytes, &request); err != nil {
		return badRequest(err.Error())
	}
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	if request.TTLMS < 0 || ttl > time.Hour {
		return badRequest("ttl_ms is not between 0 and 3600000")
	}
	name := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, encoder.PathLeases), "/")
	if name == "" {
		if ttl == 0 {
			return badRequest("ttl_ms is 0")
		}
		return s.leaseReply(s.Store.GrantLease(time.Now(), ttl), ttl)
	}
	id, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return badRequest("lease is not a number")
	}
	ttl, ok := s.Store.RenewLease(time.Now(), id, ttl)
	if !ok {
		return reply{http.StatusNotFound, encoder.LeaseReply{ID: id}}
	}
	return s.leaseReply(id, ttl)
}

// leaseReply returns the reply to a grant or renewal and schedules the expiry of the lease. A timer that fires after a later
// renewal finds nothing to expire.
func (s *Server) leaseReply(id uint64, ttl time.Duration) reply {
	time.AfterFunc(ttl, func() { s.Store.ExpireLeases(time.Now()) })
	return reply{http.StatusOK, encoder.LeaseReply{ID: id, TTLMS: ttl.Milliseconds()}}
}

// waitCallDelay waits for the injected call delay. It reports whether the client stayed connected until then.
func (s *Server) waitCallDelay(r *http.Request) bool {
	d := time.Duration(s.faults.callDelay.Load())
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func allowCall(w http.ResponseWriter, l *rate.Limiter) bool {
	if l == nil || l.Allow() {
		return true
	}
	writeJSON(w, http.StatusTooManyRequests, errorBody{"rate limit"})
	return false
}

type errorBody struct {
	Error string `json:"error"`
}

func badRequest(message string) reply { return reply{http.StatusBadRequest, errorBody{message}} }

func keyFromPath(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, encoder.PathKeys) }

func parseNumber(text string, defaultValue uint64) (uint64, bool) {
	if text == "" {
		return defaultValue, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the client has closed the connection
}
