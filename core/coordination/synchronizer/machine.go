package synchronizer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyroute/core/coordination/pacer"
	"comfreyroute/core/state/tabler"
)

// Intervals and time limits of the machine.
const (
	TickInterval          = 100 * time.Millisecond
	WatchWait             = time.Second            // each answered wait proves contact with the platform
	StaleAfter            = time.Second            // a VM that learns of no platform contact for this time calls the platform
	staleAfterPerDoubling = 500 * time.Millisecond // added to StaleAfter at smallFleetPeers and for each doubling above it
	DefaultCallTimeout    = 500 * time.Millisecond // of a platform call, in addition to its wait
	FetchTimeout          = 300 * time.Millisecond
	MaxWatchBackoff       = time.Second // a longer back-off delays changes that are accepted just after an outage
)

// smallFleetPeers is the number of peers from which StaleAfter grows.
const smallFleetPeers = 8

// Limits of the messages to peers.
const (
	ReadPushFanout  = 16 // peers that receive a revision read from the platform
	FetchPushFanout = 3  // peers that receive a revision fetched from a peer
	// MaxPushedRevisions bounds one message. After a long outage the periodic exchanges carry the rest.
	MaxPushedRevisions = 32
)

// Machine decides which table is in effect on one VM. The exported fields are set before the first Step. The zero value is usable
// and is a VM without a name in an unnamed failure domain.
type Machine struct {
	Self        Member
	CallTimeout time.Duration // of a platform call; 0 takes DefaultCallTimeout
	CallRate    float64       // limit of table calls to the platform, per second; 0 takes the pacer's default
	Random      *rand.Rand

	table             *tabler.Snapshot
	storedValues      map[string]StoredValue // stored form of the values in effect, for peers
	rejectedRevisions map[string]uint64      // highest invalid revision of each service
	readRevision      uint64                 // store revision up to which all changes were read
	hasReadTable      bool                   // the whole table was read from the platform at least once
	isSynced          bool                   // the VM lacks nothing but the changes after readRevision
	needsPlatform     bool                   // peers did not provide a value, so the platform is called for it
	readFailed        bool                   // a platform call failed before the whole table was read from the platform
	peers             []Member
	lastCall          CallID
	lastContact       time.Time // latest known time at which the platform answered any VM
	staleAfter        time.Duration
	currentCall       platformCall
	unansweredCalls   []platformCall // oldest first; late answers to them are still accepted
	watchPacer        pacer.Pacer
	probePacer        pacer.Pacer
	isFollower        bool // other VMs of the failure domain watch the platform
	fetcher           fetcher
}

// platformCall is a call to the platform. ID 0 means none.
type platformCall struct {
	id       CallID
	sent     time.Time
	wait     time.Duration
	deadline time.Time
}

// Table returns the table in effect, or nil before the first value.
func (m *Machine) Table() *tabler.Snapshot { return m.table }

// Complete reports whether the machine has received a whole table, from the platform or, after the platform did not answer, from
// a peer. A VM is not ready before that.
func (m *Machine) Complete() bool { return m.hasReadTable || m.readFailed && m.fetcher.hasWholeTable }

// LastContact returns approximately the latest time at which the platform answered this VM, or a peer that reported it
// to this VM; zero means none. It determines when to call the platform and does not prove contact: package tracker decides
// whether a VM is isolated.
func (m *Machine) LastContact() time.Time { return m.lastContact }

// IsWatcher reports whether this VM is one of the watchers of its failure domain, in its own view.
func (m *Machine) IsWatcher() bool { return !m.isFollower }

