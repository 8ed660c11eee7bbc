package synchronizer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"comfreyroute/core/state/tabler"
)

// editFault is a fault of one call of an editor.
type editFault int

const (
	noFault                 editFault = iota
	requestLost                       // has no effect and is reported as uncertain
	answerLost                        // takes effect but is reported as uncertain
	requestLate                       // is reported as uncertain and takes effect 2 s after the call
	answerLate                        // takes effect, is reported as uncertain and answered later
	answerSlow                        // takes effect and is answered only after the timeout of the call
	answerTwice                       // the answer is repeated later
	noReport                          // takes effect and nothing is reported
	raceSameRow                       // another operator edits the same row first
	raceOtherRow                      // another operator edits another row first
	answerLostThenRace                // the answer is lost, and another operator then edits the same row
	answerLostThenManyEdits           // the answer is lost, and so many edits follow that the edit list drops the edit
	vmPaused                          // the VM is paused for 3 s after it sent the call
	platformDown                      // this call and all others within 2 s have no effect
	editFaultCount                    // number of faults
)

// editSim runs editors against a simulated store and records every value that the store ever held.
type editSim struct {
	clock
	history     []StoredValue
	downUntil   time.Time // end of an outage
	pausedUntil map[*Editor]time.Time
	results     map[*Editor]EditFinished
	fault       func(step int) editFault
	calls       int
	otherEdits  int
}

func newEditSim(fault func(int) editFault) *editSim {
	v := tabler.NewValue("matching")
	v, _ = v.ApplyChanges(changes("matching.row = present"))
	for i := range 3 {
		v.Upstreams = append(v.Upstreams, tabler.UpstreamRow{Service: "matching", Upstream: fmt.Sprint("u", i), FailureDomain: "d1", Slots: 1,
			Connections: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))})
	}
	data, err := tabler.Encode(v)
	if err != nil {
		panic(err)
	}
	return &editSim{clock: clock{now: testStart}, fault: fault, history: []StoredValue{{Service: "matching", Revision: 1, Data: data}},
		pausedUntil: map[*Editor]time.Time{}, results: map[*Editor]EditFinished{}}
}

func changes(texts ...string) []tabler.Change {
	var list []tabler.Change
	for _, s := range texts {
		c, err := tabler.ParseChange(s)
		if err != nil {
			panic(err)
		}
		list = append(list, c)
	}
	return list
}

func (s *editSim) current() StoredValue { return s.history[len(s.history)-1] }

func (s *editSim) value(i int) *tabler.Value {
	v, err := tabler.Decode("matching", s.history[i].Revision, s.history[i].Data)
	if err != nil {
		panic(err)
	}
	return v
}

// editAsOther performs an edit of another operator, which succeeds at once.
func (s *editSim) editAsOther(text string) {
	s.otherEdits++
	v, err := s.value(len(s.history) - 1).ApplyChanges(changes(text))
	if err != nil {
		panic(err)
	}
	data, err := tabler.Encode(v.WithEdit(tabler.Edit{ID: fmt.Sprint("other-", s.otherEdits), Summary: text, When: testStart}))
	if err != nil {
		panic(err)
	}
	s.history = append(s.history, StoredValue{Service: "matching", Revision: s.current().Revision + 1, Data: data})
}

func (s *editSim) step(d *Editor, ev EditEvent) {
	if end := s.pausedUntil[d]; s.now.Before(end) {
		s.schedule(end.Sub(s.now), func() { s.step(d, ev) })
		return
	}
	for _, a := range d.Step(s.now, ev) {
		if f, ok := a.(EditFinished); ok {
			s.results[d] = f
			continue
		}
		s.perform(d, a)
	}
}

