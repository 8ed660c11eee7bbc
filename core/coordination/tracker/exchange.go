package tracker

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyroute/core/coordination/pacer"
)

// MaxRecordBytes bounds the records of one message, so that with its revisions a message stays at about 1.4 KB.
const MaxRecordBytes = 1200

// urgentMessages is the number of messages in which a new incarnation or a leaving VM precedes the other records. With two
// messages a second at each VM, five hops reach 1,400 VMs within a few seconds.
const urgentMessages = 8

// Odds of choosing a VM that is not known to answer, so that a healed partition is noticed: one of suspectOdds exchanges.
const suspectOdds = 8

// SelectRecords returns the own record and the part of the view that fits into limit bytes of a message (0 takes MaxRecordBytes).
// Half of it holds whole records: first what changed, then what was sent longest ago. The other half holds brief records with
// only the heartbeat, of which a message takes about three times as many. Only VMs that are live or leaving are told.
func (m *Machine) SelectRecords(limit int) []Record {
	if limit <= 0 {
		limit = MaxRecordBytes
	}
	m.messages++
	list := []Record{m.Self}
	size := recordBytes(&m.Self)
	candidates := slices.DeleteFunc(append(m.inState(Live), m.inState(Leaving)...), func(e *entry) bool { return e.record.Incarnation == 0 })
	if m.Random != nil {
		m.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	slices.SortStableFunc(candidates, func(a, b *entry) int {
		return cmp.Or(boolOrder(b.whole, a.whole), cmp.Compare(b.urgent, a.urgent), cmp.Compare(a.sent, b.sent))
	})
	whole := limit
	if len(candidates) > smallView {
		whole = limit / 2
	}
	for len(candidates) > 0 && candidates[0].whole {
		e := candidates[0]
		if size += recordBytes(&e.record); size > whole {
			size -= recordBytes(&e.record)
			break
		}
		e.sent, e.told, e.urgent = m.messages, m.messages, max(0, e.urgent-1)
		list, candidates = append(list, e.record), candidates[1:]
	}
	slices.SortStableFunc(candidates, func(a, b *entry) int { return cmp.Compare(a.told, b.told) })
	for _, e := range candidates {
		r := e.record.brief()
		if size += recordBytes(&r); size > limit {
			break
		}
		e.told = m.messages
		list = append(list, r)
	}
	return list
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// recordBytes is the size of a record as a field of a message: its tag, its length and its content.
func recordBytes(r *Record) int { return 3 + proto.Size(r.Message()) }

// exchange starts the next heartbeat when it is due.
func (m *Machine) exchange(now time.Time) []Action {
	if m.next.IsZero() {
		m.next = now
	}
	if now.Before(m.next) {
		return nil
	}
	interval := exchangeInterval
	if len(m.entries) > smallView {
		interval = largeInterval
	}
	m.next = now.Add(pacer.Jitter(m.Random, interval))
	m.Self.Heartbeat++
	to := m.choosePartner()
	if to == nil {
		return nil
	}
	m.pending = to.record.ID
	return []Action{StartExchange{to.record}}
}

// choosePartner returns a random VM to exchange with, or nil when none is known.
func (m *Machine) choosePartner() *entry {
	live := reachable(append(m.inState(Live), m.inState(Leaving)...))
	silent := reachable(append(m.inState(Suspect), m.inState(Gone)...))
	from := live
	if len(live) == 0 || len(silent) > 0 && m.random(suspectOdds) == suspectOdds-1 {
		from = silent
	}
	if len(from) == 0 {
		return nil
	}
	return from[m.random(len(from))]
}

func reachable(list []*entry) []*entry {
	return slices.DeleteFunc(list, func(e *entry) bool { return !e.record.PeerAddress.IsValid() })
}

func (m *Machine) random(n int) int {
	if m.Random == nil {
		return 0
	}
	return m.Random.IntN(n)
}
