package elector

import (
	"cmp"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// leastVMs is the size of a failure domain from which one VM reads for the others. A reader asks about four times as often as a VM
	// that reads for itself, because its followers must notice in time that it lost the store.
	leastVMs = 5
	// avoidTime is how long a peer that failed is not followed, and a VM that cannot reach the store does not read for others. Entries of
	// dead VMs stay until their lease ends.
	avoidTime = 10 * time.Second
	// staleTime is how long a VM asks the store itself after a peer knew too little. A reader whose watch was cut is back after a call.
	staleTime = 3 * time.Second
	// shrinkTime is how long the fleet has to be smaller before its size counts: entries vanish while the store is in trouble, and
	// the VMs that live write them again.
	shrinkTime = 30 * time.Second
)

// Member is one VM of the fleet.
type Member struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort // where the other VMs ask
	LinkMbps      float64        // Mbit/s of its network link; 0 when that is not known
}

// Source is where a VM learns of changes.
type Source interface{ isSource() }

// Direct is the store itself.
type Direct struct{}

// Peer is another VM.
type Peer struct{ Member Member }

func (Direct) isSource() {}
func (Peer) isSource()   {}

// Elector keeps the members of the fleet. Its exported fields are set before the first call; the zero value always reads itself.
type Elector struct {
	Self          Member
	MinDomainSize int // size of a failure domain from which peers are followed; 0 takes the default

	domain  []Member // in the order in which they are followed
	failed  map[string]time.Time
	confirm bool      // the store is asked once after a peer failed
	direct  time.Time // until then the store is asked, because the knowledge of a peer was old

	size      int       // of the fleet, as it counts
	smaller   int       // its largest size since it became smaller
	smallerAt time.Time // zero while it is not smaller
}

// SetMembers takes the VMs that are registered now.
func (e *Elector) SetMembers(now time.Time, all []Member) {
	maps.DeleteFunc(e.failed, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidTime })
	e.domain = e.domain[:0]
	for _, m := range all {
		if m.FailureDomain == e.Self.FailureDomain {
			e.domain = append(e.domain, m)
		}
	}
	slices.SortFunc(e.domain, func(a, b Member) int {
		// A reader sends each change to all of its followers. With a link of 14 Mbit/s a manifest delayed its own requests by 0.6 s.
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rank(a.Name), rank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	e.resize(now, len(all))
}

func rank(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes every byte
	return h.Sum64()
}

func (e *Elector) resize(now time.Time, size int) {
	switch {
	case size >= e.size:
		e.size, e.smallerAt = size, time.Time{}
	case e.smallerAt.IsZero():
		e.smaller, e.smallerAt = size, now
	default:
		e.smaller = max(e.smaller, size)
	}
}

// FleetSize returns how many VMs there are, 0 when none is registered.
func (e *Elector) FleetSize(now time.Time) int {
	if !e.smallerAt.IsZero() && now.Sub(e.smallerAt) >= shrinkTime {
		e.size, e.smallerAt = e.smaller, time.Time{}
	}
	return e.size
}

// Source returns whom to ask next.
func (e *Elector) Source(now time.Time) Source {
	least := e.MinDomainSize
	if least <= 0 {
		least = leastVMs
	}
	if e.confirm || now.Before(e.direct) || len(e.domain) < least {
		return Direct{}
	}
	for _, m := range e.domain {
		if at, ok := e.failed[m.Name]; ok && now.Sub(at) < avoidTime {
			continue
		}
		if m.Name == e.Self.Name {
			return Direct{}
		}
		return Peer{m}
	}
	return Direct{}
}

// PeerFailed records that a peer did not answer. The store is asked next, so that the waits for several peers that fail one after the
// other do not add up.
func (e *Elector) PeerFailed(now time.Time, name string) {
	e.fail(now, name)
	e.confirm = true
}

// PeerStale records that what a peer knows is too old. It has lost the store, or the store is in trouble and other peers know no more.
func (e *Elector) PeerStale(now time.Time, name string) {
	e.fail(now, name)
	e.direct = now.Add(staleTime)
}

// StoreFailed records that the store did not answer. A peer may reach it.
func (e *Elector) StoreFailed(now time.Time) {
	e.fail(now, e.Self.Name)
	e.confirm = false
}

// StoreAnswered records that the store answered.
func (e *Elector) StoreAnswered() {
	delete(e.failed, e.Self.Name)
	e.confirm = false
}

func (e *Elector) fail(now time.Time, name string) {
	if e.failed == nil {
		e.failed = map[string]time.Time{}
	}
	e.failed[name] = now
}
