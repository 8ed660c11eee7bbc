package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems    = 50 // items of a page of a listing
	maxWatchWait = 30 * time.Second
	minTTL       = time.Second
	maxTTL       = 10 * time.Minute
	leaseCheck   = 50 * time.Millisecond
)

// item is the state of one key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with the keys that were written under it.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item // live ones
	history  []item          // all writes, in order
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// notify wakes the waiting watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write applies one write. The caller holds s.mu.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	old, ok := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

// remove deletes a key. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.notify()
}

// put writes a value as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// del deletes a key as the operator or a server does.
func (s *store) del(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// endLease removes a lease and its keys. The caller holds s.mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) expireLeases() {
	for range time.Tick(leaseCheck) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// ServeHTTP implements the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		i, ok := s.items[query.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.reply(w, struct {
			item
			Store uint64 `json:"store-revision"`
		}{i, s.revision})
	case path == "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.until = time.Now().Add(l.ttl)
		s.reply(w, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		s.reply(w, map[string]any{"revision": s.revision})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails if the caller has left
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	page := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page = append(page, s.items[key])
	}
	s.reply(w, map[string]any{"items": page, "has-more": more, "store-revision": s.revision})
}

// serveWatch waits for events. It releases s.mu, which the caller holds, while it waits.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(min(wait, maxWatchWait))
	if after > s.revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	for {
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if len(events) > 0 {
			s.reply(w, map[string]any{"events": events, "store-revision": s.revision})
			return
		}
		changed, over := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
		if over {
			s.reply(w, map[string]any{"events": events, "store-revision": s.revision})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, x := range txn.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, x := range txn.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.reply(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL float64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(minTTL, min(maxTTL, time.Duration(q.TTL*float64(time.Millisecond))))
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	s.reply(w, map[string]any{"lease": s.lastID, "ttl-ms": ttl.Milliseconds()})
}

// serveOn serves a handler on a free loopback port and returns its address.
func serveOn(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}
