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

// editFault is what goes wrong with one call of an editor.
type editFault int

const (
	noFault       editFault = iota
	requestLost             // no effect, reported as uncertain
	answerLost              // effect, reported as uncertain
	requestLate             // effect 2 s after it was reported as uncertain
	answerLate              // effect, reported as uncertain, then answered
	answerSlow              // effect, answered after the time limit of the call without another report
	answerTwice             // the answer is repeated later
	noReport                // effect, and no report at all
	raceSame                // another operator edits the same row first
	raceOther               // another operator edits another row first
	raceUndo                // the answer is lost and another operator edits the same row after it
	raceMany                // the answer is lost and the list of edits then loses the edit
	paused                  // the VM is paused for 3 s after it sent the call
	platformDown            // this call and all others for 2 s have no effect
	editFaultSize           // number of faults
)

// editSim runs editors against a store. It keeps every value that the store ever held.
type editSim struct {
	clock
	history  []StoredValue
	down     time.Time // end of an outage
	pauses   map[*Editor]time.Time
	verdicts map[*Editor]EditFinished
	fault    func(step int) editFault
	steps    int
	others   int
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
	return &editSim{clock: clock{now: start}, fault: fault, history: []StoredValue{{Service: "matching", Revision: 1, Data: data}},
		pauses: map[*Editor]time.Time{}, verdicts: map[*Editor]EditFinished{}}
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

// other edits the store as another operator whose edit succeeds at once.
func (s *editSim) other(text string) {
	s.others++
	v, err := s.value(len(s.history) - 1).ApplyChanges(changes(text))
	if err != nil {
		panic(err)
	}
	data, err := tabler.Encode(v.WithEdit(tabler.Edit{ID: fmt.Sprint("other-", s.others), Summary: text, When: start}))
	if err != nil {
		panic(err)
	}
	s.history = append(s.history, StoredValue{Service: "matching", Revision: s.current().Revision + 1, Data: data})
}

func (s *editSim) step(d *Editor, ev EditEvent) {
	if end := s.pauses[d]; s.now.Before(end) {
		s.after(end.Sub(s.now), func() { s.step(d, ev) })
		return
	}
	for _, a := range d.Step(s.now, ev) {
		if f, ok := a.(EditFinished); ok {
			s.verdicts[d] = f
			continue
		}
		s.call(d, a)
	}
}

// call carries out an action with the fault of its step.
func (s *editSim) call(d *Editor, a EditAction) {
	f := s.fault(s.steps)
	s.steps++
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
		s.after(effectAfter, effect)
		s.after(400*time.Millisecond, fail)
	}
	if f == platformDown {
		s.down = s.now.Add(2 * time.Second)
	}
	if s.now.Before(s.down) || f == requestLost {
		s.after(400*time.Millisecond, fail)
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
		s.after(time.Second, reply)
		return
	case answerSlow:
		s.after(0, effect)
		s.after(800*time.Millisecond, reply)
		return
	case noReport:
		s.after(0, effect)
		return
	case raceUndo:
		lost(0)
		s.after(0, func() { s.other("matching.queue = 1") })
		return
	case raceMany:
		lost(0)
		s.after(0, func() {
			for range tabler.MaxEdits + 1 {
				s.other("matching.row = present") // changes no cell
			}
		})
		return
	case raceSame:
		s.other("matching.queue = 1")
	case raceOther:
		s.other(fmt.Sprint("matching/u0.weight = ", 50+s.others))
	case paused:
		s.pauses[d] = s.now.Add(3 * time.Second)
	case answerTwice:
		s.after(700*time.Millisecond, reply)
	}
	s.after(10*time.Millisecond, effect)
	s.after(20*time.Millisecond, reply)
}

// run lets the editors work for 15 s, so that every delayed call has arrived.
func (s *editSim) run(editors ...*Editor) {
	for end := start.Add(15 * time.Second); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		s.deliver()
		for _, d := range editors {
			if !s.now.Before(s.pauses[d]) {
				s.step(d, EditTicked{})
			}
		}
	}
}

