package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/scheduler"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// maintenanceInterval is how often the machine reaps attempts without a reported end and probes upstreams that are excluded
	// from selection.
	maintenanceInterval = time.Second
	// defaultSeed seeds the random generator when Config.Random is nil.
	defaultSeed = 1
)

// Machine is the state machine of all requests of one VM. The zero value is ready to use and knows no service until it
// receives TableAdopted. It is not safe for concurrent use.
type Machine struct {
	config            Config
	random            *rand.Rand
	table             *tabler.Snapshot
	services          []*service // in order of first adoption, so that iteration is deterministic
	byName            map[string]*service
	requests          map[RequestID]*request
	attempts          attempts
	timers            scheduler.Queue[*request]
	nextMaintenance   time.Time
	wakeAt            time.Time // time of the last Wake action that has not fired yet
	actions           []Action
	readyQueues       []waitQueueRef
	pendingAdmissions []*service
	shardSet          shardSet
	quarantine        quarantiner.Machine
	resetProbes       []resetProbe
	stats             Stats
}

// Step handles one event and returns the actions to perform, in order. The times of successive events must not decrease.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	if m.random == nil {
		m.random = rand.New(rand.NewPCG(defaultSeed, defaultSeed))
	}
	if m.requests == nil {
		m.requests = make(map[RequestID]*request)
	}
	m.handleEvent(now, ev)
	m.runTimers(now)
	for len(m.readyQueues) > 0 || len(m.pendingAdmissions) > 0 {
		m.runWaitQueues(now)
		m.runAdmissions(now)
	}
	m.scheduleWake(now)
	out := m.actions
	m.actions = nil
	return out
}

// reserveActions grows the capacity of the action list by at least n actions.
func (m *Machine) reserveActions(n int) { m.actions = slices.Grow(m.actions, n+1) }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) handleEvent(now time.Time, ev Event) {
	switch e := ev.(type) {
	case TableAdopted:
		m.adoptTable(now, e.Table)
	case RequestArrived:
		m.handleRequest(now, e)
	case CallerGone:
		if r := m.requests[e.Request]; r != nil {
			m.abandonRequest(now, r)
		}
	case ReplyArrived:
		m.handleReply(now, e)
	case AttemptFailed:
		m.handleAttemptFailed(now, e)
	case UpstreamSeen:
		if s := m.findService(e.Service); s != nil && e.Reply != nil {
			if i, ok := s.set.Index(e.Reply.Upstream); ok {
				m.handleUpstreamSeen(now, s, i, e.Reply)
			}
		}
	case UpstreamUnreachable:
		if s, i := m.findUpstream(e.Service, e.Upstream); i >= 0 {
			m.handleUnreachable(now, s, i, e.Refused)
		}
	case ConnectionsChanged:
		if s, i := m.findUpstream(e.Service, e.Upstream); i >= 0 {
			s.set.SetOpenConnections(now, i, e.Open)
			m.scheduleWaitQueue(s, s.groupOf(i))
		}
	case UpstreamLeaving:
		if s, i := m.findUpstream(e.Service, e.Upstream); i >= 0 {
			s.set.SetLeaving(now, i, e.Incarnation, e.Leaving)
			m.refreshUpstream(now, s, i)
		}
	case SuspicionHeard:
		m.quarantine.ReceiveSuspicion(now, quarantiner.Suspicion(e))
		m.spreadSuspicions()
	case FleetSeen:
		m.quarantine.SetMembers(e.VMs)
	case TimerFired:
		m.wakeAt = time.Time{}
	}
}

// findUpstream returns a service, or nil, and the index of an upstream in its set, or -1 if the table does not contain it.
func (m *Machine) findUpstream(service, name string) (*service, int) {
	s := m.findService(service)
	if s == nil {
		return nil, -1
	}
	i, ok := s.set.Index(name)
	if !ok {
		return s, -1
	}
	return s, i
}

// handleReply ends the attempt of a reply. A reply whose request no longer waits still updates the state of its upstream.
func (m *Machine) handleReply(now time.Time, e ReplyArrived) {
	a := m.attempts.find(e.Attempt)
	if a == nil || e.Reply == nil {
		if a == nil {
			m.stats.LateReplies++
		}
		return
	}
	belongs := e.Reply.Upstream == a.name
	kind := resultKind(e.Reply.Status)
	if !belongs {
		kind = selector.Unattributed
	}
	out := m.endAttempt(now, a, kind, endKind(e.Reply.Status))
	if i := out.upstreamIndex(); belongs && i >= 0 {
		m.observeReply(now, out.service, i, e.Reply)
	}
	switch r := out.request; {
	case r == nil:
		m.stats.LateReplies++
	case !belongs:
		m.processFailure(now, &out, failure{reason: reasonMismatched, possiblyRun: true})
	default:
		m.handleMatchedReply(now, &out, e.Reply)
	}
	m.scheduleWaitQueue(out.service, out.group)
}

