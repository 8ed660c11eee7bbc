package synchronizer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetFault is a fault of one call or message in a fleet.
type fleetFault int

const (
	delivered       fleetFault = iota
	lostRequest                // the request or message never arrives
	lostAnswer                 // the answer never arrives
	lateMessage                // the message or answer arrives 1.5 s late, after later ones
	repeatedMessage            // the message or answer arrives again 1.5 s later
	platformOutage             // the platform answers no VM for 2 s
	slowPlatform               // the platform answers every VM 800 ms late for 2 s
	pausedVM                   // the sender is paused for 3 s
	replacedPeer               // the receiver is replaced by a new VM without state
	fleetFaultCount            // number of faults
)

// fleet runs machines against a simulated store and passes their messages as the daemons do.
type fleet struct {
	clock
	random         *rand.Rand
	vms            []*fleetVM
	writes         []StoredValue // every write, in order; the revision is the index + 1
	writtenAt      []time.Time
	pendingWatches []pendingWatch
	downUntil      time.Time
	slowUntil      time.Time
	fault          func(step int) fleetFault // counted from the first write after the start
	countsSteps    bool
	steps          int
	domains        int
	callsPerSecond []int         // platform calls in each second after the start
	maxDelay       time.Duration // longest time from a write until it was in effect on a VM
	err            error
}

type fleetVM struct {
	Machine
	pausedUntil  time.Time
	nextExchange time.Time
	revisions    map[string]uint64
}

type pendingWatch struct {
	vm    *fleetVM
	call  CallID
	after uint64
	until time.Time
	fault fleetFault
}

func newFleet(n, domains int, seed uint64, fault func(int) fleetFault) *fleet {
	f := &fleet{clock: clock{now: testStart}, domains: domains, callsPerSecond: make([]int, 1000), random: rand.New(rand.NewPCG(seed, 1)), fault: fault}
	f.write("roster")
	f.write("matching")
	f.steps, f.countsSteps = 0, false
	f.vms = make([]*fleetVM, n)
	for i := range f.vms {
		f.replaceVM(i)
	}
	return f
}

// replaceVM replaces a VM by a new one without state.
func (f *fleet) replaceVM(i int) {
	domain := func(i int) string { return fmt.Sprint("d", i%f.domains) }
	v := &fleetVM{revisions: map[string]uint64{}}
	v.Self = Member{fmt.Sprint("vm", i), domain(i)}
	v.Random = rand.New(rand.NewPCG(f.random.Uint64(), 1))
	f.vms[i] = v
	var members []Member
	for j := range f.vms {
		members = append(members, Member{fmt.Sprint("vm", j), domain(j)})
	}
	f.schedule(0, func() { f.step(v, MembersChanged{members}) })
}

func (f *fleet) write(service string) {
	f.writes = append(f.writes, newStoredValue(service, uint64(len(f.writes)+1)))
	f.writtenAt = append(f.writtenAt, f.now)
	f.countsSteps = true
	waiting := f.pendingWatches
	f.pendingWatches = nil
	for _, w := range waiting {
		f.answerWatch(w)
	}
}

func (f *fleet) nextFault() fleetFault {
	if !f.countsSteps {
		return delivered
	}
	f.steps++
	return f.fault(f.steps - 1)
}

func (f *fleet) vmIndex(id string) int {
	return slices.IndexFunc(f.vms, func(v *fleetVM) bool { return v.Self.ID == id })
}

func (f *fleet) step(v *fleetVM, ev Event) {
	if f.now.Before(v.pausedUntil) {
		f.schedule(v.pausedUntil.Sub(f.now), func() { f.step(v, ev) })
		return
	}
	if !slices.Contains(f.vms, v) {
		return // replaced
	}
	for _, a := range v.Step(f.now, ev) {
		f.perform(v, a)
	}
}

func (f *fleet) perform(v *fleetVM, a Action) {
	switch a := a.(type) {
	case ApplyTable:
		f.tableApplied(v)
	case RejectValue:
		f.err = a.Err
	case PushRevisions:
		for _, to := range a.To {
			f.sendMessage(v, f.vmIndex(to), RevisionsReceived{v.Self.ID, a.Revisions})
		}
	case FetchValues:
		f.fetchFromPeer(v, a)
	case ReadTable:
		f.callPlatform(v, func(x fleetFault) {
			items := map[string]StoredValue{}
			for _, s := range f.writes {
				items[s.Service] = s
			}
			f.reply(v, TableRead{a.Call, []StoredValue{items["matching"], items["roster"]}, uint64(len(f.writes))}, x)
		})
	case WatchTable:
		f.callPlatform(v, func(x fleetFault) {
			f.answerWatch(pendingWatch{v, a.Call, a.After, f.now.Add(a.Wait), x})
		})
	}
}

