package selector

import (
	"time"

	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// Set holds the upstreams of one service. The zero value is empty.
type Set struct {
	upstreams      []Upstream
	positionByName map[string]int
	groups         [][]int // positions in upstreams
	positions      []int
	domains        map[string]*failureDomain
	ownDomain      string // failure domain of this VM
	fleetMax       int    // 0 means the default
	fixedLimits    bool
	lastSerial     uint64
	latency        latencyAverage    // of all replies of the service
	usual          latencyAverage    // of what its requests take at the upstreams of any service; unknown if its mean is 0
	quotas         map[string]*quota // by upstream
	vms            int               // that share the rates in quotas
	coldTime       time.Duration     // for which an upstream is cold after its start
	notices        map[string]*notice
}

// Update replaces the upstreams by the rows of a new table. Those with the same name and address keep their state. Positions
// change.
func (s *Set) Update(now time.Time, rows []tabler.UpstreamRow, ownFailureDomain string) {
	old, oldIndex, oldDomains := s.upstreams, s.positionByName, s.domains
	s.ownDomain = ownFailureDomain
	s.upstreams = make([]Upstream, len(rows))
	s.positionByName = make(map[string]int, len(rows))
	s.groups, s.positions = nil, make([]int, len(rows))
	s.domains = make(map[string]*failureDomain)
	for i := range rows {
		u := &s.upstreams[i]
		if j, ok := oldIndex[rows[i].Upstream]; ok && old[j].Row.Address == rows[i].Address {
			*u = old[j]
		} else {
			s.lastSerial++
			u.serial = s.lastSerial
		}
		u.Row = rows[i]
		s.attachQuota(u)
		s.attachNotice(u)
		name := u.Row.FailureDomain
		if s.domains[name] == nil {
			s.domains[name] = oldDomains[name]
		}
		if s.domains[name] == nil {
			s.domains[name] = &failureDomain{}
		}
		u.domain = s.domains[name]
		s.positionByName[u.Row.Upstream], s.positions[i] = i, i
		for len(s.groups) <= u.Row.Group {
			s.groups = append(s.groups, nil)
		}
		s.groups[u.Row.Group] = append(s.groups[u.Row.Group], i)
	}
	s.pruneQuotas(now)
	s.pruneNotices(now)
	s.configureLimits()
}

// SetFleetMax sets how many VMs at most share the connections of each upstream.
func (s *Set) SetFleetMax(fleetMax int) {
	s.fleetMax = fleetMax
	s.configureLimits()
}

// SetFixedLimits sets whether the in-flight limits are fixed at the connection share instead of adaptive.
func (s *Set) SetFixedLimits(fixed bool) {
	s.fixedLimits = fixed
	s.configureLimits()
}

func (s *Set) configureLimits() {
	fleetMax := s.fleetMax
	if fleetMax < 1 {
		fleetMax = tabler.DefaultFleetMax
	}
	for i := range s.upstreams {
		u := &s.upstreams[i]
		u.limit.Configure(limiter.ConnectionShare(u.Row.Connections, fleetMax), u.Row.Slots)
		u.limit.SetFixed(s.fixedLimits)
	}
}

// Len returns the number of upstreams.
func (s *Set) Len() int { return len(s.upstreams) }

// At returns the upstream at a position, valid until the next Update. The caller must not change it.
func (s *Set) At(i int) *Upstream { return &s.upstreams[i] }

// Index returns the position of an upstream by name.
func (s *Set) Index(name string) (int, bool) {
	i, ok := s.positionByName[name]
	return i, ok
}

// Capacity returns how many concurrent requests with one sub-request in each group the upstreams take from this VM: the
// smallest sum of limits over the groups. Groups whose upstreams all failed lately do not count, unless that holds for
// every group. It is 0 if no upstream is eligible.
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
		capacity, failed = minNonZero(capacity, n), minNonZero(failed, all)
	}
	if capacity == 0 {
		return failed
	}
	return capacity
}

// Room returns how many upstreams may get new work, how many of these have room for another request, and the sum of the in-flight limits of
// those whose declared rate allows one.
func (s *Set) Room(now time.Time) (eligible, free, places int) {
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if !u.Eligible() {
			continue
		}
		eligible++
		if u.nextGrant(now).After(now) {
			continue
		}
		places += u.Limit()
		if u.InFlight < u.Limit() {
			free++
		}
	}
	return eligible, free, places
}

// Unreachable reports whether all upstreams that may get new work have failed or do not respond. It is false if there are none.
func (s *Set) Unreachable(now time.Time) bool {
	eligible := false
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if !u.Eligible() {
			continue
		}
		if !s.avoided(now, u) {
			return false
		}
		eligible = true
	}
	return eligible
}

// LateAfter returns the time after which a reply of the upstream at a position is late.
func (s *Set) LateAfter(i int) time.Duration { return s.lateAfter(&s.upstreams[i]) }

// RecordProbe records that the upstream at a position accepts connections, so that the next trial is due.
func (s *Set) RecordProbe(now time.Time, i int) {
	u := &s.upstreams[i]
	u.trialAt, u.domain.trialAt = now, now
}

// UsualLatency returns the mean latency of the upstreams, 0 before the first reply.
func (s *Set) UsualLatency() time.Duration { return time.Duration(s.latency.mean) }

