package selector

import (
	"time"

	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// Set holds the upstreams of one service. The zero value is empty.
type Set struct {
	upstreams []Upstream
	index     map[string]int
	groups    [][]int // positions in upstreams
	all       []int
	domains   map[string]*domain
	own       string // failure domain of this VM
	fleetMax  int    // 0 takes the default
	fixed     bool
	latency   average // of all replies of the service
}

// Update takes the rows of a new table. Upstreams that stay under the same address keep their state. Positions change.
func (s *Set) Update(now time.Time, rows []tabler.UpstreamRow, ownFailureDomain string) {
	old, oldIndex := s.upstreams, s.index
	s.own = ownFailureDomain
	s.upstreams = make([]Upstream, len(rows))
	s.index = make(map[string]int, len(rows))
	s.groups, s.all = nil, make([]int, len(rows))
	if s.domains == nil {
		s.domains = make(map[string]*domain)
	}
	for i := range rows {
		u := &s.upstreams[i]
		if j, ok := oldIndex[rows[i].Upstream]; ok && old[j].Row.Address == rows[i].Address {
			*u = old[j]
		}
		u.Row = rows[i]
		if s.domains[u.Row.FailureDomain] == nil {
			s.domains[u.Row.FailureDomain] = &domain{}
		}
		u.domain = s.domains[u.Row.FailureDomain]
		s.index[u.Row.Upstream], s.all[i] = i, i
		for len(s.groups) <= u.Row.Group {
			s.groups = append(s.groups, nil)
		}
		s.groups[u.Row.Group] = append(s.groups[u.Row.Group], i)
	}
	s.configure()
}

// SetFleetMax sets the most VMs that share the connections of each upstream.
func (s *Set) SetFleetMax(fleetMax int) {
	s.fleetMax = fleetMax
	s.configure()
}

// SetFixedLimits switches the adaptation of the in-flight limits off, so that each is the connection share, or on again.
func (s *Set) SetFixedLimits(fixed bool) {
	s.fixed = fixed
	s.configure()
}

func (s *Set) configure() {
	fleetMax := s.fleetMax
	if fleetMax < 1 {
		fleetMax = tabler.DefaultFleetMax
	}
	for i := range s.upstreams {
		u := &s.upstreams[i]
		u.limit.Configure(limiter.ConnectionShare(u.Row.Connections, fleetMax), u.Row.Slots)
		u.limit.SetFixed(s.fixed)
	}
}

// Len returns the number of upstreams.
func (s *Set) Len() int { return len(s.upstreams) }

// At returns the upstream at a position, valid until the next Update. The caller must not change it.
func (s *Set) At(i int) *Upstream { return &s.upstreams[i] }

// Index returns the position of an upstream by name.
func (s *Set) Index(name string) (int, bool) {
	i, ok := s.index[name]
	return i, ok
}

// Capacity returns how many requests that need one sub-request in each group the usable upstreams take from this VM at
// once: the sum of the limits in the smallest group. Groups without a usable upstream do not count.
func (s *Set) Capacity(now time.Time) int {
	capacity := 0
	for _, g := range s.groups {
		n := 0
		for _, i := range g {
			if u := &s.upstreams[i]; u.Allowed() && !s.avoided(now, u) {
				n += u.Limit()
			}
		}
		if n > 0 && (capacity == 0 || n < capacity) {
			capacity = n
		}
	}
	return capacity
}

// Started records that a sub-request is being sent.
func (s *Set) Started(now time.Time, i int) {
	u := &s.upstreams[i]
	if s.avoided(now, u) {
		u.postpone(now)
		s.postponeDomain(now, u.domain)
	}
	u.begin(now)
	u.domain.started(now)
}

// Finished records the end of a sub-request.
func (s *Set) Finished(now time.Time, i int, r Result) {
	u := &s.upstreams[i]
	inFlight := u.InFlight
	patience := s.patience(now, u)
	u.end(now, r.Latency)
	switch r.Kind {
	case OK:
		u.replied(now)
		u.domain.replied()
		u.errors = u.recentErrors(now) * (1 - errorGain)
		u.errorsAt = now
		u.latency.add(now, r.Latency)
		s.latency.add(now, r.Latency)
		u.limit.Succeeded(inFlight, u.Load.Queued)
	case Shed:
		u.replied(now)
		u.domain.replied()
		u.errors = u.recentErrors(now) + errorGain*(1-u.recentErrors(now))
		u.errorsAt = now
		u.limit.Overloaded(now)
	case Refused:
		u.failed(now)
	case Reset:
		u.failed(now)
	case TimedOut:
		u.limit.Overloaded(now)
		if u.lastReply.Before(now.Add(-r.Latency)) {
			u.missed++
			u.failed(now)
		}
	case Cancelled:
		if r.Latency > patience && u.lastReply.Before(now.Add(-r.Latency)) {
			u.missed++
		}
	case Unattributed:
	}
}

// Observe takes the state that an upstream reported. It tells whether the upstream has a new incarnation and whether it
// started or stopped draining.
func (s *Set) Observe(now time.Time, i int, r *encoder.SubReply) (restarted bool, drainChanged bool) {
	u := &s.upstreams[i]
	if r.Incarnation < u.Incarnation {
		return false, false
	}
	if r.Incarnation > u.Incarnation {
		restarted = u.Incarnation != 0
		if restarted {
			u.rampFrom = now
			u.Leaving = false
		}
		u.Incarnation = r.Incarnation
	}
	draining := r.Draining || r.Status == encoder.StatusDraining
	drainChanged = draining != u.Draining
	u.Draining = draining
	u.Load, u.loadAt = r.Load, now
	u.othersAtLoad = max(0, r.Load.Running+r.Load.Queued-u.InFlight)
	if len(r.Held) > 0 {
		u.Held = r.Held
	}
	u.replied(now)
	u.domain.replied()
	return restarted, drainChanged
}

// SetLeaving records that an upstream gets no new work, or that it does again, from a source other than itself. A known
// incarnation older than the one seen is ignored: that incarnation is already gone.
func (s *Set) SetLeaving(_ time.Time, i int, incarnation uint64, leaving bool) {
	u := &s.upstreams[i]
	if incarnation != 0 && incarnation < u.Incarnation {
		return
	}
	u.Leaving = leaving
}

// SetConnections records how many usable connections are open.
func (s *Set) SetConnections(_ time.Time, i int, open int) { s.upstreams[i].Connections = open }
