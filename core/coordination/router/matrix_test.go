package router

import (
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
)

const (
	matrixSteps = 5 // attempts that get faults: three groups and two retries
	matrixSeeds = 3
)

type scenario struct {
	service string
	kind    encoder.SubKind
	isWarm  bool // the index version is known
}

var scenarios = []scenario{
	{"matching", encoder.SubSearch, false}, {"matching", encoder.SubSearch, true},
	{"profiles", encoder.SubLookup, true}, {"profiles", encoder.SubCall, true},
}

// play runs one request with faults at given attempts.
func (c scenario) play(seed uint64, plan map[int]fault) *world {
	w := newWorld(seed)
	if c.isWarm {
		w.step(RequestArrived{Request: 1, Service: "matching", Kind: encoder.SubSearch, Query: "first"})
		w.run(epoch.Add(time.Second))
	}
	for k, f := range plan {
		w.plan[len(w.sends)+k] = f
	}
	w.step(RequestArrived{Request: 2, Service: c.service, Kind: c.kind, Query: "second"})
	w.run(w.now.Add(2 * time.Second))
	if w.err == nil {
		w.err = w.checker.finished()
	}
	return w
}

// TestFaultMatrix guards against a fault, or two together, at any attempt that break an invariant or cost a shard although
// enough replicas work.
func TestFaultMatrix(t *testing.T) {
	runs := 0
	for _, c := range scenarios {
		for seed := range uint64(matrixSeeds) {
			for i := 1; i <= matrixSteps; i++ {
				for f := faultNone; f < faultCount; f++ {
					for j := i; j <= matrixSteps; j++ {
						for g := faultNone; g < faultCount; g++ {
							if (f == faultNone || i == j) && (g != faultNone || j != i) {
								continue // the single faults are the runs with i == j
							}
							runs++
							plan := map[int]fault{j: g}
							plan[i] = f
							w := c.play(seed, plan)
							if w.err != nil {
								t.Fatalf("%+v seed %d plan %v: %v", c, seed, plan, w.err)
							}
							if missing := missingBeyond(w, plan); missing != "" {
								t.Fatalf("%+v seed %d plan %v: %s\n%+v", c, seed, plan, missing, w.answers[2])
							}
						}
					}
				}
			}
		}
	}
	t.Logf("%d runs", runs)
}

// missingBeyond returns a reason when a search lacks a shard of a group that had at most one fault.
func missingBeyond(w *world, plan map[int]fault) string {
	a, ok := w.answers[2].(*encoder.SearchAnswer)
	if !ok {
		return ""
	}
	faults := make([]int, testGroups)
	first := len(w.sends)
	for k, s := range w.sends {
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
