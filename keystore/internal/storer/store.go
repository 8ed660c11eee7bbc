package storer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Limits of the history that watches read. A watch that starts before the oldest change in the history gets Compacted.
const (
	DefaultHistorySize = 4096
	maxHistoryBytes    = 64 << 20
)

// Store is the key-value service. The zero value is an empty store at revision 0.
type Store struct {
	HistorySize int // maximum number of changes in the history; 0 means DefaultHistorySize

	mu           sync.Mutex
	revision     uint64
	keys         map[string]storedValue
	changes      []encoder.KeyValue
	historyBytes int           // total size of the values in changes
	compacted    uint64        // revision of the latest change that was removed from the history
	changed      chan struct{} // closed at the next change; nil while no call waits
	leases       map[uint64]lease
	lastLease    uint64
}

type storedValue struct {
	value    []byte
	revision uint64
	lease    uint64
}

// Outcome is the outcome of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	Conflict
	UnknownLease
)

// Get returns the value of a key. ok reports whether the key exists.
func (s *Store) Get(key string) (kv encoder.KeyValue, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(key)
}

// Range returns the first limit keys, or all if limit is 0, that have a prefix and sort after the key after, and the revision of
// the store.
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
		kv, _ := s.lookup(k)
		reply.Items = append(reply.Items, kv)
	}
	return reply
}

// Put writes a key if its revision is the expected one; 0 means that the key must not exist.
func (s *Store) Put(key string, request encoder.PutRequest) (encoder.WriteReply, Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.checkRevision(key, request.Expect); !ok {
		return reply, Conflict
	}
	if _, ok := s.leases[request.Lease]; request.Lease != 0 && !ok {
		return encoder.WriteReply{Revision: s.revision}, UnknownLease
	}
	s.revision++
	if s.keys == nil {
		s.keys = make(map[string]storedValue)
	}
	s.keys[key] = storedValue{value: request.Value, revision: s.revision, lease: request.Lease}
	s.appendChange(encoder.KeyValue{Key: key, Value: request.Value, Revision: s.revision})
	return encoder.WriteReply{Revision: s.revision}, Written
}

// Delete removes a key if its revision is the expected one. With Expect 0 and a key that does not exist, it has no effect.
func (s *Store) Delete(key string, request encoder.DeleteRequest) (encoder.WriteReply, Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.checkRevision(key, request.Expect); !ok {
		return reply, Conflict
	}
	if request.Expect != 0 {
		s.removeKey(key)
	}
	return encoder.WriteReply{Revision: s.revision}, Written
}

// ChangesAfter returns the changes in the history after a revision of keys with a prefix. If there are none, it also returns a
// channel that is closed at the next change of any key. Otherwise, and if the history is compacted, changed is nil.
func (s *Store) ChangesAfter(prefix string, after uint64) (reply encoder.WatchReply, changed <-chan struct{}) {
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

func (s *Store) lookup(key string) (encoder.KeyValue, bool) {
	e, ok := s.keys[key]
	if !ok {
		return encoder.KeyValue{Key: key}, false
	}
	return encoder.KeyValue{Key: key, Value: e.value, Revision: e.revision}, true
}

// checkRevision reports whether a key has the given revision. If not, the returned reply holds the current value.
func (s *Store) checkRevision(key string, revision uint64) (encoder.WriteReply, bool) {
	kv, ok := s.lookup(key)
	if kv.Revision == revision {
		return encoder.WriteReply{}, true
	}
	reply := encoder.WriteReply{Revision: s.revision}
	if ok {
		reply.Current = &kv
	}
	return reply, false
}

func (s *Store) removeKey(key string) {
	delete(s.keys, key)
	s.revision++
	s.appendChange(encoder.KeyValue{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) appendChange(kv encoder.KeyValue) {
	limit := s.HistorySize
	if limit == 0 {
		limit = DefaultHistorySize
	}
	s.changes = append(s.changes, kv)
	s.historyBytes += len(kv.Value)
	for len(s.changes) > limit || s.historyBytes > maxHistoryBytes {
		s.compacted = s.changes[0].Revision
		s.historyBytes -= len(s.changes[0].Value)
		s.changes[0] = encoder.KeyValue{}
		s.changes = s.changes[1:]
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// GrantLease creates a lease that expires after ttl unless it is renewed, and returns its id.
func (s *Store) GrantLease(now time.Time, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
	if s.leases == nil {
		s.leases = make(map[uint64]lease)
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return s.lastLease
}

// RenewLease extends a lease. A ttl of 0 keeps the TTL of the lease. It returns the TTL in effect, and false if the lease does not
// exist or has expired.
func (s *Store) RenewLease(now time.Time, id uint64, ttl time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	if ttl > 0 {
		l.ttl = ttl
	}
	l.expiresAt = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl, true
}

// ExpireLeases deletes the expired leases and their keys.
func (s *Store) ExpireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
}

func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
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
			s.removeKey(k)
		}
	}
}
