package selector

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// rows returns the rows of groups of replicas; replica k of group g is in failure domain g+k modulo domains.
func rows(groups, replicas, domains int) []tabler.UpstreamRow {
	var out []tabler.UpstreamRow
	for g := range groups {
		for k := range replicas {
			out = append(out, tabler.UpstreamRow{
				Service: "booth", Group: g, Upstream: fmt.Sprintf("u%d-%d", g, k), FailureDomain: fmt.Sprintf("d%d", (g+k)%domains),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(g), byte(k)}), 80),
				Weight:  100, Connections: 36, Slots: 5, ConnectCost: 5 * time.Millisecond,
			})
		}
	}
	return out
}

func newSet(groups, replicas, domains int) *Set {
	s := &Set{}
	s.Update(start, rows(groups, replicas, domains), "d0")
	return s
}

// recordReplies records one reply of each upstream, so that its latency is known.
func recordReplies(s *Set, ms, latency int) {
	for i := range s.Len() {
		s.RecordStart(at(ms), i)
		s.RecordResult(at(ms+latency), i, Result{Latency: time.Duration(latency) * time.Millisecond})
	}
}

// countPicks returns how often each upstream is selected in 200 picks, and as the last element how often none is.
func countPicks(s *Set, now time.Time, q Query) []int {
	r := rand.New(rand.NewPCG(1, 1))
	out := make([]int, s.Len()+1)
	for range 200 {
		i, ok := s.Pick(now, r, q)
		if !ok {
			i = s.Len()
		}
		out[i]++
	}
	return out
}

