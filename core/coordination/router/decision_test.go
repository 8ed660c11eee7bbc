package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"

	"github.com/google/go-cmp/cmp"
)

const (
	searchTime = 100 * time.Millisecond // longer than the default deadline
	settleTime = 2 * time.Second
)

// search runs one search and returns its answer and its duration.
func (sim *simulation) search(t *testing.T, id RequestID, query string) (*encoder.SearchAnswer, time.Duration) {
	t.Helper()
	begin, end := sim.now, time.Duration(0)
	sim.trace = func(now time.Time, _ Event, actions []Action) {
		for _, a := range actions {
			if s, ok := a.(AnswerSearch); ok && s.Request == id {
				end = now.Sub(begin)
			}
		}
	}
	sim.step(RequestArrived{Request: id, Service: "matching", Kind: encoder.SubSearch, Query: query})
	sim.run(sim.now.Add(searchTime))
	a, ok := sim.answers[id].(*encoder.SearchAnswer)
	if sim.err != nil || !ok {
		t.Fatalf("answer %+v, error %v", sim.answers[id], sim.err)
	}
	return a, end
}

func editedTable(edit func(v *tabler.Value), replicas int) TableAdopted {
	s := testTable(testGroups, replicas)
	for _, v := range s.Values {
		edit(v)
	}
	return TableAdopted{s}
}

// TestPlainRequests guards against a fault-free request that is not answered as done with one sub-request for each group.
func TestPlainRequests(t *testing.T) {
	cases := []struct {
		service string
		kind    encoder.SubKind
		sends   int
	}{{"matching", encoder.SubSearch, testGroups}, {"profiles", encoder.SubLookup, 1}, {"profiles", encoder.SubCall, 1}}
	for _, c := range cases {
		sim := newSimulation(1)
		sim.step(RequestArrived{Request: 1, Service: c.service, Kind: c.kind})
		sim.run(epoch.Add(time.Second))
		done := false
		switch a := sim.answers[1].(type) {
		case *encoder.SearchAnswer:
			done = a.Outcome == encoder.OutcomeDone && a.Snapshot == 7 && len(a.Covered) == testGroups*testShards
		case *encoder.CallAnswer:
			done = a.Outcome == encoder.OutcomeDone
		}
		if !done || len(sim.sends) != c.sends || sim.err != nil {
			t.Errorf("%s: %d sends, error %v, answer %+v", c.kind, len(sim.sends), sim.err, sim.answers[1])
		}
	}
}

// TestMissingReasons guards against wrong reasons of missing shards, and against the outcome "not run" for a call that may have
// run. Each group has one replica, and every attempt fails in the same way.
func TestMissingReasons(t *testing.T) {
	cases := []struct {
		fault        fault
		reason       string
		search, call encoder.Outcome
	}{
		{faultRefused, reasonUnreachable, encoder.OutcomeNotRun, encoder.OutcomeNotRun},
		{faultShed, reasonShed, encoder.OutcomeNotRun, encoder.OutcomeNotRun},
		{faultDraining, reasonDraining, encoder.OutcomeNotRun, encoder.OutcomeNotRun},
		{faultTimeout, reasonTimeout, encoder.OutcomePartial, encoder.OutcomeUnknown},
		{faultUnresponsive, reasonUnresponsive, encoder.OutcomePartial, encoder.OutcomeUnknown},
		{faultUnreported, reasonTimeout, encoder.OutcomePartial, encoder.OutcomeUnknown},
		{faultError, reasonError, encoder.OutcomePartial, encoder.OutcomeUnknown},
		{faultWrongVersion, reasonMismatched, encoder.OutcomePartial, encoder.OutcomeDone},
		{faultWrongUpstream, reasonMismatched, encoder.OutcomePartial, encoder.OutcomeUnknown},
		{faultReset, reasonReset, encoder.OutcomePartial, encoder.OutcomeUnknown},
	}
	for _, c := range cases {
		sim := newSimulation(1)
		sim.step(editedTable(func(*tabler.Value) {}, 1))
		sim.search(t, 1, "first")
		sim.nextFault = func() fault { return c.fault }
		a, _ := sim.search(t, 2, "second")
		if a.Outcome != c.search || len(a.Missing) != testGroups*testShards || a.Missing[0].Reason != c.reason {
			t.Errorf("fault %d: search outcome %s, missing %v, want %s and %s", c.fault, a.Outcome, a.Missing, c.search, c.reason)
		}
		sim.step(RequestArrived{Request: 3, Service: "profiles", Kind: encoder.SubCall, Body: []byte("{}")})
		sim.run(sim.now.Add(settleTime))
		if p := sim.answers[3].(*encoder.CallAnswer); p.Outcome != c.call {
			t.Errorf("fault %d: call outcome %s (%s), want %s", c.fault, p.Outcome, p.Reason, c.call)
		}
	}
}

