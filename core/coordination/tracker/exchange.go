package tracker

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyroute/core/coordination/pacer"
)

// MaxRecordBytes limits the records of one message, so that a message with its revisions has about 1.4 KB.
const MaxRecordBytes = 1200

// maxUrgentMessages is the number of messages in which the record of a new incarnation or a leaving VM precedes the others. Each VM
// sends two messages per second, so five hops reach 1,400 VMs within a few seconds.
const maxUrgentMessages = 8

// suspectExchangeOdds is the average number of exchanges of which one goes to a VM that is suspect or gone, so that a healed
// partition is detected.
const suspectExchangeOdds = 8

// SelectRecords returns this VM's record and the part of the view that fits into limit bytes of a message (0 takes MaxRecordBytes).
// In a large fleet half of the bytes hold full records: first the changed ones, then those sent longest ago. The rest holds brief
// records, which leave out what doesn't change during an incarnation and take about a third of the space. Only VMs that are live or
// leaving are included.
func (m *Machine) SelectRecords(limit int) []Record {
	if limit <= 0 {
		limit = MaxRecordBytes
	}
	m.messageCount++
	list := []Record{m.Self}
	size := recordSize(&m.Self)
	candidates := slices.DeleteFunc(append(m.entriesInState(Live), m.entriesInState(Leaving)...), func(e *entry) bool { return e.record.Incarnation == 0 })
	if m.Random != nil {
		m.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	slices.SortStableFunc(candidates, func(a, b *entry) int {
		return cmp.Or(compareBools(b.hasFullRecord, a.hasFullRecord), cmp.Compare(b.urgentMessages, a.urgentMessages), cmp.Compare(a.lastFullMessage, b.lastFullMessage))
	})
	fullLimit := limit
	if len(candidates) > smallViewSize {
		fullLimit = limit / 2
	}
	for len(candidates) > 0 && candidates[0].hasFullRecord {
		e := candidates[0]
		if size += recordSize(&e.record); size > fullLimit {
			size -= recordSize(&e.record)
			break
		}
		e.lastFullMessage, e.lastMessage, e.urgentMessages = m.messageCount, m.messageCount, max(0, e.urgentMessages-1)
		list, candidates = append(list, e.record), candidates[1:]
	}
	slices.SortStableFunc(candidates, func(a, b *entry) int { return cmp.Compare(a.lastMessage, b.lastMessage) })
	for _, e := range candidates {
		r := e.record.brief()
		if size += recordSize(&r); size > limit {
			break
		}
		e.lastMessage = m.messageCount
		list = append(list, r)
	}
	return list
}

// compareBools compares two values; false is less than true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// recordSize returns the bytes of a record as a field of a message: its tag, its length and its content.
func recordSize(r *Record) int { return 3 + proto.Size(r.Message()) }

// startDueExchange starts the next exchange if it is due.
func (m *Machine) startDueExchange(now time.Time) []Action {
	if m.nextExchange.IsZero() {
		m.nextExchange = now
	}
	if now.Before(m.nextExchange) {
		return nil
	}
	interval := smallViewInterval
	if len(m.entries) > smallViewSize {
		interval = largeViewInterval
	}
	m.nextExchange = now.Add(pacer.Jitter(m.Random, interval))
	m.Self.Heartbeat++
	to := m.choosePeer()
	if to == nil {
		return nil
	}
	m.pendingPeer = to.record.ID
	return []Action{StartExchange{to.record}}
}

// choosePeer returns a random VM for the next exchange, or nil when none is known.
func (m *Machine) choosePeer() *entry {
	live := withPeerAddress(append(m.entriesInState(Live), m.entriesInState(Leaving)...))
	silent := withPeerAddress(append(m.entriesInState(Suspect), m.entriesInState(Gone)...))
	from := live
	if len(live) == 0 || len(silent) > 0 && m.randomIndex(suspectExchangeOdds) == suspectExchangeOdds-1 {
		from = silent
	}
	if len(from) == 0 {
		return nil
	}
	return from[m.randomIndex(len(from))]
}

func withPeerAddress(list []*entry) []*entry {
	return slices.DeleteFunc(list, func(e *entry) bool { return !e.record.PeerAddress.IsValid() })
}

func (m *Machine) randomIndex(n int) int {
	if m.Random == nil {
		return 0
	}
	return m.Random.IntN(n)
}