// perform performs an action with the fault that is set for its call.
func (s *editSim) perform(d *Editor, a EditAction) {
	f := s.fault(s.calls)
	s.calls++
	var answer, failure EditEvent
	var effect func()
	switch a := a.(type) {
	case ReadValue:
		failure = ReadFailed{a.Call}
		effect = func() { answer = ValueRead{a.Call, s.current()} }
	case WriteValue:
		failure = WriteUncertain{a.Call}
		effect = func() {
			answer = WriteConflicted{a.Call}
			if a.Expect == s.current().Revision {
				s.history = append(s.history, StoredValue{Service: a.Service, Revision: a.Expect + 1, Data: a.Data})
				answer = WriteDone{a.Call, a.Expect + 1}
			}
		}
	}
	reply := func() { s.step(d, answer) }
	fail := func() { s.step(d, failure) }
	lost := func(effectAfter time.Duration) {
		s.schedule(effectAfter, effect)
		s.schedule(400*time.Millisecond, fail)
	}
	if f == platformDown {
		s.downUntil = s.now.Add(2 * time.Second)
	}
	if s.now.Before(s.downUntil) || f == requestLost {
		s.schedule(400*time.Millisecond, fail)
		return
	}
	switch f {
	case answerLost:
		lost(0)
		return
	case requestLate:
		lost(2 * time.Second)
		return
	case answerLate:
		lost(0)
		s.schedule(time.Second, reply)
		return
	case answerSlow:
		s.schedule(0, effect)
		s.schedule(800*time.Millisecond, reply)
		return
	case noReport:
		s.schedule(0, effect)
		return
	case answerLostThenRace:
		lost(0)
		s.schedule(0, func() { s.editAsOther("matching.queue = 1") })
		return
	case answerLostThenManyEdits:
		lost(0)
		s.schedule(0, func() {
			for range tabler.MaxEdits + 1 {
				s.editAsOther("matching.row = present") // changes no cell
			}
		})
		return
	case raceSameRow:
		s.editAsOther("matching.queue = 1")
	case raceOtherRow:
		s.editAsOther(fmt.Sprint("matching/u0.weight = ", 50+s.otherEdits))
	case vmPaused:
		s.pausedUntil[d] = s.now.Add(3 * time.Second)
	case answerTwice:
		s.schedule(700*time.Millisecond, reply)
	}
	s.schedule(10*time.Millisecond, effect)
	s.schedule(20*time.Millisecond, reply)
}

// run simulates the editors for 15 s, after which every delayed call has arrived.
func (s *editSim) run(editors ...*Editor) {
	for end := testStart.Add(15 * time.Second); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		s.runDueTasks()
		for _, d := range editors {
			if !s.now.Before(s.pausedUntil[d]) {
				s.step(d, EditTicked{})
			}
		}
	}
}

// checkVerdict compares the verdict of an editor with the values that the store ever held.
func (s *editSim) checkVerdict(d *Editor) error {
	f, ok := s.results[d]
	if !ok {
		return fmt.Errorf("%s: no verdict", d.Edit.ID)
	}
	held := 0
	for i := 1; i < len(s.history); i++ {
		if v := s.value(i); v.Edits[len(v.Edits)-1].ID == d.Edit.ID {
			held++
			// A write that changed another cell would revert an accepted edit.
			if got := tabler.Diff(s.value(i-1), v); !cmp.Equal(texts(got), texts(d.Changes)) && len(got) > 0 {
				return fmt.Errorf("%s: the write changed %v", d.Edit.ID, got)
			}
		}
	}
	if held > 1 || f.Verdict != Unknown && (held == 1) != (f.Verdict == Accepted) {
		return fmt.Errorf("%s: verdict %v, but the edit was written %d times (%v)", d.Edit.ID, f.Verdict, held, f.Err)
	}
	return nil
}

func texts(list []tabler.Change) []string {
	var out []string
	for _, c := range list {
		out = append(out, fmt.Sprint(c.Upstream, ".", c.Field, "=", c.New))
	}
	return out
}

func newEditor(id, text string) *Editor {
	return &Editor{Edit: tabler.Edit{ID: id, Who: "ops", When: testStart}, Service: "matching", Changes: changes(text)}
}

