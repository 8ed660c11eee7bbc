package forwarder

import (
	"maps"
	"slices"
	"strings"
	"time"

	"comfreyroute/core/coordination/budgeter"
	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/coordination/navigator"
	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/ranker"
	"comfreyroute/core/coordination/rationer"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/state/tabler"
)

// connectCost is the time that a new connection adds to the estimated latency of an upstream.
const connectCost = 6 * time.Millisecond

// service holds the upstreams of one service. Several routes may share it.
type service struct {
	name           string
	hash           quarantiner.ServiceHash
	maxConnections int // per upstream, over all VMs
	set            selector.Set
	budget         budgeter.Window
	claims         ranker.Claims            // on its tokens
	upstreams      []Upstream               // sorted by name
	waiting        []waiter                 // in dispatch order
	limitedSends   map[string]*LimitedSends // by upstream that declares a limit
	warmupRate     float64                  // of each cold upstream, over all VMs; 0 for no limit
	coldTime       time.Duration            // for which an upstream is cold after its start
	coldUntil      map[string]time.Time     // by upstream that has said how long it is cold
	reach          navigator.Reach          // whether this VM reaches any of the upstreams
	elsewhere      navigator.Elsewhere      // what peers say of the upstreams
	probeAt        time.Time                // of the next probe, while requests go through peers
	probeDelay     time.Duration            // between two probes
	trial          navigator.Trial
}

// waiter is a sub-request that waits for an upstream with free capacity.
type waiter struct {
	request  *request
	subIndex int
}

// serviceFor returns the service with a name. It creates an unknown one, because upstreams and manifests arrive in any order.
func (m *Machine) serviceFor(name string) *service {
	if m.services == nil {
		m.services = map[string]*service{}
	}
	s := m.services[name]
	if s == nil {
		s = &service{name: name, hash: quarantiner.HashService(name)}
		s.set.SetFleetMax(m.fleetMax())
		s.set.SetVMs(time.Time{}, m.sharingVMs()) // no upstream has declared a rate yet, so that the time does not matter
		m.configureBudget(s)
		m.services[name] = s
	}
	return s
}

// configureBudget sets the limits of the extra sends to a service.
func (m *Machine) configureBudget(s *service) {
	slack := float64(m.Config.ExtraSendSlack) * budgetUse
	if m.Config.FleetMax > 0 {
		slack /= float64(m.Config.FleetMax)
	} else {
		slack = min(maxSlackPerVM, slack/float64(max(1, m.fleetSize)))
	}
	s.budget.Configure(m.Config.BudgetWindow, m.Config.ExtraSendRatio*budgetUse, slack)
}

func (m *Machine) fleetMax() int {
	if m.Config.FleetMax > 0 {
		return m.Config.FleetMax
	}
	return max(m.fleetSize, tabler.DefaultFleetMax)
}

// sharingVMs returns how many VMs share the rates that upstreams declare. Unlike fleetMax it has no lower bound, so that a small fleet can use
// the whole rate.
func (m *Machine) sharingVMs() int {
	if m.fleetSize > 0 {
		return m.fleetSize
	}
	return m.fleetMax()
}

// setFleetSize divides the connection limits and declared rates of the upstreams among a new number of VMs.
func (m *Machine) setFleetSize(now time.Time, vms int) {
	m.fleetSize = vms
	m.rations.holder.SetFleet(m.sharingVMs())
	for _, s := range m.servicesByName() {
		s.set.SetFleetMax(m.fleetMax())
		s.set.SetVMs(now, m.sharingVMs())
		m.configureBudget(s)
		m.configureService(now, s)
	}
}

// adoptManifest installs a newer manifest. Requests in flight keep the shards of the manifest by which they were routed.
func (m *Machine) adoptManifest(now time.Time, manifest *Manifest) {
	if manifest == nil || m.manifest != nil && manifest.Version <= m.manifest.Version {
		return
	}
	m.manifest = manifest
	var limits map[string]rationer.Limit
	limits, m.rations.active = manifest.RateLimits()
	m.rations.holder.SetLimits(limits)
	for _, c := range manifest.Services {
		s := m.serviceFor(c.Name)
		if s.maxConnections != c.MaxConnections || s.warmupRate != c.WarmupRate || s.coldTime != c.ColdTime {
			s.maxConnections, s.warmupRate, s.coldTime = c.MaxConnections, c.WarmupRate, c.ColdTime
			m.configureService(now, s)
		}
	}
	m.pruneRouteStates(now, manifest)
}

