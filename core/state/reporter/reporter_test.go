package reporter

import (
	"strings"
	"testing"
	"time"

	"comfreyroute/core/state/tabler"

	"github.com/google/go-cmp/cmp"
)

var testStart = time.Unix(1_800_000_000, 0)

func testRow() *tabler.ServiceRow {
	return &tabler.ServiceRow{Service: "matching", Objective: tabler.Objective{Latency: 72 * time.Millisecond, LatencyShare: 0.99, CoverageShare: 0.9}}
}

// TestWindows guards against counts that stay in a window too long, or that remain after their bucket was reused.
func TestWindows(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		want  []uint64 // requests in each of Windows
	}{
		{"at once", 0, []uint64{1, 1, 1, 1}},
		{"after 6 minutes", 6 * time.Minute, []uint64{0, 1, 1, 1}},
		{"after 40 minutes", 40 * time.Minute, []uint64{0, 1, 0, 1}},
		{"after 2 hours", 2 * time.Hour, []uint64{0, 0, 0, 1}},
		{"after 7 hours", 7 * time.Hour, []uint64{0, 0, 0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Reporter
			r.RecordRequest(testStart, testRow(), Sample{Shards: 1, Covered: 1})
			var got []uint64
			for _, w := range r.Summarize(testStart.Add(c.after), "vm-a").Services[0].Windows {
				got = append(got, w.Requests)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("requests (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBurn guards against wrong burn rates, and against a report that hides unreachable VMs or times in which no VM counted.
func TestBurn(t *testing.T) {
	var a, b Reporter
	a.SetStartTime(testStart.Add(-time.Hour))
	b.SetStartTime(testStart.Add(-time.Minute))
	for i := range 100 {
		s := Sample{Latency: 10 * time.Millisecond, Covered: 10, Shards: 10}
		if i < 4 {
			s.Latency = 100 * time.Millisecond
		}
		if i >= 90 {
			s.Covered = 9
		}
		a.RecordRequest(testStart, testRow(), s)
		b.RecordRequest(testStart, testRow(), Sample{Latency: 10 * time.Millisecond, Covered: 10, Shards: 10})
	}
	table := &tabler.Snapshot{Values: []*tabler.Value{{Service: *testRow()}}}
	r := MergeSummaries(testStart, table, []Summary{a.Summarize(testStart, "vm-a"), b.Summarize(testStart, "vm-b")}, []string{"vm-c"})
	w := r.Services[0].Windows[1]
	type figures struct{ Latency, Coverage, Seen float64 }
	round := func(f float64) float64 { return float64(int(f*1000+0.5)) / 1000 }
	got := figures{round(w.LatencyBurn), round(w.CoverageBurn), round(w.Seen)}
	if diff := cmp.Diff(figures{2, 0.5, 0.508}, got); diff != "" {
		t.Errorf("one hour (-want +got):\n%s", diff)
	}
	var text, html strings.Builder
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{text.String(), html.String()} {
		if !strings.Contains(s, "vm-c could not be reached") || !strings.Contains(s, "matching") {
			t.Errorf("report lacks the unreachable VM or the service:\n%s", s)
		}
	}
}

// TestRefusedBurns guards against refused requests that are omitted from the burn rate and so hide an outage.
func TestRefusedBurns(t *testing.T) {
	var r Reporter
	for range 10 {
		r.RecordRequest(testStart, testRow(), Sample{NotRun: true})
	}
	got := MergeSummaries(testStart, nil, []Summary{r.Summarize(testStart, "vm-a")}, nil).Services[0]
	if diff := cmp.Diff("fast", got.Alert); diff != "" {
		t.Errorf("alert (-want +got):\n%s", diff)
	}
}
