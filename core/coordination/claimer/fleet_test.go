package claimer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"

	"pgregory.net/rapid"
)

// fleet connects machines with a simulated store, simulated upstreams and a network that loses, delays and reorders messages. It
// performs pending operations one at a time in the order that the test draws.
type fleet struct {
	t             *rapid.T
	now           time.Time
	vms           []*Machine
	store         map[string]ListedClaim
	values        map[string][]byte
	revision      uint64
	pending       []func()          // operations that may happen in any order
	runCounts     map[string]int    // executions by key or ticket
	pendingRuns   map[string]int    // executions by key or ticket that may still happen
	idsByCall     map[CallID]string // key or ticket of each call
	replyHandlers map[CallID]func(AnswerCall)
	lastCall      CallID
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{
		t: t, now: testStart, store: map[string]ListedClaim{}, values: map[string][]byte{}, runCounts: map[string]int{},
		pendingRuns: map[string]int{}, idsByCall: map[CallID]string{}, replyHandlers: map[CallID]func(AnswerCall){},
	}
	for i := range n {
		f.vms = append(f.vms, newMachine(vmName(i), 1))
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (f *fleet) enqueue(do func()) { f.pending = append(f.pending, do) }

// step passes an event to VM i and performs its actions.
func (f *fleet) step(i int, ev Event) {
	m := f.vms[i]
	for _, a := range m.Step(f.now, ev) {
		f.execute(i, m, a)
	}
}

// deliver enqueues an event for incarnation m of VM i. The event is lost when VM i restarts before its delivery.
func (f *fleet) deliver(i int, m *Machine, ev Event) {
	f.enqueue(func() {
		if f.vms[i] == m {
			f.step(i, ev)
		}
	})
}

func (f *fleet) execute(i int, m *Machine, a Action) {
	switch a := a.(type) {
	case CreateClaim:
		f.enqueue(func() {
			f.compareAndSwap(a.Key, a.Expect, a.Value, func(r WriteResult, rev uint64, cur []byte) {
				f.deliver(i, m, ClaimWritten{a.Key, a.Nonce, r, rev, cur})
			})
		})
	case WriteOutcome:
		f.enqueue(func() {
			f.compareAndSwap(a.Key, a.Expect, a.Value, func(r WriteResult, rev uint64, _ []byte) { f.deliver(i, m, OutcomeWritten{a.Key, a.Nonce, r, rev}) })
		})
	case ReadClaim:
		f.enqueue(func() {
			s, ok := f.store[a.Key]
			available := rapid.IntRange(0, 3).Draw(f.t, "read") > 0
			f.deliver(i, m, ClaimRead{Key: a.Key, Nonce: a.Nonce, Available: available, Found: ok, Revision: s.Revision, Value: f.values[a.Key]})
		})
	case QueryHolder:
		f.enqueue(func() {
			j := f.vmIndex(a.VM)
			f.sendPeerRequest(i, m, j, func(id CallID) Event {
				return OutcomeRequested{Call: id, Key: a.Key, Signature: a.Signature, Incarnation: a.Incarnation, Deadline: a.Deadline}
			}, func(reached bool, x AnswerCall) Event {
				return HolderAnswered{Key: a.Key, Nonce: a.Nonce, Reached: reached, Outcome: x.Outcome, Reason: x.Reason}
			})
		})
	case ForwardCall:
		f.enqueue(func() {
			f.sendPeerRequest(i, m, f.vmIndex(a.VM), func(id CallID) Event {
				return CallArrived{Call: id, Service: a.Service, Ticket: a.Ticket, Body: a.Body, Deadline: a.Deadline, Forwarded: true}
			}, func(reached bool, x AnswerCall) Event {
				return ForwardEnded{Call: a.Call, Reached: reached, Outcome: x.Outcome, Reason: x.Reason}
			})
		})
	case DispatchCall:
		f.runCall(i, m, a)
	case AnswerCall:
		if a.Outcome == encoder.OutcomeNotRun && (f.runCounts[f.idsByCall[a.Call]] > 0 || f.pendingRuns[f.idsByCall[a.Call]] > 0) {
			f.t.Fatalf("answer is not run (%s) to call %d of %s, which ran %d times and may run %d more times", a.Reason, a.Call, f.idsByCall[a.Call], f.runCounts[f.idsByCall[a.Call]], f.pendingRuns[f.idsByCall[a.Call]])
		}
		if reply := f.replyHandlers[a.Call]; reply != nil {
			reply(a)
		}
	}
}

func (f *fleet) vmIndex(vm string) int {
	for i := range f.vms {
		if vmName(i) == vm {
			return i
		}
	}
	return -1
}

// sendPeerRequest sends a request to VM j and returns its answer to VM i; both may be lost.
func (f *fleet) sendPeerRequest(i int, m *Machine, j int, event func(CallID) Event, answer func(bool, AnswerCall) Event) {
	if j < 0 || rapid.IntRange(0, 4).Draw(f.t, "ask") == 0 {
		f.deliver(i, m, answer(false, AnswerCall{}))
		return
	}
	f.lastCall++
	f.replyHandlers[f.lastCall] = func(x AnswerCall) { f.deliver(i, m, answer(true, x)) }
	f.step(j, event(f.lastCall))
}

// compareAndSwap performs a write now, later or never, and reports the result that the writer would see.
func (f *fleet) compareAndSwap(key string, expect uint64, value []byte, done func(WriteResult, uint64, []byte)) {
	apply := func() (WriteResult, uint64, []byte) {
		s := f.store[key]
		if s.Revision != expect {
			return WriteConflict, s.Revision, f.values[key]
		}
		f.revision++
		f.store[key], f.values[key] = ListedClaim{Key: key, Revision: f.revision}, value
		return WriteDone, f.revision, nil
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "answer lost", "delayed", "lost", "down"}).Draw(f.t, "write") {
	case "ok":
		done(apply())
	case "answer lost":
		apply()
		done(WriteUncertain, 0, nil)
	case "delayed":
		f.enqueue(func() { apply() })
		done(WriteUncertain, 0, nil)
	case "lost":
		done(WriteUncertain, 0, nil)
	case "down":
		done(WriteUnavailable, 0, nil)
	}
}

// runCall enqueues the execution of a dispatched call at an upstream, and reports the result that the VM would see.
func (f *fleet) runCall(i int, m *Machine, a DispatchCall) {
	id := a.RunID
	f.pendingRuns[id]++
	f.enqueue(func() {
		f.pendingRuns[id]--
		switch rapid.SampledFrom([]string{"done", "done", "refused", "reply lost", "crash before"}).Draw(f.t, "run") {
		case "done":
			f.runCounts[id]++
			f.deliver(i, m, RunEnded{RunID: id, Outcome: encoder.OutcomeDone})
		case "refused":
			f.deliver(i, m, RunEnded{RunID: id, Outcome: encoder.OutcomeNotRun, Reason: "shed"})
		case "reply lost":
			f.runCounts[id]++
			f.deliver(i, m, RunEnded{RunID: id, Outcome: encoder.OutcomeUnknown, Reason: "reset"})
		case "crash before":
			f.deliver(i, m, RunEnded{RunID: id, Outcome: encoder.OutcomeUnknown, Reason: "reset"})
		}
	})
}

// TestAtMostOnce guards against a call that runs twice and against a false "not run". Callers resend calls to any VM while VMs
// restart or pause, writes to the platform are lost, delayed or answered late, and messages between VMs are lost and reordered.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		ids := []string{testKey(testStart, 1), testKey(testStart, 2)}
		f.step(0, TicketsRequested{Call: 1, Service: "ledger", Numbers: []string{"x7", "x8"}})
		ids = append(ids, Ticket{VM: vmName(0), Incarnation: 1, Number: "x7"}.String())
		f.lastCall = 100
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.takeRandomStep(ids)
		}
		for id, n := range f.runCounts {
			if n > 1 {
				t.Fatalf("%s ran %d times", id, n)
			}
		}
	})
}

