package forwarder

import (
	"slices"
	"time"
)

// setEvacuations replaces the evacuated failure domains. Their upstreams get no new requests; attempts in flight go on.
func (m *Machine) setEvacuations(now time.Time, failureDomains []string) {
	before := m.evacuated
	m.evacuated = slices.Clone(failureDomains)
	changed := func(u Upstream) bool { return slices.Contains(before, u.FailureDomain) != m.isEvacuated(&u) }
	for _, s := range m.servicesByName() {
		if !slices.ContainsFunc(s.upstreams, changed) {
			continue
		}
		for i := range s.upstreams {
			if u := &s.upstreams[i]; slices.Contains(before, u.FailureDomain) && !m.isEvacuated(u) {
				s.recordReturn(now, u.Name)
			}
		}
		m.configureService(now, s)
	}
	m.configureReach()
}

// isEvacuated reports whether an upstream is in an evacuated failure domain.
func (m *Machine) isEvacuated(u *Upstream) bool { return slices.Contains(m.evacuated, u.FailureDomain) }

// countUsable returns how many upstreams of a service are in failure domains that are not evacuated.
func (m *Machine) countUsable(s *service) int {
	n := 0
	for i := range s.upstreams {
		if !m.isEvacuated(&s.upstreams[i]) {
			n++
		}
	}
	return n
}

// configureReach sets how many upstreams tell whether this VM reaches any.
func (m *Machine) configureReach() {
	services, upstreams := 0, 0
	for _, s := range m.services {
		if n := m.countUsable(s); n > 0 {
			services++
			upstreams += n
		}
	}
	m.reach.Configure(services, upstreams)
}

// recordReturn lets an upstream whose failure domain is in use again start with a small share of the load, because it may be cold.
func (s *service) recordReturn(now time.Time, name string) {
	if i, ok := s.set.Index(name); ok {
		s.set.RecordReturn(now, i)
	}
}

// EvacuatedUpstreams returns how many upstreams are in evacuated failure domains.
func (m *Machine) EvacuatedUpstreams() uint64 {
	n := 0
	for _, s := range m.services {
		n += len(s.upstreams) - m.countUsable(s)
	}
	return uint64(n)
}
