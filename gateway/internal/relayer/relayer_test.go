package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

func items(revisions ...uint64) []translator.Item {
	var out []translator.Item
	for _, r := range revisions {
		out = append(out, translator.Item{Key: "k", Value: []byte("v"), Revision: r})
	}
	return out
}

// nItems returns n items with the revisions 1 to n.
func nItems(n int) []translator.Item {
	out := make([]translator.Item, n)
	for i := range out {
		out[i].Revision = uint64(i + 1)
	}
	return out
}

// TestHistory guards against followers that miss a change, and against responses that look newer or more complete than the history
// is.
func TestHistory(t *testing.T) {
	request := ChangesRequest{After: 5, Wait: time.Millisecond, MaxAge: time.Hour}
	cases := []struct {
		name    string
		fill    func(h *History, now time.Time)
		request ChangesRequest
		want    ChangesResponse
		minAge  time.Duration
	}{
		{"empty history", func(*History, time.Time) {}, request, ChangesResponse{Incomplete: true}, 0},
		{"no changes", func(h *History, now time.Time) { h.Reset(now, 0, 5) }, request, ChangesResponse{Revision: 5}, 0},
		{"changes", func(h *History, now time.Time) { h.Reset(now, 0, 4); h.AddChanges(now, items(5, 6, 7), 8) }, request,
			ChangesResponse{Revision: 8, Records: []Record{{Key: "k", Value: []byte("v"), Revision: 6}, {Key: "k", Value: []byte("v"), Revision: 7}}}, 0},
		{"follower ahead of the history", func(h *History, now time.Time) { h.Reset(now, 0, 4) }, request, ChangesResponse{Revision: 5}, 0},
		{"history starts after the requested revision", func(h *History, now time.Time) { h.Reset(now, 0, 6) }, request, ChangesResponse{Incomplete: true}, 0},
		{"requested revision dropped from a full history", func(h *History, now time.Time) { h.Reset(now, 0, 0); h.AddChanges(now, nItems(maxItems+6), maxItems+6) }, request, ChangesResponse{Incomplete: true}, 0},
		{"follower of an earlier era", func(h *History, now time.Time) { h.Reset(now, 2, 4); h.AddChanges(now, items(5, 6, 7), 8) }, request, ChangesResponse{Incomplete: true, Era: 2}, 0},
		{"follower of a later era", func(h *History, now time.Time) { h.Reset(now, 1, 5) }, ChangesRequest{After: 5, Era: 2, Wait: time.Hour, MaxAge: time.Hour},
			ChangesResponse{Incomplete: true, Era: 1}, 0},
		{"no contact with the store", func(h *History, now time.Time) { h.Reset(now.Add(-time.Minute), 0, 5) }, ChangesRequest{After: 5, Wait: time.Hour, MaxAge: time.Second},
			ChangesResponse{Revision: 5}, time.Minute},
	}
	for _, c := range cases {
		var h History
		c.fill(&h, time.Now())
		got := h.ChangesSince(context.Background(), c.request)
		if got.Age < c.minAge || got.Age > c.minAge+10*time.Second {
			t.Errorf("%s: age %v, want %v", c.name, got.Age, c.minAge)
		}
		got.Age = 0
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: response (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestHistoryBytes guards against a history of large values that fills the memory of all VMs, with or without followers, and against followers that miss the last write of a key because an earlier one
// was dropped.
func TestHistoryBytes(t *testing.T) {
	const changes, size = 600, 700 << 10
	manifest := func(n int) translator.Item { // does not compress
		value := make([]byte, size)
		_, _ = rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)}).Read(value)
		return translator.Item{Key: "manifest", Value: value, Revision: uint64(3 * n)}
	}
	other := func(n int) translator.Item {
		return translator.Item{Key: fmt.Sprint("entry", n%4), Value: []byte("v"), Revision: uint64(3*n + 1)}
	}
	large := func(n int) translator.Item {
		return translator.Item{Key: fmt.Sprint("large", n), Value: make([]byte, size), Revision: uint64(3*n + 1)}
	}
	cases := []struct {
		name string
		next func(n int) translator.Item
		// incomplete is whether a follower that is 20 changes behind has to read the store.
		incomplete bool
	}{{"manifests", manifest, false}, {"many large values", large, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h History
			now := time.Now()
			h.Reset(now, 0, 2)
			for n := 1; n <= changes; n++ {
				h.AddChanges(now, []translator.Item{c.next(n), other(n)}, uint64(3*n+1))
				if n%100 == 0 {
					h.ChangesSince(context.Background(), ChangesRequest{After: uint64(3*n - 1), MaxAge: time.Hour}) // compresses values
				}
			}
			held := 0
			for i := range h.records {
				held += h.records[i].size()
			}
			if held > maxBytes || held != h.bytes {
				t.Errorf("the history holds %d bytes and counts %d, want at most %d", held, h.bytes, maxBytes)
			}
			behind := 3*(changes-20) + 1
			got := h.ChangesSince(context.Background(), ChangesRequest{After: uint64(behind), MaxAge: time.Hour})
			if got.Incomplete != c.incomplete {
				t.Errorf("the response to a follower 20 changes behind is incomplete: %t, want %t", got.Incomplete, c.incomplete)
			}
			if c.incomplete {
				return
			}
			revisions := map[string]uint64{}
			for _, r := range got.Records {
				revisions[r.Key] = r.Revision
			}
			want := map[string]uint64{"manifest": 3 * changes}
			for n := changes - 3; n <= changes; n++ {
				want[other(n).Key] = other(n).Revision
			}
			if diff := cmp.Diff(want, revisions); diff != "" {
				t.Errorf("last writes that a follower gets (-want +got):\n%s", diff)
			}
		})
	}
}

