package looper

import (
	"io"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/router/tracer"
	"comfreyroute/core/state/recorder"
)

// Trace keeps the last steps of the machine.
type Trace struct{ ring recorder.Ring[tracer.Step] }

// NewTrace returns a trace of a number of steps, or nil for 0, which records nothing.
func NewTrace(steps int) *Trace {
	if steps <= 0 {
		return nil
	}
	return &Trace{recorder.Ring[tracer.Step]{Limit: steps}}
}

// Record keeps a step. Only the loop calls it.
func (t *Trace) Record(now time.Time, ev router.Event, actions []router.Action) {
	t.ring.Add(tracer.Step{Time: now, Event: ev, Actions: actions})
}

// WriteTrace writes the steps as JSON lines. The loop only copies them; the encoding runs on the goroutine of the caller.
// It returns false when the loop is busy or nothing is recorded.
func (l *Loop) WriteTrace(out io.Writer) (bool, error) {
	if l.Trace == nil {
		return false, nil
	}
	var steps []tracer.Step
	ok := l.Inspect(func(Machine) {
		steps = make([]tracer.Step, 0, l.Trace.ring.Len())
		_ = l.Trace.ring.Each(func(number uint64, s tracer.Step) error {
			s.Number = number
			steps = append(steps, s)
			return nil
		})
	})
	for _, s := range steps {
		r, err := tracer.Encode(s)
		if err != nil {
			return ok, err
		}
		line, err := recorder.Encode(r)
		if err != nil {
			return ok, err
		}
		if _, err := out.Write(line); err != nil {
			return ok, err
		}
	}
	return ok, nil
}
