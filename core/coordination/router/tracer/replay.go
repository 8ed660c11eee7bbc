package tracer

import (
	"bytes"
	"io"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/state/recorder"

	"github.com/rotisserie/eris"
)

// Replay feeds the events of a trace into a new machine with the trace's configuration and seed, and compares the actions of
// each step with the recorded ones. It returns the number of steps that were equal, and an error that shows the first
// difference or the first line that cannot be replayed.
func Replay(in io.Reader) (int, error) {
	var p replay
	err := recorder.ReadRecords(in, p.record)
	if err == nil && p.machine == nil {
		err = eris.New("the trace is empty")
	}
	return p.steps, err
}

type replay struct {
	machine *router.Machine
	steps   int
}

func (p *replay) record(want recorder.Record) error {
	if p.machine == nil {
		return p.start(want)
	}
	if want.Number != uint64(p.steps)+1 {
		return eris.Errorf("step %d follows step %d; a replay needs every step", want.Number, p.steps)
	}
	s, err := Decode(want)
	if err != nil {
		return err
	}
	s.Actions = p.machine.Step(s.Time, s.Event)
	got, err := Encode(s)
	if err != nil {
		return err
	}
	if err := compare(want, got); err != nil {
		return err
	}
	p.steps++
	return nil
}

func (p *replay) start(r recorder.Record) error {
	if r.Kind != HeaderKind {
		return eris.Errorf("the first record is %q, it must be %q", r.Kind, HeaderKind)
	}
	if r.Number != 1 {
		return eris.Errorf("the trace starts at step %d; a replay needs every step from the machine's first", r.Number)
	}
	h, err := decode[Header](r.Event)
	if err != nil {
		return eris.Wrap(err, "header")
	}
	p.machine = &router.Machine{}
	p.machine.Configure(h.Config())
	return nil
}

// compare returns an error that shows the first action that differs.
func compare(want, got recorder.Record) error {
	for k := range max(len(want.Actions), len(got.Actions)) {
		switch {
		case k >= len(got.Actions):
			return eris.Errorf("step %d (%s): action %d is missing: %s %s", want.Number, want.Kind, k, want.Actions[k].Kind, want.Actions[k].Action)
		case k >= len(want.Actions):
			return eris.Errorf("step %d (%s): action %d is new: %s %s", want.Number, want.Kind, k, got.Actions[k].Kind, got.Actions[k].Action)
		case want.Actions[k].Kind != got.Actions[k].Kind || !bytes.Equal(want.Actions[k].Action, got.Actions[k].Action):
			return eris.Errorf("step %d (%s): action %d was %s %s and is %s %s", want.Number, want.Kind, k,
				want.Actions[k].Kind, want.Actions[k].Action, got.Actions[k].Kind, got.Actions[k].Action)
		}
	}
	return nil
}
