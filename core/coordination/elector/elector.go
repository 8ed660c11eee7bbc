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
	// defaultMinDomainSize is the size of a failure domain from which one VM reads for the others. A reader calls the store about
	// four times as often as a VM without followers, because its followers must notice in time that it lost the store.
	defaultMinDomainSize = 5
	// avoidDuration is how long a failed peer is not followed, and how long a VM that cannot reach the store follows others. It is
	// needed because the entry of a dead VM stays until its lease ends.
	avoidDuration = 10 * time.Second
	// shrinkDelay is how long the fleet must be smaller before FleetSize follows. Entries disappear during a fault of the store, and
	// the VMs that are alive write them again.
	shrinkDelay = 30 * time.Second
)

// Member is one VM of the fleet.
type Member struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort // where its peers ask for changes
	DetourAddress netip.AddrPort // where it takes requests of other VMs; zero if it takes none
	LinkMbps      float64        // bandwidth of its network link in Mbit/s; 0 if unknown
}

// Source is where a VM asks for changes: Direct or Peer.
type Source interface{ isSource() }

// Direct is the store itself.
type Direct struct{}

// Peer is another VM of the failure domain.
type Peer struct{ Member Member }

func (Direct) isSource() {}
func (Peer) isSource()   {}

// Elector selects the source of changes for one VM. Its exported fields are set before the first call. The zero value always
// selects the store.
type Elector struct {
	Self          Member
	MinDomainSize int // size of a failure domain from which peers are followed; 0 means the default

	ranked       []Member // members of the failure domain, in the order in which they are followed
	failedAt     map[string]time.Time
	askStoreNext bool // ask the store once, because a peer failed or was stale

	size       int       // of the fleet, as FleetSize returns it
	shrunkSize int       // largest size since the fleet became smaller
	shrunkAt   time.Time // when the fleet became smaller; zero if it is not
}

// SetMembers replaces the VMs that are registered.
func (e *Elector) SetMembers(now time.Time, all []Member) {
	maps.DeleteFunc(e.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidDuration })
	e.ranked = e.ranked[:0]
	for _, m := range all {
		if m.FailureDomain == e.Self.FailureDomain {
			e.ranked = append(e.ranked, m)
		}
	}
	slices.SortFunc(e.ranked, compareRank)
	e.updateSize(now, len(all))
}

// compareRank compares VMs by the order in which others of their failure domain follow them. A reader sends each change to all of its followers.
// On a link of 14 Mbit/s, sending a manifest delayed its requests by 0.6 s.
func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(nameHash(a.Name), nameHash(b.Name)), cmp.Compare(a.Name, b.Name))
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash.Hash never returns an error
	return h.Sum64()
}

func (e *Elector) updateSize(now time.Time, size int) {
	switch {
	case size >= e.size:
		e.size, e.shrunkAt = size, time.Time{}
	case e.shrunkAt.IsZero():
		e.shrunkSize, e.shrunkAt = size, now
	default:
		e.shrunkSize = max(e.shrunkSize, size)
	}
}

// FleetSize returns the number of VMs in the fleet, 0 if none is registered. It shrinks only after shrinkDelay.
func (e *Elector) FleetSize(now time.Time) int {
	if !e.shrunkAt.IsZero() && now.Sub(e.shrunkAt) >= shrinkDelay {
		e.size, e.shrunkAt = e.shrunkSize, time.Time{}
	}
	return e.size
}

// Source returns the source to ask next.
func (e *Elector) Source(now time.Time) Source {
	least := e.MinDomainSize
	if least <= 0 {
		least = defaultMinDomainSize
	}
	if e.askStoreNext || len(e.ranked) < least {
		return Direct{}
	}
	for _, m := range e.ranked {
		if at, ok := e.failedAt[m.Name]; ok && now.Sub(at) < avoidDuration {
			continue
		}
		if m.Name == e.Self.Name {
			return Direct{}
		}
		return Peer{m}
	}
	return Direct{}
}

// PeerFailed records that a peer did not answer. The store is asked next, so that the waits for several failed peers do not
// add up.
func (e *Elector) PeerFailed(now time.Time, name string) {
	e.recordFailure(now, name)
	e.askStoreNext = true
}

// PeerStale records that the state of a peer is too old. Either that peer cannot reach the store, or the store has a fault and
// other peers are no more current. The store is asked next, and then the next peer: asking the store for longer costs a call for each VM of the
// failure domain and each change, while a third of them are cut from the store and need a peer that reads.
func (e *Elector) PeerStale(now time.Time, name string) {
	e.recordFailure(now, name)
	e.askStoreNext = true
}

// StoreFailed records that the store did not answer. Peers are asked next, because one of them may reach it.
func (e *Elector) StoreFailed(now time.Time) {
	e.recordFailure(now, e.Self.Name)
	e.askStoreNext = false
}

// StoreAnswered records that the store answered.
func (e *Elector) StoreAnswered() {
	delete(e.failedAt, e.Self.Name)
	e.askStoreNext = false
}

func (e *Elector) recordFailure(now time.Time, name string) {
	if e.failedAt == nil {
		e.failedAt = map[string]time.Time{}
	}
	e.failedAt[name] = now
}
