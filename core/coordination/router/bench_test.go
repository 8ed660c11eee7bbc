package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// BenchmarkSearch measures a fault-free search from its arrival to its answer and reports the time for each sub-request. The
// replies are built once and shared, so that only the work of the machine is measured.
func BenchmarkSearch(b *testing.B) {
	for _, groups := range []int{10, 100, 500, 1500} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			var m Machine
			m.Configure(Config{FailureDomain: "d0", VM: "vm1", Random: rand.New(rand.NewPCG(1, 2))})
			table := testTable(groups, testReplicas)
			now := epoch
			m.Step(now, TableAdopted{table})
			replies := make(map[string]*encoder.SubReply)
			for _, u := range table.Values[0].Upstreams {
				r := &encoder.SubReply{Upstream: u.Upstream, Incarnation: 1, Status: encoder.StatusOK, Version: 7, Layout: "a"}
				h := encoder.HeldVersion{Version: 7, Layout: "a", ShardsTotal: groups * testShards}
				for k := range testShards {
					h.Shards = append(h.Shards, u.Group*testShards+k)
					r.Results = append(r.Results, encoder.ShardResult{Shard: u.Group*testShards + k})
				}
				r.Held = []encoder.HeldVersion{h}
				replies[u.Upstream] = r
				m.Step(now, UpstreamSeen{Service: u.Service, Reply: r})
			}
			sends := make([]Send, 0, groups)
			next := RequestID(0)
			search := func() {
				next++
				sends = sends[:0]
				for _, a := range m.Step(now, RequestArrived{Request: next, Service: "matching", Kind: encoder.SubSearch, Query: "cats near the river"}) {
					if s, ok := a.(Send); ok {
						sends = append(sends, s)
					}
				}
				answered := false
				for k := range sends {
					now = now.Add(time.Microsecond)
					for _, a := range m.Step(now, ReplyArrived{Attempt: sends[k].Attempt, Reply: replies[sends[k].Upstream]}) {
						if s, ok := a.(AnswerSearch); ok {
							answered = s.Answer.Outcome == encoder.OutcomeDone
						}
					}
				}
				if !answered || len(sends) != groups {
					b.Fatalf("%d sub-requests, answered %t", len(sends), answered)
				}
			}
			for range 10 {
				search()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				search()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(groups), "ns/sub-request")
		})
	}
}
