package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownsProbes reports whether this VM runs the probes of a suspect. A VM that becomes the owner through a change of its view waits a
// whole probe interval, because the previous owner may just have sent a probe whose announcement has not arrived yet.
func (m *Machine) ownsProbes(now time.Time, s *suspect) bool {
	if s.viewVersion == m.viewVersion {
		return s.isOwned
	}
	wasOwned := s.isOwned
	s.viewVersion, s.isOwned = m.viewVersion, m.probeOwner(s.Signature) == m.selfID
	if next := now.Add(m.settings.probeInterval()); s.isOwned && !wasOwned && next.After(s.NextProbe) {
		s.NextProbe = next
	}
	return s.isOwned
}

// probeOwner returns the member with the highest hash for a signature (rendezvous hashing).
func (m *Machine) probeOwner(signature uint64) string {
	best, bestHash := m.selfID, uint64(0)
	for i, name := range m.members {
		h := mix(xxhash.Sum64String(name) ^ signature)
		if i == 0 || h > bestHash || h == bestHash && name > best {
			best, bestHash = name, h
		}
	}
	return best
}

// mix is the finalizer of splitmix64, which spreads the bits of a hash.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// probeGroup returns a group for a probe in which no upstream is restarting, preferably one in which the suspect was present at a
// crash. It returns false when every known group of the service has a restarting upstream.
func (m *Machine) probeGroup(now time.Time, s *suspect) (int, bool) {
	restarting := make(map[int]bool)
	for key, p := range m.upstreams {
		if key.service == s.Service {
			restarting[p.group] = restarting[p.group] || p.isDown && now.Sub(p.lastFault) < maxRestartTime
		}
	}
	best, bestWasAtCrash := anyGroup, false
	for group, isRestarting := range restarting {
		wasAtCrash := m.wasAtCrashInGroup(s.Signature, group)
		if !isRestarting && (best == anyGroup || wasAtCrash && !bestWasAtCrash || wasAtCrash == bestWasAtCrash && group < best) {
			best, bestWasAtCrash = group, wasAtCrash
		}
	}
	return best, len(restarting) == 0 || best != anyGroup
}

func (m *Machine) wasAtCrashInGroup(signature uint64, group int) bool {
	for _, c := range m.crashes {
		if c.upstream.group == group && c.hasSignature(signature) {
			return true
		}
	}
	return false
}
