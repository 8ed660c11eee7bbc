package tracker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the machine.
const (
	TickInterval     = 100 * time.Millisecond
	exchangeInterval = 500 * time.Millisecond // while the whole view fits into smallView
	largeInterval    = time.Second            // 1.4 KB sent and 1.4 KB answered each second stay below 3 KB/s
	// suspectBase allows five lost exchanges of a small fleet. In a large fleet one message carries a part of the view, and the
	// longest time between two heartbeats heard of a VM was 6.2 s with 50 VMs and 21.6 s with 150; suspectPerVM is above that.
	suspectBase  = 3 * time.Second
	suspectPerVM = 250 * time.Millisecond // for each VM above smallView
	forgetAfter  = time.Hour
)

// smallView is the number of other VMs up to which all records fit into half a message.
const smallView = 8

// Machine is the view of one VM. Self, with a positive incarnation, and Random are set before the first Step. A machine
// without Random chooses the first candidate instead of a random one.
type Machine struct {
	Self   Record
	Random *rand.Rand

	entries  map[string]*entry
	order    []string // keys of entries, sorted
	view     []Member // last ViewChanged
	changed  bool     // the view may differ from the last ViewChanged
	contact  time.Time
	informed bool // the VM list or a peer's record arrived
	admitted bool // the start gate was passed
	fleetMax int
	next     time.Time // next exchange
	pending  string    // peer of the exchange in progress
	messages uint64
	replaced uint64
}

// Step handles one event.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Ticked:
		out = m.exchange(now)
	case VMsListed:
		m.informed = true
		m.setContact(e.Sent)
		m.list(now, e.VMs)
	case RecordsReceived:
		out = m.hear(now, e.Records)
	case ExchangeAnswered:
		m.setContact(e.Sent)
		if e.Peer == m.pending {
			m.pending = ""
		}
	case ExchangeFailed:
		if e.Peer == m.pending {
			// Another peer is tried at the next tick: one dead peer must not use up the time until the VM counts as isolated.
			m.pending, m.next = "", now.Add(TickInterval)
		}
	case PlatformContacted:
		m.setContact(e.Sent)
	case FleetMaxChanged:
		m.fleetMax = e.FleetMax
	case ReadyChanged:
		m.Self.Ready = e.Ready
		m.Self.Heartbeat++ // peers take only records with a higher heartbeat
	case ShutdownStarted:
		m.Self.Leaving, m.Self.Ready = true, false
		m.Self.Heartbeat++
	}
	m.age(now)
	m.passGate()
	if !m.changed {
		// Comparing whole views at each step would cost a large fleet most of the CPU time of this package.
		return out
	}
	m.changed = false
	if view := m.Members(); !slices.Equal(view, m.view) {
		m.view = view
		out = append(out, ViewChanged{view})
	}
	return out
}

// Members returns the VMs that are not gone, without the own VM, in order of their ids. Heartbeats are left out, so that two
// views compare equal when nothing else differs.
func (m *Machine) Members() []Member {
	var list []Member
	for _, id := range m.order {
		if e := m.entries[id]; e.state != Gone {
			r := e.record
			r.Heartbeat = 0
			list = append(list, Member{r, e.state})
		}
	}
	return list
}

func (m *Machine) hear(now time.Time, records []Record) []Action {
	var out []Action
	for _, r := range records {
		if r.ID == m.Self.ID {
			if r.Incarnation > max(m.Self.Incarnation, m.replaced) {
				m.replaced = r.Incarnation
				out = append(out, Superseded{r})
			}
			continue
		}
		m.informed = true
		e, known := m.entries[r.ID]
		if known && !e.accepts(&r) || !known && r.isBrief() {
			continue // the whole record follows in another message
		}
		if !known {
			e = m.add(r.ID, now)
		}
		old := e.record
		e.merge(now, r)
		old.Heartbeat = e.record.Heartbeat
		m.changed = m.changed || old != e.record
	}
	return out
}

func (m *Machine) add(id string, now time.Time) *entry {
	if m.entries == nil {
		m.entries = make(map[string]*entry)
	}
	m.changed = true
	e := &entry{heard: now, since: now, record: Record{ID: id}}
	m.entries[id] = e
	i, _ := slices.BinarySearch(m.order, id)
	m.order = slices.Insert(m.order, i, id)
	return e
}

// list takes the platform's VM list. It can be older than what heartbeats tell, so it adds VMs, marks the incarnation that it
// can mean as leaving, and removes only VMs that are silent.
func (m *Machine) list(now time.Time, vms []ListedVM) {
	for _, e := range m.entries {
		e.listed = false
	}
	for _, v := range vms {
		if v.ID == m.Self.ID {
			continue
		}
		e, known := m.entries[v.ID]
		if !known {
			e = m.add(v.ID, now)
		}
		if e.record.Incarnation == 0 {
			e.record.FailureDomain, e.record.PeerAddress = v.FailureDomain, v.PeerAddress
			m.changed = true
		}
		if v.Leaving && !e.listLeft {
			e.listSeen = e.record.Incarnation
		}
		e.listed, e.listLeft = true, v.Leaving
	}
	for _, e := range m.entries {
		if !e.listed && (e.state == Suspect || e.state == Gone) {
			e.dropped = true
		}
	}
}

// age moves each VM to the state that its heartbeats and the list give it.
func (m *Machine) age(now time.Time) {
	limit := m.suspectAfter()
	for id, e := range m.entries {
		silent := now.Sub(e.heard)
		listLeft := e.listLeft && e.listSeen == e.record.Incarnation
		state := Live
		switch {
		case silent > limit && !e.listed && (e.record.Incarnation == 0 || e.record.Leaving || silent > 2*limit):
			state = Gone
		case e.record.Leaving || listLeft:
			state = Leaving
		case silent > limit:
			state = Suspect
		}
		if state != e.state {
			e.state, e.since, m.changed = state, now, true
		}
		e.left = e.record.Leaving || listLeft || e.dropped
		if state == Gone && now.Sub(e.since) > forgetAfter && (e.left || !m.Isolated(now)) {
			delete(m.entries, id)
			m.order = slices.DeleteFunc(m.order, func(x string) bool { return x == id })
		}
	}
}

func (m *Machine) suspectAfter() time.Duration {
	return suspectBase + suspectPerVM*time.Duration(max(0, len(m.entries)-smallView))
}

func (m *Machine) setContact(at time.Time) {
	if at.After(m.contact) {
		m.contact = at
	}
}

// inState returns the entries in one state, in order of their ids.
func (m *Machine) inState(s State) []*entry {
	var list []*entry
	for _, id := range m.order {
		if e := m.entries[id]; e.state == s {
			list = append(list, e)
		}
	}
	return list
}
