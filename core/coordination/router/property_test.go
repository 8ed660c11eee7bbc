package router

import (
	"fmt"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"

	"pgregory.net/rapid"
)

// recovered requires that a search and a call are answered as done once the faults have ended.
func recovered(t *rapid.T, w *world, id RequestID) {
	w.draw = nil
	w.step(TableAdopted{testTable(testGroups, testReplicas)})
	for _, v := range w.checker.table.Values {
		for _, u := range v.Upstreams {
			w.step(UpstreamLeaving{Service: u.Service, Upstream: u.Upstream})
		}
	}
	w.run(w.now.Add(20 * time.Second))
	// The first searches may find that every version the machine knows is gone, because a search restarts only once. The
	// probes stand for the pings that refresh what the machine knows.
	w.rollout = false
	for range 2 {
		w.step(RequestArrived{Request: id, Service: "matching", Kind: encoder.SubSearch, Query: "before"})
		w.run(w.now.Add(time.Second))
		id++
	}
	w.step(RequestArrived{Request: id, Service: "matching", Kind: encoder.SubSearch, Query: "after"})
	w.step(RequestArrived{Request: id + 1, Service: "profiles", Kind: encoder.SubCall, Body: []byte(`"after"`)})
	w.run(w.now.Add(2 * time.Second))
	if w.err != nil {
		t.Fatal(w.err)
	}
	search, call := w.answers[id].(*encoder.SearchAnswer), w.answers[id+1].(*encoder.CallAnswer)
	if search.Outcome != encoder.OutcomeDone || call.Outcome != encoder.OutcomeDone {
		t.Fatalf("no recovery after the faults: %+v %+v", search, call)
	}
}

// TestRandomEvents guards against any sequence of requests, faults, table changes and index versions that breaks an
// invariant: one version for each answer, every shard listed once, one answer for each caller that waits, calls that run at
// most once, the budget in every window, recovery after the faults, nothing for an upstream or a caller that is gone.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		share := rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.9}).Draw(t, "share of faults")
		kinds := rapid.SliceOfNDistinct(rapid.IntRange(1, int(faultCount)-1), 1, 6, rapid.ID).Draw(t, "faults")
		w.rollout = rapid.Bool().Draw(t, "rollout")
		w.draw = func() fault {
			if w.random.Float64() >= share {
				return faultNone
			}
			return fault(kinds[w.random.IntN(len(kinds))])
		}
		connections := rapid.SampledFrom([]int{12, 24, 240}).Draw(t, "connections")
		prefer := rapid.SampledFrom([]tabler.Preference{tabler.PreferCoverage, tabler.PreferLatency}).Draw(t, "prefer")
		queue := rapid.SampledFrom([]int{1, 3, 256}).Draw(t, "queue")
		limit := rapid.SampledFrom([]int{0, 12, 36}).Draw(t, "limit")
		table := func(replicas int) TableAdopted {
			s := testTable(testGroups, replicas)
			for _, v := range s.Values {
				v.Service.Prefer, v.Service.Queue, v.Service.InFlightLimit = prefer, queue, limit
				for i := range v.Upstreams {
					v.Upstreams[i].Connections = connections
				}
			}
			return TableAdopted{s}
		}
		w.step(table(testReplicas))
		var last RequestID
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				last++
				w.step(RequestArrived{
					Request: last, Service: "matching", Kind: encoder.SubSearch, Caller: fmt.Sprint(last % 3), Query: fmt.Sprint(last % 5),
				})
			case 5:
				last++
				w.step(RequestArrived{Request: last, Service: "profiles", Kind: encoder.SubLookup, Query: fmt.Sprint(last)})
			case 6, 7:
				last++
				w.step(RequestArrived{Request: last, Service: "profiles", Kind: encoder.SubCall, Body: []byte(fmt.Sprint(last))})
			case 8:
				if last > 0 {
					w.step(CallerGone{RequestID(rapid.Uint64Range(1, uint64(last)).Draw(t, "gone"))})
				}
			case 9:
				w.step(table(rapid.IntRange(1, 4).Draw(t, "replicas")))
			case 10:
				w.version++
			case 11:
				w.step(UpstreamUnreachable{Service: "matching", Upstream: "u1-1", Refused: true})
			}
			w.run(w.now.Add(time.Duration(rapid.IntRange(0, 30000).Draw(t, "gap")) * time.Microsecond))
		}
		w.run(w.now.Add(2 * time.Second))
		if w.err == nil {
			w.err = w.checker.finished()
		}
		if w.err != nil {
			t.Fatal(w.err)
		}
		recovered(t, w, last+1)
		if n := len(w.machine.attempts.places) - len(w.machine.attempts.free); n != 0 {
			t.Fatalf("%d attempts are never freed", n)
		}
		if n := len(w.machine.requests) + len(w.machine.timers); n != 0 {
			t.Fatalf("%d requests or timers are never freed", n)
		}
	})
}
