package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is the last write of one key.
type entry struct {
	key      string
	value    []byte
	revision uint64
	lease    uint64
	deleted  bool
	at       time.Time
}

// historyTime is how long the store keeps its history, history-s in the settings.
const historyTime = 20 * time.Second

// store is a stand-in for the platform's store. It answers at once.
type store struct {
	mu       sync.Mutex
	entries  map[string]entry
	history  []entry // all writes of the last historyTime
	forgot   uint64  // revision of the last write that is not in history any more
	revision uint64
	leases   map[uint64]*time.Timer
	last     uint64
	changed  chan struct{}
	listener net.Listener
}

func startStore() *store {
	s := &store{entries: map[string]entry{}, leases: map[uint64]*time.Timer{}, changed: make(chan struct{}), revision: 100}
	s.listener = listen(nil)
	go func() { _ = http.Serve(s.listener, s) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(entry{key: key, value: data})
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].value
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(entry{key: key, deleted: true})
}

// write stores an entry and wakes the watches. The caller holds s.mu.
func (s *store) write(e entry) {
	s.revision++
	e.revision, e.at = s.revision, time.Now()
	s.entries[e.key] = e
	s.history = append(s.history, e)
	for time.Since(s.history[0].at) > historyTime {
		s.forgot = s.history[0].revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease removes the keys of a lease. The caller holds s.mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id && !e.deleted {
			s.write(entry{key: key, deleted: true})
		}
	}
}

func (s *store) encode(e entry) map[string]any {
	if e.deleted {
		return map[string]any{"key": e.key, "revision": e.revision, "tombstone": true}
	}
	return map[string]any{
		"key": e.key, "value": base64.StdEncoding.EncodeToString(e.value), "revision": e.revision, "created": e.revision, "lease": e.lease,
	}
}

// items returns the entries under a prefix. The caller holds s.mu.
func (s *store) items(prefix string) []map[string]any {
	out := []map[string]any{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && !e.deleted {
			out = append(out, s.encode(e))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i]["key"].(string) < out[j]["key"].(string) })
	return out
}

// events returns the writes under a prefix after a revision, in their order. The caller holds s.mu.
func (s *store) events(prefix string, after uint64) []map[string]any {
	out := []map[string]any{}
	for _, e := range s.history {
		if strings.HasPrefix(e.key, prefix) && e.revision > after {
			out = append(out, s.encode(e))
		}
	}
	return out
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := map[string]any{}
	keep, isKeep := strings.CutPrefix(r.URL.Path, "/kv-keep/")
	end, isEnd := strings.CutPrefix(r.URL.Path, "/kv-lease-end/")
	switch {
	case r.URL.Path == "/kv-range":
		answer["items"], answer["has-more"] = s.items(q.Get("prefix")), false
	case r.URL.Path == "/kv-key":
		e, ok := s.entries[q.Get("key")]
		if !ok || e.deleted {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer = s.encode(e)
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		if after < s.forgot || after > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		s.await(r, after, time.Duration(wait)*time.Millisecond)
		answer["events"] = s.events(q.Get("prefix"), after)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL float64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.last++
		id := s.last
		ttl := time.Duration(max(1000, in.TTL)) * time.Millisecond
		s.leases[id] = time.AfterFunc(ttl, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endLease(id)
		})
		answer["lease"], answer["ttl-ms"] = id, ttl.Milliseconds()
	case isKeep:
		id, _ := strconv.ParseUint(keep, 10, 64)
		t := s.leases[id]
		if t == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		t.Reset(time.Minute)
		answer["ttl-ms"] = time.Minute.Milliseconds()
	case isEnd:
		id, _ := strconv.ParseUint(end, 10, 64)
		if t := s.leases[id]; t != nil {
			t.Stop()
			s.endLease(id)
		}
	case r.URL.Path == "/kv-txn":
		var in struct {
			Writes []struct {
				Key   string
				Value []byte
				Lease uint64
			}
			Deletes []string
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, x := range in.Writes {
			if x.Lease != 0 && s.leases[x.Lease] == nil {
				w.WriteHeader(http.StatusNotFound)
				return
			}
		}
		for _, x := range in.Writes {
			s.write(entry{key: x.Key, value: x.Value, lease: x.Lease})
		}
		for _, key := range in.Deletes {
			s.write(entry{key: key, deleted: true})
		}
		answer["revision"] = s.revision
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer["store-revision"] = s.revision
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// await waits for a write after a revision. The caller holds s.mu, which is released meanwhile.
func (s *store) await(r *http.Request, after uint64, wait time.Duration) {
	end := time.After(wait)
	for s.revision <= after {
		changed := s.changed
		s.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
		if over {
			return
		}
	}
}