// Revisions returns the revisions in effect, sorted by service.
func (m *Machine) Revisions() []Revision {
	list := make([]Revision, 0, len(m.storedValues))
	for _, s := range m.storedValues {
		list = append(list, Revision{s.Service, s.Revision})
	}
	slices.SortFunc(list, func(a, b Revision) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// SelectRevisions returns up to n revisions for a message. Half of them are the highest ones, which changed last. The others
// rotate with turn, the number of the message, so that a peer that missed an old change learns of it too.
func SelectRevisions(list []Revision, n, turn int) []Revision {
	if len(list) <= n {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Revision) int { return cmp.Compare(b.Revision, a.Revision) })
	newest, rest, more := list[:n/2], list[n/2:], n-n/2
	out := slices.Clone(newest)
	for i := range more {
		out = append(out, rest[(turn*more+i)%len(rest)])
	}
	return out
}

// Values returns the stored form of the values of some services, or of all when services is empty. In the second case it reports
// false when the table is not complete, because the peer would take it for a whole table.
func (m *Machine) Values(services []string) ([]StoredValue, bool) {
	var items []StoredValue
	for _, r := range m.Revisions() {
		if len(services) == 0 || slices.Contains(services, r.Service) {
			items = append(items, m.storedValues[r.Service])
		}
	}
	return items, m.Complete() || len(services) > 0
}

// Step handles one event and returns the actions to perform, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Ticked:
	case MembersChanged:
		m.setMembers(e.Members)
	case TableRead:
		out = m.applyValues(e.Items, ReadPushFanout)
		if m.callAnswered(now, e.Call, e.Revision, len(e.Items) > 0) {
			m.hasReadTable, m.isSynced = true, true
		}
	case WatchAnswered:
		out = m.applyValues(e.Items, ReadPushFanout)
		if e.Compacted {
			// The next call reads the whole table.
			m.isSynced = m.isSynced && !m.callAnswered(now, e.Call, 0, true)
		} else {
			m.callAnswered(now, e.Call, e.Revision, len(e.Items) > 0)
		}
	case PlatformCallFailed:
		m.platformCallFailed(now, e.Call)
	case PlatformContacted:
		m.setContact(e.Sent)
	case ContactAgeReceived:
		if e.Age >= 0 {
			m.setContact(e.Sent.Add(-e.Age))
		}
	case RevisionsReceived:
		m.handleRevisions(now, e)
	case ValuesFetched:
		out = m.applyValues(e.Items, FetchPushFanout)
		m.fetcher.fetchAnswered(now, e.Call, m)
	case FetchFailed:
		m.fetcher.fetchFailed(now, e.Call, m.Random)
	case ValueWritten:
		out = m.applyValues([]StoredValue{e.Item}, ReadPushFanout)
	}
	m.fetcher.expireFetches(now, m.Random)
	out = append(out, m.startPlatformCall(now)...)
	return append(out, m.fetcher.startFetches(now, m)...)
}

// setMembers replaces the view. This VM is not one of its peers.
func (m *Machine) setMembers(members []Member) {
	m.peers = slices.DeleteFunc(slices.Clone(members), func(x Member) bool { return x.ID == m.Self.ID })
	slices.SortFunc(m.peers, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	m.isFollower = !m.isChosenWatcher()
}

// applyValues validates the values and puts those with a higher revision into effect. It pushes the new revisions to up to fanout
// peers.
func (m *Machine) applyValues(items []StoredValue, fanout int) []Action {
	var out []Action
	var applied []Revision
	wasComplete := m.Complete()
	for _, s := range items {
		if s.Deleted || s.Revision <= max(m.table.Revision(s.Service), m.rejectedRevisions[s.Service]) {
			// The deletion of a key does not change the table, because a service is removed by a tombstone value.
			continue
		}
		v, err := tabler.Decode(s.Service, s.Revision, s.Data)
		if err != nil {
			m.rejectRevision(s.Service, s.Revision)
			out = append(out, RejectValue{s.Service, s.Revision, err})
			continue
		}
		m.table = m.table.WithValue(v)
		if m.storedValues == nil {
			m.storedValues = make(map[string]StoredValue)
		}
		m.storedValues[s.Service] = s
		m.fetcher.removeMissing(s.Service, s.Revision)
		applied = append(applied, Revision{s.Service, s.Revision})
	}
	if len(applied) == 0 {
		return out
	}
	out = append(out, ApplyTable{m.table})
	// A starting VM pushes nothing, because its peers already have the table.
	if to := m.choosePeers(fanout); wasComplete && len(to) > 0 {
		out = append(out, PushRevisions{to, applied[:min(len(applied), MaxPushedRevisions)]})
	}
	return out
}

// rejectRevision records an invalid revision, so that it is not fetched again.
func (m *Machine) rejectRevision(service string, revision uint64) {
	if m.rejectedRevisions == nil {
		m.rejectedRevisions = make(map[string]uint64)
	}
	m.rejectedRevisions[service] = revision
	m.fetcher.removeMissing(service, revision)
}

// choosePeers returns up to n random peers.
func (m *Machine) choosePeers(n int) []string {
	ids := make([]string, len(m.peers))
	for i, x := range m.peers {
		ids[i] = x.ID
	}
	if m.Random != nil {
		m.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return ids[:min(n, len(ids))]
}

// handleRevisions marks the revisions that a peer has and this VM lacks as missing.
func (m *Machine) handleRevisions(now time.Time, e RevisionsReceived) {
	for _, r := range e.Revisions {
		if r.Revision > max(m.table.Revision(r.Service), m.rejectedRevisions[r.Service]) {
			m.fetcher.addMissing(now, r, e.From)
		}
	}
}

func (m *Machine) nextCall() CallID {
	m.lastCall++
	return m.lastCall
}
