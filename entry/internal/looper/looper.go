// Package looper runs the routing loop: the one goroutine that owns the router machine.
//
// Everything else reaches the machine through bounded channels. The loop never waits for anything but its channels, so a
// slow caller, peer or upstream cannot delay the requests of others. A full channel is an outcome that the sender handles.
package looper

import (
	"sync/atomic"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/router/tracer"
	"comfreyroute/core/protocol/encoder"
)

// Capacities of the channels of the loop.
const (
	EventCapacity   = 8192 // events of the transport; a connection waits while it is full
	arrivalCapacity = 512  // requests of callers; a request is rejected while it is full
	postedCapacity  = 256  // table, membership and peers
	inspectCapacity = 16
)

// Machine is the decision code that the loop runs.
type Machine interface {
	Step(now time.Time, ev router.Event) []router.Action
}

// Transport carries out the actions that concern upstreams. Do never blocks; an event that it returns ends a Send.
type Transport interface {
	Do(a router.Action) router.Event
}

// Spreader tells the peers about a suspicion or a draining upstream. It never blocks and returns a channel that is closed
// when the peers know, or when waiting for them longer is not worthwhile.
type Spreader interface {
	Spread(a router.Action) <-chan struct{}
}

// Answer ends a request. Exactly one of Search and Point is set.
type Answer struct {
	Search *encoder.SearchAnswer
	Point  *encoder.CallAnswer
	// Spread is closed when the peers know what this request has shown about upstreams; nil means that nothing was shown.
	Spread <-chan struct{}
}

// spreadWait bounds how long an answer waits for the peers to hear of a suspicion.
const spreadWait = 20 * time.Millisecond

// AwaitSpread waits until the peers have heard what the request has shown, but only for a short time.
func (a *Answer) AwaitSpread() {
	if a.Spread == nil {
		return
	}
	t := time.NewTimer(spreadWait)
	defer t.Stop()
	select {
	case <-a.Spread:
	case <-t.C:
	}
}

// arrival is a request or the departure of its caller. Both use one channel, so that a departure never overtakes its request.
type arrival struct {
	event  router.RequestArrived
	answer chan<- Answer // nil for a departure
}

// Loop is the routing loop.
type Loop struct {
	Machine     Machine
	Transport   Transport
	Spreader    Spreader              // may be nil
	Trace       *tracer.Recorder      // may be nil
	Observe     func(a router.Action) // sees each action; may be nil
	Events      <-chan router.Event   // of the transport
	arrivals    chan arrival
	posted      chan router.Event
	inspect     chan func(Machine)
	quit        chan struct{}
	done        chan struct{}
	lastRequest atomic.Uint64
	inFlight    atomic.Int64
	waiters     map[router.RequestID]chan<- Answer
	timer       *time.Timer
	spreadDone  <-chan struct{}
	queue       []router.Event
	clock       clock
}

// clock gives times that are derived from one reading of the wall clock and carry no monotonic reading. A trace holds such
// times only, and a step of the wall clock must not reach the machine.
type clock struct{ process, machine time.Time }

func newClock() clock {
	now := time.Now()
	return clock{now, now.Round(0)}
}

// toMachine converts a time of the process to a time of the machine, and out converts it back. Zero stays zero.
func (c clock) toMachine(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return c.machine.Add(t.Sub(c.process))
}

func (c clock) toProcess(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return c.process.Add(t.Sub(c.machine))
}

// Start starts the loop.
func (l *Loop) Start() {
	l.arrivals = make(chan arrival, arrivalCapacity)
	l.posted = make(chan router.Event, postedCapacity)
	l.inspect = make(chan func(Machine), inspectCapacity)
	l.quit = make(chan struct{})
	l.done = make(chan struct{})
	l.waiters = map[router.RequestID]chan<- Answer{}
	l.timer = time.NewTimer(time.Hour)
	l.clock = newClock()
	go l.run()
}

// Submit hands in a request and returns its id and the channel of its answer. It returns false when the loop is full.
func (l *Loop) Submit(ev router.RequestArrived) (router.RequestID, <-chan Answer, bool) {
	ev.Request = router.RequestID(l.lastRequest.Add(1))
	ev.Deadline = l.clock.toMachine(ev.Deadline)
	answer := make(chan Answer, 1)
	l.inFlight.Add(1)
	select {
	case l.arrivals <- arrival{ev, answer}:
		return ev.Request, answer, true
	default:
		l.inFlight.Add(-1)
		return ev.Request, nil, false
	}
}