// TestPreference guards against an answer after the deadline, and against a search that gives up a shard too early or too late
// for the preference of its service.
func TestPreference(t *testing.T) {
	cases := []struct {
		prefer     tabler.Preference
		unanswered []int // attempts of the last search that are never answered
		earliest   time.Duration
		latest     time.Duration
		covered    int
		firstFail  string
	}{
		{tabler.PreferCoverage, []int{1}, 0, 40 * time.Millisecond, 6, ""},
		{tabler.PreferCoverage, []int{1, 4}, 0, 40 * time.Millisecond, 6, ""},
		{tabler.PreferCoverage, []int{1, 4, 5}, 66 * time.Millisecond, 70 * time.Millisecond, 4, reasonTimeout},
		{tabler.PreferLatency, []int{1, 4}, 0, 40 * time.Millisecond, 4, reasonLate},
		{tabler.PreferLatency, []int{1, 2, 4, 5, 6, 7}, 66 * time.Millisecond, 70 * time.Millisecond, 2, reasonTimeout},
	}
	for _, c := range cases {
		sim := newSimulation(1)
		sim.step(editedTable(func(v *tabler.Value) { v.Service.Prefer = c.prefer }, testReplicas))
		for id := range RequestID(40) {
			sim.search(t, id+1, "usual")
		}
		for _, k := range c.unanswered {
			sim.plan[len(sim.sends)+k] = faultUnreported
		}
		a, took := sim.search(t, 100, "slow")
		reason := ""
		if len(a.Missing) > 0 {
			reason = a.Missing[0].Reason
		}
		if took < c.earliest || took > c.latest || len(a.Covered) != c.covered || reason != c.firstFail {
			t.Errorf("%s, unanswered attempts %v: %d shards after %v, reason %q; want %d between %v and %v, %q",
				c.prefer, c.unanswered, len(a.Covered), took, reason, c.covered, c.earliest, c.latest, c.firstFail)
		}
	}
}

// TestHedge guards against hedges while hedging is off, and against late hedges, hedges to the same upstream and hedged attempts
// that are not cancelled.
func TestHedge(t *testing.T) {
	for _, isOff := range []bool{false, true} {
		sim := newSimulation(1)
		sim.machine.config.HedgeOff = isOff
		for id := range RequestID(40) {
			sim.search(t, id+1, "usual")
		}
		before := len(sim.sends)
		sim.plan[before+1] = faultUnreported
		a, took := sim.search(t, 100, "slow")
		sends := sim.sends[before:]
		if isOff {
			if len(sends) != testGroups || len(a.Missing) != testShards {
				t.Errorf("hedging off: %d sends, missing %v", len(sends), a.Missing)
			}
			continue
		}
		if len(sends) != testGroups+1 || sends[0].Upstream == sends[3].Upstream || groupOf(sends[0].Upstream) != groupOf(sends[3].Upstream) {
			t.Errorf("sub-requests %+v, want one more than groups, the last to another replica of the first group", sends)
		}
		if a.Outcome != encoder.OutcomeDone || took > 20*time.Millisecond {
			t.Errorf("outcome %s after %v, want done within 20ms", a.Outcome, took)
		}
	}
}

