package claimer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"

	"pgregory.net/rapid"
)

// fleet joins a few machines with a store, upstreams and a network that loses, delays and reorders. It carries out actions one at a
// time in the order that the test draws.
type fleet struct {
	t        *rapid.T
	now      time.Time
	vms      []*Machine
	store    map[string]ListedClaim
	values   map[string][]byte
	revision uint64
	pending  []func()          // deliveries that may happen in any order
	runs     map[string]int    // executions by key or ticket
	active   map[string]int    // executions that may still happen
	names    map[CallID]string // key or ticket of a call
	asked    map[CallID]func(AnswerCall)
	last     CallID
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{
		t: t, now: testStart, store: map[string]ListedClaim{}, values: map[string][]byte{}, runs: map[string]int{},
		active: map[string]int{}, names: map[CallID]string{}, asked: map[CallID]func(AnswerCall){},
	}
	for i := range n {
		f.vms = append(f.vms, newMachine(vmName(i), 1))
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (f *fleet) later(do func()) { f.pending = append(f.pending, do) }

// step feeds an event to VM i and carries out its actions. Deliveries to an incarnation that is gone are lost.
func (f *fleet) step(i int, ev Event) {
	m := f.vms[i]
	for _, a := range m.Step(f.now, ev) {
		f.carry(i, m, a)
	}
}

func (f *fleet) deliver(i int, m *Machine, ev Event) {
	f.later(func() {
		if f.vms[i] == m {
			f.step(i, ev)
		}
	})
}

func (f *fleet) carry(i int, m *Machine, a Action) {
	switch a := a.(type) {
	case CreateClaim:
		f.later(func() {
			f.write(a.Key, a.Expect, a.Value, func(r WriteResult, rev uint64, cur []byte) {
				f.deliver(i, m, ClaimWritten{a.Key, a.Nonce, r, rev, cur})
			})
		})
	case WriteOutcome:
		f.later(func() {
			f.write(a.Key, a.Expect, a.Value, func(r WriteResult, rev uint64, _ []byte) { f.deliver(i, m, OutcomeWritten{a.Key, a.Nonce, r, rev}) })
		})
	case ReadClaim:
		f.later(func() {
			s, ok := f.store[a.Key]
			up := rapid.IntRange(0, 3).Draw(f.t, "read") > 0
			f.deliver(i, m, ClaimRead{Key: a.Key, Nonce: a.Nonce, Available: up, Found: ok, Revision: s.Revision, Value: f.values[a.Key]})
		})
	case QueryHolder:
		f.later(func() {
			j := f.index(a.VM)
			f.ask(i, m, j, func(id CallID) Event {
				return OutcomeRequested{Call: id, Key: a.Key, Signature: a.Signature, Incarnation: a.Incarnation, Deadline: a.Deadline}
			}, func(reached bool, x AnswerCall) Event {
				return HolderAnswered{Key: a.Key, Nonce: a.Nonce, Reached: reached, Outcome: x.Outcome, Reason: x.Reason}
			})
		})
	case ForwardCall:
		f.later(func() {
			f.ask(i, m, f.index(a.VM), func(id CallID) Event {
				return CallArrived{Call: id, Service: a.Service, Ticket: a.Ticket, Body: a.Body, Deadline: a.Deadline, Forwarded: true}
			}, func(reached bool, x AnswerCall) Event {
				return ForwardEnded{Call: a.Call, Reached: reached, Outcome: x.Outcome, Reason: x.Reason}
			})
		})
	case DispatchCall:
		f.run(i, m, a)
	case AnswerCall:
		if a.Outcome == encoder.OutcomeNotRun && (f.runs[f.names[a.Call]] > 0 || f.active[f.names[a.Call]] > 0) {
			f.t.Fatalf("answered not run (%s) to call %d of %s, which ran %d times and may run %d more", a.Reason, a.Call, f.names[a.Call], f.runs[f.names[a.Call]], f.active[f.names[a.Call]])
		}
		if reply := f.asked[a.Call]; reply != nil {
			reply(a)
		}
	}
}

func (f *fleet) index(vm string) int {
	for i := range f.vms {
		if vmName(i) == vm {
			return i
		}
	}
	return -1
}

// ask sends a question to VM j and its answer back; both may be lost.
func (f *fleet) ask(i int, m *Machine, j int, event func(CallID) Event, answer func(bool, AnswerCall) Event) {
	if j < 0 || rapid.IntRange(0, 4).Draw(f.t, "ask") == 0 {
		f.deliver(i, m, answer(false, AnswerCall{}))
		return
	}
	f.last++
	f.asked[f.last] = func(x AnswerCall) { f.deliver(i, m, answer(true, x)) }
	f.step(j, event(f.last))
}

// write applies a compare-and-swap now, later or never, and tells the writer what a network would let it see.
func (f *fleet) write(key string, expect uint64, value []byte, done func(WriteResult, uint64, []byte)) {
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
		f.later(func() { apply() })
		done(WriteUncertain, 0, nil)
	case "lost":
		done(WriteUncertain, 0, nil)
	case "down":
		done(WriteUnavailable, 0, nil)
	}
}

// run executes a dispatched call at an upstream, now or later, and reports what the VM can know.
func (f *fleet) run(i int, m *Machine, a DispatchCall) {
	name := a.RunID
	f.active[name]++
	f.later(func() {
		f.active[name]--
		switch rapid.SampledFrom([]string{"done", "done", "refused", "reply lost", "crash before"}).Draw(f.t, "run") {
		case "done":
			f.runs[name]++
			f.deliver(i, m, RunEnded{RunID: name, Outcome: encoder.OutcomeDone})
		case "refused":
			f.deliver(i, m, RunEnded{RunID: name, Outcome: encoder.OutcomeNotRun, Reason: "shed"})
		case "reply lost":
			f.runs[name]++
			f.deliver(i, m, RunEnded{RunID: name, Outcome: encoder.OutcomeUnknown, Reason: "reset"})
		case "crash before":
			f.deliver(i, m, RunEnded{RunID: name, Outcome: encoder.OutcomeUnknown, Reason: "reset"})
		}
	})
}

// TestAtMostOnce guards against a call that runs twice and against a false "not run", with calls resent to any VM while VMs are
// restarted or paused, platform writes are lost, delayed or answered too late, and messages between VMs are lost and reordered.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		names := []string{testKey(testStart, 1), testKey(testStart, 2)}
		f.step(0, TicketsRequested{Call: 1, Service: "ledger", Numbers: []string{"x7", "x8"}})
		names = append(names, Ticket{VM: vmName(0), Incarnation: 1, Number: "x7"}.String())
		f.last = 100
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.move(names)
		}
		for name, n := range f.runs {
			if n > 1 {
				t.Fatalf("%s ran %d times", name, n)
			}
		}
	})
}

