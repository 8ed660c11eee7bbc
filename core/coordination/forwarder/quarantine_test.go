package forwarder

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreyroute/core/coordination/quarantiner"
)

// crashFleet simulates VMs that send requests to upstreams, some of which crash upstreams, and hear of each other through a store, in memory and
// from a seed.
type crashFleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	queue     []crashTask // sorted by time
	vms       []*Machine
	lives     []int // of each VM; results for an earlier life are dropped
	wakes     []time.Time
	upstreams []Upstream
	downUntil map[string]time.Time
	crashedAt map[string]time.Time
	running   map[string][]crashRun         // by upstream
	relisted  bool                          // upstreams that have started again are listed with another start time
	cut       func(vm int, u Upstream) bool // whether the VM does not reach the upstream; nil for never
	store     map[string]quarantiner.Publication
	storeAway bool
	spread    time.Duration // longest time from a write to the store until a VM has it
	closing   time.Duration // from the reset of the request that crashes an upstream until its port is closed

	lastRequest RequestID
	arrivals    map[string][]time.Time // of requests under crashing paths at upstreams, by path: when their caller sent them
	crashes     map[string][]time.Time
	harmless    map[Reason]int  // answers to harmless requests that were not served, by reason
	refused     []*crashRequest // harmless requests that were refused as crashing upstreams
	served      int
	requests    map[RequestID]*crashRequest
	lingering   map[crashRun]bool // attempts that a Cancel does not end
}

type crashTask struct {
	at  time.Time
	run func()
}

// crashRequest is a request of a caller.
type crashRequest struct {
	path string
	sent time.Time
	vm   int
	work time.Duration // at an upstream; 0 for some milliseconds

	retryAfter time.Duration // of its refusal
}

func (r *crashRequest) crashes() bool { return strings.Contains(r.path, "crash") }

const (
	crashShards  = 6
	crashRestart = 3 * time.Second // until a crashed upstream is back
	crashWindow  = 4 * time.Second // after the third crash until the whole fleet must know
)

func newCrashFleet(t *testing.T, seed uint64, vms, points int) *crashFleet {
	f := &crashFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), downUntil: map[string]time.Time{}, crashedAt: map[string]time.Time{}, running: map[string][]crashRun{}, store: map[string]quarantiner.Publication{},
		spread: 1500 * time.Millisecond, arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{}, harmless: map[Reason]int{},
		requests: map[RequestID]*crashRequest{}, lingering: map[crashRun]bool{},
	}
	f.upstreams = upstreams(append(shardNames(crashShards), "left", "right")...)
	for k := range points {
		f.upstreams = append(f.upstreams, Upstream{
			Name: fmt.Sprintf("point-%d", k), Service: "point", FailureDomain: fmt.Sprintf("d%d", k%3), Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(k)}), 80),
		})
	}
	f.vms, f.lives, f.wakes = make([]*Machine, vms), make([]int, vms), make([]time.Time, vms)
	for n := range vms {
		f.start(n)
	}
	return f
}

// start starts a VM, which reads the store before it serves. While the store is away it has nothing to read.
func (f *crashFleet) start(n int) {
	f.lives[n]++
	f.wakes[n] = time.Time{}
	f.vms[n] = &Machine{Config: Config{
		VM: fmt.Sprint("vm", n), FailureDomain: fmt.Sprintf("d%d", n%3), ExtraSendRatio: 0.2, ExtraSendSlack: 54, BudgetWindow: 10 * time.Second, Seed: f.random.Uint64(),
	}}
	var names []string
	for k := range f.vms {
		names = append(names, fmt.Sprint("vm", k))
	}
	f.vms[n].quarantine.SetMembers(names)
	f.step(n, EvidenceReceived{Publications: f.listing(), Complete: true})
	f.step(n, FleetResized{VMs: len(f.vms)})
	f.step(n, UpstreamsListed{Upstreams: f.upstreams})
	f.step(n, ManifestAdopted{Manifest: testManifest(1, crashShards)})
}

func (f *crashFleet) listing() []quarantiner.Publication {
	var all []quarantiner.Publication
	for n := range f.vms {
		if p, ok := f.store[fmt.Sprint("vm", n)]; ok {
			all = append(all, p)
		}
	}
	return all
}

