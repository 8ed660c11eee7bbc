package tracer

import (
	"bytes"
	"io"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/state/recorder"

	"github.com/rotisserie/eris"
)

// Write writes the steps that a ring kept, oldest first.
func Write(out io.Writer, ring *recorder.Ring[Step]) error {
	return ring.Each(func(number uint64, s Step) error {
		s.Number = number
		r, err := Encode(s)
		if err != nil {
			return err
		}
		line, err := recorder.Encode(r)
		if err != nil {
			return err
		}
		if _, err := out.Write(line); err != nil {
			return eris.Wrap(err, "write trace")
		}
		return nil
	})
}

// Replay feeds the events of a trace into a machine that has made no step, and compares the actions of each step with the
// recorded ones. The machine must have the configuration and the random seed of the recorded one. It returns the number of
// steps that were equal, and an error that shows the first difference or the first unreadable line.
func Replay(m *router.Machine, in io.Reader) (int, error) {
	steps := 0
	err := recorder.Read(in, func(want recorder.Record) error {
		if want.Number != uint64(steps)+1 {
			return eris.Errorf("step %d follows step %d; a replay needs every step from the first", want.Number, steps)
		}
		s, err := Decode(want)
		if err != nil {
			return err
		}
		s.Actions = m.Step(s.Time, s.Event)
		got, err := Encode(s)
		if err != nil {
			return err
		}
		if err := compare(want, got); err != nil {
			return err
		}
		steps++
		return nil
	})
	return steps, err
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
