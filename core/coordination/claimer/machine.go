package claimer

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Defaults of Config, and the delays of retries.
const (
	defaultKeyRetention        = time.Hour
	defaultMaxClockSkew        = time.Minute
	defaultTicketLifetime      = 10 * time.Minute
	defaultMaxRuns             = 20000
	defaultMaxTickets          = 20000
	defaultMaxTicketsPerCaller = 1000
	defaultDispatchMargin      = 2 * time.Millisecond
	minWriteRetryDelay         = 500 * time.Millisecond
	maxWriteRetryDelay         = 30 * time.Second
	noAnswerRetryAfter         = 100 * time.Millisecond
	refusedRetryAfter          = time.Second
)

// Config configures a Machine. The zero value of each field takes its default, except for VM and Incarnation.
type Config struct {
	VM                  string
	Incarnation         uint64
	KeyRetention        time.Duration // maximum age of a key; older ones are refused
	MaxClockSkew        time.Duration // maximum difference between the clocks of two VMs
	TicketLifetime      time.Duration
	MaxRuns             int           // maximum number of active runs; MaxRuns+MaxTickets runs are kept in memory
	MaxTickets          int           // maximum number of tickets in memory
	MaxTicketsPerCaller int           // maximum number of tickets in memory that one caller requested
	DispatchMargin      time.Duration // minimum time left before the deadline when a call is dispatched
}

func (c Config) withDefaults() Config {
	setDefault(&c.KeyRetention, defaultKeyRetention)
	setDefault(&c.MaxClockSkew, defaultMaxClockSkew)
	setDefault(&c.TicketLifetime, defaultTicketLifetime)
	setDefault(&c.MaxRuns, defaultMaxRuns)
	setDefault(&c.MaxTickets, defaultMaxTickets)
	setDefault(&c.MaxTicketsPerCaller, defaultMaxTicketsPerCaller)
	setDefault(&c.DispatchMargin, defaultDispatchMargin)
	return c
}

func setDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Machine holds the claims and tickets of one incarnation of a VM. The zero value is usable and has an empty VM name.
type Machine struct {
	config          Config
	isConfigured    bool
	isShuttingDown  bool
	runs            map[string]*run // by key or ticket
	activeRuns      map[string]*run // runs that claim, run or have an outcome to record
	waiters         map[CallID]*waiter
	runOrder        []string // keys of runs, oldest first, for eviction
	ticketsByCaller map[string]int
	ticketCount     int
	nextWake        time.Time
}

// Configure sets the configuration. It is called once, before the first Step.
func (m *Machine) Configure(c Config) {
	m.config = c.withDefaults()
	m.isConfigured = true
}

// Step handles one event and returns the actions to perform, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if !m.isConfigured {
		m.Configure(m.config)
	}
	if m.runs == nil {
		m.runs = make(map[string]*run)
		m.activeRuns = make(map[string]*run)
		m.waiters = make(map[CallID]*waiter)
		m.ticketsByCaller = make(map[string]int)
	}
	s := step{m: m, now: now}
	switch e := ev.(type) {
	case CallArrived:
		s.callArrived(e)
	case OutcomeRequested:
		s.outcomeRequested(e)
	case TicketsRequested:
		s.ticketsRequested(e)
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
		s.lookupRequested(e)
	case ShutdownStarted:
		m.isShuttingDown = true
	case TimerFired:
		m.nextWake = time.Time{}
	}
	s.expireWaiters()
	s.scheduleWake()
	return s.actions
}

// InFlight returns the number of calls that wait for an answer, and the number of runs that are being claimed, are running or have
// an outcome that is not recorded yet.
func (m *Machine) InFlight() (waiting, active int) {
	return len(m.waiters), len(m.activeRuns)
}

// step handles one event and collects its actions.
type step struct {
	m       *Machine
	now     time.Time
	actions []Action
}

func (s *step) emit(a Action) { s.actions = append(s.actions, a) }

// waiter is one call that waits for the outcome of a run, or, without a run, for the answer of the VM that issued its ticket.
type waiter struct {
	call     CallID
	run      *run
	deadline time.Time
}

func (s *step) addWaiter(r *run, call CallID, deadline time.Time) {
	s.m.waiters[call] = &waiter{call: call, run: r, deadline: deadline}
	r.waitingCalls = append(r.waitingCalls, call)
}

// callerGone removes a waiting call. A dispatched run goes on, so that a later attempt learns its outcome.
func (s *step) callerGone(e CallerGone) {
	w := s.m.waiters[e.Call]
	if w == nil {
		return
	}
	delete(s.m.waiters, e.Call)
	if w.run != nil {
		w.run.removeWaiter(e.Call)
	}
}

// expireWaiters answers the calls whose deadline has passed and retries the writes of outcomes that are due.
func (s *step) expireWaiters() {
	m := s.m
	var due []*waiter
	for _, w := range m.waiters {
		if !s.now.Before(w.deadline) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(a, b *waiter) int { return cmp.Compare(a.call, b.call) })
	for _, w := range due {
		delete(m.waiters, w.call)
		if w.run != nil {
			w.run.removeWaiter(w.call)
		}
		s.emit(AnswerCall{Call: w.call, Outcome: encoder.OutcomeUnknown, Reason: reasonInProgress, RetryAfter: noAnswerRetryAfter})
	}
	s.retryOutcomeWrites()
}

// scheduleWake requests a wake-up at the earliest deadline or retry, unless it is already set.
func (s *step) scheduleWake() {
	m := s.m
	var next time.Time
	for _, w := range m.waiters {
		next = earlier(next, w.deadline)
	}
	for _, r := range m.activeRuns {
		if !r.retryAt.IsZero() {
			next = earlier(next, r.retryAt)
		}
	}
	if next.IsZero() || next.Equal(m.nextWake) {
		return
	}
	m.nextWake = next
	s.emit(Wake{At: next})
}

// earlier returns the earlier time; a zero a counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