func startRelay(t *testing.T, h *History) netip.AddrPort {
	l, err := acceptor.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	var memory bounder.Memory
	l.Bounds.Memory = &memory
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, h, func(error) {}) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil || memory.Held() != 0 || l.Conns() != 0 {
			t.Errorf("%v; %d bytes and %d connections remain", err, memory.Held(), l.Conns())
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestClient guards against a change that a waiting follower does not receive, and against a client that keeps using a failed connection
// or the address of another VM.
func TestClient(t *testing.T) {
	var first, second History
	first.Reset(time.Now(), 0, 5)
	second.Reset(time.Now(), 0, 9)
	a, b := startRelay(t, &first), startRelay(t, &second)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	call := func(c *Client, address netip.AddrPort, timeout time.Duration) (*ChangesResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return c.ChangesSince(ctx, address, ChangesRequest{After: 5, Wait: timeout, MaxAge: time.Hour})
	}
	var c Client
	go func() {
		for !first.HasFollowers(time.Now()) {
			time.Sleep(time.Millisecond)
		}
		first.AddChanges(time.Now(), items(6), 6)
	}()
	if got, err := call(&c, a, time.Minute); err != nil || got.Revision != 6 || len(got.Records) != 1 {
		t.Errorf("response %+v, error %v", got, err)
	}
	if got, err := call(&c, netip.MustParseAddrPort(silent.Addr().String()), 50*time.Millisecond); err == nil {
		t.Errorf("response of a silent VM: %+v", got)
	}
	if got, err := call(&c, b, time.Minute); err != nil || !got.Incomplete {
		t.Errorf("response of the other VM: %+v, error %v", got, err)
	}
}

// TestPackedValues guards against a manifest that every follower gets uncompressed, against values that change on their way, and against a
// packed value of a peer that takes all memory.
func TestPackedValues(t *testing.T) {
	routes := strings.Repeat(`{"name":"route","host":"h.example","prefix":"/a/"},`, 1000)
	want := []translator.Item{
		{Key: "short", Value: []byte("v"), Revision: 2}, {Key: "long", Value: []byte(routes), Revision: 3}, {Key: "gone", Revision: 4, Removed: true},
	}
	var h History
	h.Reset(time.Now(), 0, 1)
	h.AddChanges(time.Now(), want, 4)
	for range 2 { // the second follower gets what was compressed for the first one
		r := h.ChangesSince(context.Background(), ChangesRequest{After: 1, MaxAge: time.Hour})
		got, err := r.Items()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("items (-want +got):\n%s", diff)
		}
		if data, err := json.Marshal(r); err != nil || len(data) > len(routes)/5 {
			t.Errorf("the response has %d bytes for a value of %d, error %v", len(data), len(routes), err)
		}
	}
	bomb, ok := pack(make([]byte, maxUnpackedBytes+1))
	if !ok {
		t.Fatal("zeros are not compressed")
	}
	for name, value := range map[string][]byte{"too long": bomb, "malformed": []byte("value"), "cut": bomb[:len(bomb)/2]} {
		r := ChangesResponse{Records: []Record{{Key: "k", Value: value, Packed: true}}}
		if _, err := r.Items(); err == nil {
			t.Errorf("a packed value that is %s is accepted", name)
		}
	}
}

