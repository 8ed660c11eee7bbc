package relayer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/platform/translator"
)

func items(revisions ...uint64) []translator.Item {
	var out []translator.Item
	for _, r := range revisions {
		out = append(out, translator.Item{Key: "k", Value: []byte("v"), Revision: r})
	}
	return out
}

func many(n int) []translator.Item {
	out := make([]translator.Item, n)
	for i := range out {
		out[i].Revision = uint64(i + 1)
	}
	return out
}

// TestHistory guards against followers that miss a change, and against knowledge that looks newer or more complete than it is.
func TestHistory(t *testing.T) {
	hour := ChangesRequest{After: 5, Wait: time.Millisecond, MaxAge: time.Hour}
	cases := []struct {
		name   string
		fill   func(h *History, now time.Time)
		ask    ChangesRequest
		want   ChangesResponse
		oldest time.Duration // least age
	}{
		{"nothing is known", func(*History, time.Time) {}, hour, ChangesResponse{Incomplete: true}, 0},
		{"nothing new", func(h *History, now time.Time) { h.Reset(now, 5) }, hour, ChangesResponse{Revision: 5}, 0},
		{"changes", func(h *History, now time.Time) { h.Reset(now, 4); h.AddChanges(now, items(5, 6, 7), 8) }, hour,
			ChangesResponse{Revision: 8, Records: []Record{{Key: "k", Value: []byte("v"), Revision: 6}, {Key: "k", Value: []byte("v"), Revision: 7}}}, 0},
		{"the follower is ahead", func(h *History, now time.Time) { h.Reset(now, 4) }, hour, ChangesResponse{Revision: 5}, 0},
		{"the follower is further behind than the history", func(h *History, now time.Time) { h.Reset(now, 6) }, hour, ChangesResponse{Incomplete: true}, 0},
		{"a long history", func(h *History, now time.Time) { h.Reset(now, 0); h.AddChanges(now, many(mostItems+6), mostItems+6) }, hour, ChangesResponse{Incomplete: true}, 0},
		{"the store is lost", func(h *History, now time.Time) { h.Reset(now.Add(-time.Minute), 5) }, ChangesRequest{After: 5, Wait: time.Hour, MaxAge: time.Second},
			ChangesResponse{Revision: 5}, time.Minute},
	}
	for _, c := range cases {
		var h History
		c.fill(&h, time.Now())
		got := h.ChangesSince(context.Background(), c.ask)
		if got.Age < c.oldest || got.Age > c.oldest+10*time.Second {
			t.Errorf("%s: age %v, want %v", c.name, got.Age, c.oldest)
		}
		got.Age = 0
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: answer (-want +got):\n%s", c.name, diff)
		}
	}
}

func serve(t *testing.T, h *History) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, h, func(error) {}) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestFollower guards against a change that a waiting follower does not get, and against a follower that is stuck with a connection that
// failed or with the address of another VM.
func TestFollower(t *testing.T) {
	var first, second History
	first.Reset(time.Now(), 5)
	second.Reset(time.Now(), 9)
	a, b := serve(t, &first), serve(t, &second)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	ask := func(f *Client, at netip.AddrPort, limit time.Duration) (*ChangesResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return f.ChangesSince(ctx, at, ChangesRequest{After: 5, Wait: limit, MaxAge: time.Hour})
	}
	var f Client
	go func() {
		for !first.HasFollowers(time.Now()) {
			time.Sleep(time.Millisecond)
		}
		first.AddChanges(time.Now(), items(6), 6)
	}()
	if got, err := ask(&f, a, time.Minute); err != nil || got.Revision != 6 || len(got.Items()) != 1 {
		t.Errorf("answer %+v, error %v", got, err)
	}
	if got, err := ask(&f, netip.MustParseAddrPort(silent.Addr().String()), 50*time.Millisecond); err == nil {
		t.Errorf("a silent VM answered %+v", got)
	}
	if got, err := ask(&f, b, time.Minute); err != nil || !got.Incomplete {
		t.Errorf("answer of the other VM %+v, error %v", got, err)
	}
}

// FuzzAnswer guards against an answer of a peer that stops the process.
func FuzzAnswer(f *testing.F) {
	for _, a := range []ChangesResponse{{Incomplete: true}, {Revision: 3, Records: []Record{{Key: translator.ManifestKey, Value: []byte(`{"version":1}`), Revision: 2}}}} {
		data, err := json.Marshal(a)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var a ChangesResponse
		if (encoding{}).Unmarshal(data, &a) != nil {
			return
		}
		if c, err := translator.DecodeChanges(a.Items(), a.Revision); err == nil && c.Revision != a.Revision {
			t.Errorf("revision %d, want %d", c.Revision, a.Revision)
		}
	})
}