// takeRandomStep sends a call, restarts a VM, lets time pass, or performs a pending operation. Each id is a key or a ticket.
func (f *fleet) takeRandomStep(ids []string) {
	t := f.t
	switch k := rapid.IntRange(0, 19).Draw(t, "move"); {
	case k < 4:
		id := rapid.SampledFrom(ids).Draw(t, "name")
		f.lastCall++
		f.idsByCall[f.lastCall] = id
		e := CallArrived{Call: f.lastCall, Service: "ledger", Body: json.RawMessage(`"visit"`), Nonce: fmt.Sprint("n", f.lastCall), Deadline: f.now.Add(72 * time.Millisecond)}
		if _, err := keyTime(id); err == nil {
			e.Key = id
		} else {
			e.Ticket = id
		}
		f.step(rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm"), e)
	case k == 4:
		i := rapid.IntRange(0, len(f.vms)-1).Draw(t, "restarted")
		f.vms[i] = newMachine(vmName(i), f.vms[i].config.Incarnation+1)
	case k == 5:
		f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 600, 40_000}).Draw(t, "pause")) * time.Millisecond)
		for i := range f.vms {
			f.step(i, TimerFired{})
		}
	case k == 6:
		f.step(rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm"), CallerGone{Call: f.lastCall})
	case k == 7 && rapid.IntRange(0, 5).Draw(t, "leaves") == 0:
		f.step(rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm"), ShutdownStarted{})
	case len(f.pending) > 0:
		i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "delivery")
		do := f.pending[i]
		f.pending = append(f.pending[:i:i], f.pending[i+1:]...)
		do()
	}
}

// TestTicketOfRestartedVM guards against a second run under a ticket after the VM that issued it has restarted.
func TestTicketOfRestartedVM(t *testing.T) {
	m := newMachine("vm-a", 1)
	m.Step(testStart, TicketsRequested{Call: 1, Service: "ledger", Numbers: []string{"x7"}})
	restarted := newMachine("vm-a", 2)
	e := newCall(2, "", "")
	e.Ticket = Ticket{VM: "vm-a", Incarnation: 1, Number: "x7"}.String()
	got := answerTexts(restarted.Step(testStart, e))
	if len(got) != 1 || got[0] != "2 unknown issuer_gone" {
		t.Errorf("answers = %v, want one unknown", got)
	}
}

// FuzzParse guards against parsers that panic, or that accept a claim or ticket that changes when it is encoded again.
func FuzzParse(f *testing.F) {
	f.Add("vm-a.1.x7", []byte(`{"nonce":"n","holder":"vm-a","incarnation":1,"signature":2,"state":"done","time":"2026-01-01T00:00:00Z"}`))
	f.Add("..", []byte(`{}`))
	f.Add("a.zz.b", []byte(`null`))
	f.Fuzz(func(t *testing.T, ticket string, record []byte) {
		if k, err := ParseTicket(ticket); err == nil {
			if again, err := ParseTicket(k.String()); err != nil || again != k {
				t.Errorf("ticket %q does not survive a round trip", ticket)
			}
		}
		if r, err := ParseRecord(record); err == nil && len(r.Result) == 0 {
			if _, err := ParseRecord(r.Encode()); err != nil {
				t.Errorf("record %q does not survive a round trip: %v", record, err)
			}
		}
		_ = CheckKey(ticket)
	})
}
