package synchronizer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetFault is what goes wrong with one call or message of a fleet.
type fleetFault int

const (
	delivered      fleetFault = iota
	lostRequest               // the request or message never arrives
	lostAnswer                // the answer never arrives
	lateMessage               // the message or answer arrives 1.5 s late, after later ones
	twice                     // the message or answer arrives again 1.5 s later
	downPlatform              // the platform answers nobody for 2 s
	slowPlatform              // the platform answers everybody 800 ms late for 2 s
	pausedVM                  // the sender is paused for 3 s
	gonePeer                  // the receiver is replaced by a new VM without state
	fleetFaultSize            // number of faults
)

// fleet runs machines against a store and passes their messages, like the daemons do.
type fleet struct {
	clock
	random   *rand.Rand
	vms      []*fleetVM
	log      []StoredValue // every write, in order; the revision is the index + 1
	accepted []time.Time
	watches  []pendingWatch
	down     time.Time
	slow     time.Time
	fault    func(step int) fleetFault // counted from the first write after the start
	counting bool
	steps    int
	domains  int
	calls    []int         // platform calls in each second after the start
	worst    time.Duration // longest time from a write to its effect on a VM
	err      error
}

type fleetVM struct {
	Machine
	paused    time.Time
	exchange  time.Time
	effective map[string]uint64
}

type pendingWatch struct {
	vm    *fleetVM
	call  CallID
	after uint64
	until time.Time
	fault fleetFault
}

func newFleet(n, domains int, seed uint64, fault func(int) fleetFault) *fleet {
	f := &fleet{clock: clock{now: start}, domains: domains, calls: make([]int, 1000), random: rand.New(rand.NewPCG(seed, 1)), fault: fault}
	f.write("roster")
	f.write("matching")
	f.steps, f.counting = 0, false
	f.vms = make([]*fleetVM, n)
	for i := range f.vms {
		f.replace(i)
	}
	return f
}

// replace puts a new VM without state in the place of one.
func (f *fleet) replace(i int) {
	domain := func(i int) string { return fmt.Sprint("d", i%f.domains) }
	v := &fleetVM{effective: map[string]uint64{}}
	v.Self = Member{fmt.Sprint("vm", i), domain(i)}
	v.Random = rand.New(rand.NewPCG(f.random.Uint64(), 1))
	f.vms[i] = v
	var members []Member
	for j := range f.vms {
		members = append(members, Member{fmt.Sprint("vm", j), domain(j)})
	}
	f.after(0, func() { f.step(v, MembersChanged{members}) })
}

func (f *fleet) write(service string) {
	f.log = append(f.log, stored(service, uint64(len(f.log)+1)))
	f.accepted = append(f.accepted, f.now)
	f.counting = true
	waiting := f.watches
	f.watches = nil
	for _, w := range waiting {
		f.answerWatch(w)
	}
}

func (f *fleet) nextFault() fleetFault {
	if !f.counting {
		return delivered
	}
	f.steps++
	return f.fault(f.steps - 1)
}

func (f *fleet) index(id string) int {
	return slices.IndexFunc(f.vms, func(v *fleetVM) bool { return v.Self.ID == id })
}

func (f *fleet) step(v *fleetVM, ev Event) {
	if f.now.Before(v.paused) {
		f.after(v.paused.Sub(f.now), func() { f.step(v, ev) })
		return
	}
	if !slices.Contains(f.vms, v) {
		return // replaced
	}
	for _, a := range v.Step(f.now, ev) {
		f.do(v, a)
	}
}

func (f *fleet) do(v *fleetVM, a Action) {
	switch a := a.(type) {
	case ApplyTable:
		f.adopted(v)
	case RejectValue:
		f.err = a.Err
	case PushRevisions:
		for _, to := range a.To {
			f.message(v, f.index(to), RevisionsReceived{v.Self.ID, a.Revisions})
		}
	case FetchValues:
		f.fetch(v, a)
	case ReadTable:
		f.platform(v, func(x fleetFault) {
			items := map[string]StoredValue{}
			for _, s := range f.log {
				items[s.Service] = s
			}
			f.reply(v, TableRead{a.Call, []StoredValue{items["matching"], items["roster"]}, uint64(len(f.log))}, x)
		})
	case WatchTable:
		f.platform(v, func(x fleetFault) {
			f.answerWatch(pendingWatch{v, a.Call, a.After, f.now.Add(a.Wait), x})
		})
	}
}