// minNonZero returns the smaller one of two numbers, where 0 stands for no number.
func minNonZero(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// RecordStart records that a sub-request is sent to the upstream at a position.
func (s *Set) RecordStart(now time.Time, i int) {
	u := &s.upstreams[i]
	if u.domain.unresponsive(now, s.lateAfter(nil)) {
		u.domain.postponeTrial(now)
	}
	if s.avoided(now, u) {
		u.recordFailure(now)
	}
	if u.quota != nil {
		u.quota.Use(now)
	}
	if u.IsCold(now) {
		u.warmup.quota.Use(now)
	}
	u.addStart(now)
	u.domain.recordStart(now, u.serial)
}

// HasReplied reports whether this VM has had a reply from an upstream. Before the first one it does not know what the upstream declares.
func (s *Set) HasReplied(i int) bool { return !s.upstreams[i].lastReply.IsZero() }

// MissReply reports whether the reply of the upstream at a position to a request sent at a time need not be awaited: this VM has heard from the
// upstream since, or has missed only few replies since it last did. Else what the upstream declares would remain unknown.
func (s *Set) MissReply(i int, sent time.Time) bool {
	u := &s.upstreams[i]
	switch {
	case u.lastReply.After(sent):
		return true
	case u.unheard >= maxUnheard:
		return false
	default:
		u.unheard++
		return true
	}
}

// RecordResult records the end of a sub-request to the upstream at a position.
func (s *Set) RecordResult(now time.Time, i int, r Result) {
	u := &s.upstreams[i]
	inFlight, lateAfter := u.InFlight, s.lateAfter(u)
	start := u.removeStart(now, r.Latency)
	unanswered := u.lastReply.Before(start)
	switch r.Kind {
	case OK:
		u.recordReply(now, s.coldTime)
		u.domain.recordReply()
		u.recordSuccess(now)
		u.latency.add(now, r.Latency)
		s.latency.add(now, r.Latency)
		if r.Usual > 0 {
			s.usual.add(now, r.Usual)
		}
		u.limit.RecordSuccess(inFlight, u.Load.Queued)
	case Shed:
		u.recordReply(now, s.coldTime)
		u.domain.recordReply()
		u.recordError(now)
		u.shedUntil = later(u.shedUntil, now.Add(minShedPause))
		u.limit.RecordOverload(now)
	case Refused, Reset:
		// The host of the upstream responded, so this does not count against the failure domain.
		u.domain.removeStart(start, u.serial)
		u.recordError(now)
		if unanswered {
			u.recordFailure(now)
			u.refused = r.Kind == Refused
		}
	case TimedOut:
		u.recordError(now)
		u.limit.RecordOverload(now)
		s.recordMissed(now, u, unanswered)
	case Cancelled:
		if r.Latency <= lateAfter {
			u.domain.removeStart(start, u.serial)
			return
		}
		s.recordMissed(now, u, unanswered)
	case Unattributed:
		u.domain.removeStart(start, u.serial)
	case Errored:
		u.recordReply(now, s.coldTime)
		u.domain.recordReply()
		u.recordError(now)
	}
}

// recordMissed counts a sub-request that ended late, unless the upstream has replied to another one since its start: then
// the sub-request was slow, but the upstream works.
func (s *Set) recordMissed(now time.Time, u *Upstream, unanswered bool) {
	if !unanswered {
		return
	}
	u.missed++
	if u.missed >= unresponsiveMissed || u.failed {
		u.recordFailure(now)
	}
}

// ObserveReply records the state that an upstream reported on any reply. It reports whether the upstream has a new incarnation
// and whether it started or stopped draining. It does not end a failure, because an upstream may answer pings but no requests.
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
	u.Load, u.loadReportedAt = r.Load, now
	u.otherVMsLoad = max(0, r.Load.Running+r.Load.Queued-u.InFlight)
	if len(r.Held) > 0 {
		u.Held = r.Held
	}
	if r.Status == encoder.StatusShed {
		hint := time.Duration(r.RetryAfterMS) * time.Millisecond
		u.shedUntil = now.Add(min(max(hint, minShedPause), maxShedPause))
	}
	if u.refused {
		// The upstream accepts connections again, so its next trial need not be delayed.
		u.refused, u.trialAt, u.trialDelay = false, now, 0
	}
	return restarted, drainChanged
}

// setIncarnation records a new incarnation and clears Leaving if that applied to an older one. Unless the previous incarnation
// was unknown, the upstream counts as starting, and its latency and Draining are cleared.
func (s *Set) setIncarnation(now time.Time, u *Upstream, incarnation uint64) {
	if u.Incarnation != 0 {
		u.rampStart = now
		u.Draining = false
		u.latency = latencyAverage{}
	}
	if u.leavingIncarnation < incarnation {
		u.Leaving = false
	}
	u.Incarnation = incarnation
	s.checkQuota(u)
	s.checkNotice(u)
}

// RecordReturn records that the upstream at a position gets requests again after a time without any, so that it may be as slow as one that starts.
func (s *Set) RecordReturn(now time.Time, i int) {
	u := &s.upstreams[i]
	u.rampStart, u.latency = now, latencyAverage{}
}

// SetLeaving records whether an upstream gets no new work, as reported by a source other than itself. A report about an
// incarnation that is already replaced is ignored.
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

// SetStartTime records when an upstream started. The time stands for the incarnation of an upstream whose replies do not contain
// one. The zero time is ignored.
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
	u.Load.Running, u.Load.Queued, u.loadReportedAt = running, queued, now
	u.otherVMsLoad = max(0, running+queued-u.InFlight)
}

// SetPeerRating records the share of errors and the mean latency of an upstream as seen by other VMs. A latency of 0 means
// unknown.
func (s *Set) SetPeerRating(now time.Time, i int, errors float64, latency time.Duration) {
	u := &s.upstreams[i]
	u.reportedErrors, u.reportedLatency, u.reportedAt = min(max(errors, 0), 1), latency, now
}

// SetOpenConnections records the number of usable open connections to an upstream.
func (s *Set) SetOpenConnections(_ time.Time, i int, open int) { s.upstreams[i].OpenConnections = open }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