// after runs a function later, if the VM has not started again by then. No VM is -1.
func (f *crashFleet) after(d time.Duration, n int, run func()) {
	life := 0
	if n >= 0 {
		life = f.lives[n]
	}
	task := crashTask{f.now.Add(d), func() {
		if n < 0 || f.lives[n] == life {
			run()
		}
	}}
	i, _ := slices.BinarySearchFunc(f.queue, task.at, func(q crashTask, at time.Time) int {
		if q.at.After(at) {
			return 1
		}
		return -1
	})
	f.queue = slices.Insert(f.queue, i, task)
}

func (f *crashFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		task := f.queue[0]
		f.queue = f.queue[1:]
		f.now = task.at
		task.run()
	}
	f.now = end
}

func (f *crashFleet) step(n int, e Event) {
	for _, a := range slices.Clone(f.vms[n].Step(f.now, e)) {
		switch a := a.(type) {
		case Send:
			f.send(n, a)
		case Cancel:
			f.after(0, n, func() { f.cancel(n, a.Attempt) })
		case Probe:
			f.after(2*time.Millisecond, n, func() {
				down := f.downUntil[a.Upstream].After(f.now) || f.isCut(n, a.Upstream)
				f.step(n, ProbeEnded{Service: a.Service, Upstream: a.Upstream, Connected: !down, Refused: down})
			})
		case Wake:
			f.wakes[n] = a.At
			f.after(a.At.Sub(f.now), n, func() {
				if f.wakes[n].Equal(f.now) {
					f.step(n, TimerFired{})
				}
			})
		case Answer:
			f.answered(a)
		case PublishEvidence:
			f.publish(n, quarantiner.Publication{VM: f.vms[n].Config.VM, Evidence: a.Evidence})
		}
	}
}

// publish writes to the store, once it is there, and passes the write on to all VMs.
func (f *crashFleet) publish(n int, p quarantiner.Publication) {
	if f.storeAway {
		f.after(300*time.Millisecond, n, func() { f.publish(n, p) })
		return
	}
	f.store[p.VM] = p
	for k := range f.vms {
		f.after(time.Duration(f.random.Int64N(int64(f.spread))), k, func() {
			f.step(k, EvidenceReceived{Publications: []quarantiner.Publication{p}})
		})
	}
}

// send runs an attempt at an upstream: it crashes, replies, or is down.
func (f *crashFleet) send(n int, s Send) {
	q := f.requestOf(s)
	if s.Linger > 0 {
		f.lingering[crashRun{n, f.lives[n], s.Attempt}] = true
	}
	f.after(time.Millisecond, n, func() {
		if f.downUntil[s.Upstream].After(f.now) {
			f.step(n, AttemptEnded{Attempt: s.Attempt, Result: Failed{Failure: Unreachable}})
			return
		}
		if f.isCut(n, s.Upstream) { // a connection that was open is reset when it is used
			result := Failed{Failure: Unreachable}
			if f.random.IntN(2) == 0 {
				result = Failed{Failure: Reset, Written: true}
			}
			f.step(n, AttemptEnded{Attempt: s.Attempt, Result: result})
			return
		}
		if q.crashes() {
			f.arrivals[q.path] = append(f.arrivals[q.path], q.sent)
		}
		work := cmp.Or(q.work, time.Duration(5+f.random.IntN(30))*time.Millisecond)
		began := f.now
		f.running[s.Upstream] = append(f.running[s.Upstream], crashRun{n, f.lives[n], s.Attempt})
		f.after(work, -1, func() { f.endRun(n, f.lives[n], s, q, began) })
		f.after(s.Deadline.Add(max(replyGrace, s.Linger)).Sub(f.now), n, func() {
			f.step(n, AttemptEnded{Attempt: s.Attempt, Result: Failed{Failure: TimedOut, Written: true}})
		})
	})
}

// replyGrace is how long after its deadline an attempt times out.
const replyGrace = 100 * time.Millisecond

// crashRun names an attempt of a VM.
type crashRun struct {
	vm, life int
	id       AttemptID
}

// crashUpstream takes an upstream down for a time. All that it runs is reset.
func (f *crashFleet) crashUpstream(name string, d time.Duration) {
	f.downUntil[name], f.crashedAt[name] = f.now.Add(d), f.now
	for _, r := range f.running[name] {
		f.after(time.Millisecond, r.vm, func() {
			if f.lives[r.vm] == r.life {
				f.step(r.vm, AttemptEnded{Attempt: r.id, Result: Failed{Failure: Reset, Written: true}})
			}
		})
	}
	f.running[name] = nil
	if f.relisted {
		f.after(d, -1, func() { f.relist(name) })
	}
}

