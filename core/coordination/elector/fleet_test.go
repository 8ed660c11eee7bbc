package elector

import (
	"fmt"
	"testing"
	"time"
)

// The times of the simulated VMs are those that the gateway uses when changes must be known within 5 s.
const (
	simStep           = 25 * time.Millisecond
	simMaxAge         = 1750 * time.Millisecond
	simWait           = simMaxAge / 2
	simUnfollowedWait = 4 * time.Second // wait of a VM without followers
	simTimeout        = simWait + 500*time.Millisecond
)

// simVM is one VM of a simulated fleet. While asking is set, a query is pending since asked.
type simVM struct {
	elector      Elector
	alive        bool
	reachesStore bool
	peer         int // index of the VM that is asked, -1 for the store
	asked        time.Time
	asking       bool
	followedAt   time.Time
	confirmedAt  time.Time
	revision     int
	learnedAt    time.Time // when it learned of its last revision
}

type simFleet struct {
	vms         []simVM
	indexByName map[string]int
	revision    int
	calls       int
}

func newSimFleet(size, domains int) *simFleet {
	f := &simFleet{vms: make([]simVM, size), indexByName: map[string]int{}}
	var all []Member
	for i := range size {
		m := Member{Name: fmt.Sprintf("vm%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)}
		f.indexByName[m.Name] = i
		all = append(all, m)
	}
	for i := range f.vms {
		f.vms[i] = simVM{elector: Elector{Self: all[i]}, alive: true, reachesStore: true, confirmedAt: start}
		f.vms[i].elector.SetMembers(start, all)
	}
	return f
}

func (f *simFleet) step(now time.Time) {
	for i := range f.vms {
		v := &f.vms[i]
		if !v.alive {
			continue
		}
		if !v.asking {
			v.peer, v.asked, v.asking = -1, now, true
			if p, ok := v.elector.Source(now).(Peer); ok {
				v.peer = f.indexByName[p.Member.Name]
			} else {
				f.calls++
			}
		}
		if v.peer < 0 {
			f.askStore(now, v)
		} else {
			f.askPeer(now, v)
		}
	}
}

func (f *simFleet) askStore(now time.Time, v *simVM) {
	wait := simUnfollowedWait
	if now.Sub(v.followedAt) < 5*time.Second {
		wait = simWait
	}
	switch {
	case !v.reachesStore:
		if now.Sub(v.asked) >= 700*time.Millisecond {
			v.asking = false
			v.elector.StoreFailed(now)
		}
	case v.revision < f.revision || now.Sub(v.asked) >= wait:
		v.asking = false
		v.elector.StoreAnswered()
		v.learn(now, now, f.revision)
	}
}

func (f *simFleet) askPeer(now time.Time, v *simVM) {
	p := &f.vms[v.peer]
	if !p.alive {
		if now.Sub(v.asked) >= simTimeout {
			v.asking = false
			v.elector.PeerFailed(now, p.elector.Self.Name)
		}
		return
	}
	p.followedAt = now
	switch {
	case now.Sub(p.confirmedAt) > simMaxAge:
		v.asking = false
		v.elector.PeerStale(now, p.elector.Self.Name)
	case v.revision < p.revision || now.Sub(v.asked) >= simWait:
		v.asking = false
		v.learn(now, p.confirmedAt, p.revision)
	}
}

func (v *simVM) learn(now, confirmed time.Time, revision int) {
	v.confirmedAt = confirmed
	if revision > v.revision {
		v.revision, v.learnedAt = revision, now
	}
}

// readers returns the indexes of the VMs that others follow.
func (f *simFleet) readers() map[int]bool {
	out := map[int]bool{}
	for i := range f.vms {
		if f.vms[i].peer >= 0 {
			out[f.vms[i].peer] = true
		}
	}
	return out
}

// TestFleet guards against store calls that grow with the fleet, and against a VM that learns of a change too late because the VM
// that it follows died or lost the store just before. The bound is 4 s; the large sites of the platform require 5 s.
func TestFleet(t *testing.T) {
	for _, size := range []int{30, 100, 300, 1400} {
		for _, fault := range []string{"none", "readers die", "readers lose the store", "a tenth loses the store"} {
			domains := 4
			if size == 1400 {
				domains = 13
			}
			f := newSimFleet(size, domains)
			now := start
			for ; now.Before(start.Add(20 * time.Second)); now = now.Add(simStep) {
				f.step(now)
			}
			before := f.calls
			for ; now.Before(start.Add(40 * time.Second)); now = now.Add(simStep) {
				f.step(now)
			}
			perSecond := float64(f.calls-before) / 20
			for i := range f.vms {
				switch reads := f.readers()[i]; {
				case fault == "readers die" && reads:
					f.vms[i].alive = false
				case fault == "readers lose the store" && reads, fault == "a tenth loses the store" && i%10 == 0:
					f.vms[i].reachesStore = false
				}
			}
			f.revision++
			changed, before := now, f.calls
			for ; now.Before(changed.Add(20 * time.Second)); now = now.Add(simStep) {
				f.step(now)
			}
			var latest time.Duration
			for i := range f.vms {
				v := &f.vms[i]
				if v.alive && v.revision != f.revision {
					t.Errorf("%d VMs, %s: VM %d never learns of the change", size, fault, i)
				}
				if v.alive && v.reachesStore {
					latest = max(latest, v.learnedAt.Sub(changed))
				}
			}
			t.Logf("%d VMs, %s: %.1f calls/s without a fault, %.1f in the 20 s after the change, known everywhere after %v",
				size, fault, perSecond, float64(f.calls-before)/20, latest)
			if most := 1.5 * float64(domains); perSecond > most {
				t.Errorf("%d VMs: %.1f calls/s, want at most %.1f", size, perSecond, most)
			}
			// Each VM asks the store twice at most: when its peer has failed or is stale, and when the next one is too.
			if after, most := float64(f.calls-before)/20, 1.5*float64(domains)+2*float64(size)/20; after > most {
				t.Errorf("%d VMs, %s: %.1f calls/s after the fault, want at most %.1f", size, fault, after, most)
			}
			if latest > 4*time.Second {
				t.Errorf("%d VMs, %s: a VM that reaches the store learns of the change after %v", size, fault, latest)
			}
		}
	}
}
