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

// without returns a table that lacks an upstream and lists the others in another order.
func without(t *tabler.Snapshot, name string) *tabler.Snapshot {
	out := &tabler.Snapshot{Fleet: t.Fleet}
	for _, v := range t.Values {
		w := *v
		w.Upstreams = slices.DeleteFunc(slices.Clone(v.Upstreams), func(u tabler.UpstreamRow) bool { return u.Upstream == name })
		slices.Reverse(w.Upstreams)
		out.Values = append(out.Values, &w)
	}
	return out
}

// fault is what happens to one attempt instead of a good reply after 1 ms.
type fault int

const (
	faultNone fault = iota
	faultReset
	faultRefused
	faultUnresponsive
	faultTimeout
	faultShed
	faultDraining
	faultNotHeld
	faultVersion
	faultLayout
	faultShards
	faultDuplicate
	faultUpstream
	faultError
	faultLate
	faultCallerGone
	faultTable
	faultLeaving
	faultLost
	faultNoConnection
	faultSlow
	faultCount
)

// slowReply is longer than usual, and less than half of the deadline.
const slowReply = 10 * time.Millisecond

type scheduled struct {
	at    time.Time
	order int
	event Event
}

// world drives a Machine through scripted upstreams: the k-th attempt gets the k-th fault of the plan.
type world struct {
	machine Machine
	checker *checker
	now     time.Time
	random  *rand.Rand // of the upstreams
	events  []scheduled
	order   int
	wake    time.Time
	plan    map[int]fault
	draw    func() fault // for attempts beyond the plan
	sends   []Send
	answers map[RequestID]any
	trace   func(now time.Time, ev Event, actions []Action)
	version uint64 // that the upstreams hold or will hold
	rollout bool   // they take a new version one after the other, instead of all at once
	holds   map[string][2]uint64
	err     error
}

func newWorld(seed uint64) *world {
	w := &world{
		checker: newChecker(), now: epoch, random: rand.New(rand.NewPCG(seed, 1)), plan: make(map[int]fault),
		answers: make(map[RequestID]any), version: 7, holds: make(map[string][2]uint64),
	}
	w.machine.Configure(Config{FailureDomain: "d0", VM: "vm1", Random: rand.New(rand.NewPCG(seed, 2))})
	w.step(TableAdopted{testTable(testGroups, testReplicas)})
	return w
}

func (w *world) at(after time.Duration, ev Event) {
	w.order++
	s := scheduled{w.now.Add(after), w.order, ev}
	k, _ := slices.BinarySearchFunc(w.events, s, func(a, b scheduled) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.order - b.order
	})
	w.events = slices.Insert(w.events, k, s)
}

func (w *world) step(ev Event) {
	if w.err != nil {
		return
	}
	actions := w.machine.Step(w.now, ev)
	if w.trace != nil {
		w.trace(w.now, ev, actions)
	}
	if err := w.checker.step(w.now, ev, actions); err != nil && w.err == nil {
		w.err = err
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Wake:
			w.wake = a.At
		case Send:
			w.sends = append(w.sends, a)
			f := w.plan[len(w.sends)]
			if w.draw != nil {
				f = w.draw()
			}
			w.serve(a, f)
		case Cancel:
			if w.random.IntN(2) == 0 { // otherwise its reply ends it
				w.at(500*time.Microsecond, AttemptFailed{Attempt: a.Attempt, Failure: FailureCancelled, Written: true})
			}
		case Probe:
			w.at(time.Millisecond, UpstreamSeen{Service: a.Service, Reply: w.report(a.Upstream)})
		case AnswerSearch:
			w.answers[a.Request] = a.Answer
		case AnswerPoint:
			w.answers[a.Request] = a.Answer
		}
	}
}

// run feeds events until none is left before the given time.
func (w *world) run(until time.Time) {
	for w.err == nil {
		next := until
		isTimer := !w.wake.IsZero() && w.wake.Before(next)
		if isTimer {
			next = w.wake
		}
		if len(w.events) > 0 && !w.events[0].at.After(next) {
			s := w.events[0]
			w.events = w.events[1:]
			w.now = s.at
			w.step(s.event)
			continue
		}
		if !isTimer {
			w.now = until
			return
		}
		w.now, w.wake = next, time.Time{}
		w.step(TimerFired{})
	}
}

