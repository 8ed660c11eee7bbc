package router

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a Machine with a scripted time and a record of what it did.
type fixture struct {
	machine Machine
	now     time.Time
	sends   []Send
	answers map[RequestID]any
	log     []Action
}

const (
	testGroups   = 3
	testReplicas = 3
	testShards   = 2 // of each group
)

func upstreamName(g, k int) string { return fmt.Sprintf("u%d-%d", g, k) }

func testTable(groups, replicas int) *tabler.Snapshot {
	search := &tabler.Value{Service: tabler.ServiceRow{Service: "matching", Deadline: 72 * time.Millisecond, HedgeBudget: 0.05}}
	point := &tabler.Value{Service: tabler.ServiceRow{Service: "profiles", Kind: tabler.KindPoint, Deadline: 72 * time.Millisecond, HedgeBudget: 0.05}}
	for g := range groups {
		for k := range replicas {
			row := tabler.UpstreamRow{
				Service: "matching", Group: g, Upstream: upstreamName(g, k), Weight: 100, Connections: 240, Slots: 20,
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(g), byte(k + 1)}), 9000),
				FailureDomain: fmt.Sprintf("d%d", k),
			}
			search.Upstreams = append(search.Upstreams, row)
			if g == 0 {
				row.Service, row.Upstream = "profiles", fmt.Sprintf("p%d", k)
				point.Upstreams = append(point.Upstreams, row)
			}
		}
	}
	return &tabler.Snapshot{Fleet: tabler.Fleet{Max: 12}, Values: []*tabler.Value{search, point}}
}

func newFixture(seed uint64) *fixture {
	f := &fixture{now: epoch, answers: make(map[RequestID]any)}
	f.machine.Configure(Config{FailureDomain: "d0", VM: "vm1", Random: rand.New(rand.NewPCG(seed, seed))})
	f.step(TableAdopted{testTable(testGroups, testReplicas)})
	return f
}

func (f *fixture) step(ev Event) []Action {
	out := f.machine.Step(f.now, ev)
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			f.sends = append(f.sends, a)
		case AnswerSearch:
			f.answers[a.Request] = a.Answer
		case AnswerPoint:
			f.answers[a.Request] = a.Answer
		}
	}
	f.log = append(f.log, out...)
	return out
}

func heldFor(group int, version uint64) encoder.HeldVersion {
	h := encoder.HeldVersion{Version: version, Layout: "a", ShardsTotal: testGroups * testShards}
	for k := range testShards {
		h.Shards = append(h.Shards, group*testShards+k)
	}
	return h
}

// reply is the complete reply of an upstream that holds one version.
func reply(s Send, version uint64) *encoder.SubReply {
	var group int
	r := &encoder.SubReply{Upstream: s.Upstream, Incarnation: 1, Status: encoder.StatusOK}
	if s.Kind != encoder.SubSearch {
		return r
	}
	if _, err := fmt.Sscanf(s.Upstream, "u%d-", &group); err != nil {
		panic(err)
	}
	h := heldFor(group, version)
	r.Held, r.Version, r.Layout = []encoder.HeldVersion{h}, version, h.Layout
	for _, shard := range h.Shards {
		r.Results = append(r.Results, encoder.ShardResult{Shard: shard, Items: []string{"x"}})
	}
	return r
}

// TestPlainRequests guards against a request without faults that is not answered as done by one sub-request for each group.
func TestPlainRequests(t *testing.T) {
	cases := []struct {
		service string
		kind    encoder.SubKind
		sends   int
	}{{"matching", encoder.SubSearch, testGroups}, {"profiles", encoder.SubLookup, 1}, {"profiles", encoder.SubCall, 1}}
	for _, c := range cases {
		f := newFixture(1)
		f.step(RequestArrived{Request: 1, Service: c.service, Kind: c.kind})
		for _, s := range f.sends {
			f.now = f.now.Add(time.Millisecond)
			f.step(ReplyArrived{Attempt: s.Attempt, Reply: reply(s, 7)})
		}
		done := false
		switch a := f.answers[1].(type) {
		case *encoder.SearchAnswer:
			done = a.Outcome == encoder.OutcomeDone && a.Snapshot == 7 && len(a.Covered) == testGroups*testShards
		case *encoder.CallAnswer:
			done = a.Outcome == encoder.OutcomeDone
		}
		if !done || len(f.sends) != c.sends {
			t.Errorf("%s: %d sends, answer %+v", c.kind, len(f.sends), f.answers[1])
		}
	}
}