// TestSilentReplicas guards against a shard that is missing because a replica and its hedge do not reply, although the third
// replica works.
func TestSilentReplicas(t *testing.T) {
	sim := newSimulation(1)
	for id := range RequestID(40) {
		sim.search(t, id+1, "usual")
	}
	unanswered := 0
	sim.nextFault = func() fault {
		if groupOf(sim.sends[len(sim.sends)-1].Upstream) != 0 || unanswered == 2 {
			return faultNone
		}
		unanswered++
		return faultLateReply
	}
	if a, took := sim.search(t, 100, "unlucky"); a.Outcome != encoder.OutcomeDone {
		t.Errorf("outcome %s after %v, missing %v", a.Outcome, took, a.Missing)
	}
}

// TestHedgeReserve guards against hedges of slow replies that use up the budget tokens needed by a sub-request whose replica
// does not reply at all.
func TestHedgeReserve(t *testing.T) {
	sim := newSimulation(1)
	for id := range RequestID(40) {
		sim.search(t, id+1, "usual")
	}
	const slowSearches = 4
	first := len(sim.sends)
	sim.nextFault = func() fault {
		switch n := len(sim.sends) - first; {
		case n <= slowSearches*testGroups:
			return faultSlowReply
		case n <= (slowSearches+1)*testGroups:
			return faultUnreported
		default:
			return faultNone
		}
	}
	for id := range RequestID(slowSearches) {
		sim.step(RequestArrived{Request: 100 + id, Service: "matching", Kind: encoder.SubSearch, Query: "late"})
	}
	if a, took := sim.search(t, 200, "lost"); a.Outcome != encoder.OutcomeDone {
		t.Errorf("outcome %s after %v, missing %v", a.Outcome, took, a.Missing)
	}
}

// TestVersionNotHeld guards against a search that does not try another replica or does not restart when its version is no
// longer held, and against unnecessary restarts.
func TestVersionNotHeld(t *testing.T) {
	cases := []struct {
		name     string
		change   func(sim *simulation)
		version  uint64
		restarts uint64
	}{
		{"one replica no longer holds the version", func(sim *simulation) { sim.plan[len(sim.sends)+1] = faultVersionNotHeld }, 7, 0},
		{"all replicas switched to another layout", func(sim *simulation) { sim.version = 8 }, 8, 1},
	}
	for _, c := range cases {
		sim := newSimulation(1)
		for id := range RequestID(5) {
			sim.search(t, id+1, "usual")
		}
		before := sim.machine.Stats()
		c.change(sim)
		a, _ := sim.search(t, 100, "changed")
		if a.Outcome != encoder.OutcomeDone || a.Snapshot != c.version || sim.machine.Stats().Restarts-before.Restarts != c.restarts ||
			sim.machine.Stats().Resent-before.Resent != c.restarts*testGroups {
			t.Errorf("%s: outcome %s at version %d, %+v", c.name, a.Outcome, a.Snapshot, sim.machine.Stats())
		}
	}
}

