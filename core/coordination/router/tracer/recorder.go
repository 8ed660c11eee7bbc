package tracer

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/state/recorder"

	"github.com/rotisserie/eris"
)

// HeaderKind is the kind of the first record of a trace, which holds the Header. Its number is that of the first step.
const HeaderKind = "Header"

// Header holds the configuration of the recorded machine. Seed seeds the PCG generator of its random choices.
type Header struct {
	Seed          [2]uint64
	FailureDomain string
	VM            string
	Selection     selector.Policy
	HedgeOff      bool
	AdaptiveOff   bool
}

// Config returns the configuration for a replay, with a new random generator.
func (h Header) Config() router.Config {
	return router.Config{
		FailureDomain: h.FailureDomain, VM: h.VM, Selection: h.Selection, HedgeOff: h.HedgeOff, AdaptiveOff: h.AdaptiveOff,
		Random: rand.New(rand.NewPCG(h.Seed[0], h.Seed[1])),
	}
}

// Recorder keeps the last steps of one machine. It is safe for concurrent use: the routing loop records while an operator
// reads. Events and actions must not be modified after they were recorded.
type Recorder struct {
	Header Header
	Limit  int // maximum number of steps; 0 means recorder.DefaultLimit; set before the first Record

	mutex sync.Mutex
	ring  recorder.Ring[Step]
}

// Record adds a step and drops the oldest one beyond Limit.
func (r *Recorder) Record(now time.Time, ev router.Event, out []router.Action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ring.Limit = r.Limit
	r.ring.Add(Step{Time: now.Round(0), Event: ev, Actions: out})
}

// Write writes the trace to out: the header, then the recorded steps, oldest first.
func (r *Recorder) Write(out io.Writer) error {
	steps := r.copySteps()
	data, err := json.Marshal(r.Header)
	if err != nil {
		return eris.Wrap(err, "encode header")
	}
	header := recorder.Record{Number: 1, Kind: HeaderKind, Event: data}
	if len(steps) > 0 {
		header.Number, header.Time = steps[0].Number, steps[0].Time
	}
	if err := writeRecord(out, header); err != nil {
		return err
	}
	for _, s := range steps {
		record, err := Encode(s)
		if err != nil {
			return err
		}
		if err := writeRecord(out, record); err != nil {
			return err
		}
	}
	return nil
}

// copySteps returns a copy of the recorded steps, so that the routing loop is not blocked while they are encoded.
func (r *Recorder) copySteps() []Step {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	steps := make([]Step, 0, r.ring.Len())
	_ = r.ring.Each(func(number uint64, s Step) error {
		s.Number = number
		steps = append(steps, s)
		return nil
	})
	return steps
}

func writeRecord(out io.Writer, record recorder.Record) error {
	line, err := recorder.Encode(record)
	if err != nil {
		return err
	}
	if _, err := out.Write(line); err != nil {
		return eris.Wrap(err, "write trace")
	}
	return nil
}