// adopted checks that no revision decreases and notes how long the newest ones took.
func (f *fleet) adopted(v *fleetVM) {
	for _, r := range v.Revisions() {
		if r.Revision < v.effective[r.Service] {
			f.err = fmt.Errorf("%s: revision of %s falls from %d to %d", v.Self.ID, r.Service, v.effective[r.Service], r.Revision)
		}
		if r.Revision > v.effective[r.Service] && v.Complete() {
			f.worst = max(f.worst, f.now.Sub(f.accepted[r.Revision-1]))
		}
		v.effective[r.Service] = r.Revision
	}
}

// platform carries a call to the platform. The daemon reports no failure, so that the machine's own time limit is used.
func (f *fleet) platform(v *fleetVM, effect func(fleetFault)) {
	f.calls[int(f.now.Sub(start)/time.Second)]++
	x := f.nextFault()
	switch x {
	case downPlatform:
		f.down = f.now.Add(2 * time.Second)
	case slowPlatform:
		f.slow = f.now.Add(2 * time.Second)
	case pausedVM:
		v.paused = f.now.Add(3 * time.Second)
	}
	if f.now.Before(f.down) || x == lostRequest {
		return
	}
	f.after(5*time.Millisecond, func() { effect(x) })
}

// reply carries an answer back to a VM.
func (f *fleet) reply(v *fleetVM, ev Event, x fleetFault) {
	d := 5 * time.Millisecond
	if f.now.Before(f.slow) {
		d = 800 * time.Millisecond // above the time limit of a call
	}
	switch x {
	case lostAnswer:
		return
	case lateMessage:
		d += 1500 * time.Millisecond
	case twice:
		f.after(d+1500*time.Millisecond, func() { f.step(v, ev) })
	}
	f.after(d, func() { f.step(v, ev) })
}

func (f *fleet) answerWatch(w pendingWatch) {
	changes := slices.Clone(f.log[min(w.after, uint64(len(f.log))):])
	switch {
	case f.now.Before(f.down):
	case len(changes) > 0 || !f.now.Before(w.until):
		f.reply(w.vm, WatchAnswered{Call: w.call, Items: changes, Revision: uint64(len(f.log))}, w.fault)
	default:
		f.watches = append(f.watches, w)
	}
}

func (f *fleet) message(v *fleetVM, to int, ev Event) {
	x := f.nextFault()
	if x == pausedVM {
		v.paused = f.now.Add(3 * time.Second)
	}
	if x == gonePeer {
		f.replace(to)
	}
	if x != lostRequest {
		f.reply(f.vms[to], ev, x)
	}
}

