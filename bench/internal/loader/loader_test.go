package loader

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/bench/internal/checker"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/indexer"
)

// TestRun guards against an answer that is added to the wrong count. The test server answers in turn with a partial answer that
// lacks 1 of 16 shards, a rejection, an answer without results, an aborted connection and a whole answer.
func TestRun(t *testing.T) {
	d, err := describer.ReadFile(filepath.Join("..", "..", "..", "deployments", "quickstart.ini"))
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Uint64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q encoder.SearchRequest
		if err := encoder.Decode(r.Body, encoder.MaxCallerBytes, &q); err != nil {
			t.Error(err)
		}
		a := encoder.SearchAnswer{Outcome: encoder.OutcomeDone, Snapshot: 1, Layout: "l1", ShardsTotal: 16}
		for i := range 16 {
			a.Covered = append(a.Covered, i)
			a.Results = append(a.Results, encoder.ShardResult{Shard: i, Items: indexer.Items(q.Service, 1, "l1", i, q.Query)})
		}
		switch requests.Add(1) % 5 {
		case 1:
			a.Outcome, a.Missing = encoder.OutcomePartial, []encoder.MissingShard{{Shard: 15}}
			a.Covered, a.Results = a.Covered[:15], a.Results[:15]
		case 2:
			a = encoder.SearchAnswer{Outcome: encoder.OutcomeNotRun}
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			a.Results = nil
		case 4:
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(a)
	}))
	defer s.Close()
	mix, err := ParseMix("catalog", d)
	if err != nil {
		t.Fatal(err)
	}
	l := New(checker.New(d))
	defer l.Close()
	r := l.Run(context.Background(), Config{
		Entries: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))},
		Rate:    1000, Duration: 100 * time.Millisecond, ConstantArrivals: true, LatencyObjective: time.Minute, Mix: mix,
	})
	got := *r
	got.FailureExamples, got.CallOutcomes, got.Latency, got.SendLag = nil, nil, nil, nil
	want := Report{Sent: 100, Answered: 60, Whole: 40, Refused: 20, Failed: 20, Wrong: 20, WithinObjective: 60,
		CoveredShards: 20*15 + 40*16, ReportedShards: 60 * 16, NeededSubRequests: 80 * 4}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if n := r.Latency.TotalCount(); uint64(n) != want.Answered {
		t.Errorf("%d samples, want %d", n, want.Answered)
	}
}

// TestLatencyFromIntendedTime guards against a latency that is measured from the actual send time, which omits the delay of
// requests that the load generator sends late.
func TestLatencyFromIntendedTime(t *testing.T) {
	d, err := describer.ReadFile(filepath.Join("..", "..", "..", "deployments", "quickstart.ini"))
	if err != nil {
		t.Fatal(err)
	}
	r := &loadRun{loader: New(checker.New(d)), config: Config{LatencyObjective: time.Minute}, inFlight: make(chan struct{}, 1), report: NewReport()}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"outcome":"partial"}`))
	}))
	defer s.Close()
	late := time.Second
	r.start(context.Background(), request{
		RequestClass: RequestClass{Service: "catalog", Kind: encoder.SubSearch}, intendedTime: time.Now().Add(-late), isMeasured: true,
		entry: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
	})
	r.pending.Wait()
	// The histogram keeps three significant digits, so that a value may be 0.1 % too low.
	if r.report.Answered != 1 || r.report.Quantile(50) < late*999/1000 {
		t.Errorf("latency %v of %d answers, want at least %v of 1", r.report.Quantile(50), r.report.Answered, late)
	}
}

// TestParseMix guards against a mix with a kind of request that the service does not serve, and against wrong defaults.
func TestParseMix(t *testing.T) {
	d, err := describer.ReadFile(filepath.Join("..", "..", "..", "deployments", "quickstart.ini"))
	if err != nil {
		t.Fatal(err)
	}
	search, lookup := RequestClass{"catalog", encoder.SubSearch, 4, 1}, RequestClass{"orders", encoder.SubLookup, 1, 0.5}
	cases := []struct {
		text string
		want []RequestClass // nil: an error
	}{
		{"", []RequestClass{search}},
		{"catalog, orders=0.5", []RequestClass{search, lookup}},
		{"orders:call=2", []RequestClass{{"orders", encoder.SubCall, 1, 2}}},
		{"orders:search", nil},
		{"catalog:call", nil},
		{"orders:run", nil},
		{"catalog=0", nil},
		{"catalog=NaN", nil},
		{"ledger", nil},
	}
	for _, c := range cases {
		got, err := ParseMix(c.text, d)
		if diff := cmp.Diff(c.want, got); diff != "" || (err != nil) != (c.want == nil) {
			t.Errorf("%q: error %v (-want +got):\n%s", c.text, err, diff)
		}
	}
}
