package limiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestConnectionShare guards against shares whose sum over the fleet exceeds the limit, and against a share of 0.
func TestConnectionShare(t *testing.T) {
	var got []int
	for _, c := range [][2]int{{25, 12}, {100, 12}, {40, 12}, {35, 12}, {5, 12}, {0, 12}, {25, 0}} {
		got = append(got, ConnectionShare(c[0], c[1]))
	}
	if diff := cmp.Diff([]int{2, 8, 3, 2, 1, 1, 25}, got); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
}

// TestInFlight guards against a limit that exceeds its ceiling, never recovers, or falls below 1.
func TestInFlight(t *testing.T) {
	cases := []struct {
		name   string
		events func(l *InFlight)
		want   int
	}{
		{"zero value", func(*InFlight) {}, 1},
		{"starts at the slots", func(l *InFlight) { l.Configure(8, 2) }, 2},
		{"slots above the ceiling", func(l *InFlight) { l.Configure(2, 5) }, 2},
		{"unknown slots", func(l *InFlight) { l.Configure(8, 0) }, 8},
		{"grows while used", func(l *InFlight) { l.Configure(8, 2); succeed(l, 1000, 0) }, 8},
		{"does not grow while unused", func(l *InFlight) {
			l.Configure(8, 2)
			for range 100 {
				l.RecordSuccess(1, 0)
			}
		}, 2},
		{"does not grow while the upstream queues", func(l *InFlight) { l.Configure(8, 2); succeed(l, 100, 1) }, 2},
		{"decreases once per interval", func(l *InFlight) {
			l.Configure(8, 8)
			for range 5 {
				l.RecordOverload(epoch)
			}
		}, 5},
		{"stays at 1", func(l *InFlight) {
			l.Configure(8, 8)
			for i := range 50 {
				l.RecordOverload(at(100 * i))
			}
		}, 1},
		{"recovers from 1", func(l *InFlight) {
			l.Configure(8, 8)
			for i := range 50 {
				l.RecordOverload(at(100 * i))
			}
			succeed(l, 1000, 0)
		}, 8},
		{"lower ceiling", func(l *InFlight) { l.Configure(8, 8); l.Configure(3, 8) }, 3},
		{"adaptation disabled", func(l *InFlight) { l.Configure(8, 2); l.RecordOverload(epoch); l.SetFixed(true) }, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l InFlight
			c.events(&l)
			if diff := cmp.Diff(c.want, l.Limit()); diff != "" {
				t.Errorf("limit (-want +got):\n%s", diff)
			}
		})
	}
}

func succeed(l *InFlight, n, queued int) {
	for range n {
		l.RecordSuccess(l.Limit(), queued)
	}
}

// TestRate guards against admitting more requests than the share in any window, against a retry hint that is too short or too
// long, and against a share that cannot be used up.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 5000).Draw(t, "limit")
		share := limit / 12
		var l Rate
		l.Configure(limit, 12)
		var allowed []time.Time
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "offers") {
			if hint := l.RetryAfter(now); hint > 0 {
				if l.Allow(now.Add(hint - 1)) {
					t.Fatalf("allowed before the hint %v", hint)
				}
				now = now.Add(hint)
			}
			if !l.Allow(now) {
				t.Fatal("rejected after the hint")
			}
			allowed = append(allowed, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond / 10)
		}
		for i := range allowed {
			for j := i; j < len(allowed); j++ {
				most := share*(allowed[j].Sub(allowed[i])+rateBurst).Seconds() + 1
				if n := float64(j - i + 1); n > most+1e-6*most {
					t.Fatalf("%v requests in %v, want at most %v", n, allowed[j].Sub(allowed[i]), most)
				}
			}
		}
	})
}

// TestRateChanges guards against a wait under the old limit that goes on after the operators raised or removed it.
func TestRateChanges(t *testing.T) {
	var l Rate
	l.Configure(1, 100)
	l.Allow(epoch)
	if hint := l.RetryAfter(at(1)); hint < 90*time.Second {
		t.Errorf("hint %v for one request in 100 s", hint)
	}
	l.Configure(1000, 100)
	if l.Allow(at(1)); !l.Allow(at(101)) {
		t.Error("the wait under the old limit goes on")
	}
	l.Configure(0, 100)
	for range 2 {
		if !l.Allow(at(101)) {
			t.Error("a removed limit still applies")
		}
	}
}
