package router

import (
	"net/netip"
	"time"

	"comfreyroute/core/coordination/admitter"
	"comfreyroute/core/coordination/budgeter"
	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// minBudgetTokens is the minimum capacity of the budget. It lets a small service retry every sub-request of one search.
	minBudgetTokens = 10
	// budgetSearches is the number of searches whose sub-requests can all be retried from a full budget. When a failure domain
	// becomes unreachable, several searches in flight lose their replicas there at the same time.
	budgetSearches = 2
)

// budgetLimit returns the budget capacity of a service, in sub-requests.
func budgetLimit(groups int) int { return max(minBudgetTokens, budgetSearches*groups) }

// service holds the routing state of one service.
type service struct {
	name             string
	row              *tabler.ServiceRow
	value            *tabler.Value // in effect
	fleetMax         int           // in effect
	removed          bool
	set              selector.Set
	replicas         [][]int // indexes in set of the replicas of each group; a point service has one group
	waitQueues       [][]waiter
	catalog          catalog
	budget           budgeter.Budget
	latencies        budgeter.Latencies
	pools            map[string]Pool
	cachedDelays     delays
	queue            admitter.Queue
	rate             limiter.Rate
	admissionPending bool // in Machine.pendingAdmissions
	probedAt         []time.Time
	capacityAt       time.Time
}

// waiter is a sub-request in a wait queue: every replica of its group is at its in-flight limit or had no free connection.
type waiter struct {
	request  *request
	subIndex int
}

func (s *service) isPoint() bool { return s.row.Kind == tabler.KindPoint }

func (s *service) groupOf(i int) int {
	if s.isPoint() || i < 0 {
		return 0
	}
	return s.set.At(i).Row.Group
}

// waitQueueIndex returns the index of the wait queue for sub-requests of group g.
func (s *service) waitQueueIndex(g int) int {
	if s.isPoint() {
		return 0
	}
	return g
}

// adoptTable applies the rows, limits and pools of a new table to each service.
func (m *Machine) adoptTable(now time.Time, t *tabler.Snapshot) {
	m.table = t
	for _, s := range m.services {
		if t.FindService(s.name) == nil && !s.removed {
			s.removed = true
			m.updateService(now, s, &tabler.Value{Service: *s.row})
		}
	}
	if t == nil {
		return
	}
	for _, v := range t.Values {
		if v.Removed {
			continue
		}
		s := m.findService(v.Service.Service)
		if s == nil {
			s = &service{name: v.Service.Service, pools: make(map[string]Pool)}
			m.services = append(m.services, s)
			m.byName[s.name] = s
		}
		if s.removed || s.value != v || s.fleetMax != t.FleetMax() {
			s.removed = false
			m.updateService(now, s, v)
		}
	}
}

func (m *Machine) findService(name string) *service {
	if m.byName == nil {
		m.byName = make(map[string]*service)
	}
	return m.byName[name]
}

func (m *Machine) updateService(now time.Time, s *service, v *tabler.Value) {
	row := v.Service
	if row.Deadline <= 0 {
		row.Deadline = tabler.DefaultDeadline
	}
	s.row, s.value, s.fleetMax = &row, v, m.table.FleetMax()
	old := make([]upstreamKey, s.set.Len())
	for i := range old {
		old[i] = keyOf(s.set.At(i))
	}
	s.set.SetFixedLimits(m.config.AdaptiveOff)
	s.set.SetFleetMax(m.table.FleetMax())
	s.set.Update(now, v.Upstreams, m.config.FailureDomain)
	m.remapUpstreams(s, old)
	groups := 1
	if !s.isPoint() {
		groups = v.GroupCount()
	}
	s.replicas = make([][]int, groups)
	for i := range s.set.Len() {
		g := s.groupOf(i)
		s.replicas[g] = append(s.replicas[g], i)
	}
	for len(s.waitQueues) < groups {
		s.waitQueues = append(s.waitQueues, nil)
	}
	s.budget.Configure(row.HedgeBudget, budgetLimit(groups))
	s.queue.Configure(s.row, m.table.FleetMax())
	s.rate.Configure(row.RequestLimit, m.table.FleetMax())
	s.capacityAt, s.probedAt = time.Time{}, nil
	m.scheduleAdmission(s)
	s.catalog = catalog{}
	for g, replicas := range s.replicas {
		s.catalog.refreshGroup(&s.set, g, replicas)
	}
	m.updatePools(s, v)
	for g := range s.waitQueues {
		m.scheduleWaitQueue(s, g)
	}
}

