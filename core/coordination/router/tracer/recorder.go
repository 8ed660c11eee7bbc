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

// HeaderKind is the kind of a trace's first record, which holds the Header. Its number is that of the first step.
const HeaderKind = "Header"

// Header is what a replay needs to make the machine of a trace. Seed seeds the PCG generator of its random choices.
type Header struct {
	Seed          [2]uint64
	FailureDomain string
	VM            string
	Selection     selector.Policy
	HedgeOff      bool
	AdaptiveOff   bool
}

// Config returns the configuration of a machine, with a new generator.
func (h Header) Config() router.Config {
	return router.Config{
		FailureDomain: h.FailureDomain, VM: h.VM, Selection: h.Selection, HedgeOff: h.HedgeOff, AdaptiveOff: h.AdaptiveOff,
		Random: rand.New(rand.NewPCG(h.Seed[0], h.Seed[1])),
	}
}

// Recorder keeps the last steps of one machine. It is safe for concurrent use: the routing loop records while an operator
// reads. Events and actions must not change after they were recorded.
type Recorder struct {
	Header Header
	Limit  int // steps kept, recorder.DefaultLimit when 0; set before the first Record

	mutex sync.Mutex
	ring  recorder.Ring[Step]
}

// Record keeps a step.
func (r *Recorder) Record(now time.Time, ev router.Event, out []router.Action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ring.Limit = r.Limit
	r.ring.Add(Step{Time: now.Round(0), Event: ev, Actions: out})
}

// Write writes the trace: the header and the steps kept, oldest first.
func (r *Recorder) Write(out io.Writer) error {
	steps := r.steps()
	data, err := json.Marshal(r.Header)
	if err != nil {
		return eris.Wrap(err, "encode header")
	}
	header := recorder.Record{Number: 1, Kind: HeaderKind, Event: data}
	if len(steps) > 0 {
		header.Number, header.Time = steps[0].Number, steps[0].Time
	}
	if err := write(out, header); err != nil {
		return err
	}
	for _, s := range steps {
		record, err := Encode(s)
		if err != nil {
			return err
		}
		if err := write(out, record); err != nil {
			return err
		}
	}
	return nil
}

// steps copies the steps kept, so that the routing loop does not wait while they are encoded.
func (r *Recorder) steps() []Step {
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

func write(out io.Writer, record recorder.Record) error {
	line, err := recorder.Encode(record)
	if err != nil {
		return err
	}
	if _, err := out.Write(line); err != nil {
		return eris.Wrap(err, "write trace")
	}
	return nil
}
