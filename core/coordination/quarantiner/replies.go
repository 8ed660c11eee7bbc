package quarantiner

import "time"

// reply records the last reply to a signature from one group, or from any group when group is anyGroup.
type reply struct {
	signature uint64
	group     int32
	at        int64 // Unix time in ns; 0 for an empty entry
}

// findReply returns the entry of a signature and group and true, or else the older of the two entries that it may replace. With
// two entries to choose from, many signatures that are answered once do not displace one that is answered often.
func (m *Machine) findReply(signature uint64, group int) (*reply, bool) {
	i := mix(signature+uint64(group+2)*0x9e3779b97f4a7c15) % replyTableSize
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

func (m *Machine) recordReply(now time.Time, signature uint64, group int) {
	if m.replies == nil {
		m.replies = make([]reply, replyTableSize)
	}
	r, _ := m.findReply(signature, group)
	*r = reply{signature: signature, group: int32(group), at: now.UnixNano()}
}

// lastReply returns when a group last answered a signature. It returns false when that is not known.
func (m *Machine) lastReply(signature uint64, group int) (time.Time, bool) {
	if m.replies == nil {
		return time.Time{}, false
	}
	r, ok := m.findReply(signature, group)
	return time.Unix(0, r.at), ok
}

// answeredSince reports whether any upstream answered a signature at the given time or later.
func (m *Machine) answeredSince(signature uint64, since time.Time) bool {
	at, ok := m.lastReply(signature, anyGroup)
	return ok && !at.Before(since)
}
