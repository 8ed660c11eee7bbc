package encoder

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkSlopeSubReply measures encoding a sub-request and decoding a reply with one shard and one held version.
func BenchmarkSlopeSubReply(b *testing.B) {
	data, err := json.Marshal(SubReply{
		RequestID: "vm01-1767225600000-123456", Upstream: "matching-g0001-r1", Incarnation: 1767225600000, Status: StatusOK,
		Load:    Load{Running: 3, Queued: 1, Slots: 5, Connections: 20},
		Held:    []HeldVersion{{Version: 7, Layout: "a", ShardsTotal: 1500, Shards: []int{1}}},
		Version: 7, Layout: "a", Results: []ShardResult{{Shard: 1, Items: []string{"slot-1", "slot-2"}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := json.Marshal(SubRequest{Service: "matching", Kind: SubSearch, Query: "free slots on friday"}); err != nil {
			b.Fatal(err)
		}
		var r SubReply
		if err := DecodeBytes(data, MaxReplyBytes, &r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "B/reply")
}

// BenchmarkSlopeList measures decoding the platform's VM list for several numbers of VMs, and reports its size.
func BenchmarkSlopeList(b *testing.B) {
	for _, n := range []int{100, 1000, 12400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var l VMList
			for i := range n {
				l.VMs = append(l.VMs, ListedVM{
					Name: fmt.Sprintf("matching-g%04d-r%d", i/3, i%3), Role: "upstream", Address: "10.1.100.100:7000",
					FailureDomain: fmt.Sprint("domain-", i%13), State: VMLive,
				})
			}
			data, err := json.Marshal(l)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var got VMList
				if err := DecodeBytes(data, MaxPlatformBytes, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/list")
		})
	}
}