// tableApplied checks that no revision decreases and records how long the newest ones took.
func (f *fleet) tableApplied(v *fleetVM) {
	for _, r := range v.Revisions() {
		if r.Revision < v.revisions[r.Service] {
			f.err = fmt.Errorf("%s: revision of %s decreases from %d to %d", v.Self.ID, r.Service, v.revisions[r.Service], r.Revision)
		}
		if r.Revision > v.revisions[r.Service] && v.Complete() {
			f.maxDelay = max(f.maxDelay, f.now.Sub(f.writtenAt[r.Revision-1]))
		}
		v.revisions[r.Service] = r.Revision
	}
}

// callPlatform sends a call to the platform. A failed call is not reported, so that the machine's own timeout applies.
func (f *fleet) callPlatform(v *fleetVM, effect func(fleetFault)) {
	f.callsPerSecond[int(f.now.Sub(testStart)/time.Second)]++
	x := f.nextFault()
	switch x {
	case platformOutage:
		f.downUntil = f.now.Add(2 * time.Second)
	case slowPlatform:
		f.slowUntil = f.now.Add(2 * time.Second)
	case pausedVM:
		v.pausedUntil = f.now.Add(3 * time.Second)
	}
	if f.now.Before(f.downUntil) || x == lostRequest {
		return
	}
	f.schedule(5*time.Millisecond, func() { effect(x) })
}

// reply delivers a message or answer to a VM.
func (f *fleet) reply(v *fleetVM, ev Event, x fleetFault) {
	d := 5 * time.Millisecond
	if f.now.Before(f.slowUntil) {
		d = 800 * time.Millisecond // above the timeout of a call
	}
	switch x {
	case lostAnswer:
		return
	case lateMessage:
		d += 1500 * time.Millisecond
	case repeatedMessage:
		f.schedule(d+1500*time.Millisecond, func() { f.step(v, ev) })
	}
	f.schedule(d, func() { f.step(v, ev) })
}

func (f *fleet) answerWatch(w pendingWatch) {
	changes := slices.Clone(f.writes[min(w.after, uint64(len(f.writes))):])
	switch {
	case f.now.Before(f.downUntil):
	case len(changes) > 0 || !f.now.Before(w.until):
		f.reply(w.vm, WatchAnswered{Call: w.call, Items: changes, Revision: uint64(len(f.writes))}, w.fault)
	default:
		f.pendingWatches = append(f.pendingWatches, w)
	}
}

func (f *fleet) sendMessage(v *fleetVM, to int, ev Event) {
	x := f.nextFault()
	if x == pausedVM {
		v.pausedUntil = f.now.Add(3 * time.Second)
	}
	if x == replacedPeer {
		f.replaceVM(to)
	}
	if x != lostRequest {
		f.reply(f.vms[to], ev, x)
	}
}

func (f *fleet) fetchFromPeer(v *fleetVM, a FetchValues) {
	x, to := f.nextFault(), f.vmIndex(a.From)
	if x == replacedPeer {
		f.replaceVM(to)
	}
	peer := f.vms[to]
	if x == lostRequest || f.now.Before(peer.pausedUntil) {
		return
	}
	if items, ok := peer.Values(a.Services); ok {
		f.reply(v, ValuesFetched{a.Call, items}, x)
	} else {
		f.reply(v, FetchFailed{a.Call}, x)
	}
}

func (f *fleet) exchange(v *fleetVM) {
	// The intervals of package tracker.
	v.nextExchange = f.now.Add(500 * time.Millisecond)
	if len(f.vms) > 9 {
		v.nextExchange = f.now.Add(time.Second)
	}
	to := f.random.IntN(len(f.vms))
	peer := f.vms[to]
	if peer == v || f.now.Before(peer.pausedUntil) {
		return
	}
	f.sendMessage(v, to, RevisionsReceived{v.Self.ID, v.Revisions()})
	f.sendMessage(peer, f.vmIndex(v.Self.ID), RevisionsReceived{peer.Self.ID, peer.Revisions()})
	own := v.LastContact()
	if !peer.LastContact().IsZero() {
		f.step(v, ContactAgeReceived{f.now, f.now.Sub(peer.LastContact())})
	}
	if !own.IsZero() {
		f.step(peer, ContactAgeReceived{f.now, f.now.Sub(own)})
	}
}

// run simulates the fleet for a time and then checks that every VM has the newest revisions.
func (f *fleet) run(d time.Duration, writes map[time.Duration]string) error {
	begin := f.now
	for ; f.now.Sub(begin) < d; f.now = f.now.Add(50 * time.Millisecond) {
		f.runDueTasks()
		waiting := f.pendingWatches
		f.pendingWatches = nil
		for _, w := range waiting {
			f.answerWatch(w)
		}
		if s, ok := writes[f.now.Sub(begin)]; ok {
			f.write(s)
		}
		for _, v := range f.vms {
			if f.now.Before(v.pausedUntil) {
				continue
			}
			f.step(v, Ticked{})
			if !f.now.Before(v.nextExchange) {
				f.exchange(v)
			}
		}
	}
	newest := map[string]uint64{}
	for _, s := range f.writes {
		newest[s.Service] = s.Revision
	}
	for _, v := range f.vms {
		for service, r := range newest {
			if got := v.Table().Revision(service); got != r {
				return fmt.Errorf("%s has revision %d of %s, the newest is %d", v.Self.ID, got, service, r)
			}
		}
	}
	return f.err
}

