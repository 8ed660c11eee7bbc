package router

import (
	"fmt"
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
	for _, c := range scenarios {
		for seed := range uint64(matrixSeeds) {
			t.Run(fmt.Sprintf("%s/%t/%d", c.kind, c.isWarm, seed), func(t *testing.T) {
				t.Parallel()
				for i := 1; i <= matrixSteps; i++ {
					for f := faultNone + 1; f < faultCount; f++ {
						c.check(t, seed, map[int]fault{i: f})
						for j := i + 1; j <= matrixSteps; j++ {
							for g := faultNone + 1; g < faultCount; g++ {
								c.check(t, seed, map[int]fault{i: f, j: g})
							}
						}
					}
				}
			})
		}
	}
}

func (c scenario) check(t *testing.T, seed uint64, plan map[int]fault) {
	t.Helper()
	w := c.play(seed, plan)
	if w.err != nil {
		t.Fatalf("plan %v: %v", plan, w.err)
	}
	if missing := missingBeyond(w, plan); missing != "" {
		t.Fatalf("plan %v: %s\n%+v", plan, missing, w.answers[2])
	}
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
