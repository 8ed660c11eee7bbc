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

// Result is the result of a replay.
type Result struct {
	Steps    int
	Outcomes []Outcome // of all requests, in the order of arrival
	Faults   []string  // answers that violate a rule that holds for every answer
}

// Replay replays a whole trace. It returns an error for a trace that cannot be read, that does not start at the first step, or
// whose actions differ from those of the router in the replay.
func Replay(trace []byte) (*Result, error) {
	steps, err := tracer.Replay(bytes.NewReader(trace))
	if err != nil {
		return nil, err
	}
	r := &Result{Steps: steps}
	indexes := make(map[router.RequestID]int)
	// The actions of the replay are equal to the recorded ones, so the answers can be read from the trace.
	err = recorder.ReadRecords(bytes.NewReader(trace), func(record recorder.Record) error {
		if record.Kind == tracer.HeaderKind {
			return nil
		}
		s, err := tracer.Decode(record)
		if err != nil {
			return err
		}
		if e, ok := s.Event.(router.RequestArrived); ok {
			indexes[e.Request] = len(r.Outcomes)
			r.Outcomes = append(r.Outcomes, Outcome{Request: e.Request, Service: e.Service, Kind: e.Kind})
		}
		for _, a := range s.Actions {
			r.recordAnswer(s.Number, indexes, a)
		}
		return nil
	})
	return r, err
}

// recordAnswer sets the outcome of a request from an action that answers it. It ignores other actions.
func (r *Result) recordAnswer(step uint64, indexes map[router.RequestID]int, a router.Action) {
	var o Outcome
	var id router.RequestID
	switch x := a.(type) {
	case router.AnswerSearch:
		id, o = x.Request, searchOutcome(x.Answer)
		if f := checkPartition(x.Answer); f != "" {
			r.Faults = append(r.Faults, fmt.Sprintf("step %d: request %d: %s", step, id, f))
		}
	case router.AnswerPoint:
		id, o = x.Request, Outcome{Outcome: x.Answer.Outcome, Reason: x.Answer.Reason}
	default:
		return
	}
	i, ok := indexes[id]
	if !ok || r.Outcomes[i].Outcome != "" {
		r.Faults = append(r.Faults, fmt.Sprintf("step %d: request %d was answered twice or never arrived", step, id))
		return
	}
	o.Request, o.Service, o.Kind = id, r.Outcomes[i].Service, r.Outcomes[i].Kind
	r.Outcomes[i] = o
}

// searchOutcome converts an answer to a search to an outcome, with sorted shards.
func searchOutcome(a *encoder.SearchAnswer) Outcome {
	o := Outcome{Outcome: a.Outcome, Reason: a.Reason, Snapshot: a.Snapshot, Covered: slices.Sorted(slices.Values(a.Covered))}
	for _, m := range a.Missing {
		o.Missing = append(o.Missing, m.Shard)
	}
	slices.Sort(o.Missing)
	return o
}

// checkPartition checks that an answer to a search that ran reports each shard of its layout exactly once, and has results of
// exactly the covered shards. It returns what is wrong, or "".
func checkPartition(a *encoder.SearchAnswer) string {
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
			return fmt.Sprintf("got shard %d, want shard %d: each shard must be reported exactly once", s, i)
		}
	}
	switch {
	case len(shards) != a.ShardsTotal:
		return fmt.Sprintf("%d shards reported, want %d", len(shards), a.ShardsTotal)
	case !slices.Equal(results, slices.Sorted(slices.Values(a.Covered))):
		return fmt.Sprintf("results of shards %v, want results of exactly the covered shards", results)
	default:
		return ""
	}
}