// TestExclusions guards against selecting an upstream that must not get new work, and against selecting none while one may get it.
func TestExclusions(t *testing.T) {
	held := []encoder.HeldVersion{{Version: 7}}
	cases := []struct {
		name  string
		setup func(s *Set)
		query Query
		want  []bool // whether each of three upstreams is selected, and whether none is
	}{
		{"all healthy", func(*Set) {}, Query{}, []bool{true, true, true, false}},
		{"draining", func(s *Set) { s.ObserveReply(start, 1, &encoder.SubReply{Draining: true}) }, Query{}, []bool{true, false, true, false}},
		{"draining status", func(s *Set) { s.ObserveReply(start, 1, &encoder.SubReply{Status: encoder.StatusDraining}) }, Query{}, []bool{true, false, true, false}},
		{"leaving", func(s *Set) { s.SetLeaving(start, 0, 0, true) }, Query{}, []bool{false, true, true, false}},
		{"old incarnation leaving", func(s *Set) {
			s.ObserveReply(start, 0, &encoder.SubReply{Incarnation: 5})
			s.SetLeaving(start, 0, 4, true)
		}, Query{}, []bool{true, true, true, false}},
		{"new incarnation of a draining upstream, reported by a peer", func(s *Set) {
			s.ObserveReply(start, 0, &encoder.SubReply{Incarnation: 5, Draining: true})
			s.SetLeaving(start, 0, 6, false)
		}, Query{Exclude: []int{1, 2}}, []bool{true, false, false, false}},
		{"late report of the draining incarnation", func(s *Set) {
			s.ObserveReply(start, 0, &encoder.SubReply{Incarnation: 6})
			s.ObserveReply(start, 0, &encoder.SubReply{Incarnation: 5, Draining: true})
		}, Query{Exclude: []int{1, 2}}, []bool{true, false, false, false}},
		{"weight 0", func(s *Set) { s.At(2).Row.Weight = 0 }, Query{}, []bool{true, true, false, false}},
		{"excluded", func(*Set) {}, Query{Exclude: []int{0, 1}}, []bool{false, false, true, false}},
		{"version held by one, unknown for another", func(s *Set) {
			s.ObserveReply(start, 0, &encoder.SubReply{Held: held})
			s.ObserveReply(start, 1, &encoder.SubReply{Held: []encoder.HeldVersion{{Version: 6}}})
		}, Query{Version: 7}, []bool{true, false, true, false}},
		{"at the limit", func(s *Set) {
			for range 3 {
				s.RecordStart(start, 0)
				s.RecordStart(start, 1)
			}
		}, Query{}, []bool{false, false, true, false}},
		{"none eligible", func(s *Set) { s.SetLeaving(start, 0, 0, true) }, Query{Exclude: []int{1, 2}}, []bool{false, false, false, true}},
		{"no such group", func(*Set) {}, Query{Group: 9}, []bool{false, false, false, true}},
		{"one refused", func(s *Set) { s.RecordResult(start, 1, Result{Kind: Refused}) }, Query{}, []bool{true, false, true, false}},
		{"unattributed failure", func(s *Set) { s.RecordResult(start, 1, Result{Kind: Unattributed}) }, Query{}, []bool{true, true, true, false}},
	}
	for _, c := range cases {
		for _, p := range []Policy{Score, P2C, Least, Random} {
			if p == Random && c.name == "one refused" {
				continue // random selection ignores failures
			}
			t.Run(c.name+"/"+p.String(), func(t *testing.T) {
				s := newSet(1, 3, 3)
				c.setup(s)
				c.query.Policy = p
				var got []bool
				for _, n := range countPicks(s, at(1), c.query) {
					got = append(got, n > 0)
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("selected (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestAllFailed guards against selecting none when all replicas failed lately, because one of them may have recovered.
func TestAllFailed(t *testing.T) {
	s := newSet(1, 3, 3)
	for i := range 3 {
		s.RecordResult(start, i, Result{Kind: Refused})
	}
	if i, ok := s.Pick(at(1), rand.New(rand.NewPCG(1, 1)), Query{Exclude: []int{0}}); !ok || i == 0 {
		t.Errorf("got upstream %d, %v; want a failed one that is not excluded", i, ok)
	}
}

// TestTrials guards against a failed upstream that gets several sub-requests at once or trials at a constant rate, and against
// one that never gets work again.
func TestTrials(t *testing.T) {
	s, r := newSet(1, 2, 2), rand.New(rand.NewPCG(1, 1))
	recordReplies(s, 0, 4)
	s.RecordResult(at(10), 1, Result{Kind: Refused})
	var trials []int
	for ms := 10; ms < 10_000; ms++ {
		i, _ := s.Pick(at(ms), r, Query{})
		s.RecordStart(at(ms), i)
		if i == 1 {
			trials = append(trials, ms)
			s.RecordResult(at(ms), 1, Result{Kind: Refused})
			continue
		}
		s.RecordResult(at(ms), 0, Result{Kind: OK, Latency: 4 * time.Millisecond})
	}
	for k := 1; k < len(trials); k++ {
		if trials[k]-trials[k-1] < min(2*(trials[max(1, k-1)]-trials[max(0, k-2)]), 3000)/2 {
			t.Errorf("the delays between the trials at %v ms do not grow", trials)
		}
	}
	if len(trials) < 4 || len(trials) > 12 {
		t.Errorf("got %d trials in 10 s at %v", len(trials), trials)
	}
	s.ObserveReply(at(10_000), 1, &encoder.SubReply{}) // a ping on a new connection succeeds
	if i, _ := s.Pick(at(10_001), r, Query{}); i != 1 {
		t.Error("an upstream that accepts connections again gets no trial")
	}
	s.RecordStart(at(10_001), 1)
	if i, _ := s.Pick(at(10_002), r, Query{}); i != 0 {
		t.Error("a second trial runs while the first has no answer")
	}
	s.RecordResult(at(10_005), 1, Result{Kind: OK, Latency: 4 * time.Millisecond})
	early, late := countPicks(s, at(10_006), Query{})[1], countPicks(s, at(30_000), Query{})[1]
	if early == 0 || early > 60 || late < 70 {
		t.Errorf("of 200 picks, %d right after the recovery and %d after the ramp; want few, then about half", early, late)
	}
}

// TestRestartRamps guards against full load on a restarted upstream, whose caches are cold.
func TestRestartRamps(t *testing.T) {
	s := newSet(1, 2, 1)
	s.ObserveReply(start, 1, &encoder.SubReply{Incarnation: 1})
	if restarted, _ := s.ObserveReply(at(5), 1, &encoder.SubReply{Incarnation: 2}); !restarted {
		t.Fatal("the new incarnation was not noticed")
	}
	if n := countPicks(s, at(6), Query{})[1]; n == 0 || n > 60 {
		t.Errorf("a starting upstream got %d of 200 picks; want few", n)
	}
}

// TestUnresponsiveUpstream guards against an upstream that no longer replies and is still selected until its sub-requests time out.
func TestUnresponsiveUpstream(t *testing.T) {
	cases := []struct {
		name   string
		events func(s *Set)
		want   bool // still selected
	}{
		{"two late", func(s *Set) { s.RecordStart(at(100), 1); s.RecordStart(at(100), 1) }, false},
		{"one late may be its connection", func(s *Set) { s.RecordStart(at(100), 1) }, true},
		{"late, with a reply to another", func(s *Set) {
			s.RecordStart(at(100), 1)
			s.RecordStart(at(100), 1)
			s.RecordStart(at(137), 1)
			s.RecordResult(at(139), 1, Result{Kind: OK, Latency: 2 * time.Millisecond})
		}, true},
		{"two cancelled late", func(s *Set) {
			for range 2 {
				s.RecordStart(at(70), 1)
				s.RecordResult(at(110), 1, Result{Kind: Cancelled, Latency: 40 * time.Millisecond})
			}
		}, false},
		{"two cancelled early", func(s *Set) {
			for range 2 {
				s.RecordStart(at(100), 1)
				s.RecordResult(at(101), 1, Result{Kind: Cancelled, Latency: time.Millisecond})
			}
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSet(1, 2, 2)
			recordReplies(s, 0, 4)
			c.events(s)
			if got := !s.avoided(at(140), s.At(1)); got != c.want {
				t.Errorf("usable %v, want %v", got, c.want)
			}
		})
	}
}

// TestUnresponsiveDomain guards against queries that wait for a failure domain without replies. Once replies are late, long before
// the deadline of 72 ms, untried upstreams of the domain must be avoided too, and only one trial at a time may reach the domain.
func TestUnresponsiveDomain(t *testing.T) {
	s, r := newSet(10, 3, 3), rand.New(rand.NewPCG(2, 2))
	recordReplies(s, 0, 4)
	type open struct {
		i   int
		end int
	}
	var running []open
	late, trials, other := 0, 0, 0
	for ms := 100; ms < 1100; ms++ {
		running = slices.DeleteFunc(running, func(o open) bool {
			if o.end > ms {
				return false
			}
			kind, latency := OK, 4
			if s.At(o.i).Row.FailureDomain == "d1" {
				kind, latency = TimedOut, 72
			}
			s.RecordResult(at(ms), o.i, Result{Kind: kind, Latency: time.Duration(latency) * time.Millisecond})
			return true
		})
		if ms%5 != 0 {
			continue
		}
		for g := range 10 {
			i, ok := s.Pick(at(ms), r, Query{Group: g})
			if !ok {
				t.Fatalf("no upstream for group %d after %d ms", g, ms)
			}
			s.RecordStart(at(ms), i)
			end := ms + 4
			switch {
			case s.At(i).Row.FailureDomain != "d1":
				other++
			case ms < 100+36:
				late, end = late+1, ms+72
			default:
				trials, end = trials+1, ms+72
			}
			running = append(running, open{i, end})
		}
	}
	t.Logf("seed 2: %d sub-requests reached the unresponsive domain in the first 36 ms, %d in the next 964 ms, %d others", late, trials, other)
	if trials > 10 {
		t.Errorf("%d sub-requests reached a domain known to be unresponsive; want single trials with growing delays", trials)
	}
}

// TestRefusedConnectionsKeepDomain guards against avoiding a failure domain because some of its upstreams restart.
func TestRefusedConnectionsKeepDomain(t *testing.T) {
	s := newSet(4, 3, 3)
	recordReplies(s, 0, 4)
	for i := range 9 {
		s.RecordStart(at(100), i)
		s.RecordResult(at(100), i, Result{Kind: Refused})
	}
	for i := 9; i < 12; i++ {
		if s.avoided(at(200), s.At(i)) {
			t.Errorf("upstream %d is avoided because others refused connections", i)
		}
	}
}

// TestCapacity guards against a capacity of 0, which means unknown and admits everything, while all upstreams fail, and
// against a failed group that lowers the capacity of the others.
func TestCapacity(t *testing.T) {
	s := newSet(2, 3, 3)
	var got []int
	for i := range 6 {
		got = append(got, s.Capacity(start))
		s.RecordResult(start, i, Result{Kind: Refused})
	}
	got = append(got, s.Capacity(start), (&Set{}).Capacity(start))
	if diff := cmp.Diff([]int{9, 6, 3, 9, 6, 3, 9, 0}, got); diff != "" {
		t.Errorf("capacities after each failure (-want +got):\n%s", diff)
	}
}

// TestPickProperties guards, over random histories, against selecting an upstream that must not get new work, against
// exceeding a limit, and against selecting none while an upstream that did not fail is below its limit.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(2, 3, 3)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := start
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 5).Draw(t, "upstream")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.ObserveReply(now, i, &encoder.SubReply{Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"), Draining: rapid.Bool().Draw(t, "draining")})
			case 1:
				s.SetLeaving(now, i, rapid.Uint64Range(0, 3).Draw(t, "incarnation"), rapid.Bool().Draw(t, "leaving"))
			case 2:
				kind := ResultKind(rapid.IntRange(int(OK), int(Unattributed)).Draw(t, "kind"))
				s.RecordResult(now, i, Result{Kind: kind, Latency: time.Duration(rapid.IntRange(0, 80).Draw(t, "latency")) * time.Millisecond})
			case 3:
				s.Update(now, rows(2, 3, 3), "d0")
			default:
				q := Query{Group: rapid.IntRange(-1, 1).Draw(t, "group"), Policy: Policy(rapid.IntRange(0, 3).Draw(t, "policy")), Exclude: []int{i}}
				got, ok := s.Pick(now, r, q)
				room := false
				for k := range s.Len() {
					u := s.At(k)
					room = room || k != i && (q.Group < 0 || u.Row.Group == q.Group) && u.Eligible() && u.InFlight < u.Limit() && !s.avoided(now, u)
				}
				if !ok {
					if room {
						t.Fatal("none selected while a working upstream is below its limit")
					}
					continue
				}
				if u := s.At(got); !u.Eligible() || u.InFlight >= u.Limit() || got == i || q.Group >= 0 && u.Row.Group != q.Group {
					t.Fatalf("selected upstream %d: %+v", got, u)
				}
				s.RecordStart(now, got)
			}
			for k := range s.Len() {
				if u := s.At(k); u.InFlight != len(u.starts) || u.InFlight < 0 {
					t.Fatalf("upstream %d has %d in flight and %d starts", k, u.InFlight, len(u.starts))
				}
			}
		}
	})
}

// BenchmarkPick measures a selection among the 3 upstreams of a group and the 40 of an ungrouped service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 40} {
		for _, p := range []Policy{Score, P2C, Least, Random} {
			b.Run(fmt.Sprintf("%d/%s", n, p), func(b *testing.B) {
				s, r := newSet(1, n, 3), rand.New(rand.NewPCG(1, 1))
				recordReplies(s, 0, 4)
				b.ReportAllocs()
				for k := 0; b.Loop(); k++ {
					now := at(k)
					i, _ := s.Pick(now, r, Query{Policy: p})
					s.RecordStart(now, i)
					s.RecordResult(now, i, Result{Kind: OK, Latency: 4 * time.Millisecond})
				}
			})
		}
	}
}

// TestNear guards against billed traffic to another failure domain while the nearby upstream has free slots, and against queueing at
// that one while the other failure domain is idle.
func TestNear(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(name, domain string, host byte) tabler.UpstreamRow {
		return tabler.UpstreamRow{
			Upstream: name, FailureDomain: domain, Weight: tabler.DefaultWeight, Connections: 240, Slots: 4,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80),
		}
	}
	cases := []struct {
		running int // at the nearby upstream
		errors  float64
		want    string
	}{
		{0, 0, "near"}, {2, 0, "near"}, {8, 0, "far"}, {0, 0.5, "far"}, {0, 0.2, "far"}, {0, 0.1, "near"},
	}
	for _, c := range cases {
		var s Set
		s.Update(now, []tabler.UpstreamRow{row("near", "a", 1), row("far", "b", 2)}, "a")
		near, _ := s.Index("near")
		far, _ := s.Index("far")
		for _, i := range []int{near, far} {
			s.RecordStart(now, i)
			s.RecordResult(now, i, Result{Latency: 10 * time.Millisecond, Kind: OK})
		}
		s.SetLoad(now, near, c.running, 0)
		s.SetPeerRating(now, near, c.errors, 0)
		random := rand.New(rand.NewPCG(1, 1))
		for range 50 {
			i, ok := s.Pick(now, random, Query{Group: -1, Policy: Near})
			if got := s.At(i).Row.Upstream; !ok || got != c.want {
				t.Errorf("%d requests at the nearby upstream, errors %g: %s, want %s", c.running, c.errors, got, c.want)
				break
			}
		}
	}
}

// TestSlowNearUpstream answers the load of a service whose near upstream becomes slow while it gets nearly all requests of this VM, so that the
// mean latency of the service follows it.
func TestSlowNearUpstream(t *testing.T) {
	s := newSet(1, 3, 3)
	for k := range 20 {
		s.RecordStart(at(1000*k), 0)
		s.RecordResult(at(1000*k+200), 0, Result{Latency: 200 * time.Millisecond, Usual: 20 * time.Millisecond})
	}
	if picks := countPicks(s, at(20_000), Query{Group: 0, Policy: Near}); picks[0] > 0 {
		t.Errorf("picks %v, want none of the slow upstream", picks)
	}
}