// relist lists an upstream that has started again.
func (f *crashFleet) relist(name string) {
	f.upstreams = slices.Clone(f.upstreams)
	i := slices.IndexFunc(f.upstreams, func(u Upstream) bool { return u.Name == name })
	f.upstreams[i].StartTime = f.now
	for n := range f.vms {
		f.after(time.Duration(f.random.Int64N(int64(time.Second))), n, func() { f.step(n, UpstreamsListed{Upstreams: f.upstreams}) })
	}
}

// cancel ends an attempt, unless its result is awaited all the same.
func (f *crashFleet) cancel(n int, id AttemptID) {
	if !f.lingering[crashRun{n, f.lives[n], id}] {
		f.step(n, AttemptEnded{Attempt: id, Result: Failed{Failure: Cancelled, Written: true}})
	}
}

func (f *crashFleet) isCut(n int, upstream string) bool {
	if f.cut == nil {
		return false
	}
	i := slices.IndexFunc(f.upstreams, func(u Upstream) bool { return u.Name == upstream })
	return f.cut(n, f.upstreams[i])
}

// endRun ends the run of an attempt. An upstream that has crashed since has reset it.
func (f *crashFleet) endRun(n, life int, s Send, q *crashRequest, began time.Time) {
	end := func(result Result) {
		if f.lives[n] == life {
			f.step(n, AttemptEnded{Attempt: s.Attempt, Result: result})
		}
	}
	switch {
	case f.downUntil[s.Upstream].After(f.now) || f.isCut(n, s.Upstream) || f.crashedAt[s.Upstream].After(began):
		end(Failed{Failure: Reset, Written: true})
	case q.crashes() && f.closing > 0:
		f.after(f.closing, -1, func() { f.crashUnder(s.Upstream, q) })
		end(Failed{Failure: Reset, Written: true})
	case q.crashes():
		f.crashUnder(s.Upstream, q)
		end(Failed{Failure: Reset, Written: true})
	default:
		end(Replied{Reply: successReply(s)})
	}
}

// crashUnder takes an upstream down that runs a request which crashes it.
func (f *crashFleet) crashUnder(upstream string, q *crashRequest) {
	f.crashUpstream(upstream, crashRestart)
	f.crashes[q.path] = append(f.crashes[q.path], f.now)
}

func (f *crashFleet) requestOf(s Send) *crashRequest {
	var id RequestID
	if _, err := fmt.Sscan(s.Message.RequestID, &id); err != nil {
		f.t.Fatal(err)
	}
	return f.requests[id]
}

// request sends a request of a caller to a VM.
func (f *crashFleet) request(n int, path string) { f.requestWith(n, path, crashCaller{}) }

// crashCaller describes a request and how long its caller waits.
type crashCaller struct {
	work     time.Duration // at an upstream; 0 for some milliseconds
	deadline time.Duration // 0 for the timeout of the route
	leaves   time.Duration // when the caller leaves; 0 for never
}

func (f *crashFleet) requestWith(n int, path string, c crashCaller) {
	f.lastRequest++
	id := f.lastRequest
	f.requests[id] = &crashRequest{path: path, sent: f.now, vm: n, work: c.work}
	e := RequestArrived{Request: id, Message: &Message{RequestID: fmt.Sprint(id), Host: "h.example", Path: path, Target: path, Method: "GET"}}
	if c.deadline > 0 {
		e.Deadline = f.now.Add(c.deadline)
	}
	f.step(n, e)
	if c.leaves > 0 {
		f.after(c.leaves, n, func() { f.step(n, CallerGone{Request: id}) })
	}
}

func (f *crashFleet) answered(a Answer) {
	r := f.requests[a.Request]
	if r.crashes() {
		return
	}
	switch o := a.Outcome.(type) {
	case Refused:
		f.harmless[o.Reason]++
		if o.Reason == Quarantined {
			r.retryAfter = o.RetryAfter
			f.refused = append(f.refused, r)
		}
	case Unknown:
		f.harmless[o.Reason]++
	default:
		f.served++
	}
}

// every runs a function again and again for a duration, at times that vary.
func (f *crashFleet) every(interval, d time.Duration, run func()) {
	if d <= 0 {
		return
	}
	wait := interval/2 + time.Duration(f.random.Int64N(int64(interval)))
	f.after(wait, -1, func() {
		run()
		f.every(interval, d-wait, run)
	})
}