// setUpstreams replaces the registered upstreams.
func (m *Machine) setUpstreams(now time.Time, all []Upstream) {
	byService := map[string][]Upstream{}
	for _, u := range all {
		byService[u.Service] = append(byService[u.Service], u)
	}
	for name := range byService {
		m.serviceFor(name)
	}
	for _, s := range m.servicesByName() {
		upstreams := byService[s.name]
		slices.SortFunc(upstreams, func(a, b Upstream) int { return strings.Compare(a.Name, b.Name) })
		if slices.Equal(s.upstreams, upstreams) {
			continue
		}
		m.retireReplaced(s.upstreams, upstreams)
		m.resolveReplaced(now, s.name, upstreams)
		m.resolveOrphans(now, s, upstreams)
		s.recordCold(now, upstreams)
		s.upstreams = upstreams
		m.configureService(now, s)
	}
	m.configureReach()
}

// unreachable reports whether this VM reaches none of the upstreams: all have failed, or several are silent or refuse and none has replied since.
// Without requests that is forgotten, because a VM that sends none hears of no return.
func (s *service) unreachable(now time.Time) bool {
	return s.reach.Lost(now) && !s.reach.Stale(now) || s.set.Unreachable(now)
}

// startTime returns when an upstream has started, zero if that is unknown.
func (s *service) startTime(name string) time.Time {
	u, _ := s.find(name)
	return u.StartTime
}

// find returns a registered upstream.
func (s *service) find(name string) (Upstream, bool) {
	i, ok := slices.BinarySearchFunc(s.upstreams, name, func(u Upstream, name string) int { return strings.Compare(u.Name, name) })
	if !ok {
		return Upstream{}, false
	}
	return s.upstreams[i], true
}

// servicesByName returns the services sorted by name, so that the same events always result in the same actions.
func (m *Machine) servicesByName() []*service {
	all := make([]*service, 0, len(m.services))
	for _, s := range m.services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return all
}

// retireReplaced closes the connections to upstreams that are gone, draining, moved to another address or restarted.
func (m *Machine) retireReplaced(before, after []Upstream) {
	for _, u := range before {
		i := slices.IndexFunc(after, func(o Upstream) bool { return o.Name == u.Name })
		if i < 0 || after[i].Draining || after[i].Address != u.Address || !after[i].StartTime.Equal(u.StartTime) {
			m.emit(Retire{Upstream: u.Name})
		}
	}
}

// configureService passes the upstreams to the selection and dispatches waiting sub-requests.
func (m *Machine) configureService(now time.Time, s *service) {
	s.reach.Configure(1, m.countUsable(s))
	rows := make([]tabler.UpstreamRow, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		weight := tabler.DefaultWeight
		if u.Draining || m.isEvacuated(&u) {
			weight = 0
		}
		rows = append(rows, tabler.UpstreamRow{
			Service: s.name, Upstream: u.Name, Address: u.Address, FailureDomain: u.FailureDomain, Weight: weight,
			Connections: s.maxConnections, Slots: u.Slots, ConnectCost: connectCost,
		})
	}
	s.set.Update(now, rows, m.Config.FailureDomain)
	maps.DeleteFunc(s.limitedSends, func(name string, _ *LimitedSends) bool {
		_, registered := s.set.Index(name)
		return !registered
	})
	for _, u := range s.upstreams {
		if i, ok := s.set.Index(u.Name); ok {
			s.set.SetStartTime(now, i, u.StartTime)
		}
	}
	s.set.SetWarmup(now, m.random, s.warmupRate, s.coldTime)
	for name, until := range s.coldUntil {
		if i, ok := s.set.Index(name); ok {
			s.set.ExtendCold(i, until)
		}
	}
	m.dispatchWaiting(now, s)
}

// recordCold records until when upstreams are cold that are new, have started again or have become cold again.
func (s *service) recordCold(now time.Time, listed []Upstream) {
	for _, u := range listed {
		if known, ok := s.find(u.Name); u.ColdFor == 0 || ok && known.ColdFor == u.ColdFor && known.StartTime.Equal(u.StartTime) {
			continue
		}
		if s.coldUntil == nil {
			s.coldUntil = map[string]time.Time{}
		}
		s.coldUntil[u.Name] = now.Add(u.ColdFor)
	}
	maps.DeleteFunc(s.coldUntil, func(_ string, until time.Time) bool { return !until.After(now) })
}

// applyRatings passes the ratings of other VMs to the upstream selection. A VM that has just started takes only the declared rates from them.
func (m *Machine) applyRatings(now time.Time, ratings []reporter.Rating) {
	settled := now.Sub(m.startedAt) >= settleTime
	m.rated = m.rated || settled
	for _, r := range ratings {
		s := m.services[r.Service]
		if s == nil {
			continue
		}
		i, ok := s.set.Index(r.Upstream)
		if !ok {
			continue
		}
		if settled && (r.Errors > 0 || r.Latency > 0) {
			s.set.SetPeerRating(now, i, r.Errors, r.Latency)
		}
		if r.Rate != nil {
			m.learnRate(now, s, i, r.Rate)
		}
	}
}

// connectionShare returns how many connections this VM may open to one upstream of the service.
func (s *service) connectionShare(fleetMax int) int {
	return limiter.ConnectionShare(s.maxConnections, fleetMax)
}
