package tracer

import (
	"bytes"
	"io"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/state/recorder"

	"github.com/rotisserie/eris"
)

// Replay passes the events of a trace to a new machine with the configuration and the seed of the trace, and compares the
// actions of each step with the recorded ones. It returns the number of equal steps, and an error that describes the first
// difference or the first record that cannot be replayed.
func Replay(in io.Reader) (int, error) {
	var p replayer
	err := recorder.ReadRecords(in, p.replayStep)
	if err == nil && p.machine == nil {
		err = eris.New("trace is empty")
	}
	return p.steps, err
}

type replayer struct {
	machine *router.Machine
	steps   int
}

func (p *replayer) replayStep(want recorder.Record) error {
	if p.machine == nil {
		return p.startMachine(want)
	}
	if want.Number != uint64(p.steps)+1 {
		return eris.Errorf("step %d follows step %d; a replay needs all steps", want.Number, p.steps)
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
	if err := compareActions(want, got); err != nil {
		return err
	}
	p.steps++
	return nil
}

func (p *replayer) startMachine(r recorder.Record) error {
	if r.Kind != HeaderKind {
		return eris.Errorf("first record is %q, want %q", r.Kind, HeaderKind)
	}
	if r.Number != 1 {
		return eris.Errorf("trace starts at step %d; a replay needs all steps from the machine's first", r.Number)
	}
	h, err := decode[Header](r.Event)
	if err != nil {
		return eris.Wrap(err, "header")
	}
	p.machine = &router.Machine{}
	p.machine.Configure(h.Config())
	return nil
}

// compareActions returns an error that describes the first action that differs.
func compareActions(want, got recorder.Record) error {
	for k := range max(len(want.Actions), len(got.Actions)) {
		switch {
		case k >= len(got.Actions):
			return eris.Errorf("step %d (%s): action %d is missing: %s %s", want.Number, want.Kind, k, want.Actions[k].Kind, want.Actions[k].Action)
		case k >= len(want.Actions):
			return eris.Errorf("step %d (%s): action %d is unexpected: %s %s", want.Number, want.Kind, k, got.Actions[k].Kind, got.Actions[k].Action)
		case want.Actions[k].Kind != got.Actions[k].Kind || !bytes.Equal(want.Actions[k].Action, got.Actions[k].Action):
			return eris.Errorf("step %d (%s): action %d was %s %s, replayed as %s %s", want.Number, want.Kind, k,
				want.Actions[k].Kind, want.Actions[k].Action, got.Actions[k].Kind, got.Actions[k].Action)
		}
	}
	return nil
}
