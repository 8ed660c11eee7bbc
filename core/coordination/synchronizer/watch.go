package synchronizer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyroute/core/coordination/pacer"
)

// WatchersPerDomain is the number of VMs of each failure domain that watch the platform.
const WatchersPerDomain = 2

// maxUnansweredCalls is the number of platform calls whose late answers are still accepted.
const maxUnansweredCalls = 8

// isChosenWatcher reports whether this VM has one of the highest hashes of its failure domain in its own view. VMs with different
// views may choose too many or too few watchers; StaleAfter covers the second case.
func (m *Machine) isChosenWatcher() bool {
	ownHash, higher := xxhash.Sum64String(m.Self.ID), 0
	for _, p := range m.peers {
		if p.FailureDomain != m.Self.FailureDomain {
			continue
		}
		h := xxhash.Sum64String(p.ID)
		if cmp.Or(cmp.Compare(h, ownHash), cmp.Compare(p.ID, m.Self.ID)) > 0 {
			higher++
		}
	}
	return higher < WatchersPerDomain
}

// startPlatformCall starts the next platform call if one is due and none is in progress.
func (m *Machine) startPlatformCall(now time.Time) []Action {
	if m.currentCall.id != 0 && now.After(m.currentCall.deadline) {
		m.platformCallFailed(now, m.currentCall.id)
	}
	if m.currentCall.id != 0 {
		return nil
	}
	m.watchPacer.MaxDelay, m.watchPacer.Random, m.watchPacer.Rate = MaxWatchBackoff, m.Random, m.CallRate
	m.probePacer.Random, m.probePacer.Rate = m.Random, m.CallRate
	wait := WatchWait
	switch {
	case !m.isFollower || !m.Complete():
		// While calls fail, short ones detect the return of the platform sooner than a long poll that may hang.
		if m.watchPacer.Failing() {
			wait = 0
		}
		if !m.watchPacer.Allow(now) {
			return nil
		}
	case m.needsPlatform || m.isStale(now):
		wait = 0
		if !m.probePacer.Allow(now) {
			return nil
		}
	default:
		return nil
	}
	id := m.nextCall()
	if !m.isSynced {
		wait = 0
	}
	m.needsPlatform = false
	m.currentCall = platformCall{id: id, sent: now, wait: wait, deadline: now.Add(wait + m.callTimeout())}
	m.unansweredCalls = append(m.unansweredCalls[max(0, len(m.unansweredCalls)-maxUnansweredCalls+1):], m.currentCall)
	if !m.isSynced {
		return []Action{ReadTable{id}}
	}
	return []Action{WatchTable{id, m.readRevision, wait}}
}

func (m *Machine) callTimeout() time.Duration { return cmp.Or(m.CallTimeout, DefaultCallTimeout) }

// isStale reports whether no platform contact is known within about StaleAfter. The jitter, which is drawn again after each contact,
// keeps VMs that lose contact together from calling the platform at the same time. A contact takes one more round of exchanges to
// spread for each doubling of the fleet, so with a fixed time most VMs of a large fleet would call the platform.
func (m *Machine) isStale(now time.Time) bool {
	if m.staleAfter == 0 {
		limit := StaleAfter + staleAfterPerDoubling*time.Duration(bits.Len(uint(len(m.peers))/smallFleetPeers))
		m.staleAfter = limit*3/4 + pacer.Jitter(m.Random, limit/2)
	}
	return now.Sub(m.lastContact) > m.staleAfter
}

// setContact records a platform contact if it is the latest.
func (m *Machine) setContact(at time.Time) {
	if at.After(m.lastContact) {
		m.lastContact, m.staleAfter = at, 0
	}
}

// callAnswered handles the answer to a platform call and reports whether it was expected. A late answer counts as well, so that the
// changes still arrive from a platform that is slower than the timeout; the call that replaced the late one stays in progress.
func (m *Machine) callAnswered(now time.Time, id CallID, revision uint64, hasItems bool) bool {
	i := slices.IndexFunc(m.unansweredCalls, func(c platformCall) bool { return c.id == id })
	if i < 0 {
		return false
	}
	c := m.unansweredCalls[i]
	m.unansweredCalls = slices.Delete(m.unansweredCalls, i, i+1)
	if id == m.currentCall.id {
		m.currentCall = platformCall{}
	}
	// Each call requests all changes after a revision that had already been read, so a late answer leaves no gap.
	m.readRevision = max(m.readRevision, revision)
	m.watchPacer.RecordAnswer(now)
	m.probePacer.RecordAnswer(now)
	// The platform answered some time after the call was sent, and it sends an empty answer only after the wait. The time of receipt
	// proves nothing, because a paused VM finds old answers in its socket buffers.
	at := c.sent
	if !hasItems {
		at = slices.MinFunc([]time.Time{now, c.sent.Add(c.wait)}, time.Time.Compare)
	}
	m.setContact(at)
	return true
}

func (m *Machine) platformCallFailed(now time.Time, id CallID) {
	if id == 0 || id != m.currentCall.id {
		return
	}
	m.currentCall = platformCall{}
	m.readFailed = !m.hasReadTable
	m.watchPacer.RecordFailure(now)
	m.probePacer.RecordFailure(now)
}