// upstreamKey identifies an upstream across tables. An upstream whose address changed counts as a different one.
type upstreamKey struct {
	name    string
	address netip.AddrPort
}

func keyOf(u *selector.Upstream) upstreamKey { return upstreamKey{u.Row.Upstream, u.Row.Address} }

// remapUpstreams updates the upstream indexes in attempts and sub-requests after the set changed.
func (m *Machine) remapUpstreams(s *service, old []upstreamKey) {
	newIndex := make([]int, len(old))
	same := true
	for i, o := range old {
		j, ok := s.set.Index(o.name)
		if !ok || keyOf(s.set.At(j)) != o {
			j = -1
		}
		newIndex[i] = j
		same = same && i == j
	}
	if same {
		return
	}
	for k := range m.attempts.slots {
		if a := &m.attempts.slots[k]; a.id != 0 && a.service == s && a.upstream >= 0 {
			a.upstream = newIndex[a.upstream]
		}
	}
	for _, r := range m.requests {
		if r.service != s {
			continue
		}
		for g := range r.subs {
			sub := &r.subs[g]
			for k := range int(sub.attempts) {
				if sub.tried[k] >= 0 {
					sub.tried[k] = newIndex[sub.tried[k]]
				}
			}
		}
	}
}

// updatePools emits the pools that changed. Upstreams with weight 0 and removed ones keep no idle connection.
func (m *Machine) updatePools(s *service, v *tabler.Value) {
	seen := make(map[string]bool, len(v.Upstreams))
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		seen[u.Upstream] = true
		p := Pool{Service: s.name, Upstream: u.Upstream, Address: u.Address, ConnectCost: u.ConnectCost}
		if u.Weight > 0 {
			p.Connections = limiter.ConnectionShare(u.Connections, m.table.FleetMax())
		}
		if old, ok := s.pools[u.Upstream]; !ok || old != p {
			s.pools[u.Upstream] = p
			m.emit(p)
		}
	}
	var removed []Pool
	for name, p := range s.pools {
		if !seen[name] {
			removed = append(removed, p)
			delete(s.pools, name)
		}
	}
	sortPools(removed)
	for _, p := range removed {
		p.Connections = 0
		m.emit(p)
	}
}

// observeReply applies the state that an upstream reported in a reply.
func (m *Machine) observeReply(now time.Time, s *service, i int, r *encoder.SubReply) {
	u := s.set.At(i)
	held, eligible := u.Held, u.Eligible()
	restarted, drainChanged := s.set.ObserveReply(now, i, r)
	if drainChanged {
		m.emit(SpreadDrain{Service: s.name, Upstream: u.Row.Upstream, Incarnation: u.Incarnation, Leaving: u.Draining})
	}
	if restarted {
		m.quarantine.RecordIncarnation(now, s.name, u.Row.Upstream, u.Incarnation)
		m.resolveResetProbes(now, s, u.Row.Upstream, u.Incarnation)
		m.spreadSuspicions()
	}
	if u.Eligible() != eligible || !equalHeld(held, u.Held) {
		m.refreshUpstream(now, s, i)
	}
}

// refreshUpstream updates the catalog and the wait queue after the held versions or the eligibility of an upstream changed.
func (m *Machine) refreshUpstream(now time.Time, s *service, i int) {
	g := s.groupOf(i)
	if g < len(s.replicas) {
		s.catalog.refreshGroup(&s.set, g, s.replicas[g])
		m.scheduleWaitQueue(s, g)
	}
}
