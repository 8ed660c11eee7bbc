package requester

import (
	"testing"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// BenchmarkRoundTrip measures a short request and its reply on a connection that is kept.
func BenchmarkRoundTrip(b *testing.B) {
	u := newFakeUpstream(b, func(string) string { return "ok" })
	results := make(chan forwarder.Result, 1)
	c := Client{Protocol: lineProtocol{}, Report: func(_ *forwarder.Send, r forwarder.Result) { results <- r }}
	defer c.Close()
	next := forwarder.AttemptID(0)
	for b.Loop() {
		next++
		c.Do(forwarder.Send{Attempt: next, Upstream: "u", Address: u.address, Message: &forwarder.Message{Path: "/x"}, Deadline: time.Now().Add(time.Second), MaxConnections: 1})
		<-results
	}
	b.ReportMetric(float64(c.Counts.Opened.Load())/float64(b.N), "connections/op")
}
