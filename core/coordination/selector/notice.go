package selector

import "time"

// noticeLifetime is how long the notice of an upstream without an entry is kept. Entries disappear during a fault of the store, and an upstream
// that leaves may serve for many seconds after its entry is gone.
const noticeLifetime = 10 * time.Minute

// notice is what one incarnation of an upstream said of itself in its replies. Unlike Upstream it outlives the upstream's entry.
type notice struct {
	address     string
	incarnation uint64 // 0 if unknown
	leaving     bool
	pausedUntil time.Time
	observedAt  time.Time
}

// RecordLeaving records that the upstream at a position said in a reply that it leaves. It reports whether that is new.
func (s *Set) RecordLeaving(now time.Time, i int) bool {
	n := s.noticeOf(now, i)
	if n.leaving {
		return false
	}
	n.leaving = true
	s.applyNotice(&s.upstreams[i], n)
	return true
}

// RecordPause records that the upstream at a position wants no requests of this VM until a time. It reports whether that is later than known.
func (s *Set) RecordPause(now time.Time, i int, until time.Time) bool {
	n := s.noticeOf(now, i)
	if !until.After(n.pausedUntil) {
		return false
	}
	n.pausedUntil = until
	s.applyNotice(&s.upstreams[i], n)
	return true
}

// noticeOf returns the notice of the upstream at a position.
func (s *Set) noticeOf(now time.Time, i int) *notice {
	u := &s.upstreams[i]
	n := s.notices[u.Row.Upstream]
	if n == nil || n.address != u.Row.Address.String() || n.incarnation != u.Incarnation {
		n = &notice{address: u.Row.Address.String(), incarnation: u.Incarnation}
		if s.notices == nil {
			s.notices = map[string]*notice{}
		}
		s.notices[u.Row.Upstream] = n
	}
	n.observedAt = now
	return n
}

// applyNotice makes an upstream follow its notice.
func (s *Set) applyNotice(u *Upstream, n *notice) {
	if n.leaving {
		u.Leaving, u.leavingIncarnation = true, n.incarnation
	}
	u.pausedUntil = n.pausedUntil
}

// attachNotice gives an upstream that was not known the notice from before its entry disappeared.
func (s *Set) attachNotice(u *Upstream) {
	if n := s.notices[u.Row.Upstream]; n != nil && n.address == u.Row.Address.String() {
		s.applyNotice(u, n)
	}
}

// checkNotice drops the notice of an earlier incarnation.
func (s *Set) checkNotice(u *Upstream) {
	n := s.notices[u.Row.Upstream]
	switch {
	case n == nil:
	case n.incarnation == 0: // it was made before the incarnation was known
		n.incarnation = u.Incarnation
		s.applyNotice(u, n)
	case n.incarnation < u.Incarnation:
		delete(s.notices, u.Row.Upstream)
		u.pausedUntil = time.Time{}
	}
}

// pruneNotices drops the notices of upstreams whose entries disappeared long ago.
func (s *Set) pruneNotices(now time.Time) {
	for name, n := range s.notices {
		if _, ok := s.positionByName[name]; !ok && now.Sub(n.observedAt) > noticeLifetime && now.After(n.pausedUntil) {
			delete(s.notices, name)
		}
	}
}
