package quarantiner

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// task is a step of the simulation that runs at a given time.
type task struct {
	at  time.Time
	run func()
}

// server is a simulated upstream.
type server struct {
	name, domain string
	group        int
	incarnation  uint64
	isDown       bool
	running      map[*subRequest]bool
}

type subRequest struct {
	vm        int
	id        uint64
	signature uint64
	query     *query
}

// query is one request at one VM. lostGroups counts the groups that gave no answer.
type query struct {
	signature      uint64
	crashesServers bool
	lostGroups     int
}

// fleet simulates VMs that exchange suspicions with a delay and upstreams that crash, in memory and from a seed. Like the router,
// it retries a sub-request once, but not while its signature is suspicious.
type fleet struct {
	random       *rand.Rand
	now          time.Time
	queue        []task // sorted by time
	vms          []*Machine
	servers      []*server
	groups       int
	lastID       uint64
	serviceTime  time.Duration
	crashes      int
	resets       int
	maxGroupDown int // most replicas of one group down at once
	probes       []time.Time
	answered     int
	rejected     int // harmless requests that were rejected
	lastRejected time.Time
	incomplete   int // harmless requests that lost a group
}

func newFleet(seed uint64, vms, groups, replicas, domains int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), groups: groups, serviceTime: 4 * time.Millisecond}
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
			f.servers = append(f.servers, &server{name: fmt.Sprintf("u%d-%d", g, k), group: g, domain: fmt.Sprintf("d%d", (g+k)%domains), incarnation: 1, running: map[*subRequest]bool{}})
		}
	}
	return f
}

func (f *fleet) schedule(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.queue, at, func(t task, at time.Time) int {
		if t.at.After(at) {
			return 1
		}
		return -1
	})
	f.queue = slices.Insert(f.queue, i, task{at, do})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		t := f.queue[0]
		f.queue = f.queue[1:]
		f.now = t.at
		t.run()
		for v := range f.vms {
			f.sendUpdates(v)
		}
	}
	f.now = end
}

func (f *fleet) messageDelay() time.Duration {
	return time.Millisecond + time.Duration(f.random.IntN(2000))*time.Microsecond
}

func (f *fleet) sendUpdates(v int) {
	for _, s := range f.vms[v].TakeUpdates() {
		for w := range f.vms {
			if w != v {
				f.schedule(f.messageDelay(), func() { f.vms[w].ReceiveSuspicion(f.now, s) })
			}
		}
	}
}

// startRequest sends a request to a VM and returns false when the VM rejects it.
func (f *fleet) startRequest(v int, signature uint64, crashesServers bool) bool {
	q := &query{signature: signature, crashesServers: crashesServers}
	verdict := f.vms[v].CheckRequest(f.now, "booth", signature)
	switch verdict.Decision {
	case Reject:
		return false
	case Probe:
		f.probes = append(f.probes, f.now)
		f.sendUpdates(v)
		f.sendSubRequest(v, max(0, verdict.Group), q, false)
	case Clear:
		for g := range f.groups {
			f.sendSubRequest(v, g, q, true)
		}
	}
	if !crashesServers {
		f.schedule(72*time.Millisecond, func() {
			f.answered++
			if q.lostGroups > 0 {
				f.incomplete++
			}
		})
	}
	return true
}

// sendSubRequest starts a sub-request on the least loaded replica of a group. An attempt that was reset may be retried within 20 ms.
func (f *fleet) sendSubRequest(v, group int, q *query, retry bool) {
	var s *server
	for _, o := range f.servers {
		if o.group == group && !o.isDown && (s == nil || len(o.running) < len(s.running)) {
			s = o
		}
	}
	if s == nil {
		q.lostGroups++
		return
	}
	f.lastID++
	x := &subRequest{vm: v, id: f.lastID, signature: q.signature, query: q}
	s.running[x] = true
	f.vms[v].RecordAttempt(f.now, q.signature, "booth", group, s.name, s.domain, s.incarnation, x.id)
	f.schedule(f.serviceTime/2+time.Duration(f.random.Int64N(int64(f.serviceTime))), func() {
		switch {
		case !s.running[x]:
		case q.crashesServers:
			f.crashServer(s, retry)
		default:
			delete(s.running, x)
			f.vms[v].RecordAttemptEnd(f.now, x.id, EndReplied)
		}
	})
}

// crashServer resets every sub-request on a server. Each VM sees a refused connection shortly before or after the reset.
func (f *fleet) crashServer(s *server, retry bool) {
	s.isDown = true
	f.crashes++
	down := 0
	for _, o := range f.servers {
		if o.group == s.group && o.isDown {
			down++
		}
	}
	f.maxGroupDown = max(f.maxGroupDown, down)
	for v := range f.vms {
		f.schedule(f.messageDelay(), func() { f.vms[v].RecordRefusedConnection(f.now, "booth", s.name) })
	}
	for _, x := range slices.SortedFunc(maps.Keys(s.running), func(a, b *subRequest) int { return cmp.Compare(a.id, b.id) }) {
		delete(s.running, x)
		f.resets++
		f.schedule(f.messageDelay()/2, func() {
			f.vms[x.vm].RecordAttemptEnd(f.now, x.id, EndReset)
			f.retrySubRequest(x, s.group, retry, 5)
		})
	}
	f.schedule(5*time.Second, func() {
		s.isDown = false
		s.incarnation++
		for v := range f.vms {
			f.vms[v].RecordIncarnation(f.now, "booth", s.name, s.incarnation)
		}
	})
}

func (f *fleet) retrySubRequest(x *subRequest, group int, allowed bool, tries int) {
	switch {
	case allowed && !f.vms[x.vm].Suspicious(x.signature):
		f.sendSubRequest(x.vm, group, x.query, false)
	case allowed && tries > 0:
		f.schedule(4*time.Millisecond, func() { f.retrySubRequest(x, group, allowed, tries-1) })
	default:
		x.query.lostGroups++
	}
}

// generateHarmless sends harmless requests to random VMs at a total rate per second. Half of the signatures are unique, the other
// half repeat.
func (f *fleet) generateHarmless(rate float64, until time.Time) {
	f.schedule(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.After(until) {
			return
		}
		signature := f.random.Uint64()
		if f.random.IntN(2) == 0 {
			signature = 1000 + f.random.Uint64N(50)
		}
		if !f.startRequest(f.random.IntN(len(f.vms)), signature, false) {
			f.rejected, f.lastRejected = f.rejected+1, f.now
		}
		f.generateHarmless(rate, until)
	})
}

// resendCrashing sends a request that crashes upstreams every 100 ms, each time through the next VM.
func (f *fleet) resendCrashing(v int, signature uint64, until time.Time) {
	if f.now.After(until) {
		return
	}
	f.startRequest(v, signature, true)
	f.schedule(100*time.Millisecond, func() { f.resendCrashing((v+1)%len(f.vms), signature, until) })
}