func (f *fleet) fetch(v *fleetVM, a FetchValues) {
	x, to := f.nextFault(), f.index(a.From)
	if x == gonePeer {
		f.replace(to)
	}
	peer := f.vms[to]
	if x == lostRequest || f.now.Before(peer.paused) {
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
	v.exchange = f.now.Add(500 * time.Millisecond)
	if len(f.vms) > 9 {
		v.exchange = f.now.Add(time.Second)
	}
	to := f.random.IntN(len(f.vms))
	peer := f.vms[to]
	if peer == v || f.now.Before(peer.paused) {
		return
	}
	f.message(v, to, RevisionsReceived{v.Self.ID, v.Revisions()})
	f.message(peer, f.index(v.Self.ID), RevisionsReceived{peer.Self.ID, peer.Revisions()})
	own := v.LastContact()
	if !peer.LastContact().IsZero() {
		f.step(v, ContactAgeReceived{f.now, f.now.Sub(peer.LastContact())})
	}
	if !own.IsZero() {
		f.step(peer, ContactAgeReceived{f.now, f.now.Sub(own)})
	}
}

// run lets the fleet work for a time and then compares the tables.
func (f *fleet) run(d time.Duration, writes map[time.Duration]string) error {
	begin := f.now
	for ; f.now.Sub(begin) < d; f.now = f.now.Add(50 * time.Millisecond) {
		f.deliver()
		waiting := f.watches
		f.watches = nil
		for _, w := range waiting {
			f.answerWatch(w)
		}
		if s, ok := writes[f.now.Sub(begin)]; ok {
			f.write(s)
		}
		for _, v := range f.vms {
			if f.now.Before(v.paused) {
				continue
			}
			f.step(v, Ticked{})
			if !f.now.Before(v.exchange) {
				f.exchange(v)
			}
		}
	}
	newest := map[string]uint64{}
	for _, s := range f.log {
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

// TestFleetFaultMatrix guards against a change that some VM never gets, gets late or reverts, under every fault at each of
// the first eight calls and messages after the change, alone and in pairs. Two of the five VMs watch the platform. A change must be in effect within 3 s (invariant 8).
// VMs that are paused or replaced, and fleets whose platform is down, have no such limit but get the change in the end.
func TestFleetFaultMatrix(t *testing.T) {
	const steps, size = 8, int(fleetFaultSize)
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
				unlimited := false
				for _, x := range faults {
					unlimited = unlimited || x == downPlatform || x == pausedVM || x == gonePeer
				}
				if !unlimited && f.worst > 3*time.Second {
					t.Fatalf("faults %v: a change took %v", faults, f.worst)
				}
			}
		})
	}
}

// TestFleetSlowPlatform guards against a platform that never gets through because each answer comes after the time limit.
func TestFleetSlowPlatform(t *testing.T) {
	f := newFleet(5, 1, 1, func(int) fleetFault { return delivered })
	f.slow = start.Add(time.Hour)
	if err := f.run(10*time.Second, map[time.Duration]string{4 * time.Second: "roster", 6 * time.Second: "matching"}); err != nil {
		t.Fatal(err)
	}
	for _, v := range f.vms {
		if !v.Complete() || f.worst > 3*time.Second {
			t.Errorf("%s: complete %v, a change took %v", v.Self.ID, v.Complete(), f.worst)
		}
	}
}

// TestFleetConverges guards against revisions that decrease or VMs that stay behind while any message may be lost, late or
// repeated and VMs are paused and replaced. The faults end 5 s before the tables are compared.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 6).Draw(t, "VMs")
		var f *fleet
		f = newFleet(n, 1+r.IntN(2), r.Uint64(), func(int) fleetFault {
			if r.IntN(3) > 0 || f.now.Sub(start) > 7*time.Second {
				return delivered
			}
			return fleetFault(r.IntN(int(fleetFaultSize)))
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

// TestFleetCalls guards against platform calls that grow with the fleet instead of its failure domains, and against a burst
// of calls when the platform returns. Two watchers of each domain make one call a second; the outage lasts 2 minutes, after
// which every VM has reached the longest back-off delay.
func TestFleetCalls(t *testing.T) {
	for _, n := range []int{7, 100} {
		const domains = 3
		f := newFleet(n, domains, 1, func(int) fleetFault { return delivered })
		if err := f.run(20*time.Second, nil); err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, c := range f.calls[10:20] {
			sum += c
		}
		// One further call in ten seconds is allowed for each VM that hears of no contact for StaleAfter by chance.
		if most := 10*domains*Watchers + n; sum > most {
			t.Errorf("%d VMs: %d calls in 10 s, at most %d are allowed", n, sum, most)
		}
		f.down = f.now.Add(120 * time.Second)
		if err := f.run(150*time.Second, map[time.Duration]string{121 * time.Second: "roster"}); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d VMs: calls in a second: %v before, %v at the end of the outage, %v after it; a change just after it took %v",
			n, f.calls[10:20], f.calls[130:140], f.calls[140:155], f.worst)
		if f.worst > 3*time.Second {
			t.Errorf("%d VMs: a change took %v", n, f.worst)
		}
		for i, c := range f.calls[140:170] {
			// A watcher makes its own call and one to read the change; each other VM makes at most one.
			if most := 2*domains*Watchers + n; c > most {
				t.Errorf("%d VMs: %d calls in second %d after the return, at most %d are allowed", n, c, i, most)
			}
		}
	}
}
