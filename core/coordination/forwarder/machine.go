package forwarder

import (
	"math/rand/v2"
	"time"

	"comfreyroute/core/coordination/navigator"
	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/ranker"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/coordination/scheduler"
	"comfreyroute/core/coordination/screener"
	"comfreyroute/core/coordination/sharer"
)

// Machine is the state machine that forwards the requests of one VM. The zero value is usable and has no manifest. It is not safe
// for concurrent use.
type Machine struct {
	Config Config // must not change after the first Step

	LimitedSends LimitedSends // to upstreams that declare a limit on their rate; read only

	Detours DetourCounts // read only

	QuarantineRefused uint64 // requests refused because they crash upstreams; read only

	Order OrderCounts // read only

	turns map[ranker.Rank]*sharer.Queue[struct{}] // of the requests of customers

	reach           navigator.Reach
	elsewhere       navigator.Elsewhere // what peers say of all upstreams
	peers           navigator.Peers
	reachReported   bool       // the value of the last ReachChanged action
	avoidedServices []*service // whose requests go through peers
	detoured        int        // requests of other VMs in progress
	lag             time.Duration
	lagAt           time.Time

	quarantine    quarantiner.Watchlist
	pendingResets []pendingReset // oldest first
	orphans       quarantiner.Orphans
	aloneRuns     map[uint64]*attempt // last run of each suspect, by signature

	GrantCounts GrantCounts // read only
	rations     rationing

	collector   reporter.Collector
	startedAt   time.Time // of the first event
	repliedAt   time.Time // of the last successful reply
	rated       bool      // other VMs have passed on ratings of upstreams
	random      *rand.Rand
	manifest    *Manifest
	fleetSize   int // number of VMs, 0 if unknown
	services    map[string]*service
	routeStates map[string]*routeState
	evacuated   []string // failure domains
	requests    map[RequestID]*request
	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	timers      scheduler.Queue[*request]
	stopBy      time.Time // when all requests must have an answer, because this VM stops; zero if it does not
	wakeAt      time.Time // time of the last Wake action that has not fired yet
	actions     []Action
	shards      []screener.Shard // reused by screen
	waiters     []ranker.Waiter  // reused by dispatchWaiting
}

// Step handles one event and returns the actions to perform, in order. The slice is valid until the next Step. The times of
// successive events must not decrease.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.initialize(now)
	m.actions = m.actions[:0]
	switch e := ev.(type) {
	case ManifestAdopted:
		m.adoptManifest(now, e.Manifest)
	case UpstreamsListed:
		m.setUpstreams(now, e.Upstreams)
	case EvacuationsListed:
		m.setEvacuations(now, e.FailureDomains)
	case FleetResized:
		m.setFleetSize(now, e.VMs)
	case UpstreamsRated:
		m.applyRatings(now, e.Ratings)
	case RequestArrived:
		m.handleArrival(now, e)
	case CallerGone:
		if r := m.requests[e.Request]; r != nil {
			m.abandon(r)
		}
	case AttemptEnded:
		m.handleAttemptEnd(now, e)
	case StopBegun:
		m.beginStop(now, e.AnswerBy)
	case PeersListed:
		m.setPeers(now, e.Peers)
	case ProbeEnded:
		m.handleProbeEnd(now, e)
	case EvidenceReceived:
		m.receiveEvidence(now, e)
	case GrantersListed:
		m.rations.holder.SetMembers(e.Members)
	case GrantsOffered:
		m.handleOffer(now, e)
	case GranterDisconnected:
		m.rations.holder.Disconnected(now, e.Name)
	case TimerFired:
		m.recordLag(now)
		m.wakeAt = time.Time{}
	}
	m.checkReach(now)
	for len(m.timers) > 0 && !m.timers[0].due.After(now) {
		m.runDueSteps(now, m.timers[0])
	}
	m.askForGrants(now)
	if evidence, ok := m.quarantine.TakePublication(now); ok {
		m.emit(PublishEvidence{Evidence: evidence})
	}
	m.scheduleWake(now)
	return m.actions
}

// initialize prepares the zero value for use.
func (m *Machine) initialize(now time.Time) {
	if m.random != nil {
		return
	}
	m.startedAt = now
	m.random = rand.New(rand.NewPCG(m.Config.Seed, m.Config.Seed))
	m.quarantine.VM, m.quarantine.Random = m.Config.VM, m.random
	m.rations.holder.Self, m.rations.holder.Terms = m.Config.VM, m.Config.RateTerms
	m.rations.holder.SetFleet(m.sharingVMs()) // until the fleet is known
	m.requests = map[RequestID]*request{}
	m.attempts = map[AttemptID]*attempt{}
}

// setPeers sets the VMs that take requests of this VM. With it, they take turns with suspects.
func (m *Machine) setPeers(now time.Time, peers []navigator.Peer) {
	m.peers.SetPeers(now, peers)
	names := []string{m.Config.VM}
	for _, p := range peers {
		names = append(names, p.Name)
	}
	m.quarantine.SetMembers(names)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// PendingRequests returns the number of requests without an answer.
func (m *Machine) PendingRequests() int { return len(m.requests) }

// scheduleWake emits a Wake if the next due time is earlier than that of the pending Wake.
func (m *Machine) scheduleWake(now time.Time) {
	next := m.nextReachCheck(now)
	if len(m.timers) > 0 && (next.IsZero() || m.timers[0].due.Before(next)) {
		next = m.timers[0].due
	}
	if at := m.quarantine.NextPublication(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	if at := m.nextAsk(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	if next.IsZero() {
		return
	}
	if m.wakeAt.IsZero() || !m.wakeAt.After(now) || next.Before(m.wakeAt) {
		m.wakeAt = next
		m.emit(Wake{At: next})
	}
}