// TestSnapshotChoice guards against a snapshot that covers fewer groups than another, is replicated too little or mixes layouts.
func TestSnapshotChoice(t *testing.T) {
	held := func(version uint64, layout string, shards ...int) encoder.HeldVersion {
		return encoder.HeldVersion{Version: version, Layout: layout, ShardsTotal: 6, Shards: shards}
	}
	cases := []struct {
		name    string
		reports map[string][]encoder.HeldVersion
		stopped string
		version uint64
		layout  string
	}{
		{"most groups", map[string][]encoder.HeldVersion{"u0-0": {held(1, "a", 0), held(2, "a", 0)}, "u1-0": {held(1, "a", 1)}}, "", 1, "a"},
		{"newest on a tie", map[string][]encoder.HeldVersion{"u0-0": {held(1, "a", 0)}, "u1-0": {held(2, "a", 1)}}, "", 2, "a"},
		{"replicas count once", map[string][]encoder.HeldVersion{"u0-0": {held(2, "a", 0)}, "u0-1": {held(2, "a", 0)}, "u1-0": {held(1, "a", 1)}, "u2-0": {held(1, "a", 2)}}, "", 1, "a"},
		{"two layouts", map[string][]encoder.HeldVersion{"u0-0": {held(2, "b", 0)}, "u1-0": {held(2, "a", 1)}, "u2-0": {held(2, "a", 2)}}, "", 2, "a"},
		{"draining holders do not count", map[string][]encoder.HeldVersion{"u0-0": {held(2, "a", 0)}, "u1-0": {held(1, "a", 1)}}, "u0-0", 1, "a"},
		{"held by one replica of three", map[string][]encoder.HeldVersion{"u0-0": {held(1, "a", 0), held(2, "a", 0)}, "u0-1": {held(1, "a", 0)}, "u0-2": {held(1, "a", 0)}}, "", 1, "a"},
		{"held by two replicas of three", map[string][]encoder.HeldVersion{"u0-0": {held(1, "a", 0), held(2, "a", 0)}, "u0-1": {held(2, "a", 0)}, "u0-2": {held(1, "a", 0)}}, "", 2, "a"},
		{"invalid reports do not count", map[string][]encoder.HeldVersion{"u0-0": {held(3, "a", 6)}, "u1-0": {held(4, "a", 1, 1)}, "u2-0": {held(1, "a", 2)}}, "", 1, "a"},
	}
	for _, c := range cases {
		sim := newSimulation(1)
		for _, u := range sim.checker.table.Values[0].Upstreams {
			if h := c.reports[u.Upstream]; h != nil {
				sim.step(UpstreamSeen{Service: "matching", Reply: &encoder.SubReply{Upstream: u.Upstream, Incarnation: 1, Held: h, Draining: u.Upstream == c.stopped}})
			}
		}
		x := sim.machine.findService("matching").catalog.best()
		if x == nil || x.version != c.version || x.layout != c.layout {
			t.Errorf("%s: chose %+v, want version %d layout %s", c.name, x, c.version, c.layout)
		}
	}
}

// TestSharedShard guards against a shard that is merged twice because two groups deliver it.
func TestSharedShard(t *testing.T) {
	sim := newSimulation(1)
	sim.step(RequestArrived{Request: 1, Service: "matching", Kind: encoder.SubSearch})
	for g, s := range sim.sends {
		r := sim.report(s.Upstream)
		r.Version, r.Layout = 7, "a"
		r.Held[0].Shards = append(r.Held[0].Shards, (g*testShards+testShards)%(testGroups*testShards))
		slices.Sort(r.Held[0].Shards)
		for _, n := range r.Held[0].Shards {
			r.Results = append(r.Results, encoder.ShardResult{Shard: n, Items: []string{resultTag(7, "a", n)}})
		}
		sim.step(ReplyArrived{Attempt: s.Attempt, Reply: r})
	}
	a := sim.answers[1].(*encoder.SearchAnswer)
	got := slices.Sorted(slices.Values(a.Covered))
	if diff := cmp.Diff([]int{0, 1, 2, 3, 4, 5}, got); diff != "" || sim.err != nil || sim.machine.Stats().DuplicateShards != testGroups {
		t.Errorf("covered (-want +got):\n%s\nerror %v, %d duplicates", diff, sim.err, sim.machine.Stats().DuplicateShards)
	}
}

