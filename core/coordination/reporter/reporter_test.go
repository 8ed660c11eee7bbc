package reporter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var start = time.Unix(1000, 0)

// TestRatings guards against an upstream that fails or is slow and is not found, and against one that is blamed for usual losses, for few
// tries, or for something long ago.
func TestRatings(t *testing.T) {
	usual := func(upstream string) Report {
		return Report{Service: "s", Upstream: upstream, Tries: 10, Latency: 100 * time.Millisecond}
	}
	cases := []struct {
		name    string
		reports []Report
		after   time.Duration
		want    []Rating
	}{
		{"calm", []Report{usual("a"), usual("b")}, 0, nil},
		{"one fails", []Report{usual("a"), {Service: "s", Upstream: "b", Tries: 10, Failures: 4, Latency: 60 * time.Millisecond}}, 0,
			[]Rating{{Service: "s", Upstream: "b", Errors: 0.4, Latency: 10 * time.Millisecond}}},
		{"two VMs saw one failure each", []Report{usual("a"), {Service: "s", Upstream: "b", Tries: 2, Failures: 1, Latency: 10 * time.Millisecond},
			{Service: "s", Upstream: "b", Tries: 2, Failures: 1, Latency: 10 * time.Millisecond}}, 0,
			[]Rating{{Service: "s", Upstream: "b", Errors: 0.5, Latency: 10 * time.Millisecond}}},
		{"all fail", []Report{usual("a"), {Service: "s", Upstream: "b", Tries: 4, Failures: 4}}, 0, []Rating{{Service: "s", Upstream: "b", Errors: 1}}},
		{"usual losses", []Report{usual("a"), {Service: "s", Upstream: "b", Tries: 10, Failures: 1, Latency: 90 * time.Millisecond}}, 0, nil},
		{"few tries", []Report{usual("a"), {Service: "s", Upstream: "b", Tries: 2, Failures: 2}}, 0, nil},
		{"one is slow", []Report{usual("a"), usual("c"), {Service: "s", Upstream: "b", Tries: 10, Latency: 400 * time.Millisecond}}, 0,
			[]Rating{{Service: "s", Upstream: "b", Latency: 40 * time.Millisecond}}},
		{"a slow service", []Report{usual("a"), {Service: "t", Upstream: "b", Tries: 10, Latency: 900 * time.Millisecond}}, 0, nil},
		{"long ago", []Report{usual("a"), {Service: "s", Upstream: "b", Tries: 10, Failures: 4}}, 10 * time.Second, nil},
		{"reports that cannot be", []Report{{Upstream: "b", Tries: 1, Failures: 9}, {Upstream: "c", Tries: -5, Failures: -9}, {Upstream: "d", Tries: 9, Latency: -1}},
			0, nil},
	}
	for _, c := range cases {
		var p Aggregator
		p.Merge(start, c.reports)
		if diff := cmp.Diff(c.want, p.Ratings(start.Add(c.after)), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
			t.Errorf("%s: ratings (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestBook guards against results that are counted twice or not at all.
func TestBook(t *testing.T) {
	var b Collector
	b.RecordFailure("s", "b")
	b.RecordSuccess("s", "a", time.Second)
	b.RecordSuccess("s", "b", time.Minute)
	want := []Report{{Service: "s", Upstream: "a", Tries: 1, Latency: time.Second}, {Service: "s", Upstream: "b", Tries: 2, Failures: 1, Latency: time.Minute}}
	if diff := cmp.Diff(want, b.TakeReports()); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	if got := b.TakeReports(); len(got) != 0 {
		t.Errorf("taken twice: %v", got)
	}
}

// TestForgotten guards against a pool that grows with each upstream that ever was.
func TestForgotten(t *testing.T) {
	var p Aggregator
	p.Merge(start, []Report{{Service: "s", Upstream: "a", Tries: 10}})
	p.Merge(start.Add(time.Minute), nil)
	if len(p.sums) != 0 {
		t.Errorf("%d upstreams are kept", len(p.sums))
	}
}