// sendHarmless sends harmless requests for a duration: many that come once, and some that come often.
func (f *crashFleet) sendHarmless(d time.Duration) {
	f.every(4*time.Millisecond, d, func() {
		path := []string{"/all/", "/one/", "/once/"}[f.random.IntN(3)]
		if f.random.IntN(2) == 0 {
			path += fmt.Sprint(f.lastRequest)
		}
		f.request(f.random.IntN(len(f.vms)), path)
	})
}

// lateRetries returns how many retries of the crashing requests, sent later than crashWindow after the third crash, reached upstreams.
func (f *crashFleet) lateRetries(excused func(sent time.Time) bool) int {
	late := 0
	for path, sent := range f.arrivals {
		if len(f.crashes[path]) < 3 {
			continue
		}
		known := f.crashes[path][2].Add(crashWindow)
		counted := map[time.Time]bool{}
		for _, at := range sent {
			if at.After(known) && !excused(at) {
				counted[at] = true // one retry, to however many upstreams
			}
		}
		late = max(late, len(counted))
	}
	return late
}

// TestFleetStopsCrashingRequests guards against a request that crashes upstreams and comes to one VM after the other, and against harmless
// requests that are refused because of it.
func TestFleetStopsCrashingRequests(t *testing.T) {
	const allowedRetries = 3
	away := func(from, to time.Duration) func(f *crashFleet) {
		return func(f *crashFleet) {
			f.after(from, -1, func() { f.storeAway = true })
			f.after(to, -1, func() { f.storeAway = false })
		}
	}
	cases := []struct {
		name    string
		vms     int
		points  int // upstreams of the service without shards; 0 for nine
		path    string
		every   time.Duration // over the fleet
		trouble func(f *crashFleet)
		excused [2]time.Duration // retries sent between these times after the start do not count: the store was away or the VMs were
	}{
		{"booking", 7, 0, "/once/crash", 130 * time.Millisecond, nil, [2]time.Duration{}},
		{"lookup", 7, 0, "/one/crash", 130 * time.Millisecond, nil, [2]time.Duration{}},
		{"search", 7, 0, "/all/crash", 130 * time.Millisecond, nil, [2]time.Duration{}},
		{"booking, all upstreams down at times", 7, 3, "/once/crash", 130 * time.Millisecond, nil, [2]time.Duration{}},
		{"lookup, all upstreams down at times", 7, 3, "/one/crash", 130 * time.Millisecond, nil, [2]time.Duration{}},
		{"seldom", 7, 0, "/one/crash", 2 * time.Second, nil, [2]time.Duration{}},
		{"seldom search", 7, 0, "/all/crash", 2 * time.Second, nil, [2]time.Duration{}},
		{"large fleet", 60, 0, "/one/crash", 300 * time.Millisecond, nil, [2]time.Duration{}},
		{"ports close after connections, all upstreams down at times", 7, 3, "/one/crash", 130 * time.Millisecond, func(f *crashFleet) {
			f.closing = []time.Duration{7 * time.Millisecond, 30 * time.Millisecond}[f.random.IntN(2)]
		}, [2]time.Duration{}},
		{"store away at first", 7, 0, "/one/crash", 300 * time.Millisecond, away(0, 8*time.Second), [2]time.Duration{0, 12 * time.Second}},
		{"store away later", 7, 0, "/one/crash", 300 * time.Millisecond, away(8*time.Second, 15*time.Second), [2]time.Duration{}},
		{"one VM after the other starts again", 7, 0, "/one/crash", 300 * time.Millisecond, func(f *crashFleet) {
			for n := range f.vms {
				f.after(time.Duration(n+5)*time.Second, -1, func() { f.start(n) })
			}
		}, [2]time.Duration{}},
		{"all VMs start again at once", 7, 0, "/one/crash", 300 * time.Millisecond, func(f *crashFleet) {
			f.after(9*time.Second, -1, func() {
				for n := range f.vms {
					f.start(n)
				}
			})
		}, [2]time.Duration{}},
		{"all VMs start again, then the store is restored without it", 7, 0, "/one/crash", 300 * time.Millisecond, func(f *crashFleet) {
			f.after(9*time.Second, -1, func() {
				for n := range f.vms {
					f.start(n)
				}
			})
			f.after(12*time.Second, -1, func() {
				f.store = map[string]quarantiner.Publication{}
				for n := range f.vms {
					f.step(n, EvidenceReceived{Complete: true})
				}
			})
			f.after(17*time.Second, -1, func() { f.start(0) })
		}, [2]time.Duration{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				f := newCrashFleet(t, seed, c.vms, cmp.Or(c.points, 9))
				begin := f.now
				f.sendHarmless(24 * time.Second)
				f.run(time.Second)
				if c.trouble != nil {
					c.trouble(f)
				}
				f.every(c.every, 20*time.Second, func() { f.request(f.random.IntN(len(f.vms)), c.path) })
				f.run(25 * time.Second)
				late := f.lateRetries(func(at time.Time) bool { return at.Sub(begin) > c.excused[0] && at.Sub(begin) < c.excused[1] })
				if late > allowedRetries {
					t.Errorf("seed %d: %d retries reached upstreams later than %v after the third of %d crashes, want at most %d", seed, late, crashWindow, len(f.crashes[c.path]), allowedRetries)
				}
				if n := f.harmless[Quarantined]; n > 0 {
					t.Errorf("seed %d: %d harmless requests are refused as crashing upstreams, %d are served", seed, n, f.served)
				}
			}
		})
	}
}

