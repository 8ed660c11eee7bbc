package storer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Bounds of the history that watches read. A watch that starts before the oldest kept change gets Compacted.
const (
	DefaultHistory  = 4096
	maxHistoryBytes = 64 << 20
)

// Store is the key-value service. The zero value is an empty store at revision 0.
type Store struct {
	History int // kept changes; 0 takes DefaultHistory

	mu        sync.Mutex
	revision  uint64
	keys      map[string]entry
	changes   []encoder.KeyValue
	bytes     int
	compacted uint64 // revision of the newest change that is no longer kept
	changed   chan struct{}
	leases    map[uint64]lease
	lastLease uint64
}

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

// Outcome says what became of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	Conflict
	UnknownLease
)

// Get returns a key. ok is false when the key does not exist.
func (s *Store) Get(key string) (kv encoder.KeyValue, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(key)
}

// Range returns up to limit keys with a prefix that sort after the key after, and the revision of the store.
func (s *Store) Range(prefix, after string, limit int) encoder.RangeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	if limit > 0 && len(names) > limit {
		names = names[:limit]
	}
	reply := encoder.RangeReply{Revision: s.revision, Items: []encoder.KeyValue{}}
	for _, k := range names {
		kv, _ := s.current(k)
		reply.Items = append(reply.Items, kv)
	}
	return reply
}

// Put writes a key when its revision is the expected one (0: the key does not exist).
func (s *Store) Put(key string, request encoder.PutRequest) (encoder.WriteReply, Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.expect(key, request.Expect); !ok {
		return reply, Conflict
	}
	if _, ok := s.leases[request.Lease]; request.Lease != 0 && !ok {
		return encoder.WriteReply{Revision: s.revision}, UnknownLease
	}
	s.revision++
	if s.keys == nil {
		s.keys = make(map[string]entry)
	}
	s.keys[key] = entry{value: request.Value, revision: s.revision, lease: request.Lease}
	s.record(encoder.KeyValue{Key: key, Value: request.Value, Revision: s.revision})
	return encoder.WriteReply{Revision: s.revision}, Written
}

// Delete removes a key when its revision is the expected one. Deleting a key that does not exist with Expect 0 changes nothing.
func (s *Store) Delete(key string, request encoder.DeleteRequest) (encoder.WriteReply, Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.expect(key, request.Expect); !ok {
		return reply, Conflict
	}
	if request.Expect != 0 {
		s.remove(key)
	}
	return encoder.WriteReply{Revision: s.revision}, Written
}

// Changes returns the kept changes after a revision of keys with a prefix. Without any, changed is closed at the next change.
func (s *Store) Changes(prefix string, after uint64) (reply encoder.WatchReply, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply = encoder.WatchReply{Revision: s.revision, Items: []encoder.KeyValue{}}
	if after < s.compacted {
		reply.Compacted = true
		return reply, nil
	}
	for i := range s.changes {
		if c := &s.changes[i]; c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			reply.Items = append(reply.Items, *c)
		}
	}
	if len(reply.Items) > 0 {
		return reply, nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return reply, s.changed
}

func (s *Store) current(key string) (encoder.KeyValue, bool) {
	e, ok := s.keys[key]
	if !ok {
		return encoder.KeyValue{Key: key}, false
	}
	return encoder.KeyValue{Key: key, Value: e.value, Revision: e.revision}, true
}

// expect compares the revision of a key. The reply of a conflict carries the current value.
func (s *Store) expect(key string, revision uint64) (encoder.WriteReply, bool) {
	kv, ok := s.current(key)
	if kv.Revision == revision {
		return encoder.WriteReply{}, true
	}
	reply := encoder.WriteReply{Revision: s.revision}
	if ok {
		reply.Current = &kv
	}
	return reply, false
}

func (s *Store) remove(key string) {
	delete(s.keys, key)
	s.revision++
	s.record(encoder.KeyValue{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) record(kv encoder.KeyValue) {
	limit := s.History
	if limit == 0 {
		limit = DefaultHistory
	}
	s.changes = append(s.changes, kv)
	s.bytes += len(kv.Value)
	for len(s.changes) > limit || s.bytes > maxHistoryBytes {
		s.compacted = s.changes[0].Revision
		s.bytes -= len(s.changes[0].Value)
		s.changes[0] = encoder.KeyValue{}
		s.changes = s.changes[1:]
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Store) Grant(now time.Time, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if s.leases == nil {
		s.leases = make(map[uint64]lease)
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: now.Add(ttl)}
	return s.lastLease
}

// Renew extends a lease by its own ttl, or by ttl when it is not 0. It returns the ttl in effect and false for a lease that has expired.
func (s *Store) Renew(now time.Time, id uint64, ttl time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	if ttl > 0 {
		l.ttl = ttl
	}
	l.expires = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl, true
}

// Expire deletes the leases that have expired and their keys.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		var names []string
		for k, e := range s.keys {
			if e.lease == id {
				names = append(names, k)
			}
		}
		slices.Sort(names)
		for _, k := range names {
			s.remove(k)
		}
	}
}
