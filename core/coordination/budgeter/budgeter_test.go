package budgeter

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetHoldsInEveryWindow guards against more than share*primaries + limit hedges and retries in any window of events.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		var b Budget
		b.Configure(share, limit)
		primaries, extras := []int{0}, []int{0}
		for _, n := range rapid.SliceOfN(rapid.IntRange(-1, 30), 1, 200).Draw(t, "events") {
			p, e := primaries[len(primaries)-1], extras[len(extras)-1]
			if n >= 0 {
				b.AddPrimaries(n)
				p += n
			} else if b.TakeToken() {
				e++
			}
			primaries, extras = append(primaries, p), append(extras, e)
		}
		for i := range primaries {
			for j := i + 1; j < len(primaries); j++ {
				most := share*float64(primaries[j]-primaries[i]) + float64(limit)
				if got := extras[j] - extras[i]; float64(got) > most {
					t.Fatalf("%d extra sub-requests between events %d and %d, at most %g are allowed", got, i, j, most)
				}
			}
		}
	})
}

// TestBudgetConfigure guards against a table change that refills the bucket or leaves more tokens than the new limit.
func TestBudgetConfigure(t *testing.T) {
	cases := []struct {
		name         string
		first, taken int
		then, want   int
	}{
		{"starts full", 10, 0, 10, 10},
		{"same limit again", 10, 4, 10, 6},
		{"higher limit", 10, 4, 20, 6},
		{"lower limit", 10, 4, 3, 3},
		{"off", 10, 4, 0, 0},
	}
	for _, c := range cases {
		var b Budget
		b.Configure(0.05, c.first)
		for range c.taken {
			b.TakeToken()
		}
		b.Configure(0.05, c.then)
		if b.Tokens() != c.want {
			t.Errorf("%s: %d tokens, want %d", c.name, b.Tokens(), c.want)
		}
	}
	var zero Budget
	if zero.AddPrimaries(1000); zero.TakeToken() {
		t.Error("the zero value gives a token")
	}
}

// TestQuantiles guards against wrong buckets: a quantile is at least the exact value and exceeds it by at most 1/16 plus 1 us.
func TestQuantiles(t *testing.T) {
	for _, step := range []time.Duration{time.Microsecond, 37 * time.Microsecond, 3 * time.Millisecond} {
		var l Latencies
		const n = 1000
		for k := range n {
			l.Add(time.Unix(0, 0), time.Duration(k+1)*step)
		}
		for _, q := range []float64{0, 0.5, 0.95, 0.99, 0.999, 1} {
			exact := time.Duration(min(n, math.Floor(q*n)+1)) * step
			got := l.Quantile(q)
			if got < exact || got > exact+exact/16+time.Microsecond {
				t.Errorf("step %v: quantile %g is %v, exact %v", step, q, got, exact)
			}
		}
	}
}

// TestOldLatenciesExpire guards against latencies that count for more than two windows, and against losing all latencies after
// a pause.
func TestOldLatenciesExpire(t *testing.T) {
	var l Latencies
	start := time.Unix(0, 0)
	l.Add(start, time.Second)
	l.Add(start.Add(windowLength), time.Millisecond)
	if got := l.Quantile(1); got < time.Second {
		t.Errorf("the previous window is forgotten: %v", got)
	}
	l.Add(start.Add(2*windowLength), time.Millisecond)
	if got := l.Quantile(1); got > 2*time.Millisecond {
		t.Errorf("a latency of two windows ago still counts: %v", got)
	}
	if l.Count() != 2 {
		t.Errorf("%d latencies, want 2", l.Count())
	}
	l.Add(start, -time.Second) // the clock went back
	l.Add(start, time.Hour)
	if got := l.Quantile(1); got < time.Minute {
		t.Errorf("a latency above the range is lost: %v", got)
	}
}
