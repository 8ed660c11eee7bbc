package router

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	testGroups   = 3
	testReplicas = 3
	testShards   = 2 // of each group
)

func testTable(groups, replicas int) *tabler.Snapshot {
	search := &tabler.Value{Service: tabler.ServiceRow{Service: "matching", Deadline: 72 * time.Millisecond, HedgeBudget: 0.05}}
	point := &tabler.Value{Service: tabler.ServiceRow{Service: "profiles", Kind: tabler.KindPoint, Deadline: 72 * time.Millisecond, HedgeBudget: 0.05}}
	for g := range groups {
		for k := range replicas {
			row := tabler.UpstreamRow{
				Service: "matching", Group: g, Upstream: fmt.Sprintf("u%d-%d", g, k), Weight: 100, Connections: 240, Slots: 20,
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(g >> 8), byte(g), byte(k + 1)}), 9000),
				FailureDomain: fmt.Sprintf("d%d", k),
			}
			search.Upstreams = append(search.Upstreams, row)
			if g == 0 {
				row.Service, row.Upstream = "profiles", fmt.Sprintf("p%d", k)
				point.Upstreams = append(point.Upstreams, row)
			}
		}
	}
	return &tabler.Snapshot{Fleet: tabler.Fleet{Max: 12}, Values: []*tabler.Value{search, point}}
}

// withoutUpstream returns a table without an upstream and with the others in reverse order.
func withoutUpstream(t *tabler.Snapshot, name string) *tabler.Snapshot {
	out := &tabler.Snapshot{Fleet: t.Fleet}
	for _, v := range t.Values {
		w := *v
		w.Upstreams = slices.DeleteFunc(slices.Clone(v.Upstreams), func(u tabler.UpstreamRow) bool { return u.Upstream == name })
		slices.Reverse(w.Upstreams)
		out.Values = append(out.Values, &w)
	}
	return out
}

// fault is the outcome of an attempt that does not get a correct reply after 1 ms to 2 ms.
type fault int

const (
	faultNone fault = iota
	faultReset
	faultRefused
	faultUnresponsive
	faultTimeout
	faultShed
	faultDraining
	faultVersionNotHeld
	faultWrongVersion
	faultWrongLayout
	faultMissingResults
	faultDuplicateShard
	faultWrongUpstream
	faultError
	faultLateReply
	faultCallerGone
	faultTableChange
	faultLeaving
	faultUnreported
	faultNoConnection
	faultSlowReply
	faultCount
)

// slowReply is slower than the usual reply and shorter than half of the deadline.
const slowReply = 10 * time.Millisecond

type scheduledEvent struct {
	at    time.Time
	order int
	event Event
}

// simulation runs a Machine against scripted upstreams: the k-th attempt gets the k-th fault of the plan.
type simulation struct {
	machine        Machine
	checker        *checker
	now            time.Time
	upstreamRandom *rand.Rand // random choices of the upstreams
	events         []scheduledEvent
	order          int
	wake           time.Time
	plan           map[int]fault
	nextFault      func() fault // replaces the plan if not nil
	sends          []Send
	answers        map[RequestID]any
	trace          func(now time.Time, ev Event, actions []Action)
	version        uint64 // newest version of the upstreams
	rollout        bool   // upstreams switch to a new version at different times instead of all at once
	heldVersions   map[string][2]uint64
	err            error
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		checker: newChecker(), now: epoch, upstreamRandom: rand.New(rand.NewPCG(seed, 1)), plan: make(map[int]fault),
		answers: make(map[RequestID]any), version: 7, heldVersions: make(map[string][2]uint64),
	}
	sim.machine.Configure(Config{FailureDomain: "d0", VM: "vm1", Random: rand.New(rand.NewPCG(seed, 2))})
	sim.step(TableAdopted{testTable(testGroups, testReplicas)})
	return sim
}

func (sim *simulation) schedule(after time.Duration, ev Event) {
	sim.order++
	s := scheduledEvent{sim.now.Add(after), sim.order, ev}
	k, _ := slices.BinarySearchFunc(sim.events, s, func(a, b scheduledEvent) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.order - b.order
	})
	sim.events = slices.Insert(sim.events, k, s)
}

func (sim *simulation) step(ev Event) {
	if sim.err != nil {
		return
	}
	actions := sim.machine.Step(sim.now, ev)
	if sim.trace != nil {
		sim.trace(sim.now, ev, actions)
	}
	if err := sim.checker.checkStep(sim.now, ev, actions); err != nil && sim.err == nil {
		sim.err = err
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Wake:
			sim.wake = a.At
		case Send:
			sim.sends = append(sim.sends, a)
			f := sim.plan[len(sim.sends)]
			if sim.nextFault != nil {
				f = sim.nextFault()
			}
			sim.scheduleOutcome(a, f)
		case Cancel:
			if sim.upstreamRandom.IntN(2) == 0 { // otherwise its reply ends it
				sim.schedule(500*time.Microsecond, AttemptFailed{Attempt: a.Attempt, Failure: FailureCancelled, Written: true})
			}
		case Probe:
			sim.schedule(time.Millisecond, UpstreamSeen{Service: a.Service, Reply: sim.report(a.Upstream)})
		case AnswerSearch:
			sim.answers[a.Request] = a.Answer
		case AnswerPoint:
			sim.answers[a.Request] = a.Answer
		}
	}
}

