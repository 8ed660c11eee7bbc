package forwarder

import (
	"slices"
	"strings"
	"time"

	"comfreyroute/core/coordination/budgeter"
	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/state/tabler"
)

// connectCost is what a new connection to an upstream costs, in the estimate of its answer time.
const connectCost = 6 * time.Millisecond

// service holds the upstreams of one service. Several routes may lead to it.
type service struct {
	name        string
	connections int // of all VMs, for each upstream
	set         selector.Set
	budget      budgeter.Budget
	upstreams   []Upstream // sorted by name
	waiting     []waiter   // in the order of their turn
}

// waiter is a sub-request for which no upstream was free.
type waiter struct {
	request *request
	sub     int
}

// find returns a service by name; it makes one when none is known, because upstreams and manifests come in any order.
func (m *Machine) find(name string) *service {
	if m.services == nil {
		m.services = map[string]*service{}
	}
	s := m.services[name]
	if s == nil {
		s = &service{name: name}
		s.set.SetFleetMax(m.fleetMax())
		s.budget.Configure(m.Config.ExtraSendRatio*budgetPart, min(m.Config.ExtraSendSlack, m.burst()))
		m.services[name] = s
	}
	return s
}

// burst returns how many extra sends to a service the VM may save up.
func (m *Machine) burst() int {
	if m.Config.FleetMax > 0 {
		return max(1, int(float64(m.Config.ExtraSendSlack)*budgetPart)/m.Config.FleetMax)
	}
	return burstTokens
}

func (m *Machine) fleetMax() int {
	if m.Config.FleetMax > 0 {
		return m.Config.FleetMax
	}
	return max(m.fleet, tabler.DefaultFleetMax)
}

// resize divides the connections of the upstreams by a new number of VMs.
func (m *Machine) resize(now time.Time, vms int) {
	m.fleet = vms
	for _, s := range m.ordered() {
		s.set.SetFleetMax(m.fleetMax())
		m.configure(now, s)
	}
}

// adopt takes a manifest. Requests in flight keep the shards of the manifest that they began with.
func (m *Machine) adopt(now time.Time, manifest *Manifest) {
	if manifest == nil || m.manifest != nil && manifest.Version <= m.manifest.Version {
		return
	}
	m.manifest = manifest
	for _, c := range manifest.Services {
		s := m.find(c.Name)
		if s.connections != c.MaxConnections {
			s.connections = c.MaxConnections
			m.configure(now, s)
		}
	}
	m.keepPolicies(now, manifest)
}

// list takes the registered upstreams.
func (m *Machine) list(now time.Time, all []Upstream) {
	byService := map[string][]Upstream{}
	for _, u := range all {
		byService[u.Service] = append(byService[u.Service], u)
	}
	for name := range byService {
		m.find(name)
	}
	for _, s := range m.ordered() {
		upstreams := byService[s.name]
		slices.SortFunc(upstreams, func(a, b Upstream) int { return strings.Compare(a.Name, b.Name) })
		if slices.Equal(s.upstreams, upstreams) {
			continue
		}
		m.retire(s.upstreams, upstreams)
		s.upstreams = upstreams
		m.configure(now, s)
	}
}

// ordered returns the services by name, so that the same events always lead to the same actions.
func (m *Machine) ordered() []*service {
	all := make([]*service, 0, len(m.services))
	for _, s := range m.services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return all
}

// retire closes the connections to the upstreams that are gone, leave or have started again.
func (m *Machine) retire(before, after []Upstream) {
	for _, u := range before {
		i := slices.IndexFunc(after, func(o Upstream) bool { return o.Name == u.Name })
		if i < 0 || after[i].Draining || after[i].Address != u.Address || !after[i].StartTime.Equal(u.StartTime) {
			m.emit(Retire{Upstream: u.Name})
		}
	}
}

// configure gives the set its upstreams and lets what waits look again.
func (m *Machine) configure(now time.Time, s *service) {
	rows := make([]tabler.UpstreamRow, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		weight := tabler.DefaultWeight
		if u.Draining {
			weight = 0
		}
		rows = append(rows, tabler.UpstreamRow{
			Service: s.name, Upstream: u.Name, Address: u.Address, FailureDomain: u.FailureDomain, Weight: weight,
			Connections: s.connections, Slots: u.Slots, ConnectCost: connectCost,
		})
	}
	s.set.Update(now, rows, m.Config.FailureDomain)
	for _, u := range s.upstreams {
		if i, ok := s.set.Index(u.Name); ok {
			s.set.SetStartTime(now, i, u.StartTime)
		}
	}
	m.wakeWaiting(now, s)
}

// rate tells the selection what other VMs see of upstreams.
func (m *Machine) rate(now time.Time, ratings []reporter.Rating) {
	for _, r := range ratings {
		s := m.services[r.Service]
		if s == nil {
			continue
		}
		if i, ok := s.set.Index(r.Upstream); ok {
			s.set.SetPeerRating(now, i, r.Errors, r.Latency)
		}
	}
}

// share returns the most connections of this VM to one upstream of the service.
func (s *service) share(fleetMax int) int { return limiter.ConnectionShare(s.connections, fleetMax) }
