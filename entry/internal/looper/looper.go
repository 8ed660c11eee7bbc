// Package looper runs the routing loop: the goroutine that owns the router machine.
//
// All other goroutines reach the machine through bounded channels. The loop blocks on nothing but these channels, so a slow caller,
// peer or upstream cannot delay the requests of others. Senders must handle a full channel.
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
	EventCapacity   = 8192 // events of the transport; a connection blocks while the channel is full
	arrivalCapacity = 512  // requests of callers; a request is rejected while the channel is full
	postedCapacity  = 256  // events about the table, the membership and the peers
	inspectCapacity = 16
)

// Machine is the state machine that the loop runs.
type Machine interface {
	Step(now time.Time, ev router.Event) []router.Action
}

// Transport executes the actions on upstreams. Do never blocks. If it returns an event, the event ends a Send that could not start.
type Transport interface {
	Do(a router.Action) router.Event
}

// Spreader notifies the peers of a suspicion or a draining upstream. SpreadNews never blocks. It returns a channel that is closed
// when the peers have answered or a timeout has passed, or nil when no peer is notified.
type Spreader interface {
	SpreadNews(a router.Action) <-chan struct{}
}

// Answer is the answer to a request. Exactly one of Search and Point is set.
type Answer struct {
	Search *encoder.SearchAnswer
	Point  *encoder.CallAnswer
	// SpreadDone is closed when the latest notification of the peers before this answer has ended. It is nil when there was none.
	SpreadDone <-chan struct{}
}

// spreadWait is the longest time that an answer waits for the notification of the peers.
const spreadWait = 20 * time.Millisecond

// AwaitSpread waits until the notification of the peers has ended, for at most spreadWait.
func (a *Answer) AwaitSpread() {
	if a.SpreadDone == nil {
		return
	}
	t := time.NewTimer(spreadWait)
	defer t.Stop()
	select {
	case <-a.SpreadDone:
	case <-t.C:
	}
}

// arrival is a request, or the message that its caller has disconnected. Both use one channel, so that the message never overtakes
// its request.
type arrival struct {
	event  router.RequestArrived
	answer chan<- Answer // nil when the caller has disconnected
}

// Loop is the routing loop. Its exported fields must be set before Start.
type Loop struct {
	Machine       Machine
	Transport     Transport
	Spreader      Spreader              // may be nil
	Trace         *tracer.Recorder      // may be nil
	ObserveAction func(a router.Action) // is called for each action; may be nil
	Events        <-chan router.Event   // events of the transport
	arrivals      chan arrival
	posted        chan router.Event
	inspect       chan func(Machine)
	quit          chan struct{}
	done          chan struct{}
	lastRequestID atomic.Uint64
	inFlight      atomic.Int64
	waiters       map[router.RequestID]chan<- Answer
	timer         *time.Timer
	spreadDone    <-chan struct{}
	queue         []router.Event
	clock         clock
}

// clock converts between times of the process and times of the machine. The latter are derived from one reading of the wall clock
// and have no monotonic reading, because a trace holds only such times and the machine must not see a step of the wall clock.
type clock struct{ process, machine time.Time }

func newClock() clock {
	now := time.Now()
	return clock{now, now.Round(0)}
}

// toMachine converts a time of the process to a time of the machine. It returns zero for zero.
func (c clock) toMachine(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return c.machine.Add(t.Sub(c.process))
}

// toProcess converts a time of the machine to a time of the process. It returns zero for zero.
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

// SubmitRequest submits a request and returns its ID and the channel that receives its answer. It returns false when the queue is
// full.
func (l *Loop) SubmitRequest(ev router.RequestArrived) (router.RequestID, <-chan Answer, bool) {
	ev.Request = router.RequestID(l.lastRequestID.Add(1))
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

// AbandonRequest reports that the caller of a request has disconnected. It blocks while the queue is full.
func (l *Loop) AbandonRequest(r router.RequestID) {
	select {
	case l.arrivals <- arrival{event: router.RequestArrived{Request: r}}:
	case <-l.quit:
	}
}

// PostEvent posts an event other than a request. It blocks while the channel is full, so the loop itself must not call it.
func (l *Loop) PostEvent(ev router.Event) {
	if s, ok := ev.(router.SuspicionHeard); ok {
		s.Expires, s.NextProbe = l.clock.toMachine(s.Expires), l.clock.toMachine(s.NextProbe)
		ev = s
	}
	select {
	case l.posted <- ev:
	case <-l.quit:
	}
}

// InspectMachine runs f with the machine on the loop and waits for it. It returns false when the queue is full or the loop stops.
func (l *Loop) InspectMachine(f func(Machine)) bool {
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

// InFlight returns the number of requests without an answer.
func (l *Loop) InFlight() int { return int(l.inFlight.Load()) }

// Stop stops the loop. Requests in flight get no answer.
func (l *Loop) Stop() { close(l.quit) }

// Done returns a channel that is closed when the loop has ended.
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
				l.handleCallerGone(a.event.Request)
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

// handleCallerGone removes a request whose caller has disconnected and reports it to the machine. A later answer of the
// machine is dropped.
func (l *Loop) handleCallerGone(r router.RequestID) {
	if _, ok := l.waiters[r]; !ok {
		return
	}
	delete(l.waiters, r)
	l.inFlight.Add(-1)
	l.step(router.CallerGone{Request: r})
}

// step passes an event to the machine and executes the resulting actions. It does the same with the events that the transport
// returns, until there are none left.
func (l *Loop) step(ev router.Event) {
	l.queue = append(l.queue[:0], ev)
	for i := 0; i < len(l.queue); i++ {
		now := l.clock.toMachine(time.Now())
		actions := l.Machine.Step(now, l.queue[i])
		if l.Trace != nil {
			l.Trace.Record(now, l.queue[i], actions)
		}
		// Suspicions are sent to the peers before the answers of the same step are sent to the callers.
		for _, a := range actions {
			l.spreadNews(a)
		}
		for _, a := range actions {
			if result := l.execute(now, a); result != nil {
				l.queue = append(l.queue, result)
			}
		}
	}
	clear(l.queue)
}

func (l *Loop) spreadNews(a router.Action) {
	if l.Spreader == nil {
		return
	}
	switch a := a.(type) {
	case router.SpreadSuspicion:
		a.Expires, a.NextProbe = l.clock.toProcess(a.Expires), l.clock.toProcess(a.NextProbe)
		l.spreadDone = l.Spreader.SpreadNews(a)
	case router.SpreadDrain:
		l.spreadDone = l.Spreader.SpreadNews(a)
	}
}

func (l *Loop) execute(now time.Time, a router.Action) router.Event {
	if l.ObserveAction != nil {
		l.ObserveAction(a)
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
	a.SpreadDone = l.spreadDone
	answer <- a // never blocks, because the channel has room for one answer
}
