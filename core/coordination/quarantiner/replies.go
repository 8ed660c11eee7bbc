package quarantiner

import "time"

// reply records the last reply to a signature from one group, or from any group when group is anyGroup.
type reply struct {
	signature uint64
	group     int32
	at        int64 // Unix time in ns; 0 for an empty entry
}

// replyTable is a hash table of the last replies, with buckets of two entries. The zero value is empty.
type replyTable []reply

// find returns the entry of a signature and group and true, or else the older of the two entries that it may replace. With
// two entries to choose from, many signatures that are answered once do not displace one that is answered often.
func (t replyTable) find(signature uint64, group int) (*reply, bool) {
	i := mix(signature+uint64(group+2)*0x9e3779b97f4a7c15) % uint64(len(t))
	a, b := &t[i], &t[i^1]
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

// record records a reply. An empty table is first created with a size, which must be even.
func (t *replyTable) record(now time.Time, signature uint64, group, size int) {
	if *t == nil {
		*t = make(replyTable, size)
	}
	r, _ := t.find(signature, group)
	*r = reply{signature: signature, group: int32(group), at: now.UnixNano()}
}

// last returns when a group last answered a signature. It returns false when that is not known.
func (t replyTable) last(signature uint64, group int) (time.Time, bool) {
	if t == nil {
		return time.Time{}, false
	}
	r, ok := t.find(signature, group)
	return time.Unix(0, r.at), ok
}

// answeredSince reports whether any upstream answered a signature at the given time or later.
func (m *Machine) answeredSince(signature uint64, since time.Time) bool {
	at, ok := m.replies.last(signature, anyGroup)
	return ok && !at.Before(since)
}