// TestWaitQueue guards against sub-requests beyond the in-flight limit of an upstream, and against waiting sub-requests that are
// never sent.
func TestWaitQueue(t *testing.T) {
	sim := newSimulation(1)
	sim.step(editedTable(func(v *tabler.Value) {
		for i := range v.Upstreams {
			v.Upstreams[i].Connections = tabler.DefaultFleetMax // a share of one connection for each VM
		}
	}, 1))
	for id := range RequestID(3) {
		sim.step(RequestArrived{Request: id + 1, Service: "matching", Kind: encoder.SubSearch})
	}
	if len(sim.sends) != testGroups {
		t.Errorf("%d sub-requests are in flight, the limit is %d", len(sim.sends), testGroups)
	}
	sim.run(sim.now.Add(settleTime))
	for id := range RequestID(3) {
		if a := sim.answers[id+1].(*encoder.SearchAnswer); a.Outcome != encoder.OutcomeDone {
			t.Errorf("request %d: answer %+v, want done", id+1, a)
		}
	}
}

// TestNoFreeConnection guards against a shard that is given up while connections are being opened, against endless retries when
// none becomes free, and against budget tokens taken for attempts that were not sent.
func TestNoFreeConnection(t *testing.T) {
	cases := []struct {
		free    time.Duration // time after which connections are free
		outcome encoder.Outcome
	}{{5 * time.Millisecond, encoder.OutcomeDone}, {time.Second, encoder.OutcomeNotRun}}
	for _, c := range cases {
		sim := newSimulation(1)
		sim.search(t, 1, "usual")
		begin, before := sim.now, sim.machine.Stats()
		sim.nextFault = func() fault {
			if sim.now.Sub(begin) < c.free {
				return faultNoConnection
			}
			return faultNone
		}
		a, took := sim.search(t, 2, "busy")
		after := sim.machine.Stats()
		if a.Outcome != c.outcome || took > 72*time.Millisecond || after.Primaries-before.Primaries != testGroups || after.Retries != before.Retries {
			t.Errorf("free after %v: outcome %s after %v, %+v", c.free, a.Outcome, took, after)
		}
	}
}

// TestLastReplica guards against a missing shard although one replica of its group works: the working replica loses one
// connection, while the others refuse connections.
func TestLastReplica(t *testing.T) {
	for _, f := range []fault{faultReset, faultUnresponsive, faultNoConnection} {
		for seed := range uint64(5) {
			sim := newSimulation(seed)
			sim.search(t, 1, "usual")
			failed := false
			sim.nextFault = func() fault {
				switch s := sim.sends[len(sim.sends)-1]; {
				case groupOf(s.Upstream) != 0:
					return faultNone
				case s.Upstream != "u0-1":
					return faultRefused
				case failed:
					return faultNone
				}
				failed = true
				return f
			}
			if a, _ := sim.search(t, 2, "unlucky"); a.Outcome != encoder.OutcomeDone {
				t.Errorf("fault %d, seed %d: %+v", f, seed, a.Missing)
			}
		}
	}
}

// TestRepeatedResets guards against a sub-request that is held back until its deadline because its upstream was probed just
// before the reset.
func TestRepeatedResets(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed)
		sim.search(t, 1, "usual")
		sim.nextFault = func() fault {
			if s := sim.sends[len(sim.sends)-1]; s.Upstream == "u0-1" {
				return faultReset
			}
			return faultNone
		}
		for id := RequestID(2); id < 8; id++ {
			sim.step(RequestArrived{Request: id, Service: "matching", Kind: encoder.SubSearch, Query: fmt.Sprint("reset", id)})
			sim.run(sim.now.Add(4 * time.Millisecond))
		}
		sim.run(sim.now.Add(settleTime))
		for id := RequestID(2); id < 8; id++ {
			if a := sim.answers[id].(*encoder.SearchAnswer); a.Outcome != encoder.OutcomeDone {
				t.Errorf("seed %d, request %d: %+v", seed, id, a.Missing)
			}
		}
	}
}

