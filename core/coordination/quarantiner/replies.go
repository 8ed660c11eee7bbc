package quarantiner

import "time"

// reply records that a signature was answered, by any group or by a certain one.
type reply struct {
	signature uint64
	group     int32
	at        int64 // Unix time in ns; 0 for an empty entry
}

// find returns the entry of a reply, or else the older of the two entries that it may replace. A signature that is answered
// often is thus not displaced by many that are answered once.
func (m *Machine) find(signature uint64, group int) (*reply, bool) {
	i := mix(signature+uint64(group+2)*0x9e3779b97f4a7c15) % repliesTracked
	a, b := &m.replies[i], &m.replies[i^1]
	switch {
	case a.signature == signature && a.group == int32(group):
		return a, a.at != 0
	case b.signature == signature && b.group == int32(group):
		return b, b.at != 0
	case b.at < a.at:
		return b, false
	default:
		return a, false
	}
}

func (m *Machine) remember(now time.Time, signature uint64, group int) {
	if m.replies == nil {
		m.replies = make([]reply, repliesTracked)
	}
	r, _ := m.find(signature, group)
	*r = reply{signature: signature, group: int32(group), at: now.UnixNano()}
}

// lastReply returns when a group last answered a signature, false when that is not known.
func (m *Machine) lastReply(signature uint64, group int) (time.Time, bool) {
	if m.replies == nil {
		return time.Time{}, false
	}
	r, ok := m.find(signature, group)
	return time.Unix(0, r.at), ok
}

// answeredSince tells whether any upstream answered a signature at a time or later.
func (m *Machine) answeredSince(signature uint64, since time.Time) bool {
	at, ok := m.lastReply(signature, anyGroup)
	return ok && !at.Before(since)
}
