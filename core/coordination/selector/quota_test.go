package selector

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/limiter"
)

// TestQuotaOutlivesEntry guards against forgetting the declared rate of an upstream whose entry disappears for a while, against keeping
// the rate of an earlier incarnation, and against older or foreign news of other VMs that replace what this VM knows.
func TestQuotaOutlivesEntry(t *testing.T) {
	r, own, limited := rand.New(rand.NewPCG(1, 1)), uint64(start.UnixMilli()), limiter.Declaration{Kind: limiter.Limited, Rate: 1}
	learn := func(s *Set, ms int, incarnation uint64, d limiter.Declaration) {
		s.LearnRate(at(9000), at(ms), r, 0, incarnation, d)
	}
	cases := []struct {
		name   string
		change func(s *Set)
		want   bool // u0-0 has a limit
	}{
		{"nothing", func(*Set) {}, true},
		{"back after a while", func(s *Set) {
			s.Update(at(1000), rows(1, 3, 3)[1:], "d0")
			s.Update(at(9000), rows(1, 3, 3), "d0")
			s.SetStartTime(at(9000), 0, start)
		}, true},
		{"back long after", func(s *Set) {
			s.Update(at(1000), rows(1, 3, 3)[1:], "d0")
			s.Update(start.Add(2*quotaLifetime), rows(1, 3, 3)[1:], "d0")
			s.Update(start.Add(3*quotaLifetime), rows(1, 3, 3), "d0")
		}, false},
		{"restarted", func(s *Set) { s.SetStartTime(at(1000), 0, at(900)) }, false},
		{"restarted while it had no entry", func(s *Set) {
			s.Update(at(1000), rows(1, 3, 3)[1:], "d0")
			s.Update(at(2000), rows(1, 3, 3), "d0")
			s.SetStartTime(at(2000), 0, at(900))
		}, false},
		{"at another address", func(s *Set) {
			moved := rows(1, 3, 3)
			moved[0].Address = netip.MustParseAddrPort("127.0.0.9:80")
			s.Update(at(1000), moved, "d0")
		}, false},
		{"withdrawn at another VM", func(s *Set) { learn(s, 1000, own, limiter.Declaration{}) }, false},
		{"withdrawn by an earlier incarnation", func(s *Set) { learn(s, 1000, own-1, limiter.Declaration{}) }, true},
		{"a report that may have been under way for long", func(s *Set) { learn(s, 300, own, limiter.Declaration{}) }, true},
		{"an old limit after a reply without one", func(s *Set) {
			s.ObserveRate(at(1000), at(900), r, 0, limiter.Declaration{})
			learn(s, 1100, own, limited)
		}, false},
		{"declared again at another VM", func(s *Set) {
			s.ObserveRate(at(1000), at(900), r, 0, limiter.Declaration{})
			learn(s, 2000, own, limited)
		}, true},
	}
	for _, c := range cases {
		s := newSet(1, 3, 3)
		s.SetStartTime(start, 0, start)
		s.ObserveRate(at(10), start, r, 0, limited)
		c.change(s)
		i, _ := s.Index("u0-0")
		_, got := s.At(i).DeclaredRate()
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: limit (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestPickKeepsDeclaredRates guards against selecting an upstream whose declared rate is used up, and against sending none of what it allows.
func TestPickKeepsDeclaredRates(t *testing.T) {
	s := newSet(1, 3, 1)
	r := rand.New(rand.NewPCG(1, 1))
	s.SetVMs(start, 10)
	for i := range 3 {
		s.ObserveRate(start, start, r, i, limiter.Declaration{Kind: limiter.Limited, Rate: 10})
	}
	var got int
	for ms := 0; ms < 20000; ms += 10 {
		if i, ok := s.Pick(at(ms), r, Query{Group: -1, Policy: Near}); ok {
			got++
			s.RecordStart(at(ms), i)
			s.RecordResult(at(ms), i, Result{Latency: time.Millisecond})
		}
	}
	if got < 57 || got > 63 {
		t.Errorf("%d requests in 20 s, want 60", got)
	}
	if _, ok := s.Pick(at(21000), r, Query{Group: -1, Policy: Near, Unlimited: true}); ok {
		t.Error("a limited upstream is selected for a request that must not use up its rate")
	}
}
