package forwarder

import (
	"testing"
	"time"
)

// BenchmarkSearch measures the decisions of one search over ten shards that all reply.
func BenchmarkSearch(b *testing.B) {
	h := newReadyHarness(b, 10)
	names := shardNames(10)
	for b.Loop() {
		h.request("/all/x", 0)
		for _, name := range names {
			h.reply(name)
		}
		h.now = h.now.Add(10 * time.Millisecond)
		clear(h.answers)
		h.sent = h.sent[:0]
	}
}
