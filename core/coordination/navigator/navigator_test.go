package navigator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// TestReach guards against a loss that is not noticed, and against slow upstreams, or those of one service, that are taken for a loss.
func TestReach(t *testing.T) {
	const late = 80 * time.Millisecond
	type step struct {
		at       time.Duration
		event    string // start, reply or fail
		service  string
		upstream string
	}
	starts := func(at time.Duration, services, upstreams int) []step {
		var all []step
		for s := range services {
			for u := range upstreams {
				all = append(all, step{at, "start", fmt.Sprintf("s%d", s), fmt.Sprintf("s%d-%d", s, u)})
			}
		}
		return all
	}
	cases := []struct {
		name  string
		steps []step
		at    time.Duration
		want  bool
	}{
		{"no requests", nil, time.Second, false},
		{"not late yet", starts(0, 4, 1), 79 * time.Millisecond, false},
		{"all silent", starts(0, 4, 1), late, true},
		{"two silent", starts(0, 2, 1), time.Second, false},
		{"one service silent", starts(0, 1, 3), time.Second, false},
		{"a reply since", append(starts(0, 4, 1), step{70 * time.Millisecond, "reply", "s0", "s0-0"}), time.Second, false},
		{"silent after a reply", append([]step{{0, "reply", "s0", "s0-0"}}, starts(10*time.Millisecond, 2, 2)...), 90 * time.Millisecond, true},
		{"refused", []step{{0, "fail", "s0", "a"}, {time.Millisecond, "fail", "s1", "b"}, {2 * time.Millisecond, "fail", "s1", "c"}}, minSilence, true},
		{"refused and silent", []step{{0, "fail", "s0", "a"}, {0, "start", "s1", "b"}, {0, "start", "s1", "c"}}, late, true},
		{"one upstream many times", append(starts(0, 1, 1), starts(time.Millisecond, 1, 1)...), time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Reach
			r.Configure(4, 12)
			for _, s := range c.steps {
				now := start.Add(s.at)
				switch s.event {
				case "start":
					r.RecordStart(now, s.service, s.upstream, now.Add(late))
				case "fail":
					r.RecordFailure(now, s.service, s.upstream)
				case "reply":
					r.RecordReply(now)
				}
			}
			if diff := cmp.Diff(c.want, r.Lost(start.Add(c.at))); diff != "" {
				t.Errorf("lost (-want +got):\n%s", diff)
			}
		})
	}
}

// loseAll makes r lose its upstreams at a time.
func loseAll(r *Reach, now time.Time) {
	for k := range minSilent {
		r.RecordFailure(now.Add(-minSilence), fmt.Sprintf("s%d", k), fmt.Sprintf("u%d", k))
	}
}

// TestSmallFleetOfUpstreams guards against a loss that is never noticed because fewer upstreams are registered than the evidence asks for.
func TestSmallFleetOfUpstreams(t *testing.T) {
	var r Reach
	r.Configure(1, 2)
	for _, u := range []string{"a", "b"} {
		r.RecordStart(start, "s", u, start.Add(minSilence))
	}
	if !r.Lost(start.Add(minSilence)) {
		t.Error("the loss of both upstreams is not noticed")
	}
}

// TestProbes guards against probes without end while upstreams flap, and against an open connection that is taken for a reply.
func TestProbes(t *testing.T) {
	var r Reach
	r.Configure(3, 9)
	now := start
	probes := func(d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if r.ProbeDue(now) {
				n++
			}
		}
		return n
	}
	if n := probes(time.Second); n != 0 {
		t.Errorf("%d probes while the upstreams are in reach", n)
	}
	loseAll(&r, now)
	if !r.Lost(now) {
		t.Fatal("the loss is not noticed")
	}
	if n := probes(2 * time.Second); n != 8 {
		t.Errorf("%d rounds of probes in 2 s, want one in %v", n, minProbeDelay)
	}
	if r.TrialDue() {
		t.Error("a trial is due before a probe succeeded")
	}
	for range 8 { // each connection opens, and no trial succeeds
		r.RecordProbe(now)
		if !r.Lost(now) || !r.TrialDue() {
			t.Fatal("an open connection must allow a trial, and not end the loss")
		}
		r.TakeTrial()
	}
	if n := probes(8 * time.Second); n > 5 {
		t.Errorf("%d rounds of probes in 8 s after failed trials, want one in %v", n, maxProbeDelay)
	}
	r.RecordReply(now)
	if r.Lost(now) || r.TrialDue() {
		t.Error("a reply must end the loss")
	}
}

// TestProbesAfterRefusedTrials guards against a VM that returns seconds after its upstreams, because its trials met upstreams that were still down
// while others accepted connections.
func TestProbesAfterRefusedTrials(t *testing.T) {
	cases := []struct {
		name    string
		refused bool
		want    int // rounds of probes in 4 s, at least
	}{
		{"refused", true, int(4 * time.Second / minProbeDelay)},
		{"silent", false, int(4 * time.Second / maxProbeDelay)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Reach
			r.Configure(3, 9)
			now := start
			loseAll(&r, now)
			if !r.Lost(now) {
				t.Fatal("the loss is not noticed")
			}
			for range 8 {
				r.RecordProbe(now)
				r.TakeTrial()
				r.RecordStart(now, "a", "u", now.Add(time.Second))
				if c.refused {
					r.RecordFailure(now, "a", "u")
				}
			}
			n := 0
			for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				if r.ProbeDue(now) {
					n++
				}
			}
			if n < c.want || !c.refused && n > c.want+1 {
				t.Errorf("%d rounds of probes in 4 s, want %d", n, c.want)
			}
		})
	}
}

