package quarantiner

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// task is something that happens at a time in the modelled fleet.
type task struct {
	at  time.Time
	run func()
}

type server struct {
	name, domain string
	group        int
	incarnation  uint64
	down         bool
	running      map[*run]bool
}

type run struct {
	vm        int
	id        uint64
	signature uint64
	query     *query
}

// query is one request at one VM. Groups that got no answer stay lost.
type query struct {
	signature uint64
	bad       bool
	lost      int
}

// fleet models VMs that exchange suspicions with a delay and upstreams that crash, in memory and with a seed. It handles
// sub-requests as the router does: no retry while a signature is suspicious, one retry otherwise.
type fleet struct {
	r        *rand.Rand
	now      time.Time
	queue    []task // in order of time
	vms      []*Machine
	servers  []*server
	groups   int
	next     uint64
	service  time.Duration
	crashed  int
	resets   int
	worst    int // most replicas of one group down at once
	probes   []time.Time
	answered int
	held     int // innocent requests that were rejected
	heldAt   time.Time
	lost     int // innocent requests that lost a group
}

func newFleet(seed uint64, vms, groups, replicas, domains int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), groups: groups, service: 4 * time.Millisecond}
	var members []string
	for v := range vms {
		members = append(members, fmt.Sprintf("vm%d", v))
	}
	for v := range vms {
		m := &Machine{}
		m.Configure(members[v], Settings{})
		m.SetMembers(members)
		f.vms = append(f.vms, m)
	}
	for g := range groups {
		for k := range replicas {
			f.servers = append(f.servers, &server{name: fmt.Sprintf("u%d-%d", g, k), group: g, domain: fmt.Sprintf("d%d", (g+k)%domains), incarnation: 1, running: map[*run]bool{}})
		}
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.queue, at, func(t task, at time.Time) int {
		if t.at.After(at) {
			return 1
		}
		return -1
	})
	f.queue = slices.Insert(f.queue, i, task{at, do})
}

func (f *fleet) until(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		t := f.queue[0]
		f.queue = f.queue[1:]
		f.now = t.at
		t.run()
		for v := range f.vms {
			f.spread(v)
		}
	}
	f.now = end
}

func (f *fleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.r.IntN(2000))*time.Microsecond
}

func (f *fleet) spread(v int) {
	for _, s := range f.vms[v].TakeUpdates() {
		for w := range f.vms {
			if w != v {
				f.after(f.delay(), func() { f.vms[w].ReceiveSuspicion(f.now, s) })
			}
		}
	}
}

// arrive brings a request to a VM and returns false when it was rejected.
func (f *fleet) arrive(v int, signature uint64, bad bool) bool {
	q := &query{signature: signature, bad: bad}
	verdict := f.vms[v].CheckRequest(f.now, "booth", signature)
	switch verdict.Decision {
	case Reject:
		return false
	case Probe:
		f.probes = append(f.probes, f.now)
		f.spread(v)
		f.send(v, max(0, verdict.Group), q, false)
	case Clear:
		for g := range f.groups {
			f.send(v, g, q, true)
		}
	}
	if !bad {
		f.after(72*time.Millisecond, func() {
			f.answered++
			if q.lost > 0 {
				f.lost++
			}
		})
	}
	return true
}

// send starts a sub-request on the least loaded replica of a group. An attempt that was reset may be retried within 20 ms.
func (f *fleet) send(v, group int, q *query, retry bool) {
	var s *server
	for _, o := range f.servers {
		if o.group == group && !o.down && (s == nil || len(o.running) < len(s.running)) {
			s = o
		}
	}
	if s == nil {
		q.lost++
		return
	}
	f.next++
	x := &run{vm: v, id: f.next, signature: q.signature, query: q}
	s.running[x] = true
	f.vms[v].RecordAttempt(f.now, q.signature, "booth", group, s.name, s.domain, s.incarnation, x.id)
	f.after(f.service/2+time.Duration(f.r.Int64N(int64(f.service))), func() {
		switch {
		case !s.running[x]:
		case q.bad:
			f.crash(s, retry)
		default:
			delete(s.running, x)
			f.vms[v].RecordAttemptEnd(f.now, x.id, EndReplied)
		}
	})
}

// crash resets everything on a server. Each VM finds it refusing connections a little later, or a little before the reset.
func (f *fleet) crash(s *server, retry bool) {
	s.down = true
	f.crashed++
	down := 0
	for _, o := range f.servers {
		if o.group == s.group && o.down {
			down++
		}
	}
	f.worst = max(f.worst, down)
	for v := range f.vms {
		f.after(f.delay(), func() { f.vms[v].RecordRefusedConnection(f.now, "booth", s.name) })
	}
	for _, x := range slices.SortedFunc(maps.Keys(s.running), func(a, b *run) int { return cmp.Compare(a.id, b.id) }) {
		delete(s.running, x)
		f.resets++
		f.after(f.delay()/2, func() {
			f.vms[x.vm].RecordAttemptEnd(f.now, x.id, EndReset)
			f.retry(x, s.group, retry, 5)
		})
	}
	f.after(5*time.Second, func() {
		s.down = false
		s.incarnation++
		for v := range f.vms {
			f.vms[v].RecordIncarnation(f.now, "booth", s.name, s.incarnation)
		}
	})
}

func (f *fleet) retry(x *run, group int, allowed bool, tries int) {
	switch {
	case allowed && !f.vms[x.vm].Suspicious(x.signature):
		f.send(x.vm, group, x.query, false)
	case allowed && tries > 0:
		f.after(4*time.Millisecond, func() { f.retry(x, group, allowed, tries-1) })
	default:
		x.query.lost++
	}
}

// innocents lets requests arrive at all VMs at a total rate per second; of each ten, five are unique and five popular.
func (f *fleet) innocents(rate float64, until time.Time) {
	f.after(time.Duration(f.r.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.After(until) {
			return
		}
		signature := f.r.Uint64()
		if f.r.IntN(2) == 0 {
			signature = 1000 + f.r.Uint64N(50)
		}
		if !f.arrive(f.r.IntN(len(f.vms)), signature, false) {
			f.held, f.heldAt = f.held+1, f.now
		}
		f.innocents(rate, until)
	})
}

// resend lets the caller of a bad request send it again through the next VM every 100 ms.
func (f *fleet) resend(v int, signature uint64, until time.Time) {
	if f.now.After(until) {
		return
	}
	f.arrive(v, signature, true)
	f.after(100*time.Millisecond, func() { f.resend((v+1)%len(f.vms), signature, until) })
}
