package synchronizer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyroute/core/coordination/pacer"
	"comfreyroute/core/state/tabler"
)

// Times of the machine.
const (
	TickInterval   = 100 * time.Millisecond
	WatchWait      = time.Second            // a platform that answers each wait is known to be in contact
	StaleAfter     = time.Second            // a VM that hears of no platform contact for this time makes its own
	staleRound     = 500 * time.Millisecond // added to StaleAfter for each doubling of the fleet above smallFleet peers
	DefaultTimeout = 500 * time.Millisecond // of a platform call, beyond its wait
	FetchTimeout   = 300 * time.Millisecond
	WatchCap       = time.Second // back-off of a watcher; longer ones delay a change that is accepted just after an outage
)

// smallFleet is the number of peers from which StaleAfter grows.
const smallFleet = 8

// Bounds of the messages to peers.
const (
	PushAll = 16 // peers told about a revision that was read from the platform
	PushOn  = 3  // peers told about a revision that was fetched from a peer
	// MaxPushedRevisions bounds one message; after a long outage the exchanges tell the rest.
	MaxPushedRevisions = 32
)

// Machine decides which table is in effect on one VM. The exported fields are set before the first Step; the zero value
// works as a VM without a name in an unnamed failure domain.
type Machine struct {
	Self        Member
	CallTimeout time.Duration // of a platform call; 0 takes DefaultTimeout
	CallRate    float64       // budget of table calls to the platform, per second; 0 takes the pacer's default
	Random      *rand.Rand

	table   *tabler.Snapshot
	data    map[string]StoredValue // stored form of the values in effect, for peers
	refused map[string]uint64      // highest revision that was refused
	seen    uint64                 // store revision up to which all changes were read
	read    bool                   // the platform's table was read once
	synced  bool                   // the changes after seen are all that this VM lacks
	probe   bool                   // a value that peers did not give is wanted from the platform
	offline bool                   // the platform did not answer before the table was complete
	peers   []Member
	last    CallID
	contact time.Time // latest moment at which the platform is known to have answered somebody
	stale   time.Duration
	call    platformCall
	sent    []platformCall // calls without an answer, the latest last
	watcher pacer.Pacer
	prober  pacer.Pacer
	follows bool // other VMs of the failure domain watch the platform
	fetcher fetcher
}

// platformCall is the platform call in progress. ID 0 means none.
type platformCall struct {
	id       CallID
	sent     time.Time
	wait     time.Duration
	deadline time.Time
}

// Table returns the table in effect, nil before the first value.
func (m *Machine) Table() *tabler.Snapshot { return m.table }

// Complete reports whether the machine has had a whole table: from the platform, or from a peer while the platform does not
// answer. A VM is not ready before.
func (m *Machine) Complete() bool { return m.read || m.offline && m.fetcher.whole }

// LastContact returns about the latest moment at which the platform is known to have answered this VM or one that it heard from;
// zero means none. It decides when to call the platform and is no proof of contact: tracker decides whether a VM is isolated.
func (m *Machine) LastContact() time.Time { return m.contact }

// IsWatcher reports whether this VM is one of the watchers of its failure domain, in its own view.
func (m *Machine) IsWatcher() bool { return !m.follows }