// TestFleetFaultMatrix guards against a change that some VM never gets, gets late or reverts. It injects every fault, alone and in
// pairs, at each of the first eight calls and messages after the change. Two of the five VMs watch the platform. A change must be
// in effect within 3 s (invariant 8). With a paused or replaced VM or a platform outage there is no time limit, but every VM must
// have the change in the end.
func TestFleetFaultMatrix(t *testing.T) {
	const steps, size = 8, int(fleetFaultCount)
	for a := range steps * size {
		t.Run(fmt.Sprint("step ", a/size, " fault ", a%size), func(t *testing.T) {
			t.Parallel()
			for b := a; b < steps*size; b++ {
				faults := map[int]fleetFault{a / size: fleetFault(a % size)}
				faults[b/size] = fleetFault(b % size)
				f := newFleet(5, 1, uint64(a), func(step int) fleetFault { return faults[step] })
				err := f.run(8*time.Second, map[time.Duration]string{
					2000 * time.Millisecond: "roster", 2050 * time.Millisecond: "roster", 2200 * time.Millisecond: "matching",
				})
				if err != nil {
					t.Fatalf("faults %v: %v", faults, err)
				}
				hasNoLimit := false
				for _, x := range faults {
					hasNoLimit = hasNoLimit || x == platformOutage || x == pausedVM || x == replacedPeer
				}
				if !hasNoLimit && f.maxDelay > 3*time.Second {
					t.Fatalf("faults %v: a change took %v", faults, f.maxDelay)
				}
			}
		})
	}
}

// TestFleetSlowPlatform guards against changes that never arrive because each answer of the platform comes after the timeout.
func TestFleetSlowPlatform(t *testing.T) {
	f := newFleet(5, 1, 1, func(int) fleetFault { return delivered })
	f.slowUntil = testStart.Add(time.Hour)
	if err := f.run(10*time.Second, map[time.Duration]string{4 * time.Second: "roster", 6 * time.Second: "matching"}); err != nil {
		t.Fatal(err)
	}
	for _, v := range f.vms {
		if !v.Complete() || f.maxDelay > 3*time.Second {
			t.Errorf("%s: complete %v, a change took %v", v.Self.ID, v.Complete(), f.maxDelay)
		}
	}
}

// TestFleetConverges guards against revisions that decrease and VMs that never get the newest ones. Messages are lost, late or
// repeated, and VMs are paused and replaced. The last fault is over 5 s before the tables are compared.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 6).Draw(t, "VMs")
		var f *fleet
		f = newFleet(n, 1+r.IntN(2), r.Uint64(), func(int) fleetFault {
			if r.IntN(3) > 0 || f.now.Sub(testStart) > 7*time.Second {
				return delivered
			}
			return fleetFault(r.IntN(int(fleetFaultCount)))
		})
		writes := map[time.Duration]string{}
		for range rapid.IntRange(1, 10).Draw(t, "writes") {
			writes[time.Duration(r.IntN(100))*50*time.Millisecond] = []string{"roster", "matching"}[r.IntN(2)]
		}
		if err := f.run(15*time.Second, writes); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFleetCalls guards against a number of platform calls that grows with the VMs instead of the failure domains, and against a
// burst of calls when the platform returns. The two watchers of each domain make one call per second each. The outage lasts 2
// minutes, after which every VM has reached the longest back-off delay.
func TestFleetCalls(t *testing.T) {
	for _, n := range []int{7, 100} {
		const domains = 3
		f := newFleet(n, domains, 1, func(int) fleetFault { return delivered })
		if err := f.run(20*time.Second, nil); err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, c := range f.callsPerSecond[10:20] {
			sum += c
		}
		// Each VM may make one further call in ten seconds, because by chance it may learn of no contact for StaleAfter.
		if limit := 10*domains*WatchersPerDomain + n; sum > limit {
			t.Errorf("%d VMs: %d calls in 10 s, want at most %d", n, sum, limit)
		}
		f.downUntil = f.now.Add(120 * time.Second)
		if err := f.run(150*time.Second, map[time.Duration]string{121 * time.Second: "roster"}); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d VMs: calls in a second: %v before, %v at the end of the outage, %v after it; a change just after it took %v",
			n, f.callsPerSecond[10:20], f.callsPerSecond[130:140], f.callsPerSecond[140:155], f.maxDelay)
		if f.maxDelay > 3*time.Second {
			t.Errorf("%d VMs: a change took %v", n, f.maxDelay)
		}
		for i, c := range f.callsPerSecond[140:170] {
			// A watcher makes its regular call and one that reads the change; each other VM makes at most one call.
			if limit := 2*domains*WatchersPerDomain + n; c > limit {
				t.Errorf("%d VMs: %d calls in second %d after the return, want at most %d", n, c, i, limit)
			}
		}
	}
}