// AbandonRequest tells that the caller of a request no longer waits. It waits while the loop is full.
func (l *Loop) AbandonRequest(r router.RequestID) {
	select {
	case l.arrivals <- arrival{event: router.RequestArrived{Request: r}}:
	case <-l.quit:
	}
}

// Post hands in an event that is no request. It waits while the channel is full and must not be called by the loop.
func (l *Loop) Post(ev router.Event) {
	if s, ok := ev.(router.SuspicionHeard); ok {
		s.Expires, s.NextProbe = l.clock.toMachine(s.Expires), l.clock.toMachine(s.NextProbe)
		ev = s
	}
	select {
	case l.posted <- ev:
	case <-l.quit:
	}
}

// Inspect runs f with the machine on the loop and waits for it. It returns false when the loop is full or stopped.
func (l *Loop) Inspect(f func(Machine)) bool {
	ran := make(chan struct{})
	select {
	case l.inspect <- func(m Machine) { f(m); close(ran) }:
	default:
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.quit:
		return false
	}
}

// InFlight returns how many requests have no answer yet.
func (l *Loop) InFlight() int { return int(l.inFlight.Load()) }

// Stop ends the loop. Requests without an answer never get one.
func (l *Loop) Stop() { close(l.quit) }

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

func (l *Loop) run() {
	defer close(l.done)
	defer l.timer.Stop()
	for {
		select {
		case ev := <-l.Events:
			l.step(ev)
		case ev := <-l.posted:
			l.step(ev)
		case a := <-l.arrivals:
			if a.answer == nil {
				l.abandon(a.event.Request)
				continue
			}
			l.waiters[a.event.Request] = a.answer
			l.step(a.event)
		case <-l.timer.C:
			l.step(router.TimerFired{})
		case f := <-l.inspect:
			f(l.Machine)
		case <-l.quit:
			return
		}
	}
}

// abandon forgets a request whose caller is gone. The machine answers it nevertheless or not at all; nobody waits for it.
func (l *Loop) abandon(r router.RequestID) {
	if _, ok := l.waiters[r]; !ok {
		return
	}
	delete(l.waiters, r)
	l.inFlight.Add(-1)
	l.step(router.CallerGone{Request: r})
}

// step passes an event to the machine and carries out what it decides, until nothing follows from it.
func (l *Loop) step(ev router.Event) {
	l.queue = append(l.queue[:0], ev)
	for i := 0; i < len(l.queue); i++ {
		now := l.clock.toMachine(time.Now())
		actions := l.Machine.Step(now, l.queue[i])
		if l.Trace != nil {
			l.Trace.Record(now, l.queue[i], actions)
		}
		// Suspicions reach the peers before the answers of the same step reach the callers.
		for _, a := range actions {
			l.spread(a)
		}
		for _, a := range actions {
			if follows := l.execute(now, a); follows != nil {
				l.queue = append(l.queue, follows)
			}
		}
	}
	clear(l.queue)
}

func (l *Loop) spread(a router.Action) {
	if l.Spreader == nil {
		return
	}
	switch a := a.(type) {
	case router.SpreadSuspicion:
		a.Expires, a.NextProbe = l.clock.toProcess(a.Expires), l.clock.toProcess(a.NextProbe)
		l.spreadDone = l.Spreader.Spread(a)
	case router.SpreadDrain:
		l.spreadDone = l.Spreader.Spread(a)
	}
}

func (l *Loop) execute(now time.Time, a router.Action) router.Event {
	if l.Observe != nil {
		l.Observe(a)
	}
	switch a := a.(type) {
	case router.AnswerSearch:
		l.deliverAnswer(a.Request, Answer{Search: a.Answer})
	case router.AnswerPoint:
		l.deliverAnswer(a.Request, Answer{Point: a.Answer})
	case router.Wake:
		l.timer.Reset(a.At.Sub(now))
	case router.Send:
		a.Deadline = l.clock.toProcess(a.Deadline)
		return l.Transport.Do(a)
	case router.Cancel, router.Probe, router.Pool:
		return l.Transport.Do(a)
	}
	return nil
}

func (l *Loop) deliverAnswer(r router.RequestID, a Answer) {
	answer, ok := l.waiters[r]
	if !ok {
		return
	}
	delete(l.waiters, r)
	l.inFlight.Add(-1)
	a.Spread = l.spreadDone
	answer <- a // has room for the one answer
}