// TestElsewhere guards against requests that all go through peers although no peer reaches the upstreams, and against old evidence.
func TestElsewhere(t *testing.T) {
	var e Elsewhere
	if !e.Ask(start) || e.Ask(start.Add(time.Millisecond)) {
		t.Error("without evidence one request at a time must ask")
	}
	for range minUnreached {
		if e.Unreached(start) {
			t.Error("one peer that has lost its upstreams too is taken for all of them")
		}
		e.RecordUnreached(start)
	}
	if e.Ask(start.Add(unreachedLifetime-1)) || !e.Ask(start.Add(unreachedLifetime)) {
		t.Error("the word of peers that they do not reach the upstreams must count until it is old")
	}
	e.RecordReached(start.Add(time.Second))
	for k := range 10 {
		if !e.Ask(start.Add(time.Second + time.Duration(k)*time.Millisecond)) {
			t.Error("all requests may go through peers that reach the upstreams")
		}
	}
	later := start.Add(time.Second + reachedLifetime)
	if !e.Ask(later) || e.Ask(later) {
		t.Error("old evidence must be asked for again, by one request")
	}
	e.RecordNoAnswer()
	if !e.Ask(later) {
		t.Error("after a peer without room another request must ask")
	}
	if !e.Ask(later.Add(askTimeout)) {
		t.Error("a request whose answer does not arrive must not keep others from asking")
	}
}

func testPeers(n int) []Peer {
	var all []Peer
	for k := range n {
		all = append(all, Peer{
			Name: fmt.Sprintf("vm%d", k), FailureDomain: fmt.Sprintf("d%d", k%3), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(k)}), 7742),
		})
	}
	return all
}

// TestPeersFindTheOnesInReach guards against requests to peers that said they do not reach the upstreams, while others do, and against one peer
// that gets all of them.
func TestPeersFindTheOnesInReach(t *testing.T) {
	var p Peers
	p.SetPeers(start, testPeers(9))
	r := rand.New(rand.NewPCG(1, 1))
	counts, wasted, now := map[string]int{}, 0, start
	inReach := map[string]bool{"vm1": true, "vm4": true, "vm8": true}
	for range 1000 {
		now = now.Add(2 * time.Millisecond)
		var tried []string
		for {
			peer, ok := p.Pick(now, r, "d0", tried)
			if !ok {
				break
			}
			p.RecordStart(now, peer.Name)
			tried = append(tried, peer.Name)
			if inReach[peer.Name] {
				counts[peer.Name]++
				p.RecordEnd(now, peer.Name, Served{})
				break
			}
			wasted++
			p.RecordEnd(now, peer.Name, TurnedAway{Unreached: true})
		}
	}
	if wasted > 40 {
		t.Errorf("%d of 1000 requests asked a peer without upstreams first", wasted)
	}
	for name := range inReach {
		if counts[name] < 100 {
			t.Errorf("peer %s got %d of 1000 requests, want a tenth at least", name, counts[name])
		}
	}
}

// TestBrokenPeerIsAvoided guards against requests to a VM that is dead while its entry is still in the store.
func TestBrokenPeerIsAvoided(t *testing.T) {
	var p Peers
	p.SetPeers(start, testPeers(1))
	r := rand.New(rand.NewPCG(1, 1))
	asked := 0
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if peer, ok := p.Pick(now, r, "d0", nil); ok {
			asked++
			p.RecordStart(now, peer.Name)
			p.RecordEnd(now, peer.Name, Broken{})
		}
	}
	if asked > 8 {
		t.Errorf("the broken peer got %d requests in 30 s", asked)
	}
}

// TestPeersInReserve guards against a VM without peers while the store has lost the entries of the fleet, and against requests to a peer that
// answers none.
func TestPeersInReserve(t *testing.T) {
	var p Peers
	r := rand.New(rand.NewPCG(1, 1))
	p.SetPeers(start, testPeers(2))
	p.SetPeers(start, testPeers(1))
	for range 100 {
		if peer, ok := p.Pick(start, r, "d0", nil); !ok || peer.Name != "vm0" {
			t.Fatalf("picked %q beside a registered peer", peer.Name)
		}
	}
	p.SetPeers(start, nil)
	if _, ok := p.Pick(start.Add(goneLifetime-1), r, "d0", nil); !ok {
		t.Error("no peer is left after the entries of all have disappeared")
	}
	if _, ok := p.Pick(start.Add(goneLifetime), r, "d0", nil); ok {
		t.Error("a peer is used long after its entry has disappeared")
	}
	p.SetPeers(start, testPeers(2))
	p.RecordStart(start, "vm0")
	for range 100 {
		if peer, ok := p.Pick(start.Add(silentAfter+1), r, "d0", nil); !ok || peer.Name != "vm1" {
			t.Fatalf("picked %q, which is silent", peer.Name)
		}
	}
	p.RecordStart(start, "vm1")
	if _, ok := p.Pick(start.Add(silentAfter+1), r, "d0", nil); !ok {
		t.Error("no peer is picked while all are slow")
	}
}

// TestAdmit guards against requests of other VMs that starve the callers of a VM.
func TestAdmit(t *testing.T) {
	const target = 100 * time.Millisecond
	cases := []struct {
		name string
		load Load
		want bool
	}{
		{"idle", Load{Target: target}, true},
		{"own requests wait", Load{Waiting: true, Target: target}, false},
		{"behind", Load{Lag: 11 * time.Millisecond, Target: target}, false},
		{"hardly behind", Load{Lag: 9 * time.Millisecond, Target: target}, true},
		{"short target", Load{Lag: 3 * time.Millisecond, Target: 10 * time.Millisecond}, true},
		{"many", Load{Detoured: maxDetoured, Target: target}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Admit(c.load)); diff != "" {
				t.Errorf("admitted (-want +got):\n%s", diff)
			}
		})
	}
}
