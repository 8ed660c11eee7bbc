package synchronizer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyroute/core/coordination/pacer"
)

// Watchers is the number of VMs of each failure domain that watch the platform.
const Watchers = 2

// maxSent is the number of platform calls whose late answers are still expected.
const maxSent = 8

// chosen reports whether this VM has one of the highest hashes of its failure domain in its own view. Two VMs with different
// views may both watch or both not watch; the second case is covered by StaleAfter.
func (m *Machine) chosen() bool {
	own, higher := xxhash.Sum64String(m.Self.ID), 0
	for _, p := range m.peers {
		if p.FailureDomain != m.Self.FailureDomain {
			continue
		}
		h := xxhash.Sum64String(p.ID)
		if cmp.Or(cmp.Compare(h, own), cmp.Compare(p.ID, m.Self.ID)) > 0 {
			higher++
		}
	}
	return higher < Watchers
}

// startPlatformCall starts the next platform call when none is in progress and one is due.
func (m *Machine) startPlatformCall(now time.Time) []Action {
	if m.call.id != 0 && now.After(m.call.deadline) {
		m.platformFailed(now, m.call.id)
	}
	if m.call.id != 0 {
		return nil
	}
	m.watcher.MaxDelay, m.watcher.Random, m.watcher.Rate = WatchCap, m.Random, m.CallRate
	m.prober.Random, m.prober.Rate = m.Random, m.CallRate
	wait := WatchWait
	switch {
	case !m.follows || !m.Complete():
		// While calls fail, short ones find the return of the platform sooner than a long poll that may hang.
		if m.watcher.Failing() {
			wait = 0
		}
		if !m.watcher.Allow(now) {
			return nil
		}
	case m.probe || m.isStale(now):
		wait = 0
		if !m.prober.Allow(now) {
			return nil
		}
	default:
		return nil
	}
	id := m.nextCall()
	if !m.synced {
		wait = 0
	}
	m.probe = false
	m.call = platformCall{id: id, sent: now, wait: wait, deadline: now.Add(wait + m.timeout())}
	m.sent = append(m.sent[max(0, len(m.sent)-maxSent+1):], m.call)
	if !m.synced {
		return []Action{ReadTable{id}}
	}
	return []Action{WatchTable{id, m.seen, wait}}
}

func (m *Machine) timeout() time.Duration { return cmp.Or(m.CallTimeout, DefaultTimeout) }

// isStale reports whether no platform contact is known within about StaleAfter. The jitter, chosen again after each contact,
// keeps VMs that lose contact together from calling together. News of a contact needs one more round of exchanges for each
// doubling of the fleet, so a fixed time would make most VMs of a large fleet call the platform.
func (m *Machine) isStale(now time.Time) bool {
	if m.stale == 0 {
		limit := StaleAfter + staleRound*time.Duration(bits.Len(uint(len(m.peers))/smallFleet))
		m.stale = limit*3/4 + pacer.Jitter(m.Random, limit/2)
	}
	return now.Sub(m.contact) > m.stale
}

// setContact notes a platform contact, if it is the latest.
func (m *Machine) setContact(at time.Time) {
	if at.After(m.contact) {
		m.contact, m.stale = at, 0
	}
}

// answered takes the answer to a platform call and reports whether it was asked for. A late answer counts as well, so that a
// platform that is slower than the time limit still brings its changes; the call that replaced it stays in progress.
func (m *Machine) answered(now time.Time, id CallID, revision uint64, items bool) bool {
	i := slices.IndexFunc(m.sent, func(c platformCall) bool { return c.id == id })
	if i < 0 {
		return false
	}
	c := m.sent[i]
	m.sent = slices.Delete(m.sent, i, i+1)
	if id == m.call.id {
		m.call = platformCall{}
	}
	// Each call asks for all changes after a revision that had been seen, so a late answer leaves no gap.
	m.seen = max(m.seen, revision)
	m.watcher.RecordAnswer(now)
	m.prober.RecordAnswer(now)
	// The platform answered at some moment after the call was sent, and an empty answer not before the wait ended. The time
	// of receipt proves nothing: a paused VM finds old answers in its socket buffers.
	at := c.sent
	if !items {
		at = slices.MinFunc([]time.Time{now, c.sent.Add(c.wait)}, time.Time.Compare)
	}
	m.setContact(at)
	return true
}

func (m *Machine) platformFailed(now time.Time, id CallID) {
	if id == 0 || id != m.call.id {
		return
	}
	m.call = platformCall{}
	m.offline = !m.read
	m.watcher.RecordFailure(now)
	m.prober.RecordFailure(now)
}
