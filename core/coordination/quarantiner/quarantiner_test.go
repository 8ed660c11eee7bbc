package quarantiner

import (
	"testing"
	"time"
)

var seeds = []uint64{1, 2, 3, 4, 5}

// TestCrashingRequest guards against a request that crashes one upstream after another while its caller resends it through
// different VMs. It may crash at most one replica of each group on the first run, and then one upstream per probe.
func TestCrashingRequest(t *testing.T) {
	for _, groups := range []int{10, 1} {
		for _, seed := range seeds {
			f := newFleet(seed, 7, groups, 3, 3)
			f.generateHarmless(200, f.now.Add(40*time.Second))
			f.runFor(time.Second)
			f.resendCrashing(0, 42, f.now.Add(25*time.Minute))
			f.runFor(26 * time.Minute)
			t.Logf("seed %d, %d groups, 25 min of resends every 100 ms: %d upstreams down in total, at most %d of a group at once, %d probes; of %d harmless requests %d rejected, %d lost a group",
				seed, groups, f.crashes, f.maxGroupDown, len(f.probes), f.answered+f.rejected, f.rejected, f.incomplete)
			if f.maxGroupDown > 1 {
				t.Errorf("seed %d: %d replicas of one group were down at once", seed, f.maxGroupDown)
			}
			if most := groups + len(f.probes); f.crashes > most || len(f.probes) > 4 {
				t.Errorf("seed %d: %d upstreams went down with %d probes, want at most %d", seed, f.crashes, len(f.probes), most)
			}
		}
	}
}

// TestOutage guards against the quarantine of harmless requests when the upstreams of one failure domain go down together, or
// when one upstream goes down. Resets without an explanation may block a request for unexplainedResetHold at most. A lookup uses
// one upstream only, so when it was on a single crashed upstream, only a probe clears it.
func TestOutage(t *testing.T) {
	cases := []struct {
		name             string
		groups, replicas int
		rate             float64
		goesDown         func(s *server) bool
		mayProbe         bool // harmless requests may wait for a probe
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
			f.generateHarmless(c.rate, f.now.Add(10*time.Second))
			f.runFor(2 * time.Second)
			outageStart := f.now
			for _, s := range f.servers {
				if c.goesDown(s) {
					f.schedule(time.Duration(f.random.IntN(500))*time.Microsecond, func() { f.crashServer(s, true) })
				}
			}
			f.runFor(10 * time.Second)
			suspects := 0
			for _, m := range f.vms {
				suspects = max(suspects, len(m.Suspicions()))
			}
			t.Logf("%s, seed %d: of %d harmless requests %d rejected (last %v after the outage), %d lost a group; %d suspicions left",
				c.name, seed, f.answered+f.rejected, f.rejected, max(0, f.lastRejected.Sub(outageStart)), f.incomplete, suspects)
			if f.incomplete > f.resets || suspects > f.resets {
				t.Errorf("%s, seed %d: the outage affected more requests than the %d on the upstreams that went down", c.name, seed, f.resets)
			}
			if !c.mayProbe && (f.lastRejected.Sub(outageStart) > unexplainedResetHold || f.incomplete > 0 || suspects > 0) {
				t.Errorf("%s, seed %d: the outage blocked harmless requests", c.name, seed)
			}
		}
	}
}
