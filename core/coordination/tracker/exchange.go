package tracker

import (
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

// Records returns the own record and the part of the view that fits into limit bytes of a message (0 takes MaxRecordBytes):
// first what changed, then what was sent longest ago. Only VMs that are live or leaving are told.
func (m *Machine) Records(limit int) []Record {
	if limit <= 0 {
		limit = MaxRecordBytes
	}
	m.messages++
	list := []Record{m.Self}
	size := recordBytes(&m.Self)
	candidates := append(m.inState(Live), m.inState(Leaving)...)
	if m.Random != nil {
		m.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	slices.SortStableFunc(candidates, leastSent)
	for _, e := range candidates {
		if e.record.Incarnation == 0 {
			continue
		}
		size += recordBytes(&e.record)
		if size > limit {
			break
		}
		e.sent, e.urgent = m.messages, max(0, e.urgent-1)
		list = append(list, e.record)
	}
	return list
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
	return []Action{Exchange{to.record}}
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
