package ranker

import (
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestNext guards against a turn that goes to a less urgent request, to one that is late anyway, or twice in a row to the customer that sends most.
func TestNext(t *testing.T) {
	urgent, patient := Rank{}, Rank{Route: 1}
	cases := []struct {
		name    string
		waiters []Waiter
		want    int
	}{
		{"none", nil, -1},
		{"first turn", []Waiter{{Place{urgent, 1}, "a", at(50)}, {Place{urgent, 2}, "b", at(40)}}, 0},
		{"late anyway", []Waiter{{Place{urgent, 1}, "a", at(9)}, {Place{urgent, 2}, "b", at(40)}}, 1},
		{"all late", []Waiter{{Place{urgent, 1}, "a", at(9)}, {Place{urgent, 2}, "b", at(8)}}, 0},
		{"late, but more urgent", []Waiter{{Place{urgent, 1}, "a", at(9)}, {Place{patient, 0}, "b", at(40)}}, 0},
		{"sooner target of the same customer", []Waiter{{Place{urgent, 1}, "a", at(50)}, {Place{urgent, 2}, "b", at(20)}, {Place{urgent, 3}, "a", at(40)}}, 2},
	}
	for _, c := range cases {
		if got := Next(c.waiters, at(10)); got != c.want {
			t.Errorf("%s: waiter %d goes next, want %d", c.name, got, c.want)
		}
	}
}

// TestClaims guards against a last token for a request that needs it less, and against one that is kept for a request which no longer asks.
func TestClaims(t *testing.T) {
	short, covered, patient := Claim{}, Claim{Covered: true}, Claim{Rank: Rank{Route: 1}}
	cases := []struct {
		name   string
		denied Claim // at 0 ms, until 10 ms
		claim  Claim
		at     int // ms
		tokens int
		want   bool
	}{
		{"no token", covered, short, 1, 0, false},
		{"the last token", covered, short, 1, 1, true},
		{"one without coverage waits", short, covered, 1, 1, false},
		{"one without coverage waits, enough tokens", short, covered, 1, 2, true},
		{"a more urgent one waits", short, patient, 1, 1, false},
		{"a more urgent one waits, enough tokens", short, patient, 1, 2, true},
		{"a more urgent one has not come back", short, patient, 20, 1, true},
		{"a less urgent one waits", patient, short, 1, 1, true},
		{"one of the same rank waits", short, short, 1, 1, true},
	}
	for _, c := range cases {
		var claims Claims
		claims.RecordDenied(epoch, c.denied, at(10))
		if got := claims.Allow(at(c.at), c.claim, c.tokens); got != c.want {
			t.Errorf("%s: allowed %v, want %v", c.name, got, c.want)
		}
	}
	var claims Claims
	claims.RecordDenied(epoch, short, at(10))
	claims.RecordDenied(epoch, patient, at(20))
	kept := claims.Allow(at(1), patient, 1)
	claims.RecordTaken(short)
	if kept || !claims.Allow(at(1), patient, 1) {
		t.Error("the last token must be kept for the most urgent request that waits, and no longer")
	}
}