func groupOf(upstream string) int {
	var g, k int
	if _, err := fmt.Sscanf(upstream, "u%d-%d", &g, &k); err != nil {
		return 0
	}
	return g
}

// held describes what a group holds of a version. Version 7 has layout "a"; later ones alternate between two layouts.
func held(group int, version uint64) encoder.HeldVersion {
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

// versions returns the oldest and the newest version that an upstream holds. In a rollout, it takes the next version and
// drops its oldest one at random.
func (w *world) versions(name string) (oldest, newest uint64) {
	if !w.rollout {
		return w.version, w.version
	}
	v, ok := w.holds[name]
	if !ok {
		v = [2]uint64{w.version, w.version}
	}
	if v[1] < w.version && w.random.IntN(3) == 0 {
		v[1]++
	}
	if v[0] < v[1] && w.random.IntN(5) == 0 {
		v[0]++
	}
	w.holds[name] = v
	return v[0], v[1]
}

// report is what an upstream says about itself.
func (w *world) report(name string) *encoder.SubReply {
	r := &encoder.SubReply{Upstream: name, Incarnation: 1, Status: encoder.StatusOK}
	oldest, newest := w.versions(name)
	for v := oldest; v <= newest; v++ {
		r.Held = append(r.Held, held(groupOf(name), v))
	}
	return r
}

// reply is the complete and correct reply to a sub-request.
func (w *world) reply(s Send) *encoder.SubReply {
	r := w.report(s.Upstream)
	if s.Kind != encoder.SubSearch {
		return r
	}
	for _, h := range r.Held {
		if s.Version != h.Version && (s.Version != 0 || h.Version != r.Held[len(r.Held)-1].Version) {
			continue
		}
		r.Version, r.Layout = h.Version, h.Layout
		for _, shard := range h.Shards {
			r.Results = append(r.Results, encoder.ShardResult{Shard: shard, Items: []string{tag(h.Version, h.Layout, shard)}})
		}
		return r
	}
	r.Status = encoder.StatusVersionNotHeld
	return r
}

// retag marks the results as those of the reply's version and layout.
func retag(r *encoder.SubReply) {
	for k := range r.Results {
		r.Results[k].Items = []string{tag(r.Version, r.Layout, r.Results[k].Shard)}
	}
}

// serve schedules what happens to an attempt.
func (w *world) serve(s Send, f fault) {
	const usual = time.Millisecond
	r := w.reply(s)
	after := usual + time.Duration(w.random.Int64N(int64(usual)))
	left := s.Deadline.Sub(w.now)
	fail := func(after time.Duration, f Failure, written bool) {
		w.at(after, AttemptFailed{Attempt: s.Attempt, Failure: f, Written: written})
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
	case faultLost:
		return // the transport never reports an end
	case faultShed:
		refuse(encoder.StatusShed)
	case faultDraining:
		refuse(encoder.StatusDraining)
		r.Draining = true
	case faultNotHeld:
		refuse(encoder.StatusVersionNotHeld)
		r.Held[0].Version--
	case faultVersion:
		r.Version--
		retag(r)
	case faultLayout:
		r.Layout = "c"
		retag(r)
	case faultShards:
		r.Results = r.Results[:len(r.Results)/2]
	case faultDuplicate:
		if len(r.Results) > 0 {
			r.Results[0] = r.Results[1]
		}
	case faultUpstream:
		layout := r.Layout
		r.Upstream, r.Layout = "p9", "c"
		retag(r)
		r.Layout = layout
	case faultError:
		refuse(encoder.StatusError)
	case faultLate:
		after = left + 10*time.Millisecond
	case faultSlow:
		after = min(slowReply, left/2)
	case faultCallerGone:
		w.at(after/2, CallerGone{s.Request})
	case faultTable:
		w.at(after/2, TableAdopted{without(w.checker.table, s.Upstream)})
	case faultLeaving:
		w.at(after/2, UpstreamLeaving{Service: s.Service, Upstream: s.Upstream, Leaving: true})
	}
	w.at(after, ReplyArrived{Attempt: s.Attempt, Reply: r})
}
