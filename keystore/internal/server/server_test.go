package server

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/transport/kvclient"
)

func newServer(t *testing.T) (*Server, *kvclient.Client) {
	t.Helper()
	s := &Server{}
	if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := &kvclient.Client{Address: s.Address(), Timeout: 10 * time.Second}
	t.Cleanup(c.Close)
	return s, c
}

func pointer[T any](v T) *T { return &v }

// TestFaults guards against a fault that the server does not produce on command, or does not end. The cases build on each other.
func TestFaults(t *testing.T) {
	s, c := newServer(t)
	ctx := context.Background()
	put := func(key string, expect uint64) kvclient.Status {
		return c.Put(ctx, key, []byte("v"), expect, 0).Status
	}
	cases := []struct {
		name    string
		command Command
		call    func() kvclient.Status
		want    kvclient.Status
	}{
		{"no fault", Command{}, func() kvclient.Status { return put("a", 0) }, kvclient.OK},
		{"conflict", Command{}, func() kvclient.Status { return put("a", 0) }, kvclient.Conflict},
		{"lost reply", Command{LoseAnswers: pointer(int64(1))}, func() kvclient.Status { return put("b", 0) }, kvclient.Uncertain},
		{"write with lost reply took effect", Command{}, func() kvclient.Status { return put("b", 0) }, kvclient.Conflict},
		{"refuse", Command{Down: pointer("refuse")}, func() kvclient.Status {
			// On an idle connection whose reset has not arrived yet, the status of the write would rightly be Uncertain.
			c.Close()
			return put("c", 0)
		}, kvclient.Unavailable},
		{"up after refuse", Command{Down: pointer("")}, func() kvclient.Status { return put("c", 0) }, kvclient.OK},
		{"close", Command{Down: pointer("close")}, func() kvclient.Status { return c.Get(ctx, "a").Status }, kvclient.Unavailable},
		{"up after close", Command{Down: pointer("")}, func() kvclient.Status { return c.Get(ctx, "a").Status }, kvclient.OK},
		{"write limit", Command{Writes: pointer(1e-9)}, func() kvclient.Status { put("d", 0); return put("e", 0) }, kvclient.Throttled},
		{"reads are exempt from the write limit", Command{}, func() kvclient.Status { return c.Get(ctx, "a").Status }, kvclient.OK},
		{"read limit", Command{Reads: pointer(1e-9)}, func() kvclient.Status { c.Get(ctx, "a"); return c.Get(ctx, "a").Status }, kvclient.Throttled},
		{"no limit", Command{Reads: pointer(0.0), Writes: pointer(0.0)}, func() kvclient.Status { return put("e", 0) }, kvclient.OK},
		{"unknown lease", Command{}, func() kvclient.Status { return c.Put(ctx, "f", nil, 0, 77).Status }, kvclient.Rejected},
	}
	for _, x := range cases {
		s.ApplyCommand(x.command)
		if got := x.call(); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// TestWatch guards against a watch that misses a change, is counted more than once, or does not report that the history it needs was
// compacted.
func TestWatch(t *testing.T) {
	s, c := newServer(t)
	s.Store.HistorySize = 2
	ctx := context.Background()
	changes := make(chan kvclient.WatchResult)
	go func() { changes <- c.Watch(ctx, "table/", 0, 30*time.Second) }()
	for s.CallCounts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Put(ctx, "claims/x", nil, 0, 0)
	c.Put(ctx, "table/x", []byte("1"), 0, 0)
	want := kvclient.WatchResult{Status: kvclient.OK, Revision: 2, Items: []encoder.KeyValue{{Key: "table/x", Value: []byte("1"), Revision: 2}}}
	if diff := cmp.Diff(want, <-changes, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	c.Delete(ctx, "table/x", 2)
	want = kvclient.WatchResult{Status: kvclient.OK, Revision: 3, Items: []encoder.KeyValue{{Key: "table/x", Revision: 3, Deleted: true}}}
	if diff := cmp.Diff(want, c.Watch(ctx, "table/", 2, 0), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("deletion (-want +got):\n%s", diff)
	}
	if got := c.Watch(ctx, "table/", 0, 0); !got.Compacted {
		t.Errorf("watch from before the history: %+v, want Compacted", got)
	}
	if diff := cmp.Diff(encoder.CallCounts{Writes: 3, Watches: 3}, s.CallCounts()); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// FuzzControl guards against a command that makes the server panic.
func FuzzControl(f *testing.F) {
	f.Add([]byte(`{"slow_ms":5,"set":[{"name":"vm1","state":"live"}]}`))
	f.Add([]byte(`{"down":"hang"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c Command
		if encoder.DecodeBytes(data, encoder.MaxPlatformBytes, &c) == nil && c.validate() == nil {
			(&Server{}).ApplyCommand(c)
		}
	})
}
