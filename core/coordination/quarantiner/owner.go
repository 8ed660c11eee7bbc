package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// owns tells whether this VM runs the probes of a suspect. A VM that becomes the owner by a change of its view waits a
// whole interval, because the previous owner may just have sent a probe whose announcement is not here yet.
func (m *Machine) owns(now time.Time, s *suspect) bool {
	if s.view == m.view {
		return s.owned
	}
	was := s.owned
	s.view, s.owned = m.view, m.owner(s.Signature) == m.own
	if next := now.Add(m.settings.interval()); s.owned && !was && next.After(s.NextProbe) {
		s.NextProbe = next
	}
	return s.owned
}

// owner returns the member with the highest hash for a signature (rendezvous hashing).
func (m *Machine) owner(signature uint64) string {
	best, bestHash := m.own, uint64(0)
	for i, name := range m.members {
		h := mix(xxhash.Sum64String(name) ^ signature)
		if i == 0 || h > bestHash || h == bestHash && name > best {
			best, bestHash = name, h
		}
	}
	return best
}

// mix spreads the bits of a hash (finalizer of splitmix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// probeGroup returns a group for a probe in which no upstream is restarting, preferably one in which the suspect was
// present at a crash. It returns false when every known group of the service has one.
func (m *Machine) probeGroup(now time.Time, s *suspect) (int, bool) {
	restarting := make(map[int]bool)
	for key, p := range m.upstreams {
		if key.service == s.Service {
			restarting[p.group] = restarting[p.group] || p.down && now.Sub(p.faultAt) < restartTime
		}
	}
	best, bestPresent := anyGroup, false
	for group, r := range restarting {
		present := m.presentIn(s.Signature, group)
		if !r && (best == anyGroup || present && !bestPresent || present == bestPresent && group < best) {
			best, bestPresent = group, present
		}
	}
	return best, len(restarting) == 0 || best != anyGroup
}

func (m *Machine) presentIn(signature uint64, group int) bool {
	for _, c := range m.crashes {
		if c.upstream.group == group && c.has(signature) {
			return true
		}
	}
	return false
}
