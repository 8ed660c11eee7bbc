package selector

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// event is the end of a sub-request at an upstream (query >= 0) or the arrival of query i (query -1).
type event struct {
	at          time.Duration
	vm, i       int
	query       int
	since, sent time.Duration
}

// insertEvent inserts an event into a queue that is sorted by time.
func insertEvent(q []event, e event) []event {
	i, _ := slices.BinarySearchFunc(q, e.at, func(o event, at time.Duration) int {
		if o.at > at {
			return 1
		}
		return -1
	})
	return slices.Insert(q, i, e)
}

// simulate runs an open loop of queries from several VMs over groups of replicas with slots and queues, and returns the
// latencies of the queries, each that of its slowest sub-request. One replica in ten is slower than the others by a factor,
// and which one changes with time, so that a policy must detect it.
func simulate(p Policy, seed uint64, queries int, load float64) []time.Duration {
	const vms, groups, replicas, slots = 7, 10, 3, 5
	const mean = 4 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	pick := rand.New(rand.NewPCG(seed, 2))
	sets := make([]*Set, vms)
	for v := range sets {
		sets[v] = newSet(groups, replicas, 3)
		sets[v].ownDomain = []string{"d0", "d1", "d2"}[v%3]
		sets[v].SetFixedLimits(true)
		sets[v].SetFleetMax(1)
	}
	type upstream struct{ free [slots]time.Duration }
	state := make([]upstream, groups*replicas)
	gap := float64(mean) / (load * replicas * slots)
	left := make([]int, queries)
	out := make([]time.Duration, queries)
	q := []event{{query: -1}}
	for len(q) > 0 {
		e := q[0]
		q = q[1:]
		now, s := start.Add(e.at), sets[e.vm]
		if e.query >= 0 {
			busy := 0
			for _, f := range state[e.i].free {
				if f > e.at {
					busy++
				}
			}
			s.ObserveReply(now, e.i, &encoder.SubReply{Load: encoder.Load{Running: busy, Slots: slots}})
			s.RecordResult(now, e.i, Result{Kind: OK, Latency: e.at - e.sent})
			left[e.query]--
			if left[e.query] == 0 {
				out[e.query] = e.at - e.since
			}
			continue
		}
		if n := e.i + 1; n < queries {
			q = insertEvent(q, event{at: e.at + time.Duration(r.ExpFloat64()*gap), vm: n % vms, i: n, query: -1})
		}
		for g := range groups {
			i, ok := s.Pick(now, pick, Query{Group: g, Policy: p})
			if !ok {
				panic("no upstream below its limit")
			}
			s.RecordStart(now, i)
			service := time.Duration((0.5 + 0.5*r.ExpFloat64()) * float64(mean))
			if (i+int(e.at/(2*time.Second)))%10 == 0 {
				service *= 3
			}
			slot := 0
			for k, f := range state[i].free {
				if f < state[i].free[slot] {
					slot = k
				}
			}
			state[i].free[slot] = max(state[i].free[slot], e.at) + service
			left[e.i]++
			q = insertEvent(q, event{at: state[i].free[slot] + time.Millisecond, vm: e.vm, i: i, query: e.i, since: e.at, sent: e.at})
		}
	}
	return out
}

// TestComparePolicies guards against a default policy whose tail latency is not below that of random selection.
func TestComparePolicies(t *testing.T) {
	const seed, queries = 11, 20_000
	p99 := make(map[Policy]time.Duration)
	for _, load := range []float64{0.3, 0.6} {
		for _, p := range []Policy{Score, P2C, Least, Random} {
			l := simulate(p, seed, queries, load)
			slices.Sort(l)
			at := func(share float64) time.Duration { return l[int(share*float64(len(l)-1))].Round(10 * time.Microsecond) }
			t.Logf("seed %d, load %.1f, %-6s p50 %8v p99 %8v p99.9 %8v (%d queries)", seed, load, p, at(0.5), at(0.99), at(0.999), len(l))
			p99[p] = at(0.99)
		}
		if p99[Score] >= p99[Random] {
			t.Errorf("load %.1f: p99 of score %v is not below that of random %v", load, p99[Score], p99[Random])
		}
	}
}