// TestTableChange guards against Pool actions for upstreams that a new table does not change, and against pools of removed
// upstreams that stay open.
func TestTableChange(t *testing.T) {
	sim := newSimulation(1)
	old := sim.checker.table
	added := &tabler.Snapshot{Fleet: old.Fleet, Values: append(slices.Clone(old.Values), &tabler.Value{Service: tabler.ServiceRow{Service: "roster"}})}
	cases := []struct {
		name  string
		table *tabler.Snapshot
		pools int
	}{
		{"same table", old, 0}, {"another service", added, 0}, {"removed upstream", withoutUpstream(old, "u0-0"), 1}, {"upstream added again", old, 1},
		{"another fleet size", &tabler.Snapshot{Fleet: tabler.Fleet{Max: 24}, Values: old.Values}, 12}, {"no service", &tabler.Snapshot{}, 12},
	}
	for _, c := range cases {
		pools := 0
		for _, a := range sim.machine.Step(sim.now, TableAdopted{c.table}) {
			if _, ok := a.(Pool); ok {
				pools++
			}
		}
		if pools != c.pools {
			t.Errorf("%s: %d pools change, want %d", c.name, pools, c.pools)
		}
	}
}

// TestProbeAnswered guards against a suspect that is sent to all groups before its probe is answered, or to one group only
// afterwards.
func TestProbeAnswered(t *testing.T) {
	sim := newSimulation(1)
	sim.search(t, 1, "usual")
	e := RequestArrived{Request: 2, Service: "matching", Kind: encoder.SubSearch, Query: "suspect"}
	sim.step(SuspicionHeard{Signature: signature(&e), Service: "matching", Crashes: 1, Expires: sim.now.Add(time.Hour), NextProbe: sim.now})
	before := len(sim.sends)
	sim.step(e)
	if n := len(sim.sends) - before; n != 1 {
		t.Errorf("%d sub-requests before the probe was answered, want 1", n)
	}
	sim.run(sim.now.Add(searchTime))
	if a := sim.answers[2].(*encoder.SearchAnswer); a.Outcome != encoder.OutcomeDone || len(sim.sends)-before != testGroups {
		t.Errorf("%d sub-requests, answer %+v", len(sim.sends)-before, a)
	}
	if sim.search(t, 3, "suspect"); len(sim.sends)-before != 2*testGroups {
		t.Errorf("%d sub-requests after the suspicion was cleared", len(sim.sends)-before)
	}
}

// TestFirstReplies guards against replies that are merged across layouts, or rejected because of the order of their shards, when
// the machine does not know a snapshot yet.
func TestFirstReplies(t *testing.T) {
	cases := []struct {
		name    string
		change  func(r *encoder.SubReply)
		retries uint64
	}{
		{"shards in another order", func(r *encoder.SubReply) {
			slices.Reverse(r.Held[0].Shards)
			slices.Reverse(r.Results)
		}, 0},
		{"another layout of the same version", func(r *encoder.SubReply) {
			r.Layout, r.Held[0].Layout = "c", "c"
			retagResults(r)
		}, 1},
		{"a shard outside the layout", func(r *encoder.SubReply) { r.Results[0].Shard = 99 }, 1},
		{"duplicate shard", func(r *encoder.SubReply) { r.Results[0] = r.Results[1] }, 1},
	}
	for _, c := range cases {
		sim := newSimulation(1)
		sim.nextFault = func() fault { return faultUnreported }
		sim.step(RequestArrived{Request: 1, Service: "matching", Kind: encoder.SubSearch})
		sim.nextFault = nil
		for k, s := range slices.Clone(sim.sends) {
			r := sim.reply(s)
			if k == 0 {
				c.change(r)
			}
			sim.step(ReplyArrived{Attempt: s.Attempt, Reply: r})
		}
		sim.run(sim.now.Add(searchTime))
		a := sim.answers[1].(*encoder.SearchAnswer)
		if sim.err != nil || a.Outcome != encoder.OutcomeDone || a.Layout != "a" || sim.machine.Stats().Retries != c.retries {
			t.Errorf("%s: error %v, %d retries, answer %+v", c.name, sim.err, sim.machine.Stats().Retries, a)
		}
	}
}

