package router

import (
	"fmt"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
)

const (
	matrixSteps = 5 // attempts with faults: three groups and two retries
	matrixSeeds = 3
)

type scenario struct {
	service string
	kind    encoder.SubKind
	isWarm  bool // the index version is known before the request
}

var scenarios = []scenario{
	{"matching", encoder.SubSearch, false}, {"matching", encoder.SubSearch, true},
	{"profiles", encoder.SubLookup, true}, {"profiles", encoder.SubCall, true},
}

// run executes one request in a simulation with faults at the attempts of the plan.
func (c scenario) run(seed uint64, plan map[int]fault) *simulation {
	sim := newSimulation(seed)
	if c.isWarm {
		sim.step(RequestArrived{Request: 1, Service: "matching", Kind: encoder.SubSearch, Query: "first"})
		sim.run(epoch.Add(time.Second))
	}
	for k, f := range plan {
		sim.plan[len(sim.sends)+k] = f
	}
	sim.step(RequestArrived{Request: 2, Service: c.service, Kind: c.kind, Query: "second"})
	sim.run(sim.now.Add(2 * time.Second))
	if sim.err == nil {
		sim.err = sim.checker.checkAllAnswered()
	}
	return sim
}

// TestFaultMatrix guards against one or two faults, at any attempts, that break an invariant or cause a missing shard although
// enough replicas work.
func TestFaultMatrix(t *testing.T) {
	for _, c := range scenarios {
		for seed := range uint64(matrixSeeds) {
			t.Run(fmt.Sprintf("%s/%t/%d", c.kind, c.isWarm, seed), func(t *testing.T) {
				t.Parallel()
				for i := 1; i <= matrixSteps; i++ {
					for f := faultNone + 1; f < faultCount; f++ {
						c.checkPlan(t, seed, map[int]fault{i: f})
						for j := i + 1; j <= matrixSteps; j++ {
							for g := faultNone + 1; g < faultCount; g++ {
								c.checkPlan(t, seed, map[int]fault{i: f, j: g})
							}
						}
					}
				}
			})
		}
	}
}

func (c scenario) checkPlan(t *testing.T, seed uint64, plan map[int]fault) {
	t.Helper()
	sim := c.run(seed, plan)
	if sim.err != nil {
		t.Fatalf("plan %v: %v", plan, sim.err)
	}
	if missing := unexpectedMissing(sim, plan); missing != "" {
		t.Fatalf("plan %v: %s\n%+v", plan, missing, sim.answers[2])
	}
}

// unexpectedMissing returns an error text if a search lacks a shard of a group that had at most one fault.
func unexpectedMissing(sim *simulation, plan map[int]fault) string {
	a, ok := sim.answers[2].(*encoder.SearchAnswer)
	if !ok {
		return ""
	}
	faults := make([]int, testGroups)
	first := len(sim.sends)
	for k, s := range sim.sends {
		if s.Request == 2 {
			first = min(first, k)
			if plan[k-first+1] != faultNone {
				faults[groupOf(s.Upstream)]++
			}
		}
	}
	for _, m := range a.Missing {
		if faults[m.Shard/testShards] < 2 {
			return "a shard is missing after at most one fault in its group"
		}
	}
	if a.ShardsTotal != testGroups*testShards {
		return "the layout of the answer is wrong"
	}
	return ""
}