func (f *fleet) move(names []string) {
	t := f.t
	switch k := rapid.IntRange(0, 19).Draw(t, "move"); {
	case k < 4:
		name := rapid.SampledFrom(names).Draw(t, "name")
		f.last++
		f.names[f.last] = name
		e := CallArrived{Call: f.last, Service: "ledger", Body: json.RawMessage(`"visit"`), Nonce: fmt.Sprint("n", f.last), Deadline: f.now.Add(72 * time.Millisecond)}
		if _, err := keyTime(name); err == nil {
			e.Key = name
		} else {
			e.Ticket = name
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
		f.step(rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm"), CallerGone{Call: f.last})
	case k == 7 && rapid.IntRange(0, 5).Draw(t, "leaves") == 0:
		f.step(rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm"), ShutdownStarted{})
	case len(f.pending) > 0:
		i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "delivery")
		do := f.pending[i]
		f.pending = append(f.pending[:i:i], f.pending[i+1:]...)
		do()
	}
}

// TestTicketOfRestartedVM guards against a ticket that runs again after its issuer was restarted.
func TestTicketOfRestartedVM(t *testing.T) {
	m := newMachine("vm-a", 1)
	m.Step(testStart, TicketsRequested{Call: 1, Service: "ledger", Numbers: []string{"x7"}})
	restarted := newMachine("vm-a", 2)
	e := call(2, "", "")
	e.Ticket = Ticket{VM: "vm-a", Incarnation: 1, Number: "x7"}.String()
	got := answers(restarted.Step(testStart, e))
	if len(got) != 1 || got[0] != "2 unknown issuer_gone" {
		t.Errorf("answers = %v, want one unknown", got)
	}
}

// FuzzParse guards against decoders that panic, or accept a claim or ticket that does not survive a round trip.
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
