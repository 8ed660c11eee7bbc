package claimer

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Defaults of Config.
const (
	defaultRetention  = time.Hour
	defaultClockSkew  = time.Minute
	defaultTicketLife = 10 * time.Minute
	defaultRuns       = 20000
	defaultTickets    = 20000
	defaultPerCaller  = 1000
	defaultMargin     = 2 * time.Millisecond
	minWritePause     = 500 * time.Millisecond
	maxWritePause     = 30 * time.Second
	noAnswerPause     = 100 * time.Millisecond
	busyRetryAfter    = time.Second
)

// Config sets up a machine. The zero value of each field takes its default, except for VM and Incarnation.
type Config struct {
	VM                  string
	Incarnation         uint64
	KeyRetention        time.Duration // a key older than this is refused
	MaxClockSkew        time.Duration // largest difference between the clocks of two VMs
	TicketLifetime      time.Duration
	MaxRuns             int           // calls remembered in memory
	MaxTickets          int           // tickets issued and not yet forgotten
	MaxTicketsPerCaller int           // tickets issued to one caller and not yet forgotten
	DispatchMargin      time.Duration // least time before the deadline at which a call is still dispatched
}

func (c Config) withDefaults() Config {
	setDefault(&c.KeyRetention, defaultRetention)
	setDefault(&c.MaxClockSkew, defaultClockSkew)
	setDefault(&c.TicketLifetime, defaultTicketLife)
	setDefault(&c.MaxRuns, defaultRuns)
	setDefault(&c.MaxTickets, defaultTickets)
	setDefault(&c.MaxTicketsPerCaller, defaultPerCaller)
	setDefault(&c.DispatchMargin, defaultMargin)
	return c
}

func setDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Machine holds the claims and tickets of one incarnation of a VM. The zero value works and has an empty VM name.
type Machine struct {
	config  Config
	set     bool
	leaving bool
	runs    map[string]*run    // by run name: key or ticket
	busy    map[string]*run    // runs that claim, run or have an outcome to record
	calls   map[CallID]*waiter // waiting parties
	order   []string           // run names, oldest first, for forgetting
	issued  map[string]int     // tickets by caller
	tickets int
	wake    time.Time
}

// Configure sets the configuration. It is called once, before the first Step.
func (m *Machine) Configure(c Config) {
	m.config = c.withDefaults()
	m.set = true
}

// Step takes one event and returns what is to be done. Actions are in the order in which they are to be carried out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if !m.set {
		m.Configure(m.config)
	}
	if m.runs == nil {
		m.runs = make(map[string]*run)
		m.busy = make(map[string]*run)
		m.calls = make(map[CallID]*waiter)
		m.issued = make(map[string]int)
	}
	s := step{m: m, now: now}
	switch e := ev.(type) {
	case CallArrived:
		s.callArrived(e)
	case OutcomeRequested:
		s.outcomeAsked(e)
	case TicketsRequested:
		s.ticketsAsked(e)
	case ClaimWritten:
		s.claimWritten(e)
	case ClaimRead:
		s.claimRead(e)
	case OutcomeWritten:
		s.outcomeWritten(e)
	case RunEnded:
		s.runEnded(e)
	case HolderAnswered:
		s.holderAnswered(e)
	case ForwardEnded:
		s.forwardEnded(e)
	case CallerGone:
		s.callerGone(e)
	case LookupRequested:
		s.lookedUp(e)
	case ShutdownStarted:
		m.leaving = true
	case TimerFired:
		m.wake = time.Time{}
	}
	s.expire()
	s.schedule()
	return s.actions
}

// InFlight returns how many parties wait and how many calls claim, run or have an outcome that is not recorded yet.
func (m *Machine) InFlight() (waiting, busy int) {
	return len(m.calls), len(m.busy)
}

// step collects the actions of one event.
type step struct {
	m       *Machine
	now     time.Time
	actions []Action
}

func (s *step) do(a Action) { s.actions = append(s.actions, a) }

// waiter is one party that waits for the outcome of a run.
type waiter struct {
	call     CallID
	run      *run
	deadline time.Time
}

func (s *step) wait(r *run, call CallID, deadline time.Time) {
	s.m.calls[call] = &waiter{call: call, run: r, deadline: deadline}
	r.waiting = append(r.waiting, call)
}

// callerGone forgets a waiting party. A call that was dispatched goes on, so that its outcome is known to a later attempt.
func (s *step) callerGone(e CallerGone) {
	w := s.m.calls[e.Call]
	if w == nil {
		return
	}
	delete(s.m.calls, e.Call)
	if w.run != nil {
		w.run.forget(e.Call)
	}
}

// expire answers parties whose deadline has passed and repeats writes of outcomes that are due.
func (s *step) expire() {
	m := s.m
	var due []*waiter
	for _, w := range m.calls {
		if !s.now.Before(w.deadline) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(a, b *waiter) int { return cmp.Compare(a.call, b.call) })
	for _, w := range due {
		delete(m.calls, w.call)
		if w.run != nil {
			w.run.forget(w.call)
		}
		s.do(AnswerCall{Call: w.call, Outcome: encoder.OutcomeUnknown, Reason: reasonInProgress, RetryAfter: noAnswerPause})
	}
	s.retryWrites()
}

// schedule asks for the next wake-up when it differs from the one that is set.
func (s *step) schedule() {
	m := s.m
	var next time.Time
	for _, w := range m.calls {
		next = earlier(next, w.deadline)
	}
	for _, r := range m.busy {
		if !r.retryAt.IsZero() {
			next = earlier(next, r.retryAt)
		}
	}
	if next.IsZero() || next.Equal(m.wake) {
		return
	}
	m.wake = next
	s.do(Wake{At: next})
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
