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

// Bounds of a request.
const (
	maxWait     = 60 * time.Second
	maxBody     = 2 * encoder.MaxValueBytes // the value is base64 in JSON
	maxPage     = 1000                      // keys of one range reply
	controlPath = "/control"
)

// Server answers the calls of the platform. The zero value has an empty store, no limits and no faults.
type Server struct {
	Store storer.Store
	List  storer.List

	calls  counters
	faults faults
	gate   gate
}

type counters struct{ reads, writes, watches, lists atomic.Uint64 }

type faults struct {
	slow        atomic.Int64 // nanoseconds added to each call
	loseAnswers atomic.Int64 // writes whose answer is still to be lost
	reads       atomic.Pointer[rate.Limiter]
	writes      atomic.Pointer[rate.Limiter]
}

// Calls returns the counted calls. Reading the counts and the control interface are not counted.
func (s *Server) Calls() encoder.CallCounts {
	return encoder.CallCounts{
		Reads:   s.calls.reads.Load(),
		Writes:  s.calls.writes.Load(),
		Watches: s.calls.watches.Load(),
		Lists:   s.calls.lists.Load(),
	}
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == encoder.PathCalls && r.Method == http.MethodGet:
		answer(w, http.StatusOK, s.Calls())
		return
	case path == controlPath:
		s.control(w, r)
		return
	}
	if !s.delay(r) {
		return
	}
	switch {
	case path == encoder.PathRange && r.Method == http.MethodGet:
		s.read(w, r, s.ranged)
	case path == encoder.PathWatch && r.Method == http.MethodGet:
		s.calls.watches.Add(1)
		s.watch(w, r)
	case path == encoder.PathVMs && r.Method == http.MethodGet:
		s.calls.lists.Add(1)
		answer(w, http.StatusOK, s.List.Visible(time.Now()))
	case strings.HasPrefix(path, encoder.PathLeases) && r.Method == http.MethodPost:
		s.write(w, r, s.lease)
	case strings.HasPrefix(path, encoder.PathKeys) && len(path) > len(encoder.PathKeys):
		s.key(w, r)
	default:
		http.Error(w, "no such path or method", http.StatusNotFound)
	}
}

func (s *Server) key(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		s.read(w, r, s.get)
	case http.MethodPut:
		s.write(w, r, s.put)
	case http.MethodDelete:
		s.write(w, r, s.remove)
	default:
		http.Error(w, "method is not GET, PUT or DELETE", http.StatusMethodNotAllowed)
	}
}

// reply is an HTTP status and the JSON value of the body.
type reply struct {
	status int
	body   any
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, f func(*http.Request) reply) {
	s.calls.reads.Add(1)
	if !allow(w, s.faults.reads.Load()) {
		return
	}
	a := f(r)
	answer(w, a.status, a.body)
}

// write runs a write and answers it, or cuts the connection when the answer is to be lost.
func (s *Server) write(w http.ResponseWriter, r *http.Request, f func(*http.Request) reply) {
	s.calls.writes.Add(1)
	if !allow(w, s.faults.writes.Load()) {
		return
	}
	a := f(r)
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	answer(w, a.status, a.body)
}

func (s *Server) loseAnswer() bool {
	for {
		n := s.faults.loseAnswers.Load()
		if n <= 0 {
			return false
		}
		if s.faults.loseAnswers.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (s *Server) get(r *http.Request) reply {
	kv, ok := s.Store.Get(keyOf(r))
	if !ok {
		return reply{http.StatusNotFound, kv}
	}
	return reply{http.StatusOK, kv}
}

func (s *Server) put(r *http.Request) reply {
	var request encoder.PutRequest
	if err := encoder.Decode(r.Body, maxBody, &request); err != nil {
		return invalid(err.Error())
	}
	if len(request.Value) > encoder.MaxValueBytes {
		return reply{http.StatusRequestEntityTooLarge, failure{"value has more than 1 MB"}}
	}
	return written(s.Store.Put(keyOf(r), request))
}

func (s *Server) remove(r *http.Request) reply {
	var request encoder.DeleteRequest
	if err := encoder.Decode(r.Body, maxBody, &request); err != nil {
		return invalid(err.Error())
	}
	return written(s.Store.Delete(keyOf(r), request))
}

func written(a encoder.WriteReply, o storer.Outcome) reply {
	switch o {
	case storer.Conflict:
		return reply{http.StatusConflict, a}
	case storer.UnknownLease:
		return reply{http.StatusPreconditionFailed, a}
	default:
		return reply{http.StatusOK, a}
	}
}

func (s *Server) ranged(r *http.Request) reply {
	q := r.URL.Query()
	limit, ok := number(q.Get("limit"), maxPage)
	if !ok {
		return invalid("limit is not a number")
	}
	return reply{http.StatusOK, s.Store.Range(q.Get("prefix"), q.Get("after"), int(min(limit, maxPage)))}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, ok := number(q.Get("after"), 0)
	wait, ok2 := number(q.Get("wait_ms"), 0)
	if !ok || !ok2 {
		http.Error(w, "after or wait_ms is not a number", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(min(wait, 1<<32))*time.Millisecond, maxWait))
	defer end.Stop()
	for {
		a, changed := s.Store.Changes(q.Get("prefix"), after)
		if changed == nil {
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) lease(r *http.Request) reply {
	var request encoder.LeaseRequest
	if err := encoder.Decode(r.Body, maxBody, &request); err != nil {
		return invalid(err.Error())
	}
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	if request.TTLMS < 0 || ttl > time.Hour {
		return invalid("ttl_ms is not between 0 and 3600000")
	}
	name := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, encoder.PathLeases), "/")
	if name == "" {
		if ttl == 0 {
			return invalid("ttl_ms is 0")
		}
		return s.leased(s.Store.Grant(time.Now(), ttl), ttl)
	}
	id, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return invalid("lease is not a number")
	}
	ttl, ok := s.Store.Renew(time.Now(), id, ttl)
	if !ok {
		return reply{http.StatusNotFound, encoder.LeaseReply{ID: id}}
	}
	return s.leased(id, ttl)
}

// leased answers a grant or a renewal and arranges the expiry. A timer that fires after a later renewal finds nothing to expire.
func (s *Server) leased(id uint64, ttl time.Duration) reply {
	time.AfterFunc(ttl, func() { s.Store.Expire(time.Now()) })
	return reply{http.StatusOK, encoder.LeaseReply{ID: id, TTLMS: ttl.Milliseconds()}}
}

// delay waits as long as the slow fault says. It returns false when the client has gone.
func (s *Server) delay(r *http.Request) bool {
	d := time.Duration(s.faults.slow.Load())
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

func allow(w http.ResponseWriter, l *rate.Limiter) bool {
	if l == nil || l.Allow() {
		return true
	}
	answer(w, http.StatusTooManyRequests, failure{"rate limit"})
	return false
}

type failure struct {
	Error string `json:"error"`
}

func invalid(message string) reply { return reply{http.StatusBadRequest, failure{message}} }

func keyOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, encoder.PathKeys) }

func number(text string, unset uint64) (uint64, bool) {
	if text == "" {
		return unset, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}