// run processes the events and timers that are due before the given time.
func (sim *simulation) run(until time.Time) {
	for sim.err == nil {
		next := until
		isTimer := !sim.wake.IsZero() && sim.wake.Before(next)
		if isTimer {
			next = sim.wake
		}
		if len(sim.events) > 0 && !sim.events[0].at.After(next) {
			s := sim.events[0]
			sim.events = sim.events[1:]
			sim.now = s.at
			sim.step(s.event)
			continue
		}
		if !isTimer {
			sim.now = until
			return
		}
		sim.now, sim.wake = next, time.Time{}
		sim.step(TimerFired{})
	}
}

func groupOf(upstream string) int {
	var g, k int
	if _, err := fmt.Sscanf(upstream, "u%d-%d", &g, &k); err != nil {
		return 0
	}
	return g
}

// heldVersion returns what a group holds of a version. Versions alternate between two layouts; version 7 has layout "a".
func heldVersion(group int, version uint64) encoder.HeldVersion {
	shards, layout := testShards, "a"
	if version%2 == 0 {
		shards, layout = testShards+1, "b"
	}
	h := encoder.HeldVersion{Version: version, Layout: layout, ShardsTotal: testGroups * shards}
	for k := range shards {
		h.Shards = append(h.Shards, group*shards+k)
	}
	return h
}

// versions returns the oldest and the newest version that an upstream holds. During a rollout, the upstream adopts the next
// version and drops its oldest one at random times.
func (sim *simulation) versions(name string) (oldest, newest uint64) {
	if !sim.rollout {
		return sim.version, sim.version
	}
	v, ok := sim.heldVersions[name]
	if !ok {
		v = [2]uint64{sim.version, sim.version}
	}
	if v[1] < sim.version && sim.upstreamRandom.IntN(3) == 0 {
		v[1]++
	}
	if v[0] < v[1] && sim.upstreamRandom.IntN(5) == 0 {
		v[0]++
	}
	sim.heldVersions[name] = v
	return v[0], v[1]
}

// report returns a reply with only the state of an upstream.
func (sim *simulation) report(name string) *encoder.SubReply {
	r := &encoder.SubReply{Upstream: name, Incarnation: 1, Status: encoder.StatusOK}
	oldest, newest := sim.versions(name)
	for v := oldest; v <= newest; v++ {
		r.Held = append(r.Held, heldVersion(groupOf(name), v))
	}
	return r
}

// reply returns the complete and correct reply to a sub-request.
func (sim *simulation) reply(s Send) *encoder.SubReply {
	r := sim.report(s.Upstream)
	if s.Kind != encoder.SubSearch {
		return r
	}
	for _, h := range r.Held {
		if s.Version != h.Version && (s.Version != 0 || h.Version != r.Held[len(r.Held)-1].Version) {
			continue
		}
		r.Version, r.Layout = h.Version, h.Layout
		for _, shard := range h.Shards {
			r.Results = append(r.Results, encoder.ShardResult{Shard: shard, Items: []string{resultTag(h.Version, h.Layout, shard)}})
		}
		return r
	}
	r.Status = encoder.StatusVersionNotHeld
	return r
}

// retagResults changes the results to match the version and layout of the reply.
func retagResults(r *encoder.SubReply) {
	for k := range r.Results {
		r.Results[k].Items = []string{resultTag(r.Version, r.Layout, r.Results[k].Shard)}
	}
}

// scheduleOutcome schedules the end of an attempt.
func (sim *simulation) scheduleOutcome(s Send, f fault) {
	const usual = time.Millisecond
	r := sim.reply(s)
	after := usual + time.Duration(sim.upstreamRandom.Int64N(int64(usual)))
	left := s.Deadline.Sub(sim.now)
	fail := func(after time.Duration, f Failure, written bool) {
		sim.schedule(after, AttemptFailed{Attempt: s.Attempt, Failure: f, Written: written})
	}
	refuse := func(status encoder.SubStatus) {
		r.Status, r.Version, r.Layout, r.Results = status, 0, "", nil
	}
	switch f {
	case faultReset:
		fail(after, FailureReset, true)
		return
	case faultRefused:
		fail(after, FailureRefused, false)
		return
	case faultNoConnection:
		fail(0, FailureNoConnection, false)
		return
	case faultUnresponsive:
		fail(left/2, FailureUnresponsive, true)
		return
	case faultTimeout:
		fail(left, FailureTimeout, true)
		return
	case faultUnreported:
		return // the transport never reports an end
	case faultShed:
		refuse(encoder.StatusShed)
	case faultDraining:
		refuse(encoder.StatusDraining)
		r.Draining = true
	case faultVersionNotHeld:
		refuse(encoder.StatusVersionNotHeld)
		r.Held[0].Version--
	case faultWrongVersion:
		r.Version--
		retagResults(r)
	case faultWrongLayout:
		r.Layout = "c"
		retagResults(r)
	case faultMissingResults:
		r.Results = r.Results[:len(r.Results)/2]
	case faultDuplicateShard:
		if len(r.Results) > 0 {
			r.Results[0] = r.Results[1]
		}
	case faultWrongUpstream:
		layout := r.Layout
		r.Upstream, r.Layout = "p9", "c"
		retagResults(r)
		r.Layout = layout
	case faultError:
		refuse(encoder.StatusError)
	case faultLateReply:
		after = left + 10*time.Millisecond
	case faultSlowReply:
		after = min(slowReply, left/2)
	case faultCallerGone:
		sim.schedule(after/2, CallerGone{s.Request})
	case faultTableChange:
		sim.schedule(after/2, TableAdopted{withoutUpstream(sim.checker.table, s.Upstream)})
	case faultLeaving:
		sim.schedule(after/2, UpstreamLeaving{Service: s.Service, Upstream: s.Upstream, Leaving: true})
	}
	sim.schedule(after, ReplyArrived{Attempt: s.Attempt, Reply: r})
}
