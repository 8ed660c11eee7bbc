package forwarder

import (
	"math/rand/v2"
	"time"

	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/coordination/scheduler"
)

// Machine is the state machine of the requests of one VM. The zero value is usable and knows no manifest. It is not safe for
// concurrent use.
type Machine struct {
	Config Config // not changed after the first Step

	book        reporter.Collector
	random      *rand.Rand
	manifest    *Manifest
	fleet       int // VMs, 0 when not known
	services    map[string]*service
	policies    map[string]*policy
	requests    map[RequestID]*request
	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	timers      scheduler.Queue[*request]
	wake        time.Time // time of the last Wake that did not fire yet
	actions     []Action
}

// Step applies one event and returns the actions to carry out, in order. The slice is valid until the next Step. Events come
// with times that do not decrease.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.start()
	m.actions = m.actions[:0]
	switch e := ev.(type) {
	case ManifestAdopted:
		m.adopt(now, e.Manifest)
	case UpstreamsListed:
		m.list(now, e.Upstreams)
	case FleetResized:
		m.resize(now, e.VMs)
	case UpstreamsRated:
		m.rate(now, e.Ratings)
	case RequestArrived:
		m.arrive(now, e)
	case CallerGone:
		if r := m.requests[e.Request]; r != nil {
			m.abandon(r)
		}
	case AttemptEnded:
		m.ended(now, e)
	case TimerFired:
		m.wake = time.Time{}
	}
	for len(m.timers) > 0 && !m.timers[0].due.After(now) {
		m.look(now, m.timers[0])
	}
	m.armWake(now)
	return m.actions
}

// start makes the zero value usable.
func (m *Machine) start() {
	if m.random != nil {
		return
	}
	m.random = rand.New(rand.NewPCG(m.Config.Seed, m.Config.Seed))
	m.requests = map[RequestID]*request{}
	m.attempts = map[AttemptID]*attempt{}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// PendingRequests returns how many requests have no answer yet.
func (m *Machine) PendingRequests() int { return len(m.requests) }

// TakeReports returns what attempts have shown about upstreams since the last call.
func (m *Machine) TakeReports() []reporter.Report { return m.book.TakeReports() }

// armWake asks for a timer when the next due time is earlier than the one asked for.
func (m *Machine) armWake(now time.Time) {
	if len(m.timers) == 0 {
		return
	}
	next := m.timers[0].due
	if m.wake.IsZero() || !m.wake.After(now) || next.Before(m.wake) {
		m.wake = next
		m.emit(Wake{At: next})
	}
}
