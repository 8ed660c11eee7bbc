// Package claimrunner runs the claimer machine, which executes non-idempotent calls at most once.
//
// One goroutine owns the machine. Calls to the platform and to peers and dispatched calls run in goroutines of their own, and their
// results return as events. Each of these goroutines belongs to a call that the machine holds, so the machine's limits bound their
// number.
package claimrunner

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
	answerGrace     = time.Second // wait after the deadline for the answer to a dispatched call
)

// Loop is the routing loop, to which calls are dispatched.
type Loop interface {
	SubmitRequest(router.RequestArrived) (router.RequestID, <-chan looper.Answer, bool)
}

// Runner runs the claimer machine. Its exported fields must be set before Start.
type Runner struct {
	Machine       claimer.Machine
	KVClient      *kvclient.Client
	Pacer         pacer.Pacer // limits the calls to the platform
	Loop          Loop
	Log           *zap.Logger
	Peer          func(vm string) exchanger.DRPCPeersClient // returns nil when the VM's address is unknown
	RecordContact func(sent time.Time)                      // reports that the platform answered a call sent at the given time
	Sweep         Sweep

	arrivals   chan claimer.Event
	results    chan claimer.Event
	lastCallID atomic.Uint64
	waiters    sync.Map // maps claimer.CallID to chan Answer
	inFlight   atomic.Int64
	context    context.Context
	stop       context.CancelFunc
	workers    sync.WaitGroup
	done       chan struct{}
}

// Answer is the answer to an event passed to AwaitAnswer. Exactly one field is set.
type Answer struct {
	Call    *claimer.AnswerCall
	Tickets *claimer.AnswerTickets
	Lookup  *claimer.LookupResult
}

// Init creates the channels, so that other components can use the runner before Start.
func (cr *Runner) Init() {
	cr.arrivals = make(chan claimer.Event, arrivalCapacity)
	cr.results = make(chan claimer.Event, resultCapacity)
	cr.context, cr.stop = context.WithCancel(context.Background())
	cr.done = make(chan struct{})
}

// Start starts the goroutines. Init must be called first.
func (cr *Runner) Start() {
	cr.workers.Go(func() { cr.runSweeps(cr.context) })
	go cr.run()
}

// Stop stops the runner and cancels its calls.
func (cr *Runner) Stop() { cr.stop() }

// Done returns a channel that is closed when all goroutines of the runner have ended.
func (cr *Runner) Done() <-chan struct{} { return cr.done }

// InFlight returns the number of calls that are being claimed, are running or have an outcome to record.
func (cr *Runner) InFlight() int { return int(cr.inFlight.Load()) }

// StartShutdown makes the machine dispatch no further calls, because the VM is shutting down.
func (cr *Runner) StartShutdown() {
	select {
	case cr.results <- claimer.ShutdownStarted{}:
	case <-cr.context.Done():
	}
}

// AwaitAnswer posts the event that newEvent returns for a new call ID and waits for the answer. It returns false when the queue is
// full, the context ends or the runner stops.
func (cr *Runner) AwaitAnswer(ctx context.Context, newEvent func(claimer.CallID) claimer.Event) (Answer, bool) {
	id := claimer.CallID(cr.lastCallID.Add(1))
	answers := newAnswers()
	cr.waiters.Store(id, answers)
	defer cr.waiters.Delete(id)
	select {
	case cr.arrivals <- newEvent(id):
	default:
		return Answer{}, false
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		select {
		case cr.results <- claimer.CallerGone{Call: id}:
		case <-cr.context.Done():
		}
		return Answer{}, false
	case <-cr.done:
		return Answer{}, false
	}
}

func newAnswers() chan Answer { return make(chan Answer, 1) }

func (cr *Runner) run() {
	defer close(cr.done)
	defer cr.workers.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var ev claimer.Event
		select {
		case ev = <-cr.results:
		case ev = <-cr.arrivals:
		case <-timer.C:
			ev = claimer.TimerFired{}
		case <-cr.context.Done():
			return
		}
		now := time.Now()
		actions := cr.Machine.Step(now, ev)
		_, active := cr.Machine.InFlight()
		cr.inFlight.Store(int64(active))
		for _, a := range actions {
			if w, ok := a.(claimer.Wake); ok {
				timer.Reset(w.At.Sub(now))
				continue
			}
			cr.execute(now, a)
		}
	}
}

func (cr *Runner) execute(now time.Time, a claimer.Action) {
	switch a := a.(type) {
	case claimer.CreateClaim:
		cr.createClaim(now, a)
	case claimer.ReadClaim:
		cr.readClaim(now, a)
	case claimer.WriteOutcome:
		cr.writeOutcome(now, a)
	case claimer.QueryHolder:
		cr.runAsync(func(ctx context.Context) claimer.Event { return cr.queryHolder(ctx, a) })
	case claimer.ForwardCall:
		cr.runAsync(func(ctx context.Context) claimer.Event { return cr.forwardCall(ctx, a) })
	case claimer.DispatchCall:
		cr.dispatchCall(a)
	case claimer.AnswerCall:
		cr.deliverAnswer(a.Call, Answer{Call: &a})
	case claimer.AnswerTickets:
		cr.deliverAnswer(a.Call, Answer{Tickets: &a})
	case claimer.LookupResult:
		cr.deliverAnswer(a.Call, Answer{Lookup: &a})
	}
}

func (cr *Runner) deliverAnswer(id claimer.CallID, a Answer) {
	if answers, ok := cr.waiters.Load(id); ok {
		select {
		case answers.(chan Answer) <- a:
		default:
		}
	}
}

// runAsync runs f in a goroutine and posts its result, which is dropped only when the runner stops.
func (cr *Runner) runAsync(f func(context.Context) claimer.Event) {
	cr.workers.Go(func() { cr.postEvent(f(cr.context)) })
}

func (cr *Runner) postEvent(ev claimer.Event) {
	select {
	case cr.results <- ev:
	case <-cr.context.Done():
	}
}

// dispatchCall submits a call to the routing loop and waits for its answer in a goroutine. The call is not cancelled when its caller
// disconnects, because a later attempt with the same key needs its outcome.
func (cr *Runner) dispatchCall(a claimer.DispatchCall) {
	_, answers, ok := cr.Loop.SubmitRequest(router.RequestArrived{
		Caller: a.Caller, Service: a.Service, Kind: encoder.SubCall, Body: a.Body, Deadline: a.Deadline,
	})
	cr.runAsync(func(ctx context.Context) claimer.Event {
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

// NewSecret returns a random string that cannot be guessed.
func NewSecret() string { return rand.Text() }
