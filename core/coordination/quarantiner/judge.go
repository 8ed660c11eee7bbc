package quarantiner

import (
	"slices"
	"time"
)

// advance drops what is out of date.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	for signature, s := range m.suspects {
		if s.Expires.After(now) {
			continue
		}
		if !s.Confirmed {
			delete(m.suspects, signature)
			continue
		}
		s.Confirmed = false
		s.Expires = now.Add(m.settings.withDefaults().Life)
		s.NextProbe = now
	}
	for len(m.crashes) > 0 && now.Sub(m.crashes[0].at) > evidenceWindow {
		m.crashes = slices.Delete(m.crashes, 0, 1)
	}
}

// judge derives the suspects from the crashes within the window.
func (m *Machine) judge(now time.Time) {
	counts := make(map[uint64]int)
	for _, c := range m.crashes {
		if m.outage(now, c.place.domain) {
			continue
		}
		for _, signature := range c.signatures {
			if !m.vouched(now, signature) {
				counts[signature]++
			}
		}
	}
	for signature, n := range counts {
		s, ok := m.suspects[signature]
		if ok && s.Crashes >= n {
			continue
		}
		if !ok {
			t := m.trails[signature]
			service := ""
			if t != nil {
				service = t.service
			}
			s = m.add(now, Suspicion{Signature: signature, Service: service, NextProbe: now.Add(m.settings.withDefaults().Interval)})
		}
		s.Crashes = n
		s.Expires = now.Add(m.settings.withDefaults().Life)
		m.spread(s)
	}
}

// outage tells whether the upstreams of a failure domain failed together without a request that explains it.
func (m *Machine) outage(now time.Time, domain string) bool {
	failed := 0
	present := make(map[uint64]int)
	for _, c := range m.crashes {
		if c.place.domain != domain {
			continue
		}
		failed++
		for _, signature := range c.signatures {
			if !m.vouched(now, signature) {
				present[signature]++
			}
		}
	}
	if failed < outageUpstreams {
		return false
	}
	explaining := 0
	for _, n := range present {
		if float64(n) >= explainedShare*float64(failed) {
			explaining++
		}
	}
	return explaining == 0 || explaining >= unrelatedSignatures
}

// probeGroup returns a group for a probe in which no upstream is known to be down.
func (m *Machine) probeGroup(s *suspect) (int, bool) {
	down := make(map[int]bool)
	for key, p := range m.places {
		if key.service == s.Service {
			down[p.group] = down[p.group] || p.down
		}
	}
	best := anyGroup
	for group, d := range down {
		if !d && (best == anyGroup || group < best) {
			best = group
		}
	}
	return best, len(down) == 0 || best != anyGroup
}
