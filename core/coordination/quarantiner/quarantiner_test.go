package quarantiner

import (
	"testing"
	"time"
)

var seeds = []uint64{1, 2, 3, 4, 5}

// TestCrashingRequest guards against a request that takes down one upstream after another while its caller sends it again
// through changing VMs: at most one replica of each group on the first run, then one upstream for each probe.
func TestCrashingRequest(t *testing.T) {
	for _, groups := range []int{10, 1} {
		for _, seed := range seeds {
			f := newFleet(seed, 7, groups, 3, 3)
			f.innocents(200, f.now.Add(40*time.Second))
			f.until(time.Second)
			f.resend(0, 42, f.now.Add(25*time.Minute))
			f.until(26 * time.Minute)
			t.Logf("seed %d, %d groups, 25 min of resends every 100 ms: %d upstreams down in total, at most %d of a group at once, %d probes; of %d innocent requests %d rejected, %d lost a group",
				seed, groups, f.crashed, f.worst, len(f.probes), f.answered+f.held, f.held, f.lost)
			if f.worst > 1 {
				t.Errorf("seed %d: %d replicas of one group were down at once", seed, f.worst)
			}
			if most := groups + len(f.probes); f.crashed > most || len(f.probes) > 4 {
				t.Errorf("seed %d: %d upstreams went down with %d probes, want at most %d", seed, f.crashed, len(f.probes), most)
			}
		}
	}
}

// TestOutage guards against quarantine of innocent requests when the upstreams of one failure domain die together, or when
// one upstream dies. Resets without an explanation may hold back a request for settleTime at most. A lookup reaches one
// upstream, so nothing else clears one that was on a single crashed upstream: it waits for a probe.
func TestOutage(t *testing.T) {
	cases := []struct {
		name             string
		groups, replicas int
		rate             float64
		dead             func(s *server) bool
		probes           bool // innocent requests may wait for a probe
	}{
		{"search, domain", 10, 3, 50, func(s *server) bool { return s.domain == "d1" }, false},
		{"search, domain, busy", 10, 3, 1000, func(s *server) bool { return s.domain == "d1" }, false},
		{"lookup, domain, busy", 1, 12, 5000, func(s *server) bool { return s.domain == "d1" }, false},
		{"search, one upstream", 10, 3, 1000, func(s *server) bool { return s.name == "u0-1" }, false},
		{"lookup, one upstream", 1, 12, 5000, func(s *server) bool { return s.name == "u0-1" }, true},
	}
	for _, c := range cases {
		for _, seed := range seeds {
			f := newFleet(seed, 7, c.groups, c.replicas, 3)
			f.innocents(c.rate, f.now.Add(10*time.Second))
			f.until(2 * time.Second)
			outage := f.now
			for _, s := range f.servers {
				if c.dead(s) {
					f.after(time.Duration(f.r.IntN(500))*time.Microsecond, func() { f.crash(s, true) })
				}
			}
			f.until(10 * time.Second)
			suspects := 0
			for _, m := range f.vms {
				suspects = max(suspects, len(m.Suspicions()))
			}
			t.Logf("%s, seed %d: of %d innocent requests %d rejected (last %v after the outage), %d lost a group; %d suspicions left",
				c.name, seed, f.answered+f.held, f.held, max(0, f.heldAt.Sub(outage)), f.lost, suspects)
			if f.lost > f.resets || suspects > f.resets {
				t.Errorf("%s, seed %d: only %d requests were on the upstreams that died", c.name, seed, f.resets)
			}
			if !c.probes && (f.heldAt.Sub(outage) > settleTime || f.lost > 0 || suspects > 0) {
				t.Errorf("%s, seed %d: an outage held back innocent requests", c.name, seed)
			}
		}
	}
}