// TestCrashesOfOtherCauses guards against harmless requests that are refused or fail because upstreams crash for other reasons: single ones, all
// of a failure domain or a service, resets without a crash, and VMs that do not reach them.
func TestCrashesOfOtherCauses(t *testing.T) {
	crash := func(f *crashFleet, match func(u Upstream) bool, d time.Duration) {
		for _, u := range f.upstreams {
			if match(u) {
				f.downUntil[u.Name] = f.now.Add(d)
			}
		}
	}
	cases := []struct {
		name    string
		trouble func(f *crashFleet)
	}{
		{"single crashes", func(f *crashFleet) {
			f.every(200*time.Millisecond, 15*time.Second, func() {
				name := f.upstreams[f.random.IntN(len(f.upstreams))].Name
				crash(f, func(u Upstream) bool { return u.Name == name }, 500*time.Millisecond)
			})
		}},
		{"outages of a failure domain", func(f *crashFleet) {
			f.every(4*time.Second, 15*time.Second, func() {
				domain := fmt.Sprintf("d%d", f.random.IntN(3))
				crash(f, func(u Upstream) bool { return u.FailureDomain == domain }, time.Second)
			})
		}},
		{"all upstreams of a service", func(f *crashFleet) {
			f.every(4*time.Second, 15*time.Second, func() {
				crash(f, func(u Upstream) bool { return u.Service == "point" || u.Service == "shard1" }, time.Second)
			})
		}},
		{"VMs that reach no upstream", func(f *crashFleet) {
			f.every(3*time.Second, 15*time.Second, func() {
				from, count := f.random.IntN(len(f.vms)), 1+f.random.IntN(len(f.vms)-1)
				f.cut = func(vm int, _ Upstream) bool { return (vm+len(f.vms)-from)%len(f.vms) < count }
				f.after(time.Second, -1, func() { f.cut = nil })
			})
		}},
		{"VMs that do not reach a service", func(f *crashFleet) {
			f.every(3*time.Second, 15*time.Second, func() {
				cutVM, service := f.random.IntN(len(f.vms)), []string{"point", "shard1"}[f.random.IntN(2)]
				f.cut = func(vm int, u Upstream) bool { return vm == cutVM && u.Service == service }
				f.after(time.Second, -1, func() { f.cut = nil })
			})
		}},
		{"VMs that do not reach a failure domain", func(f *crashFleet) {
			f.every(3*time.Second, 15*time.Second, func() {
				cutVM, domain := f.random.IntN(len(f.vms)), fmt.Sprintf("d%d", f.random.IntN(3))
				f.cut = func(vm int, u Upstream) bool { return vm == cutVM && u.FailureDomain == domain }
				f.after(time.Second, -1, func() { f.cut = nil })
			})
		}},
		{"connections that are reset", func(f *crashFleet) {
			f.every(50*time.Millisecond, 15*time.Second, func() {
				name := f.upstreams[f.random.IntN(len(f.upstreams))].Name
				crash(f, func(u Upstream) bool { return u.Name == name }, time.Millisecond)
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				f := newCrashFleet(t, seed, 7, 9)
				f.sendHarmless(18 * time.Second)
				f.run(time.Second)
				c.trouble(f)
				f.run(20 * time.Second)
				if n := f.harmless[Quarantined]; n > 0 {
					t.Errorf("seed %d: %d harmless requests are refused as crashing upstreams, %d are served", seed, n, f.served)
				}
			}
		})
	}
}
