// Package booker runs the claims concern: the one goroutine that owns the claimer machine.
//
// Platform calls, questions to peers and dispatched calls run on goroutines of their own and come back as events. Each of
// them belongs to a call that the machine holds, so that their number is bounded by the machine's limits.
package booker

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/coordination/pacer"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/protocol/exchanger"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/entry/internal/looper"
)

const (
	arrivalCapacity = 512
	resultCapacity  = 1024
	answerGrace     = time.Second // after the deadline, before a dispatched call without an answer is given up
)

// Loop dispatches calls.
type Loop interface {
	Submit(router.RequestArrived) (router.RequestID, <-chan looper.Answer, bool)
}

// Booker is the claims concern. The exported fields are set before Start.
type Booker struct {
	Machine   claimer.Machine
	Keeper    *kvclient.Client
	Pacer     pacer.Pacer // of the platform calls
	Loop      Loop
	Log       *zap.Logger
	Peer      func(vm string) exchanger.DRPCPeersClient // nil when the address is not known
	Contacted func(sent time.Time)
	Sweep     Sweep

	arrivals chan claimer.Event
	results  chan claimer.Event
	calls    atomic.Uint64
	waiting  sync.Map // claimer.CallID to chan Answer
	busy     atomic.Int64
	context  context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup
	done     chan struct{}
}

// Answer ends the wait of one party. Exactly one field is set.
type Answer struct {
	Call    *claimer.AnswerCall
	Tickets *claimer.AnswerTickets
	Known   *claimer.LookupResult
}

// Prepare makes the channels, so that other concerns may use this one before it starts.
func (b *Booker) Prepare() {
	b.arrivals = make(chan claimer.Event, arrivalCapacity)
	b.results = make(chan claimer.Event, resultCapacity)
	b.context, b.stop = context.WithCancel(context.Background())
	b.done = make(chan struct{})
}

// Start starts the concern after Prepare.
func (b *Booker) Start() {
	b.workers.Go(func() { b.sweep(b.context) })
	go b.run()
}

// Stop ends the concern.
func (b *Booker) Stop() { b.stop() }

// Done is closed when the concern and its workers have ended.
func (b *Booker) Done() <-chan struct{} { return b.done }

// Busy returns how many calls claim, run or have an outcome to record.
func (b *Booker) Busy() int { return int(b.busy.Load()) }

// Leave tells the machine that the VM shuts down: nothing new is dispatched.
func (b *Booker) Leave() {
	select {
	case b.results <- claimer.ShutdownStarted{}:
	case <-b.context.Done():
	}
}

// Call hands in an event that make returns for a new call id, and waits for the answer. It returns false when the concern
// is full or when the context ended first.
func (b *Booker) Call(ctx context.Context, make func(claimer.CallID) claimer.Event) (Answer, bool) {
	id := claimer.CallID(b.calls.Add(1))
	answers := newAnswers()
	b.waiting.Store(id, answers)
	defer b.waiting.Delete(id)
	select {
	case b.arrivals <- make(id):
	default:
		return Answer{}, false
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		select {
		case b.results <- claimer.CallerGone{Call: id}:
		case <-b.context.Done():
		}
		return Answer{}, false
	case <-b.done:
		return Answer{}, false
	}
}

func newAnswers() chan Answer { return make(chan Answer, 1) }

func (b *Booker) run() {
	defer close(b.done)
	defer b.workers.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var ev claimer.Event
		select {
		case ev = <-b.results:
		case ev = <-b.arrivals:
		case <-timer.C:
			ev = claimer.TimerFired{}
		case <-b.context.Done():
			return
		}
		now := time.Now()
		actions := b.Machine.Step(now, ev)
		_, busy := b.Machine.InFlight()
		b.busy.Store(int64(busy))
		for _, a := range actions {
			if w, ok := a.(claimer.Wake); ok {
				timer.Reset(w.At.Sub(now))
				continue
			}
			b.carry(now, a)
		}
	}
}

func (b *Booker) carry(now time.Time, a claimer.Action) {
	switch a := a.(type) {
	case claimer.CreateClaim:
		b.claim(now, a)
	case claimer.ReadClaim:
		b.read(now, a)
	case claimer.WriteOutcome:
		b.record(now, a)
	case claimer.QueryHolder:
		b.work(func(ctx context.Context) claimer.Event { return b.ask(ctx, a) })
	case claimer.ForwardCall:
		b.work(func(ctx context.Context) claimer.Event { return b.forward(ctx, a) })
	case claimer.DispatchCall:
		b.dispatch(a)
	case claimer.AnswerCall:
		b.answer(a.Call, Answer{Call: &a})
	case claimer.AnswerTickets:
		b.answer(a.Call, Answer{Tickets: &a})
	case claimer.LookupResult:
		b.answer(a.Call, Answer{Known: &a})
	}
}

func (b *Booker) answer(id claimer.CallID, a Answer) {
	if answers, ok := b.waiting.Load(id); ok {
		select {
		case answers.(chan Answer) <- a:
		default:
		}
	}
}

// work runs something that takes time and posts its result, which is never dropped.
func (b *Booker) work(f func(context.Context) claimer.Event) {
	b.workers.Go(func() { b.post(f(b.context)) })
}

func (b *Booker) post(ev claimer.Event) {
	select {
	case b.results <- ev:
	case <-b.context.Done():
	}
}

// dispatch hands a call to the routing loop and waits for its end. The call is not withdrawn when its caller is gone,
// because a later attempt under the same key needs its outcome.
func (b *Booker) dispatch(a claimer.DispatchCall) {
	_, answers, ok := b.Loop.Submit(router.RequestArrived{
		Caller: a.Caller, Service: a.Service, Kind: encoder.SubCall, Body: a.Body, Deadline: a.Deadline,
	})
	b.work(func(ctx context.Context) claimer.Event {
		if !ok {
			return claimer.RunEnded{RunID: a.RunID, Outcome: encoder.OutcomeNotRun, Reason: "overloaded"}
		}
		t := time.NewTimer(time.Until(a.Deadline) + answerGrace)
		defer t.Stop()
		select {
		case x := <-answers:
			x.AwaitSpread()
			p := x.Point
			return claimer.RunEnded{RunID: a.RunID, Outcome: p.Outcome, Reason: p.Reason, Upstream: p.Upstream, Result: p.Result}
		case <-t.C:
		case <-ctx.Done():
		}
		return claimer.RunEnded{RunID: a.RunID, Outcome: encoder.OutcomeUnknown, Reason: "late"}
	})
}

// Secret returns an unguessable text.
func Secret() string { return rand.Text() }