// FuzzResponse guards against a response of a peer that makes the process panic.
func FuzzResponse(f *testing.F) {
	for _, a := range []ChangesResponse{{Incomplete: true}, {Revision: 3, Records: []Record{{Key: translator.ManifestKey, Value: []byte(`{"version":1}`), Revision: 2}}},
		{Records: []Record{{Key: "k", Value: []byte("malformed"), Packed: true}}}} {
		data, err := json.Marshal(a)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var a ChangesResponse
		if json.Unmarshal(data, &a) != nil {
			return
		}
		items, err := a.Items()
		if err != nil {
			return
		}
		if c, err := translator.DecodeChanges(items, a.Revision); err == nil && c.Revision != a.Revision {
			t.Errorf("revision %d, want %d", c.Revision, a.Revision)
		}
	})
}

// TestExchange answers the load of VMs that are cut from the store, and of the collecting VM of another failure domain: their reports of a slow
// upstream must pass although the collecting VM knows nothing of the store. A waiting follower must hear of it before its wait is over.
func TestExchange(t *testing.T) {
	slow := []reporter.Report{{Service: "s", Upstream: "u", Tries: 9, Latency: 9 * time.Second, Compared: 9 * time.Second, Usual: time.Second},
		{Service: "s", Upstream: "v", Tries: 9, Latency: 9 * time.Second, Compared: 9 * time.Second, Usual: 9 * time.Second}}
	var histories [2]History
	var members []elector.Member
	for i, domain := range []string{"a", "b"} {
		address := startRelay(t, &histories[i])
		members = append(members, elector.Member{Name: "collector-" + domain, FailureDomain: domain, Address: address, LinkMbps: 9},
			elector.Member{Name: "cut-" + domain, FailureDomain: domain})
	}
	histories[1].Reset(time.Now(), 0, 5)
	woken := make(chan ChangesResponse, 1)
	go func() {
		woken <- histories[1].ChangesSince(t.Context(), ChangesRequest{After: 5, Wait: time.Minute, MaxAge: time.Minute})
	}()
	for !histories[1].HasFollowers(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	rated := map[string]int{}
	for n, self := range []elector.Member{members[1], members[1], members[0]} { // the second one follows the collecting VM, and has news
		e := &Exchange{
			TakeNews:  func() []reporter.Report { return []reporter.Report{{Service: "s", Upstream: "w"}} },
			Collector: elector.Collector{Self: self, MinDomainSize: 1}, History: &histories[0], Log: logger.New(zapcore.AddSync(io.Discard), self.Name),
			TakeReports: func() []reporter.Report { reports := slow; slow = nil; return reports },
			OnRatings:   func(r []reporter.Rating) { rated[self.Name] += len(r) },
		}
		e.SetMembers(time.Now(), members)
		if e.Carry(time.Now(), "") || !e.Carry(time.Now(), "collector-a") || e.Carry(time.Now(), "cut-a") {
			t.Error("only a request for changes to the collecting VM carries the reports")
		}
		if n == 1 {
			e.Carry(time.Now(), "collector-a")
			if _, ok := e.step(t.Context()); ok {
				t.Error("news are sent while no rating is urgent")
			}
			e.SetRatings([]reporter.Rating{{Urgent: true}})
		}
		if pause, ok := e.step(t.Context()); !ok || pause != troubleInterval {
			t.Errorf("%s: next step after %v, %t", self.Name, pause, ok)
		}
	}
	if diff := cmp.Diff(map[string]int{"cut-a": 2, "collector-a": 1}, rated); diff != "" {
		t.Errorf("ratings (-want +got):\n%s", diff)
	}
	if r := <-woken; len(r.Ratings) != 1 || r.Ratings[0].Upstream != "u" {
		t.Errorf("the follower in the other failure domain got %+v", r)
	}
}
