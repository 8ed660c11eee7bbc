package router

import (
	"fmt"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"

	"pgregory.net/rapid"
)

// requireRecovery checks that a search and a call are answered as done after the faults have ended.
func requireRecovery(t *rapid.T, sim *simulation, id RequestID) {
	sim.nextFault = nil
	sim.step(TableAdopted{testTable(testGroups, testReplicas)})
	for _, v := range sim.checker.table.Values {
		for _, u := range v.Upstreams {
			sim.step(UpstreamLeaving{Service: u.Service, Upstream: u.Upstream})
		}
	}
	sim.run(sim.now.Add(20 * time.Second))
	// The first searches may find that every version known to the machine is gone, because a search restarts only once. They stand
	// for the pings that refresh the known versions.
	sim.rollout = false
	for range 2 {
		sim.step(RequestArrived{Request: id, Service: "matching", Kind: encoder.SubSearch, Query: "before"})
		sim.run(sim.now.Add(time.Second))
		id++
	}
	sim.step(RequestArrived{Request: id, Service: "matching", Kind: encoder.SubSearch, Query: "after"})
	sim.step(RequestArrived{Request: id + 1, Service: "profiles", Kind: encoder.SubCall, Body: []byte(`"after"`)})
	sim.run(sim.now.Add(2 * time.Second))
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	search, call := sim.answers[id].(*encoder.SearchAnswer), sim.answers[id+1].(*encoder.CallAnswer)
	if search.Outcome != encoder.OutcomeDone || call.Outcome != encoder.OutcomeDone {
		t.Fatalf("no recovery after the faults: %+v %+v", search, call)
	}
}

// TestRandomEvents guards against sequences of requests, faults, table changes and index versions that break an invariant: one
// version for each answer, every shard listed once, one answer for each waiting caller, calls executed at most once, the budget
// in every window, recovery after the faults, and no sub-request to an excluded upstream or for a caller that is gone.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		share := rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.9}).Draw(t, "share of faults")
		kinds := rapid.SliceOfNDistinct(rapid.IntRange(1, int(faultCount)-1), 1, 6, rapid.ID).Draw(t, "faults")
		sim.rollout = rapid.Bool().Draw(t, "rollout")
		sim.nextFault = func() fault {
			if sim.upstreamRandom.Float64() >= share {
				return faultNone
			}
			return fault(kinds[sim.upstreamRandom.IntN(len(kinds))])
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
		sim.step(table(testReplicas))
		var last RequestID
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				last++
				sim.step(RequestArrived{
					Request: last, Service: "matching", Kind: encoder.SubSearch, Caller: fmt.Sprint(last % 3), Query: fmt.Sprint(last % 5),
				})
			case 5:
				last++
				sim.step(RequestArrived{Request: last, Service: "profiles", Kind: encoder.SubLookup, Query: fmt.Sprint(last)})
			case 6, 7:
				last++
				sim.step(RequestArrived{Request: last, Service: "profiles", Kind: encoder.SubCall, Body: []byte(fmt.Sprint(last))})
			case 8:
				if last > 0 {
					sim.step(CallerGone{RequestID(rapid.Uint64Range(1, uint64(last)).Draw(t, "gone"))})
				}
			case 9:
				sim.step(table(rapid.IntRange(1, 4).Draw(t, "replicas")))
			case 10:
				sim.version++
			case 11:
				sim.step(UpstreamUnreachable{Service: "matching", Upstream: "u1-1", Refused: true})
			}
			sim.run(sim.now.Add(time.Duration(rapid.IntRange(0, 30000).Draw(t, "gap")) * time.Microsecond))
		}
		sim.run(sim.now.Add(2 * time.Second))
		if sim.err == nil {
			sim.err = sim.checker.checkAllAnswered()
		}
		if sim.err != nil {
			t.Fatal(sim.err)
		}
		requireRecovery(t, sim, last+1)
		if n := len(sim.machine.attempts.slots) - len(sim.machine.attempts.free); n != 0 {
			t.Fatalf("%d attempts are never freed", n)
		}
		if n := len(sim.machine.requests) + len(sim.machine.timers); n != 0 {
			t.Fatalf("%d requests or timers are never freed", n)
		}
	})
}
