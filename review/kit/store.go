package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is the last write of one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"tombstone,omitempty"`

	at time.Time // of the write
}

// historyTime is history-s of the settings.
const historyTime = 20 * time.Second

// store stands in for the platform's metadata store as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item        // of the last historyTime
	dropped  uint64        // revision of the last item that has left the history
	changed  chan struct{} // closed at each change
	leases   map[uint64]time.Time
	ttl      map[uint64]time.Duration
	lastID   uint64
	listener net.Listener
}

func startStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{revision: 100, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}, lastID: 7000, listener: l}
	go func() { _ = http.Serve(l, s) }()
	go s.expireLeases()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes keys as the operator or a server does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: b})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key, Removed: true})
	}
}

// change applies one write. The caller holds s.mu.
func (s *store) change(i item) {
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	if old, ok := s.items[i.Key]; ok && !i.Removed {
		i.Created = old.Created
	} else {
		i.Created = s.revision
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for time.Since(s.history[0].at) > historyTime {
		s.dropped, s.history = s.history[0].Revision, s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, end := range s.leases {
			if now.After(end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: key, Removed: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.Unmarshal(body, &in)
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		s.ttl[id] = time.Duration(in.TTL) * time.Millisecond
		s.leases[id] = time.Now().Add(s.ttl[id])
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if ok {
			s.leases[id] = time.Now().Add(s.ttl[id])
		}
		ttl := s.ttl[id].Milliseconds()
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl-ms": ttl})
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > page
	if more {
		items = items[:page]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed, dropped := s.revision, s.changed, s.dropped
		s.mu.Unlock()
		if after < dropped {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte) {
	var in struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range in.Writes {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, x := range in.Writes {
		s.change(item{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	for _, key := range in.Deletes {
		s.change(item{Key: key, Removed: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
