package tracker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals and time limits of the machine.
const (
	TickInterval      = 100 * time.Millisecond
	smallViewInterval = 500 * time.Millisecond // between exchanges, with up to smallViewSize other VMs
	largeViewInterval = time.Second            // 1.4 KB sent and 1.4 KB received per second stay below 3 KB/s
	// minSuspectTimeout allows five lost exchanges in a small fleet. In a large fleet one message carries only a part of the view:
	// the longest time between two received heartbeats of a VM was 6.2 s with 50 VMs and 21.6 s with 150. With suspectTimeoutPerVM
	// the timeout is above that.
	minSuspectTimeout   = 3 * time.Second
	suspectTimeoutPerVM = 250 * time.Millisecond // for each VM above smallViewSize
	goneRetention       = time.Hour
)

// smallViewSize is the number of other VMs up to which all records fit into half a message.
const smallViewSize = 8

// Machine is the view of one VM. Self, with a positive incarnation, and Random are set before the first Step. Without Random the
// machine chooses the first candidate instead of a random one.
type Machine struct {
	Self   Record
	Random *rand.Rand

	entries      map[string]*entry
	sortedIDs    []string // keys of entries
	lastView     []Member // of the last ViewChanged
	isViewStale  bool     // the view may differ from lastView
	lastContact  time.Time
	knowsFleet   bool // the VM list or a peer's record has arrived
	isAdmitted   bool
	fleetMax     int
	nextExchange time.Time
	pendingPeer  string // peer of the exchange in progress
	messageCount uint64
	supersededBy uint64 // highest incarnation that was reported by Superseded
}

// Step handles one event and returns the actions to perform, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Ticked:
		out = m.startDueExchange(now)
	case VMsListed:
		m.knowsFleet = true
		m.setContact(e.Sent)
		m.applyVMList(now, e.VMs)
	case RecordsReceived:
		out = m.receiveRecords(now, e.Records)
	case ExchangeAnswered:
		m.setContact(e.Sent)
		if e.Peer == m.pendingPeer {
			m.pendingPeer = ""
		}
	case ExchangeFailed:
		if e.Peer == m.pendingPeer {
			// The next tick tries another peer, because one dead peer must not use up the time until this VM counts as isolated.
			m.pendingPeer, m.nextExchange = "", now.Add(TickInterval)
		}
	case PlatformContacted:
		m.setContact(e.Sent)
	case FleetMaxChanged:
		m.fleetMax = e.FleetMax
	case ReadyChanged:
		m.Self.Ready = e.Ready
		m.Self.Heartbeat++ // peers accept only records with a higher heartbeat
	case ShutdownStarted:
		m.Self.Leaving, m.Self.Ready = true, false
		m.Self.Heartbeat++
	}
	m.updateStates(now)
	m.checkAdmission()
	if !m.isViewStale {
		// In a large fleet, comparing the views at each step would take most of the CPU time of this package.
		return out
	}
	m.isViewStale = false
	if view := m.Members(); !slices.Equal(view, m.lastView) {
		m.lastView = view
		out = append(out, ViewChanged{view})
	}
	return out
}

// Members returns the VMs that are not gone, without this VM, sorted by ID. The heartbeats are 0, so that two views compare equal
// when nothing else differs.
func (m *Machine) Members() []Member {
	var list []Member
	for _, id := range m.sortedIDs {
		if e := m.entries[id]; e.state != Gone {
			r := e.record
			r.Heartbeat = 0
			list = append(list, Member{r, e.state})
		}
	}
	return list
}

func (m *Machine) receiveRecords(now time.Time, records []Record) []Action {
	var out []Action
	for _, r := range records {
		if r.ID == m.Self.ID {
			if r.Incarnation > max(m.Self.Incarnation, m.supersededBy) {
				m.supersededBy = r.Incarnation
				out = append(out, Superseded{r})
			}
			continue
		}
		m.knowsFleet = true
		e, isKnown := m.entries[r.ID]
		if isKnown && !e.accepts(&r) || !isKnown && r.isBrief() {
			continue // the full record follows in another message
		}
		if !isKnown {
			e = m.addEntry(r.ID, now)
		}
		old := e.record
		e.merge(now, r)
		old.Heartbeat = e.record.Heartbeat
		m.isViewStale = m.isViewStale || old != e.record
	}
	return out
}

func (m *Machine) addEntry(id string, now time.Time) *entry {
	if m.entries == nil {
		m.entries = make(map[string]*entry)
	}
	m.isViewStale = true
	e := &entry{lastHeartbeat: now, stateSince: now, record: Record{ID: id}}
	m.entries[id] = e
	i, _ := slices.BinarySearch(m.sortedIDs, id)
	m.sortedIDs = slices.Insert(m.sortedIDs, i, id)
	return e
}

// applyVMList applies the platform's VM list. The list may be older than the heartbeats. It therefore adds VMs, but marks only the
// incarnation as leaving that was known when the list first said so, and removes only VMs that are silent.
func (m *Machine) applyVMList(now time.Time, vms []ListedVM) {
	for _, e := range m.entries {
		e.isListed = false
	}
	for _, v := range vms {
		if v.ID == m.Self.ID {
			continue
		}
		e, isKnown := m.entries[v.ID]
		if !isKnown {
			e = m.addEntry(v.ID, now)
		}
		if e.record.Incarnation == 0 {
			e.record.FailureDomain, e.record.PeerAddress = v.FailureDomain, v.PeerAddress
			m.isViewStale = true
		}
		if v.Leaving && !e.isListedLeaving {
			e.listedLeavingIncarnation = e.record.Incarnation
		}
		e.isListed, e.isListedLeaving = true, v.Leaving
	}
	for _, e := range m.entries {
		if !e.isListed && (e.state == Suspect || e.state == Gone) {
			e.isUnlisted = true
		}
	}
}

// updateStates sets the state of each VM from its heartbeats and the VM list, and removes VMs that have been gone for goneRetention.
func (m *Machine) updateStates(now time.Time) {
	timeout := m.suspectTimeout()
	for id, e := range m.entries {
		silent := now.Sub(e.lastHeartbeat)
		isListedLeaving := e.isListedLeaving && e.listedLeavingIncarnation == e.record.Incarnation
		state := Live
		switch {
		case silent > timeout && !e.isListed && (e.record.Incarnation == 0 || e.record.Leaving || silent > 2*timeout):
			state = Gone
		case e.record.Leaving || isListedLeaving:
			state = Leaving
		case silent > timeout:
			state = Suspect
		}
		if state != e.state {
			e.state, e.stateSince, m.isViewStale = state, now, true
		}
		e.hasLeft = e.record.Leaving || isListedLeaving || e.isUnlisted
		if state == Gone && now.Sub(e.stateSince) > goneRetention && (e.hasLeft || !m.Isolated(now)) {
			delete(m.entries, id)
			m.sortedIDs = slices.DeleteFunc(m.sortedIDs, func(x string) bool { return x == id })
		}
	}
}

func (m *Machine) suspectTimeout() time.Duration {
	return minSuspectTimeout + suspectTimeoutPerVM*time.Duration(max(0, len(m.entries)-smallViewSize))
}

func (m *Machine) setContact(at time.Time) {
	if at.After(m.lastContact) {
		m.lastContact = at
	}
}

// entriesInState returns the entries in one state, sorted by ID.
func (m *Machine) entriesInState(s State) []*entry {
	var list []*entry
	for _, id := range m.sortedIDs {
		if e := m.entries[id]; e.state == s {
			list = append(list, e)
		}
	}
	return list
}
