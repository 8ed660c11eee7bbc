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
	// minBudgetTokens is the least cap of the budget, so that a small service can retry the sub-requests of one search.
	minBudgetTokens = 10
	// budgetSearches is how many searches the cap lets retry every sub-request. When a failure domain becomes unreachable, several
	// searches are in flight, and each of them loses the replicas there at once.
	budgetSearches = 2
)

// budgetLimit is the cap of the budget of a service, in sub-requests.
func budgetLimit(groups int) int { return max(minBudgetTokens, budgetSearches*groups) }

// service is the routing state of one service.
type service struct {
	name       string
	row        *tabler.ServiceRow
	value      *tabler.Value // in effect
	fleetMax   int           // in effect
	removed    bool
	set        selector.Set
	members    [][]int // indexes in set of the replicas of each group; one group for a point service
	waiting    [][]waiter
	catalog    catalog
	budget     budgeter.Budget
	latencies  budgeter.Latencies
	pools      map[string]Pool
	delay      delays
	queue      admitter.Queue
	rate       limiter.Rate
	touched    bool // in Machine.touched
	probedAt   []time.Time
	capacityAt time.Time
}

// waiter is a sub-request that waits because every replica of its group is at its in-flight limit.
type waiter struct {
	request *request
	sub     int
}

func (s *service) point() bool { return s.row.Kind == tabler.KindPoint }

func (s *service) groupOf(i int) int {
	if s.point() || i < 0 {
		return 0
	}
	return s.set.At(i).Row.Group
}

// waitQueue returns the number of the wait queue of a sub-request's group.
func (s *service) waitQueue(g int) int {
	if s.point() {
		return 0
	}
	return g
}

// adopt takes a new table: rows, limits and pools of each service.
func (m *Machine) adopt(now time.Time, t *tabler.Snapshot) {
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
		s := m.find(v.Service.Service)
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

func (m *Machine) find(name string) *service {
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
	old := make([]identity, s.set.Len())
	for i := range old {
		old[i] = identify(s.set.At(i))
	}
	s.set.SetFixedLimits(m.config.AdaptiveOff)
	s.set.SetFleetMax(m.table.FleetMax())
	s.set.Update(now, v.Upstreams, m.config.FailureDomain)
	m.reindex(s, old)
	groups := 1
	if !s.point() {
		groups = v.GroupCount()
	}
	s.members = make([][]int, groups)
	for i := range s.set.Len() {
		g := s.groupOf(i)
		s.members[g] = append(s.members[g], i)
	}
	for len(s.waiting) < groups {
		s.waiting = append(s.waiting, nil)
	}
	s.budget.Configure(row.HedgeBudget, budgetLimit(groups))
	s.queue.Configure(s.row, m.table.FleetMax())
	s.rate.Configure(row.RequestLimit, m.table.FleetMax())
	s.capacityAt, s.probedAt = time.Time{}, nil
	m.touch(s)
	s.catalog = catalog{}
	for g, members := range s.members {
		s.catalog.refresh(&s.set, g, members)
	}
	m.updatePools(s, v)
	for g := range s.waiting {
		m.drain(s, g)
	}
}

// identity names an upstream across tables. One that moved to another address is a different upstream.
type identity struct {
	name    string
	address netip.AddrPort
}

func identify(u *selector.Upstream) identity { return identity{u.Row.Upstream, u.Row.Address} }

// reindex translates the upstream indexes that attempts and sub-requests hold after the set changed.
func (m *Machine) reindex(s *service, old []identity) {
	moved := make([]int, len(old))
	same := true
	for i, o := range old {
		j, ok := s.set.Index(o.name)
		if !ok || identify(s.set.At(j)) != o {
			j = -1
		}
		moved[i] = j
		same = same && i == j
	}
	if same {
		return
	}
	for k := range m.attempts.places {
		if a := &m.attempts.places[k]; a.id != 0 && a.service == s && a.upstream >= 0 {
			a.upstream = moved[a.upstream]
		}
	}
	for _, r := range m.requests {
		if r.service != s {
			continue
		}
		for g := range r.subs {
			b := &r.subs[g]
			for k := range int(b.attempts) {
				if b.tried[k] >= 0 {
					b.tried[k] = moved[b.tried[k]]
				}
			}
		}
	}
}

// updatePools emits the pools that changed. A leaving or removed upstream keeps no idle connection.
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
	var gone []Pool
	for name, p := range s.pools {
		if !seen[name] {
			gone = append(gone, p)
			delete(s.pools, name)
		}
	}
	sortPools(gone)
	for _, p := range gone {
		p.Connections = 0
		m.emit(p)
	}
}

// observe takes the state that an upstream reported on a reply.
func (m *Machine) observe(now time.Time, s *service, i int, r *encoder.SubReply) {
	u := s.set.At(i)
	held, allowed := u.Held, u.Eligible()
	restarted, drainChanged := s.set.ObserveReply(now, i, r)
	if drainChanged {
		m.emit(SpreadDrain{Service: s.name, Upstream: u.Row.Upstream, Incarnation: u.Incarnation, Leaving: u.Draining})
	}
	if restarted {
		m.quarantine.RecordIncarnation(now, s.name, u.Row.Upstream, u.Incarnation)
		m.settleTrials(now, s, u.Row.Upstream, u.Incarnation)
		m.spread()
	}
	if u.Eligible() != allowed || !sameHeld(held, u.Held) {
		m.refresh(now, s, i)
	}
}

// refresh updates what depends on the held versions and the drain state of an upstream.
func (m *Machine) refresh(now time.Time, s *service, i int) {
	g := s.groupOf(i)
	if g < len(s.members) {
		s.catalog.refresh(&s.set, g, s.members[g])
		m.drain(s, g)
	}
}
