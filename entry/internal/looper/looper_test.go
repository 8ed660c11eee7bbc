package looper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeMachine returns fixed actions for each kind of event and records the events.
type fakeMachine struct {
	hold    chan struct{} // Step blocks until it is closed
	arrived []router.Action
	failed  []router.Action
	seen    []router.Event
}

func (s *fakeMachine) Step(_ time.Time, ev router.Event) []router.Action {
	if s.hold != nil {
		<-s.hold
	}
	s.seen = append(s.seen, ev)
	switch ev.(type) {
	case router.RequestArrived:
		return s.arrived
	case router.AttemptFailed:
		return s.failed
	}
	return nil
}

// refusingTransport is a transport on which every Send fails.
type refusingTransport struct{}

func (refusingTransport) Do(a router.Action) router.Event {
	if s, ok := a.(router.Send); ok {
		return router.AttemptFailed{Attempt: s.Attempt, Failure: router.FailureNoConnection}
	}
	return nil
}

// fakeSpreader is a spreader that notifies the peers at once.
type fakeSpreader struct{ spread []router.Action }

func (t *fakeSpreader) SpreadNews(a router.Action) <-chan struct{} {
	t.spread = append(t.spread, a)
	notified := make(chan struct{})
	close(notified)
	return notified
}

func start(t *testing.T, m *fakeMachine, s Spreader) *Loop {
	t.Helper()
	l := &Loop{Machine: m, Transport: refusingTransport{}, Spreader: s, Events: make(chan router.Event)}
	l.Start()
	t.Cleanup(func() {
		l.Stop()
		<-l.Done()
	})
	return l
}

// TestSpreadBeforeAnswer guards against an answer that reaches the caller before the suspicion raised in the same step is sent to
// the peers, and against losing the event of a failed Send.
func TestSpreadBeforeAnswer(t *testing.T) {
	answer := &encoder.SearchAnswer{Outcome: encoder.OutcomePartial}
	suspicion := router.SpreadSuspicion{Signature: 5, Service: "matching"}
	spreader := &fakeSpreader{}
	l := start(t, &fakeMachine{
		arrived: []router.Action{router.Send{Attempt: 1}},
		failed:  []router.Action{router.AnswerSearch{Request: 1, Answer: answer}, suspicion},
	}, spreader)
	_, answers, ok := l.SubmitRequest(router.RequestArrived{})
	if !ok {
		t.Fatal("the loop is full")
	}
	a := <-answers
	if a.Search != answer || a.SpreadDone == nil {
		t.Errorf("got answer %+v, want the answer of the machine with a Spread channel", a)
	}
	if diff := cmp.Diff([]router.Action{suspicion}, spreader.spread); diff != "" {
		t.Errorf("spread before the answer (-want +got):\n%s", diff)
	}
	if n := l.InFlight(); n != 0 {
		t.Errorf("%d requests are in flight, want none", n)
	}
}

// TestSubmitRequestFull guards against a request that blocks while the loop is busy instead of being refused.
func TestSubmitRequestFull(t *testing.T) {
	m := &fakeMachine{hold: make(chan struct{})}
	l := start(t, m, nil)
	accepted := 0
	for range arrivalCapacity + 2 {
		if _, _, ok := l.SubmitRequest(router.RequestArrived{}); ok {
			accepted++
		}
	}
	if accepted > arrivalCapacity+1 {
		t.Errorf("%d requests were accepted, want at most %d", accepted, arrivalCapacity+1)
	}
	if l.InFlight() != accepted {
		t.Errorf("%d requests are in flight, want %d", l.InFlight(), accepted)
	}
	close(m.hold)
}

// TestAbandonRequest guards against a request that stays in the machine or in the count of requests in flight after its caller has
// disconnected.
func TestAbandonRequest(t *testing.T) {
	m := &fakeMachine{hold: make(chan struct{})}
	l := start(t, m, nil)
	id, _, _ := l.SubmitRequest(router.RequestArrived{})
	l.AbandonRequest(id)
	l.AbandonRequest(id)
	close(m.hold)
	for l.InFlight() > 0 || len(l.arrivals) > 0 {
		time.Sleep(time.Millisecond)
	}
	l.InspectMachine(func(Machine) {
		if diff := cmp.Diff([]router.Event{router.RequestArrived{Request: id}, router.CallerGone{Request: id}}, m.seen); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}
