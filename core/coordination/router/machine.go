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
	// choreInterval is how often attempts without a reported end and upstreams without work are looked for.
	choreInterval = time.Second
	// fixedSeed seeds the generator of a machine that got none.
	fixedSeed = 1
)

// Machine is the query state machine of one VM. The zero value is usable and knows no service until TableAdopted. It is not
// safe for concurrent use.
type Machine struct {
	config     Config
	random     *rand.Rand
	table      *tabler.Snapshot
	services   []*service // in order of first adoption, so that iteration is deterministic
	byName     map[string]*service
	requests   map[RequestID]*request
	attempts   attempts
	timers     scheduler.Queue[*request]
	chore      time.Time
	wake       time.Time // time of the last Wake that did not fire yet
	actions    []Action
	ready      []readyQueue
	touched    []*service
	marks      marks
	quarantine quarantiner.Machine
	trials     []trial
	stats      Stats
}

// Step applies one event and returns the actions to carry out, in order. Events come with times that do not decrease.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	if m.random == nil {
		m.random = rand.New(rand.NewPCG(fixedSeed, fixedSeed))
	}
	if m.requests == nil {
		m.requests = make(map[RequestID]*request)
	}
	m.apply(now, ev)
	m.fireTimers(now)
	for len(m.ready) > 0 || len(m.touched) > 0 {
		m.runQueues(now)
		m.runAdmission(now)
	}
	m.armWake(now)
	out := m.actions
	m.actions = nil
	return out
}

// grow makes room for n more actions at once.
func (m *Machine) grow(n int) { m.actions = slices.Grow(m.actions, n+1) }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) apply(now time.Time, ev Event) {
	switch e := ev.(type) {
	case TableAdopted:
		m.adopt(now, e.Table)
	case RequestArrived:
		m.arrive(now, e)
	case CallerGone:
		if r := m.requests[e.Request]; r != nil {
			m.abandon(now, r)
		}
	case ReplyArrived:
		m.replied(now, e)
	case AttemptFailed:
		m.attemptFailed(now, e)
	case UpstreamSeen:
		if s := m.find(e.Service); s != nil && e.Reply != nil {
			if i, ok := s.set.Index(e.Reply.Upstream); ok {
				m.seen(now, s, i, e.Reply)
			}
		}
	case UpstreamUnreachable:
		if s, i := m.upstream(e.Service, e.Upstream); i >= 0 {
			m.unreachable(now, s, i, e.Refused)
		}
	case ConnectionsChanged:
		if s, i := m.upstream(e.Service, e.Upstream); i >= 0 {
			s.set.SetOpenConnections(now, i, e.Open)
			m.drain(s, s.groupOf(i))
		}
	case UpstreamLeaving:
		if s, i := m.upstream(e.Service, e.Upstream); i >= 0 {
			s.set.SetLeaving(now, i, e.Incarnation, e.Leaving)
			m.refresh(now, s, i)
		}
	case SuspicionHeard:
		m.quarantine.ReceiveSuspicion(now, quarantiner.Suspicion(e))
		m.spread()
	case FleetSeen:
		m.quarantine.SetMembers(e.VMs)
	case TimerFired:
		m.wake = time.Time{}
	}
}

// upstream returns the index of an upstream, -1 when the table does not have it.
func (m *Machine) upstream(service, name string) (*service, int) {
	s := m.find(service)
	if s == nil {
		return nil, -1
	}
	i, ok := s.set.Index(name)
	if !ok {
		return s, -1
	}
	return s, i
}

// replied handles a reply. A reply that nothing waits for still updates the state of its upstream.
func (m *Machine) replied(now time.Time, e ReplyArrived) {
	a := m.attempts.find(e.Attempt)
	if a == nil || e.Reply == nil {
		if a == nil {
			m.stats.LateReplies++
		}
		return
	}
	belongs := e.Reply.Upstream == a.name
	kind := resultOf(e.Reply.Status)
	if !belongs {
		kind = selector.Unattributed
	}
	out := m.end(now, a, kind, endOf(e.Reply.Status))
	if i := out.locate(); belongs && i >= 0 {
		m.observe(now, out.service, i, e.Reply)
	}
	switch r := out.request; {
	case r == nil:
		m.stats.LateReplies++
	case !belongs:
		m.failed(now, &out, failure{reason: reasonMismatched, possiblyRun: true})
	default:
		m.checkReply(now, &out, e.Reply)
	}
	m.drain(out.service, out.group)
}

func resultOf(s encoder.SubStatus) selector.ResultKind {
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

// endOf tells the quarantine whether an upstream ran a request and survived it.
func endOf(s encoder.SubStatus) quarantiner.EndKind {
	if s == encoder.StatusOK || s == encoder.StatusError {
		return quarantiner.EndReplied
	}
	return quarantiner.EndOther
}

func (m *Machine) attemptFailed(now time.Time, e AttemptFailed) {
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
	how := quarantiner.EndOther
	if e.Failure == FailureReset && e.Written {
		how = quarantiner.EndReset
	}
	out := m.end(now, a, kind, how)
	if out.upstream >= 0 {
		switch e.Failure {
		case FailureRefused:
			m.refused(now, out.service, out.name)
		case FailureReset, FailureUnresponsive:
			m.probe(now, out.service, out.upstream)
		}
	}
	if out.request != nil {
		m.failed(now, &out, failure{
			reason: reasonOf(e.Failure), possiblyRun: e.Written, unsent: !e.Written, busy: e.Failure == FailureNoConnection && !e.Written,
			lost: e.Failure == FailureUnresponsive && out.request.kind != encoder.SubCall,
		})
	}
	m.drain(out.service, out.group)
}

func reasonOf(f Failure) string {
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

func (m *Machine) fireTimers(now time.Time) {
	for len(m.timers) > 0 && !m.timers[0].due.After(now) {
		m.expire(now, m.timers[0])
	}
	if !m.chore.IsZero() && !m.chore.After(now) {
		m.reap(now)
		m.probeStopped(now)
		m.chore = time.Time{}
	}
	if m.chore.IsZero() && len(m.services) > 0 {
		m.chore = now.Add(choreInterval)
	}
}

// probeStopped asks for the state of the upstreams that get no work, so that they are seen when they are back.
func (m *Machine) probeStopped(now time.Time) {
	for _, s := range m.services {
		for i := range s.set.Len() {
			if u := s.set.At(i); u.Row.Weight > 0 && !u.Eligible() {
				m.probe(now, s, i)
			}
		}
	}
}

// armWake asks for a timer when the next due time is earlier than the one asked for. A later due time needs no new Wake:
// the earlier one fires once without effect.
func (m *Machine) armWake(now time.Time) {
	next := m.chore
	if len(m.timers) > 0 && (next.IsZero() || m.timers[0].due.Before(next)) {
		next = m.timers[0].due
	}
	if next.IsZero() {
		return
	}
	if m.wake.IsZero() || !m.wake.After(now) || next.Before(m.wake) {
		m.wake = next
		m.emit(Wake{At: next})
	}
}

func sortPools(p []Pool) {
	slices.SortFunc(p, func(a, b Pool) int { return strings.Compare(a.Upstream, b.Upstream) })
}
