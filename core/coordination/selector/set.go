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
	serial    uint64
	latency   average // of all replies of the service
}

// Update takes the rows of a new table. Upstreams that stay under the same address keep their state. Positions change.
func (s *Set) Update(_ time.Time, rows []tabler.UpstreamRow, ownFailureDomain string) {
	old, oldIndex, oldDomains := s.upstreams, s.index, s.domains
	s.own = ownFailureDomain
	s.upstreams = make([]Upstream, len(rows))
	s.index = make(map[string]int, len(rows))
	s.groups, s.all = nil, make([]int, len(rows))
	s.domains = make(map[string]*domain)
	for i := range rows {
		u := &s.upstreams[i]
		if j, ok := oldIndex[rows[i].Upstream]; ok && old[j].Row.Address == rows[i].Address {
			*u = old[j]
		} else {
			s.serial++
			u.serial = s.serial
		}
		u.Row = rows[i]
		name := u.Row.FailureDomain
		if s.domains[name] == nil {
			s.domains[name] = oldDomains[name]
		}
		if s.domains[name] == nil {
			s.domains[name] = &domain{}
		}
		u.domain = s.domains[name]
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

// Capacity returns how many requests that need one sub-request in each group the upstreams take from this VM at once: the
// sum of the limits in the smallest group. Groups whose upstreams all failed lately do not count, unless that holds for
// every group. It is 0 when no upstream may get work.
func (s *Set) Capacity(now time.Time) int {
	capacity, failed := 0, 0
	for _, g := range s.groups {
		n, all := 0, 0
		for _, i := range g {
			u := &s.upstreams[i]
			if !u.Eligible() {
				continue
			}
			all += u.Limit()
			if !s.avoided(now, u) {
				n += u.Limit()
			}
		}
		capacity, failed = smaller(capacity, n), smaller(failed, all)
	}
	if capacity == 0 {
		return failed
	}
	return capacity
}

// smaller returns the smaller one of two numbers; 0 stands for none.
func smaller(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// RecordStart records that a sub-request is being sent.
func (s *Set) RecordStart(now time.Time, i int) {
	u := &s.upstreams[i]
	if u.domain.dark(now, s.lateAfter(nil)) {
		u.domain.postpone(now)
	}
	if s.avoided(now, u) {
		u.fail(now)
	}
	u.begin(now)
	u.domain.started(now, u.serial)
}

// RecordResult records the end of a sub-request.
func (s *Set) RecordResult(now time.Time, i int, r Result) {
	u := &s.upstreams[i]
	inFlight, lateAfter := u.InFlight, s.lateAfter(u)
	start := u.end(now, r.Latency)
	unanswered := u.lastReply.Before(start)
	switch r.Kind {
	case OK:
		u.replied(now)
		u.domain.replied()
		u.recordSuccess(now)
		u.latency.add(now, r.Latency)
		s.latency.add(now, r.Latency)
		u.limit.RecordSuccess(inFlight, u.Load.Queued)
	case Shed:
		u.replied(now)
		u.domain.replied()
		u.recordError(now)
		u.shedUntil = later(u.shedUntil, now.Add(minShedPause))
		u.limit.RecordOverload(now)
	case Refused, Reset:
		// Its host answered, so that this says nothing about the failure domain.
		u.domain.withdrawn(start, u.serial)
		u.recordError(now)
		if unanswered {
			u.fail(now)
			u.refused = r.Kind == Refused
		}
	case TimedOut:
		u.recordError(now)
		u.limit.RecordOverload(now)
		s.missed(now, u, unanswered)
	case Cancelled:
		if r.Latency <= lateAfter {
			u.domain.withdrawn(start, u.serial)
			return
		}
		s.missed(now, u, unanswered)
	case Unattributed:
		u.domain.withdrawn(start, u.serial)
	case Errored:
		u.replied(now)
		u.domain.replied()
		u.recordError(now)
	}
}

// missed counts a sub-request that ended late. It counts only while the upstream has answered nothing since its start:
// otherwise the sub-request was slow, but the upstream works.
func (s *Set) missed(now time.Time, u *Upstream, unanswered bool) {
	if !unanswered {
		return
	}
	u.missed++
	if u.missed >= unresponsiveMissed || u.failed {
		u.fail(now)
	}
}

// ObserveReply takes the state that an upstream reported on any reply. It tells whether the upstream has a new incarnation and
// whether it started or stopped draining. It does not end a failure, because an upstream may answer pings and no requests.
func (s *Set) ObserveReply(now time.Time, i int, r *encoder.SubReply) (restarted bool, drainChanged bool) {
	u := &s.upstreams[i]
	if r.Incarnation < u.Incarnation {
		return false, false
	}
	if r.Incarnation > u.Incarnation {
		restarted = u.Incarnation != 0
		s.setIncarnation(now, u, r.Incarnation)
	}
	draining := r.Draining || r.Status == encoder.StatusDraining
	drainChanged = draining != u.Draining
	u.Draining = draining
	u.Load, u.loadAt = r.Load, now
	u.othersAtLoad = max(0, r.Load.Running+r.Load.Queued-u.InFlight)
	if len(r.Held) > 0 {
		u.Held = r.Held
	}
	if r.Status == encoder.StatusShed {
		hint := time.Duration(r.RetryAfterMS) * time.Millisecond
		u.shedUntil = now.Add(min(max(hint, minShedPause), maxShedPause))
	}
	if u.refused {
		// The upstream accepts connections again, so that its next trial need not wait.
		u.refused, u.trialAt, u.pause = false, now, 0
	}
	return restarted, drainChanged
}

// setIncarnation records a new incarnation. What was said about the previous one ends.
func (s *Set) setIncarnation(now time.Time, u *Upstream, incarnation uint64) {
	if u.Incarnation != 0 {
		u.rampFrom = now
		u.Draining = false
		u.latency = average{}
	}
	if u.leavingIncarnation < incarnation {
		u.Leaving = false
	}
	u.Incarnation = incarnation
}

// SetLeaving records that an upstream gets no new work, or that it does again, from a source other than itself. What the
// source says about an incarnation that is already replaced is ignored.
func (s *Set) SetLeaving(now time.Time, i int, incarnation uint64, leaving bool) {
	u := &s.upstreams[i]
	if incarnation != 0 && incarnation < u.Incarnation {
		return
	}
	if !leaving && incarnation > u.Incarnation {
		s.setIncarnation(now, u, incarnation)
	}
	u.Leaving = leaving
	u.leavingIncarnation = incarnation
}

// SetStartTime records when an upstream started, for upstreams whose replies do not tell their incarnation. Zero is unknown.
func (s *Set) SetStartTime(now time.Time, i int, started time.Time) {
	u := &s.upstreams[i]
	if started.IsZero() {
		return
	}
	if incarnation := uint64(started.UnixMilli()); incarnation > u.Incarnation {
		s.setIncarnation(now, u, incarnation)
	}
}

// SetLoad records the load that an upstream reported.
func (s *Set) SetLoad(now time.Time, i int, running, queued int) {
	u := &s.upstreams[i]
	u.Load.Running, u.Load.Queued, u.loadAt = running, queued, now
	u.othersAtLoad = max(0, running+queued-u.InFlight)
}

// SetPeerRating records what other VMs see of an upstream: its share of errors and its mean latency, 0 when that is not known.
func (s *Set) SetPeerRating(now time.Time, i int, errors float64, latency time.Duration) {
	u := &s.upstreams[i]
	u.reportedErrors, u.reportedLatency, u.reportedAt = min(max(errors, 0), 1), latency, now
}

// SetOpenConnections records how many usable connections are open.
func (s *Set) SetOpenConnections(_ time.Time, i int, open int) { s.upstreams[i].OpenConnections = open }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
