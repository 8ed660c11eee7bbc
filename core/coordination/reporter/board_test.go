package reporter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSilence guards against a try that counts twice because its silence was reported before it ended, and against one VM without network whose
// tries outvote those of the others.
func TestSilence(t *testing.T) {
	const ms = time.Millisecond
	var c Collector
	var a Aggregator
	c.RecordSilence("s", "slow", 100*ms, 0, 20*ms)
	c.RecordSilence("s", "dark", 100*ms, 0, 20*ms)
	first := c.TakeReports()
	c.RecordSilence("s", "dark", 5*time.Second, 100*ms, 20*ms)
	c.RecordFailure("s", "dark", true)
	c.RecordSuccess("s", "slow", 180*ms, 100*ms, 20*ms)
	second := c.TakeReports()
	want := [][]Report{
		{{Service: "s", Upstream: "dark", Tries: 1, Latency: 100 * ms, Compared: 100 * ms, Usual: 20 * ms}, {Service: "s", Upstream: "slow", Tries: 1, Latency: 100 * ms, Compared: 100 * ms, Usual: 20 * ms}},
		{{Service: "s", Upstream: "dark", Failures: 1, Latency: 100 * ms, Compared: 100 * ms}, {Service: "s", Upstream: "slow", Latency: 80 * ms, Compared: 80 * ms}},
	}
	if diff := cmp.Diff(want, [][]Report{first, second}); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	for _, reports := range [][]Report{first, first, first, second, second, second} {
		a.Merge(start, reports)
	}
	ratings := []Rating{{Service: "s", Upstream: "dark", Errors: 1, Urgent: true}, {Service: "s", Upstream: "slow", Latency: 180 * ms, Urgent: true}}
	if diff := cmp.Diff(ratings, a.Ratings(start)); diff != "" {
		t.Errorf("ratings (-want +got):\n%s", diff)
	}
}

// TestBoard guards against ratings of another failure domain that are lost or stay, against an alert for each report of a known fault, and against a
// declared rate that is not passed on, or an outdated one that is.
func TestBoard(t *testing.T) {
	var b Board
	slow := Rating{Service: "s", Upstream: "a", Latency: time.Second, Urgent: true}
	failing := []Report{{Service: "s", Upstream: "a", Tries: 9, Failures: 9}, {Service: "s", Upstream: "b", Tries: 9, Latency: time.Second}}
	rate := func(limited bool, age time.Duration) *Rate {
		return &Rate{Incarnation: 1, Limited: limited, PerSecond: 8, Age: age}
	}
	rated := func(r *Rate) []Rating { return []Rating{{Service: "s", Upstream: "a", Rate: r}} }
	steps := []struct {
		name    string
		after   time.Duration
		do      func(now time.Time)
		ratings []Rating
		alert   bool
	}{
		{"nothing known", 0, func(time.Time) {}, nil, false},
		{"rated elsewhere", time.Second, func(now time.Time) { b.MergeRatings(now, "d1", []Rating{slow}) }, []Rating{slow}, true},
		{"known", 2 * time.Second, func(now time.Time) { b.MergeRatings(now, "d1", []Rating{slow}) }, []Rating{{Service: "s", Upstream: "a", Latency: time.Second}}, false},
		{"both", 3 * time.Second, func(now time.Time) { b.MergeReports(now, failing) }, []Rating{{Service: "s", Upstream: "a", Errors: 1, Latency: time.Second}}, false},
		{"own only", 4 * time.Second, func(time.Time) {}, []Rating{{Service: "s", Upstream: "a", Errors: 1}}, false},
		{"forgotten", time.Minute, func(time.Time) {}, nil, false},
		{"again", 2 * time.Minute, func(now time.Time) { b.MergeRatings(now, "d1", []Rating{slow}) }, []Rating{slow}, true},
		{"a declared rate", time.Hour, func(now time.Time) { b.MergeReports(now, []Report{{Service: "s", Upstream: "a", Rate: rate(true, 0)}}) }, rated(rate(true, 0)), false},
		{"older news", time.Hour + time.Second, func(now time.Time) { b.MergeRatings(now, "d1", rated(rate(false, 2*time.Second))) }, rated(rate(true, time.Second)), false},
		{"withdrawn", time.Hour + time.Second, func(now time.Time) { b.MergeRatings(now, "d1", rated(rate(false, 0))) }, rated(rate(false, 0)), false},
		{"invalid", time.Hour + 2*time.Second, func(now time.Time) { b.MergeRatings(now, "d1", rated(rate(true, -1))) }, rated(rate(false, time.Second)), false},
		{"old", time.Hour + time.Minute, func(time.Time) {}, nil, false},
	}
	for _, s := range steps {
		now := start.Add(s.after)
		s.do(now)
		if diff := cmp.Diff(s.ratings, b.Ratings(now)); diff != "" {
			t.Errorf("%s: ratings (-want +got):\n%s", s.name, diff)
		}
		if got := b.Alert(now); got != s.alert {
			t.Errorf("%s: alert %t, want %t", s.name, got, s.alert)
		}
	}
	b.MergeReports(start, []Report{{Service: "s", Upstream: "b", Rate: rate(true, 0)}})
	b.MergeRatings(start, "d1", rated(rate(true, 0)))
	if diff := cmp.Diff([]Rating{{Service: "s", Upstream: "b", Rate: rate(true, 0)}}, b.Urgent(start)); diff != "" {
		t.Errorf("passed on to other failure domains (-want +got):\n%s", diff)
	}
}