func resultKind(s encoder.SubStatus) selector.ResultKind {
	switch s {
	case encoder.StatusOK, encoder.StatusVersionNotHeld, encoder.StatusDraining:
		return selector.OK
	case encoder.StatusShed:
		return selector.Shed
	case encoder.StatusCancelled:
		return selector.Cancelled
	case encoder.StatusExpired:
		return selector.TimedOut
	default:
		return selector.Unattributed
	}
}

// endKind returns how an attempt that ended with status s counts for the quarantine: as EndReplied if the upstream ran the
// request without crashing, otherwise as EndOther.
func endKind(s encoder.SubStatus) quarantiner.EndKind {
	if s == encoder.StatusOK || s == encoder.StatusError {
		return quarantiner.EndReplied
	}
	return quarantiner.EndOther
}

func (m *Machine) handleAttemptFailed(now time.Time, e AttemptFailed) {
	a := m.attempts.find(e.Attempt)
	if a == nil {
		return
	}
	kind := selector.Unattributed
	switch e.Failure {
	case FailureRefused:
		kind = selector.Refused
	case FailureReset:
		kind = selector.Reset
	case FailureTimeout:
		kind = selector.TimedOut
	case FailureCancelled:
		kind = selector.Cancelled
	}
	end := quarantiner.EndOther
	if e.Failure == FailureReset && e.Written {
		end = quarantiner.EndReset
	}
	out := m.endAttempt(now, a, kind, end)
	if out.upstream >= 0 {
		switch e.Failure {
		case FailureRefused:
			m.recordRefused(now, out.service, out.name)
		case FailureReset, FailureUnresponsive:
			m.probeUpstream(now, out.service, out.upstream)
		}
	}
	if out.request != nil {
		m.processFailure(now, &out, failure{
			reason: failureReason(e.Failure), possiblyRun: e.Written, unwritten: !e.Written, noConnection: e.Failure == FailureNoConnection && !e.Written,
			lostOnConnection: e.Failure == FailureUnresponsive && out.request.kind != encoder.SubCall,
		})
	}
	m.scheduleWaitQueue(out.service, out.group)
}

func failureReason(f Failure) string {
	switch f {
	case FailureRefused, FailureNoConnection:
		return reasonUnreachable
	case FailureReset:
		return reasonReset
	case FailureUnresponsive:
		return reasonUnresponsive
	case FailureTimeout:
		return reasonTimeout
	case FailureCancelled:
		return reasonCancelled
	default:
		return reasonMismatched
	}
}

func (m *Machine) runTimers(now time.Time) {
	for len(m.timers) > 0 && !m.timers[0].due.After(now) {
		m.handleDue(now, m.timers[0])
	}
	if !m.nextMaintenance.IsZero() && !m.nextMaintenance.After(now) {
		m.reapAttempts(now)
		m.probeExcluded(now)
		m.nextMaintenance = time.Time{}
	}
	if m.nextMaintenance.IsZero() && len(m.services) > 0 {
		m.nextMaintenance = now.Add(maintenanceInterval)
	}
}

// probeExcluded probes the upstreams with a weight that are excluded from selection, so that their recovery is detected.
func (m *Machine) probeExcluded(now time.Time) {
	for _, s := range m.services {
		for i := range s.set.Len() {
			if u := s.set.At(i); u.Row.Weight > 0 && !u.Eligible() {
				m.probeUpstream(now, s, i)
			}
		}
	}
}

// scheduleWake emits a Wake if the next due time is earlier than that of the pending Wake. A later due time needs no new Wake:
// the pending one fires once without effect.
func (m *Machine) scheduleWake(now time.Time) {
	next := m.nextMaintenance
	if len(m.timers) > 0 && (next.IsZero() || m.timers[0].due.Before(next)) {
		next = m.timers[0].due
	}
	if next.IsZero() {
		return
	}
	if m.wakeAt.IsZero() || !m.wakeAt.After(now) || next.Before(m.wakeAt) {
		m.wakeAt = next
		m.emit(Wake{At: next})
	}
}

func sortPools(p []Pool) {
	slices.SortFunc(p, func(a, b Pool) int { return strings.Compare(a.Upstream, b.Upstream) })
}