// TestEditorFaultMatrix guards against a wrong verdict and against an edit that is written twice. It injects every fault, alone and
// in pairs, at each of the first six calls.
func TestEditorFaultMatrix(t *testing.T) {
	const calls = 6
	verdicts := map[Verdict]int{}
	const size = int(editFaultCount)
	for a := range calls * size {
		for b := a; b < calls*size; b++ {
			faults := map[int]editFault{a / size: editFault(a % size)}
			faults[b/size] = editFault(b % size)
			s := newEditSim(func(step int) editFault { return faults[step] })
			d := newEditor("mine", "matching.queue = 9")
			s.run(d)
			if err := s.checkVerdict(d); err != nil {
				t.Fatalf("faults %v: %v", faults, err)
			}
			f := s.results[d]
			verdicts[f.Verdict]++
			canLoseEdit := slices.Contains([]editFault{faults[a/size], faults[b/size]}, answerLostThenManyEdits)
			if (f.Verdict == Unknown || f.Verdict == Unavailable) && !canLoseEdit {
				t.Fatalf("faults %v: verdict %v although the platform is back (%v)", faults, f.Verdict, f.Err)
			}
			if f.Verdict == Conflicting && (len(f.Conflicts) != 1 || f.Conflicts[0].Mine == f.Conflicts[0].Theirs) {
				t.Fatalf("faults %v: conflicts %v", faults, f.Conflicts)
			}
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

// TestEditorsRace guards against the loss of an accepted edit when operators edit at the same time and answers are lost.
func TestEditorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newEditSim(func(int) editFault {
			if r.IntN(2) == 0 {
				return noFault
			}
			return editFault(r.IntN(int(raceSameRow))) // the editors themselves are the racing operators
		})
		edits := []string{"matching.queue = 9", "matching.queue = 10", "matching.budget = 1"}
		for i := range 3 {
			edits = append(edits, fmt.Sprintf("matching/u%d.weight = %d", i, 7+i))
		}
		var editors []*Editor
		for i, text := range edits {
			editors = append(editors, newEditor(fmt.Sprint("edit-", i), text))
		}
		s.run(editors...)
		for _, d := range editors {
			if err := s.checkVerdict(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestEditorEnds guards against an edit that never ends, and against a verdict that hides an invalid edit from the operator.
func TestEditorEnds(t *testing.T) {
	cases := []struct {
		name  string
		text  string
		fault editFault
		from  int // first call with the fault
		want  Verdict
	}{
		{"platform down", "matching.queue = 9", platformDown, 0, Unavailable},
		{"platform down after the write", "matching.queue = 9", platformDown, 1, Unknown},
		{"platform slow", "matching.queue = 9", answerSlow, 0, Accepted},
		{"invalid value", "matching.budget = 900", noFault, 0, Invalid},
		{"no such field", "matching.color = red", noFault, 0, Invalid},
	}
	for _, c := range cases {
		s := newEditSim(func(step int) editFault {
			if step >= c.from {
				return c.fault
			}
			return noFault
		})
		d := newEditor("mine", c.text)
		s.run(d)
		if diff := cmp.Diff(c.want.String(), s.results[d].Verdict.String()); diff != "" {
			t.Errorf("%s (-want +got):\n%s%v", c.name, diff, s.results[d].Err)
		}
	}
}

// TestEditorLateRead guards against a verdict that relies on a read from before an uncertain write, and against a write after the
// time limit.
func TestEditorLateRead(t *testing.T) {
	old, now := newStoredValue("matching", 4), newStoredValue("matching", 5)
	d := newEditor("mine", "matching.queue = 9")
	d.Step(testStart, EditTicked{})                          // read 1
	d.Step(testStart.Add(time.Second), EditTicked{})         // read 1 times out
	d.Step(testStart.Add(2*time.Second), EditTicked{})       // read 2
	d.Step(testStart.Add(2*time.Second), ValueRead{2, now})  // write 3
	d.Step(testStart.Add(2*time.Second), WriteUncertain{3})  // write 3 is uncertain
	d.Step(testStart.Add(2*time.Second), ValueRead{1, old})  // read before write 3, so it proves nothing
	d.Step(testStart.Add(2*time.Second), WriteConflicted{4}) // ignored, because no write 4 was started
	got := d.Step(testStart.Add(DefaultEditTimeLimit), EditTicked{})
	late := newEditor("late", "matching.queue = 9")
	late.Step(testStart, EditTicked{})
	got = append(got, late.Step(testStart.Add(DefaultEditTimeLimit), ValueRead{1, now})...)
	for i, want := range []Verdict{Unknown, Unavailable} {
		if f, ok := got[min(i, len(got)-1)].(EditFinished); !ok || f.Verdict != want {
			t.Errorf("got %v, want verdict %v", got[min(i, len(got)-1)], want)
		}
	}
}