// TestRejections guards against sub-requests for requests that cannot be answered.
func TestRejections(t *testing.T) {
	cases := []struct {
		event  RequestArrived
		reason string
	}{
		{RequestArrived{Service: "none", Kind: encoder.SubSearch}, reasonUnknownService},
		{RequestArrived{Service: "matching", Kind: encoder.SubCall}, reasonWrongKind},
		{RequestArrived{Service: "profiles", Kind: encoder.SubSearch}, reasonWrongKind},
		{RequestArrived{Service: "matching", Kind: encoder.SubSearch, Deadline: epoch.Add(-time.Second)}, reasonTimeout},
	}
	for _, c := range cases {
		sim := newSimulation(1)
		c.event.Request = 1
		reason, outcome := "", encoder.OutcomeDone
		for _, a := range sim.machine.Step(sim.now, c.event) {
			switch a := a.(type) {
			case Send:
				t.Errorf("%+v was sent to an upstream", c.event)
			case AnswerSearch:
				reason, outcome = a.Answer.Reason, a.Answer.Outcome
			case AnswerPoint:
				reason, outcome = a.Answer.Reason, a.Answer.Outcome
			}
		}
		if reason != c.reason || outcome != encoder.OutcomeNotRun {
			t.Errorf("%+v: outcome %s, reason %q, want %q", c.event, outcome, reason, c.reason)
		}
	}
}

// TestCrashingRequest guards against a request that crashes a second replica of a group, and against a suspect that runs on more
// than one upstream.
func TestCrashingRequest(t *testing.T) {
	sim := newSimulation(1)
	sim.search(t, 1, "usual")
	crash := func(from int) {
		for _, s := range sim.sends[from:] {
			sim.schedule(2*time.Millisecond, AttemptFailed{Attempt: s.Attempt, Failure: FailureReset, Written: true})
			sim.schedule(3*time.Millisecond, UpstreamUnreachable{Service: s.Service, Upstream: s.Upstream, Refused: true})
		}
	}
	sim.nextFault = func() fault { return faultUnreported }
	before := len(sim.sends)
	sim.step(RequestArrived{Request: 2, Service: "matching", Kind: encoder.SubSearch, Query: "crash"})
	crash(before)
	sim.run(sim.now.Add(settleTime))
	if got := len(sim.sends) - before; got != testGroups {
		t.Errorf("the crashing request was sent %d times, want once for each of %d groups", got, testGroups)
	}
	before = len(sim.sends)
	a, _ := sim.search(t, 3, "crash")
	if a.Outcome != encoder.OutcomeNotRun || a.Reason != reasonSuspect || a.RetryAfterMS <= 0 || len(sim.sends) != before {
		t.Errorf("suspect answered with %+v after %d sends", a, len(sim.sends)-before)
	}
	sim.nextFault = nil
	if a, _ := sim.search(t, 4, "other"); a.Outcome != encoder.OutcomeDone {
		t.Errorf("another request: %+v", a)
	}
	sim.run(sim.now.Add(3 * time.Minute))
	sim.nextFault = func() fault { return faultUnreported }
	before = len(sim.sends)
	sim.step(RequestArrived{Request: 5, Service: "matching", Kind: encoder.SubSearch, Query: "crash"})
	crash(before)
	sim.run(sim.now.Add(settleTime))
	if got := len(sim.sends) - before; got != 1 {
		t.Errorf("the suspect was sent %d times as a probe, want once", got)
	}
	if a := sim.answers[5].(*encoder.SearchAnswer); a.Outcome == encoder.OutcomeDone || len(a.Missing) != testGroups*testShards {
		t.Errorf("the crashed probe is answered with %+v", a)
	}
}