// Revisions returns the revisions in effect, in order of the services.
func (m *Machine) Revisions() []Revision {
	list := make([]Revision, 0, len(m.data))
	for _, s := range m.data {
		list = append(list, Revision{s.Service, s.Revision})
	}
	slices.SortFunc(list, func(a, b Revision) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// SelectRevisions returns up to n revisions for a message: the highest ones, which changed last, for half of it, and the others
// in turn, so that a peer that missed an old change hears of it too. Turn counts the messages.
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

// Values returns the stored form of the values of some services, or of all when services is empty. It reports false when
// the table is not complete, because the asker would take an incomplete table for a whole one.
func (m *Machine) Values(services []string) ([]StoredValue, bool) {
	var items []StoredValue
	for _, r := range m.Revisions() {
		if len(services) == 0 || slices.Contains(services, r.Service) {
			items = append(items, m.data[r.Service])
		}
	}
	return items, m.Complete() || len(services) > 0
}

// Step handles one event.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Ticked:
	case MembersChanged:
		m.setMembers(e.Members)
	case TableRead:
		out = m.adopt(e.Items, PushAll)
		if m.answered(now, e.Call, e.Revision, len(e.Items) > 0) {
			m.read, m.synced = true, true
		}
	case WatchAnswered:
		out = m.adopt(e.Items, PushAll)
		if e.Compacted {
			// The next call reads the whole table.
			m.synced = m.synced && !m.answered(now, e.Call, 0, true)
		} else {
			m.answered(now, e.Call, e.Revision, len(e.Items) > 0)
		}
	case PlatformCallFailed:
		m.platformFailed(now, e.Call)
	case PlatformContacted:
		m.setContact(e.Sent)
	case ContactAgeReceived:
		if e.Age >= 0 {
			m.setContact(e.Sent.Add(-e.Age))
		}
	case RevisionsReceived:
		m.hear(now, e)
	case ValuesFetched:
		out = m.adopt(e.Items, PushOn)
		m.fetcher.answered(now, e.Call, m)
	case FetchFailed:
		m.fetcher.failed(now, e.Call, m.Random)
	case ValueWritten:
		out = m.adopt([]StoredValue{e.Item}, PushAll)
	}
	m.fetcher.expire(now, m.Random)
	out = append(out, m.startPlatformCall(now)...)
	return append(out, m.fetcher.start(now, m)...)
}

// setMembers replaces the view. The own VM is not one of the peers.
func (m *Machine) setMembers(members []Member) {
	m.peers = slices.DeleteFunc(slices.Clone(members), func(x Member) bool { return x.ID == m.Self.ID })
	slices.SortFunc(m.peers, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	m.follows = !m.chosen()
}

// adopt checks values and puts those with a higher revision into effect. Up to pushes peers are told.
func (m *Machine) adopt(items []StoredValue, pushes int) []Action {
	var out []Action
	var news []Revision
	complete := m.Complete()
	for _, s := range items {
		if s.Deleted || s.Revision <= max(m.table.Revision(s.Service), m.refused[s.Service]) {
			// A deleted key does not change the table: services are removed by a tombstone.
			continue
		}
		v, err := tabler.Decode(s.Service, s.Revision, s.Data)
		if err != nil {
			m.refuse(s.Service, s.Revision)
			out = append(out, RejectValue{s.Service, s.Revision, err})
			continue
		}
		m.table = m.table.WithValue(v)
		if m.data == nil {
			m.data = make(map[string]StoredValue)
		}
		m.data[s.Service] = s
		m.fetcher.have(s.Service, s.Revision)
		news = append(news, Revision{s.Service, s.Revision})
	}
	if len(news) == 0 {
		return out
	}
	out = append(out, ApplyTable{m.table})
	// A starting VM has nothing to tell: its peers have the table.
	if to := m.choosePeers(pushes); complete && len(to) > 0 {
		out = append(out, PushRevisions{to, news[:min(len(news), MaxPushedRevisions)]})
	}
	return out
}

// refuse remembers a revision that is not valid, so that it is not fetched again.
func (m *Machine) refuse(service string, revision uint64) {
	if m.refused == nil {
		m.refused = make(map[string]uint64)
	}
	m.refused[service] = revision
	m.fetcher.have(service, revision)
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

// hear notes revisions that a peer has and this VM does not.
func (m *Machine) hear(now time.Time, e RevisionsReceived) {
	for _, r := range e.Revisions {
		if r.Revision > max(m.table.Revision(r.Service), m.refused[r.Service]) {
			m.fetcher.want(now, r, e.From)
		}
	}
}

func (m *Machine) nextCall() CallID {
	m.last++
	return m.last
}
