package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// tally counts the crashes at which a signature was present.
type tally struct {
	service string
	first   time.Time
	total   int
	recent  int         // within the window
	groups  map[int]int // total by group
}

// evaluate derives the suspects of this VM from the crashes that it saw.
//
// A signature becomes suspect when it was present at a crash and no upstream answered it lately. When other groups answer
// it, that takes two crashes in one group: it may crash the upstreams of one group only. Crashes of an outage
// do not count, and neither does a crash at which a signature was present that explains many more.
func (m *Machine) evaluate(now time.Time) {
	if len(m.crashes) == 0 {
		return
	}
	m.crashes = slices.DeleteFunc(m.crashes, func(c *crash) bool { return now.Sub(c.at) > m.settings.life() })
	m.markOutages(now)
	tallies := m.tallies(now)
	maps.DeleteFunc(tallies, func(signature uint64, t *tally) bool { return !m.implicated(now, signature, t) })
	var raised, unfounded []uint64
	for signature, t := range tallies {
		if !m.explainedAway(now, signature, t, tallies) {
			raised = append(raised, signature)
		}
	}
	for signature, s := range m.suspects {
		if s.revocable(now) && !slices.Contains(raised, signature) {
			unfounded = append(unfounded, signature)
		}
	}
	// In a fixed order, so that a replayed trace gives the same actions.
	slices.Sort(raised)
	slices.Sort(unfounded)
	for _, signature := range raised {
		m.raise(now, tallies[signature].service, signature, tallies[signature].recent)
	}
	for _, signature := range unfounded {
		m.clear(now, m.suspects[signature])
	}
}

// revocable tells whether a suspicion rests on nothing but crashes that this VM saw within the window.
func (s *suspect) revocable(now time.Time) bool {
	if !s.own || s.Confirmed || s.unexplained > 0 || !s.probeAt.IsZero() || s.Crashes > s.ownCrashes {
		return false
	}
	return s.Crashes == 0 || now.Sub(s.evidence) <= evidenceWindow
}

// markOutages marks the crashes of each failure domain whose upstreams failed together without a request that explains it.
func (m *Machine) markOutages(now time.Time) {
	outages := make(map[string]bool)
	for _, c := range m.crashes {
		if now.Sub(c.at) > evidenceWindow {
			continue
		}
		d := c.upstream.domain
		if _, ok := outages[d]; !ok {
			outages[d] = m.outage(now, d)
		}
		c.outage = outages[d]
	}
}

// outage tells whether the upstreams of a failure domain failed together and no request explains it: none was present at
// most of the crashes without an answer from elsewhere, or too many were.
func (m *Machine) outage(now time.Time, domain string) bool {
	failed := 0
	present := make(map[uint64]int)
	for _, c := range m.crashes {
		if c.upstream.domain != domain || now.Sub(c.at) > evidenceWindow {
			continue
		}
		failed++
		for _, signature := range c.signatures {
			if !m.answeredSince(signature, now.Add(-evidenceWindow)) {
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

// tallies counts the crashes for each signature. A signature that the same group answered afterwards is struck off a crash.
func (m *Machine) tallies(now time.Time) map[uint64]*tally {
	out := make(map[uint64]*tally)
	for _, c := range m.crashes {
		if c.outage {
			continue
		}
		c.signatures = slices.DeleteFunc(c.signatures, func(signature uint64) bool {
			at, ok := m.lastReply(signature, c.upstream.group)
			return ok && at.After(c.at)
		})
		for _, signature := range c.signatures {
			t := out[signature]
			if t == nil {
				t = &tally{service: c.upstream.key.service, first: c.at, groups: make(map[int]int)}
				out[signature] = t
			}
			t.total++
			t.groups[c.upstream.group]++
			if now.Sub(c.at) <= evidenceWindow {
				t.recent++
			}
		}
	}
	return out
}

func (m *Machine) implicated(now time.Time, signature uint64, t *tally) bool {
	if t.recent == 0 {
		return false
	}
	since := t.first.Add(-runTime)
	if t.total == 1 {
		since = now.Add(-replyMemory)
	}
	if !m.answeredSince(signature, since) {
		return true
	}
	for _, n := range t.groups {
		if n >= 2 {
			return true
		}
	}
	return false
}

// explainedAway tells whether another signature explains the crashes at which a signature was present: one known from a peer,
// or one that was present at all of them and at many more.
func (m *Machine) explainedAway(now time.Time, signature uint64, t *tally, tallies map[uint64]*tally) bool {
	for other, s := range m.suspects {
		if other != signature && s.Service == t.service && now.Sub(s.evidence) <= evidenceWindow &&
			(s.Confirmed || s.Crashes >= explainingFactor*t.recent) {
			return true
		}
	}
	for _, c := range m.crashes {
		if c.outage || now.Sub(c.at) > evidenceWindow || !c.has(signature) {
			continue
		}
		explained := slices.ContainsFunc(c.signatures, func(other uint64) bool {
			o := tallies[other]
			return o != nil && other != signature && o.recent >= explainingFactor*t.recent
		})
		if !explained {
			return false
		}
	}
	return true
}
