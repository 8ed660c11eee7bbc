package claimer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"

	"github.com/google/go-cmp/cmp"
)

var testStart = time.UnixMilli(1_800_000_000_000)

// testKey returns a UUIDv7 whose time is t.
func testKey(t time.Time, n int) string {
	ms := t.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

func newMachine(vm string, incarnation uint64) *Machine {
	m := new(Machine)
	m.Configure(Config{VM: vm, Incarnation: incarnation})
	return m
}

func call(id CallID, key, nonce string) CallArrived {
	return CallArrived{Call: id, Service: "ledger", Key: key, Body: json.RawMessage(`"visit"`), Nonce: nonce, Deadline: testStart.Add(72 * time.Millisecond)}
}

// answers returns the answers among actions, as "call outcome reason".
func answers(actions []Action) []string {
	var out []string
	for _, a := range actions {
		if a, ok := a.(AnswerCall); ok {
			out = append(out, fmt.Sprintf("%d %s %s", a.Call, a.Outcome, a.Reason))
		}
	}
	return out
}

// names returns the kinds of actions other than Wake.
func names(actions []Action) []string {
	var out []string
	for _, a := range actions {
		if _, ok := a.(Wake); !ok {
			out = append(out, fmt.Sprintf("%T", a)[len("claimer."):])
		}
	}
	return out
}

// TestClaimOutcomes guards against a second dispatch and against "not run" without proof, for each way in which a claim can go.
func TestClaimOutcomes(t *testing.T) {
	key := testKey(testStart, 1)
	other := Record{Nonce: "n9", Holder: "vm-b", Incarnation: 3, Signature: Signature("ledger", []byte(`"visit"`))}
	with := func(state State) []byte {
		r := other
		r.State = state
		r.Result = json.RawMessage(`1`)
		return r.Encode()
	}
	mine := other
	mine.Nonce, mine.Holder, mine.State = "n1", "vm-a", StateClaimed
	conflict := func(value []byte) Event {
		return ClaimWritten{Key: key, Nonce: "n1", Result: WriteConflict, Revision: 7, Current: value}
	}
	written := func(r WriteResult) Event { return ClaimWritten{Key: key, Nonce: "n1", Result: r, Revision: 5} }
	cases := []struct {
		name    string
		events  []Event
		actions []string // of the last event
		answers []string
	}{
		{"claimed, then run", []Event{written(WriteDone)}, []string{"DispatchCall"}, nil},
		{"done", []Event{written(WriteDone), RunEnded{RunID: key, Outcome: encoder.OutcomeDone}}, []string{"AnswerCall", "WriteOutcome"}, []string{"1 done "}},
		{"every upstream refused", []Event{written(WriteDone), RunEnded{RunID: key, Outcome: encoder.OutcomeNotRun, Reason: "shed"}}, []string{"AnswerCall", "WriteOutcome"}, []string{"1 not_run shed"}},
		{"upstream lost", []Event{written(WriteDone), RunEnded{RunID: key, Outcome: encoder.OutcomeUnknown, Reason: "reset"}}, []string{"AnswerCall", "WriteOutcome"}, []string{"1 unknown reset"}},
		{"platform down", []Event{written(WriteUnavailable)}, []string{"AnswerCall"}, []string{"1 unknown platform_unavailable"}},
		{"answer lost, write found", []Event{written(WriteUncertain), ClaimRead{Key: key, Nonce: "n1", Available: true, Found: true, Revision: 5, Value: mine.Encode()}}, []string{"DispatchCall"}, nil},
		{"answer lost, write not found", []Event{written(WriteUncertain), ClaimRead{Key: key, Nonce: "n1", Available: true}}, []string{"AnswerCall"}, []string{"1 unknown platform_unavailable"}},
		{"answer lost, read fails", []Event{written(WriteUncertain), ClaimRead{Key: key, Nonce: "n1"}}, []string{"AnswerCall"}, []string{"1 unknown platform_unavailable"}},
		{"own write found as conflict", []Event{conflict(mine.Encode())}, []string{"DispatchCall"}, nil},
		{"done elsewhere", []Event{conflict(with(StateDone))}, []string{"AnswerCall"}, []string{"1 done "}},
		{"unknown elsewhere", []Event{conflict(with(StateUnknown))}, []string{"AnswerCall"}, []string{"1 unknown "}},
		{"released elsewhere", []Event{conflict(with(StateReleased))}, []string{"CreateClaim"}, nil},
		{"held elsewhere", []Event{conflict(with(StateClaimed))}, []string{"QueryHolder"}, nil},
		{"holder gone", []Event{conflict(with(StateClaimed)), HolderAnswered{Key: key, Nonce: "n1"}}, []string{"AnswerCall"}, []string{"1 unknown holder_unreachable"}},
		{"holder ran it", []Event{conflict(with(StateClaimed)), HolderAnswered{Key: key, Nonce: "n1", Reached: true, Outcome: encoder.OutcomeDone}}, []string{"AnswerCall"}, []string{"1 done "}},
		{"holder did not run it", []Event{conflict(with(StateClaimed)), HolderAnswered{Key: key, Nonce: "n1", Reached: true, Outcome: encoder.OutcomeNotRun}}, []string{"CreateClaim"}, nil},
		{"malformed claim", []Event{conflict([]byte(`{`))}, []string{"AnswerCall"}, []string{"1 unknown bad_claim"}},
		{"caller gone before dispatch", []Event{CallerGone{Call: 1}, written(WriteDone)}, []string{"WriteOutcome"}, nil},
		{"answer after the deadline is ignored", []Event{written(WriteDone), RunEnded{RunID: key, Outcome: encoder.OutcomeDone}, RunEnded{RunID: key, Outcome: encoder.OutcomeUnknown}}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine("vm-a", 1)
			actions := m.Step(testStart, call(1, key, "n1"))
			for _, e := range c.events {
				actions = m.Step(testStart.Add(time.Millisecond), e)
			}
			if diff := cmp.Diff(c.actions, names(actions)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.answers, answers(actions)); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPauseBeforeDispatch guards against a dispatch by a VM that was paused past the deadline while its claim was written.
func TestPauseBeforeDispatch(t *testing.T) {
	m := newMachine("vm-a", 1)
	key := testKey(testStart, 1)
	m.Step(testStart, call(1, key, "n1"))
	actions := m.Step(testStart.Add(time.Minute), ClaimWritten{Key: key, Nonce: "n1", Result: WriteDone, Revision: 5})
	if diff := cmp.Diff([]string{"1 not_run deadline"}, answers(actions)); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	for _, a := range actions {
		if _, ok := a.(DispatchCall); ok {
			t.Error("dispatched after the deadline")
		}
	}
}

// TestKeyTime guards against a key whose claim may have been deleted, and against keys without a usable time.
func TestKeyTime(t *testing.T) {
	cases := []struct {
		name string
		key  string
		want []string
	}{
		{"older than the retention", testKey(testStart.Add(-61*time.Minute), 1), []string{"1 unknown key_expired"}},
		{"far in the future", testKey(testStart.Add(5*time.Minute), 1), []string{"1 unknown key_in_future"}},
		{"not a UUIDv7", "2f0b6f1e-8c1f-4c0e-9d1c-0a6f6a1f2b3c", []string{"1 not_run bad_key"}},
		{"none", "", []string{"1 not_run no_key_or_ticket"}},
		{"within the clock difference", testKey(testStart.Add(30*time.Second), 1), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := answers(newMachine("vm-a", 1).Step(testStart, call(1, c.key, "n1")))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReleaseConflict guards against a new attempt that overwrites the claim of another VM: the release of this VM conflicts with
// that claim, and its revision must not be taken as the expected one.
func TestReleaseConflict(t *testing.T) {
	m := newMachine("vm-a", 1)
	key := testKey(testStart, 1)
	m.Step(testStart, call(1, key, "n1"))
	m.Step(testStart, ClaimWritten{Key: key, Nonce: "n1", Result: WriteDone, Revision: 5})
	m.Step(testStart, RunEnded{RunID: key, Outcome: encoder.OutcomeNotRun})
	m.Step(testStart, OutcomeWritten{Key: key, Nonce: "n1", Result: WriteConflict, Revision: 9})
	for _, a := range m.Step(testStart, call(2, key, "n2")) {
		if a, ok := a.(CreateClaim); ok && a.Expect == 9 {
			t.Error("the new claim expects the revision of a claim of another VM")
		}
	}
}