// check compares the verdict of an editor with what the store ever held.
func (s *editSim) check(d *Editor) error {
	f, ok := s.verdicts[d]
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
		return fmt.Errorf("%s: verdict %v, but the store held the edit %d times (%v)", d.Edit.ID, f.Verdict, held, f.Err)
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
	return &Editor{Edit: tabler.Edit{ID: id, Who: "ops", When: start}, Service: "matching", Changes: changes(text)}
}

// TestEditorFaultMatrix guards against a wrong verdict, or an edit that is written twice, under every fault at each of the
// first six calls, alone and in pairs.
func TestEditorFaultMatrix(t *testing.T) {
	const calls = 6
	verdicts := map[Verdict]int{}
	const size = int(editFaultSize)
	for a := range calls * size {
		for b := a; b < calls*size; b++ {
			faults := map[int]editFault{a / size: editFault(a % size)}
			faults[b/size] = editFault(b % size)
			s := newEditSim(func(step int) editFault { return faults[step] })
			d := newEditor("mine", "matching.queue = 9")
			s.run(d)
			if err := s.check(d); err != nil {
				t.Fatalf("faults %v: %v", faults, err)
			}
			f := s.verdicts[d]
			verdicts[f.Verdict]++
			raced := slices.Contains([]editFault{faults[a/size], faults[b/size]}, raceMany)
			if (f.Verdict == Unknown || f.Verdict == Unavailable) && !raced {
				t.Fatalf("faults %v: verdict %v although the platform is back (%v)", faults, f.Verdict, f.Err)
			}
			if f.Verdict == Conflicting && (len(f.Conflicts) != 1 || f.Conflicts[0].Mine == f.Conflicts[0].Theirs) {
				t.Fatalf("faults %v: conflicts %v", faults, f.Conflicts)
			}
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

// TestEditorsRace guards against an accepted edit that is lost while operators race and answers get lost.
func TestEditorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newEditSim(func(int) editFault {
			if r.IntN(2) == 0 {
				return noFault
			}
			return editFault(r.IntN(int(raceSame))) // the editors themselves are the racing operators
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
			if err := s.check(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestEditorEnds guards against an edit that waits for ever, and against a verdict that hides a fault of the operator.
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
		{"not valid", "matching.budget = 900", noFault, 0, Invalid},
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
		if diff := cmp.Diff(c.want.String(), s.verdicts[d].Verdict.String()); diff != "" {
			t.Errorf("%s (-want +got):\n%s%v", c.name, diff, s.verdicts[d].Err)
		}
	}
}

// TestEditorLateRead guards against a verdict that is taken from a read before an uncertain write, and against a write after
// the time limit.
func TestEditorLateRead(t *testing.T) {
	old, now := stored("matching", 4), stored("matching", 5)
	d := newEditor("mine", "matching.queue = 9")
	d.Step(start, EditTicked{})                          // read 1
	d.Step(start.Add(time.Second), EditTicked{})         // read 1 is given up
	d.Step(start.Add(2*time.Second), EditTicked{})       // read 2
	d.Step(start.Add(2*time.Second), ValueRead{2, now})  // write 3
	d.Step(start.Add(2*time.Second), WriteUncertain{3})  // in doubt
	d.Step(start.Add(2*time.Second), ValueRead{1, old})  // says nothing about write 3
	d.Step(start.Add(2*time.Second), WriteConflicted{4}) // of a write that must not exist
	got := d.Step(start.Add(DefaultEditLimit), EditTicked{})
	late := newEditor("late", "matching.queue = 9")
	late.Step(start, EditTicked{})
	got = append(got, late.Step(start.Add(DefaultEditLimit), ValueRead{1, now})...)
	for i, want := range []Verdict{Unknown, Unavailable} {
		if f, ok := got[min(i, len(got)-1)].(EditFinished); !ok || f.Verdict != want {
			t.Errorf("%v instead of verdict %v", got[min(i, len(got)-1)], want)
		}
	}
}
