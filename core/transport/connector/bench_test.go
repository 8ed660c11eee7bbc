package connector

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// BenchmarkSend measures one sub-request over loopback TCP, with the upstream in the same process.
func BenchmarkSend(b *testing.B) {
	held := []encoder.HeldVersion{{Version: 1, Layout: "l", ShardsTotal: 40, Shards: []int{0, 1, 2, 3}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := json.Marshal(encoder.SubReply{RequestID: r.Header.Get(encoder.HeaderRequestID), Upstream: "u", Held: held})
		_, _ = w.Write(data)
	}))
	defer server.Close()
	events := make(chan router.Event, 100)
	c := New(Options{VM: "vm", Incarnation: 1, Events: events})
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	c.Do(router.Pool{Service: "s", Upstream: "u", Address: address, Connections: 1})
	for range 2 { // the events of the first ping and of the number of connections
		<-events
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Do(router.Send{
			Attempt: router.AttemptID(i), Service: "s", Upstream: "u", Kind: encoder.SubSearch, Query: "q", Version: 1,
			Deadline: time.Now().Add(time.Minute),
		})
		if _, ok := (<-events).(router.ReplyArrived); !ok {
			b.Fatal("no reply")
		}
	}
	c.Close()
	<-c.Done()
}
