package replayer

import (
	"bytes"
	"fmt"
	"slices"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/router/tracer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/recorder"
)

// Result is what a replay has shown.
type Result struct {
	Steps    int
	Outcomes []Outcome // of each request, in the order of arrival
	Faults   []string  // answers that break a rule of every answer
}

// Replay replays a whole trace. It returns an error for a trace that cannot be read, that does not start at the first step,
// or whose actions differ from those of the machine.
func Replay(trace []byte) (*Result, error) {
	steps, err := tracer.Replay(bytes.NewReader(trace))
	if err != nil {
		return nil, err
	}
	r := &Result{Steps: steps}
	places := make(map[router.RequestID]int)
	// The replayed actions are equal to the recorded ones, so that the recorded ones tell the answers.
	err = recorder.ReadRecords(bytes.NewReader(trace), func(record recorder.Record) error {
		if record.Kind == tracer.HeaderKind {
			return nil
		}
		s, err := tracer.Decode(record)
		if err != nil {
			return err
		}
		if e, ok := s.Event.(router.RequestArrived); ok {
			places[e.Request] = len(r.Outcomes)
			r.Outcomes = append(r.Outcomes, Outcome{Request: e.Request, Service: e.Service, Kind: e.Kind})
		}
		for _, a := range s.Actions {
			r.answer(s.Number, places, a)
		}
		return nil
	})
	return r, err
}

// answer takes the outcome from an action that answers a request.
func (r *Result) answer(step uint64, places map[router.RequestID]int, a router.Action) {
	var o Outcome
	var id router.RequestID
	switch x := a.(type) {
	case router.AnswerSearch:
		id, o = x.Request, search(x.Answer)
		if f := partition(x.Answer); f != "" {
			r.Faults = append(r.Faults, fmt.Sprintf("step %d: request %d: %s", step, id, f))
		}
	case router.AnswerPoint:
		id, o = x.Request, Outcome{Outcome: x.Answer.Outcome, Reason: x.Answer.Reason}
	default:
		return
	}
	i, ok := places[id]
	if !ok || r.Outcomes[i].Outcome != "" {
		r.Faults = append(r.Faults, fmt.Sprintf("step %d: request %d is answered twice or never arrived", step, id))
		return
	}
	o.Request, o.Service, o.Kind = id, r.Outcomes[i].Service, r.Outcomes[i].Kind
	r.Outcomes[i] = o
}

func search(a *encoder.SearchAnswer) Outcome {
	o := Outcome{Outcome: a.Outcome, Reason: a.Reason, Snapshot: a.Snapshot, Covered: slices.Sorted(slices.Values(a.Covered))}
	for _, m := range a.Missing {
		o.Missing = append(o.Missing, m.Shard)
	}
	slices.Sort(o.Missing)
	return o
}

// partition checks that an answer that ran reports each shard of its layout once, and has a result exactly for covered ones.
func partition(a *encoder.SearchAnswer) string {
	if a.Outcome == encoder.OutcomeNotRun {
		return ""
	}
	var shards, results []int
	shards = append(shards, a.Covered...)
	for _, m := range a.Missing {
		shards = append(shards, m.Shard)
	}
	slices.Sort(shards)
	for _, x := range a.Results {
		results = append(results, x.Shard)
	}
	slices.Sort(results)
	for i, s := range shards {
		if s != i {
			return fmt.Sprintf("shard %d is reported, want shard %d: each shard exactly once", s, i)
		}
	}
	switch {
	case len(shards) != a.ShardsTotal:
		return fmt.Sprintf("%d shards are reported, want %d", len(shards), a.ShardsTotal)
	case !slices.Equal(results, slices.Sorted(slices.Values(a.Covered))):
		return fmt.Sprintf("results of shards %v, want those covered", results)
	default:
		return ""
	}
}
