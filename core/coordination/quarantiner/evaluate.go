package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// crashCount counts the crashes at which a signature was present.
type crashCount struct {
	service string
	firstAt time.Time
	total   int
	recent  int         // within evidenceWindow
	groups  map[int]int // total by group
}

// evaluateCrashes derives the suspects of this VM from the crashes that it saw.
//
// A signature becomes suspect when it was present at a crash and no upstream answered it recently. When other groups answer it,
// two crashes in one group are required, because a request may crash the upstreams of one group only. Crashes during an outage
// don't count, and neither do crashes that another signature explains, one that was present at many more.
func (m *Machine) evaluateCrashes(now time.Time) {
	if len(m.crashes) == 0 {
		return
	}
	m.crashes = slices.DeleteFunc(m.crashes, func(c *crash) bool { return now.Sub(c.at) > m.settings.suspicionLifetime() })
	m.markOutages(now)
	counts := m.countCrashes(now)
	maps.DeleteFunc(counts, func(signature uint64, cc *crashCount) bool { return !m.isImplicated(now, signature, cc) })
	var raised, unfounded []uint64
	for signature, cc := range counts {
		if !m.isExplainedByOther(now, signature, cc, counts) {
			raised = append(raised, signature)
		}
	}
	for signature, s := range m.suspects {
		if s.isRevocable(now) && !slices.Contains(raised, signature) {
			unfounded = append(unfounded, signature)
		}
	}
	// The order is fixed so that the replay of a trace gives the same actions.
	slices.Sort(raised)
	slices.Sort(unfounded)
	for _, signature := range raised {
		m.raiseSuspicion(now, counts[signature].service, signature, counts[signature].recent)
	}
	for _, signature := range unfounded {
		m.clearSuspicion(now, m.suspects[signature])
	}
}

// isRevocable reports whether a suspicion rests only on crashes that this VM saw within evidenceWindow.
func (s *suspect) isRevocable(now time.Time) bool {
	if !s.hasLocalEvidence || s.Confirmed || s.unexplainedResets > 0 || !s.probeSent.IsZero() || s.Crashes > s.localCrashes {
		return false
	}
	return s.Crashes == 0 || now.Sub(s.lastEvidence) <= evidenceWindow
}

// markOutages marks the recent crashes of each failure domain that has an outage.
func (m *Machine) markOutages(now time.Time) {
	outages := make(map[string]bool)
	for _, c := range m.crashes {
		if now.Sub(c.at) > evidenceWindow {
			continue
		}
		d := c.upstream.domain
		if _, ok := outages[d]; !ok {
			outages[d] = m.isOutage(now, d)
		}
		c.duringOutage = outages[d]
	}
}

// isOutage reports whether several upstreams of a failure domain failed together and no request explains it: no signature
// without a recent reply was present at most of the crashes, or too many were.
func (m *Machine) isOutage(now time.Time, domain string) bool {
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
	if failed < minOutageUpstreams {
		return false
	}
	explaining := 0
	for _, n := range present {
		if float64(n) >= minExplainedShare*float64(failed) {
			explaining++
		}
	}
	return explaining == 0 || explaining >= minOutageSignatures
}

// countCrashes counts the crashes of each signature. It removes a signature from a crash when the same group has answered it since.
func (m *Machine) countCrashes(now time.Time) map[uint64]*crashCount {
	out := make(map[uint64]*crashCount)
	for _, c := range m.crashes {
		if c.duringOutage {
			continue
		}
		c.signatures = slices.DeleteFunc(c.signatures, func(signature uint64) bool {
			at, ok := m.replies.last(signature, c.upstream.group)
			return ok && at.After(c.at)
		})
		for _, signature := range c.signatures {
			cc := out[signature]
			if cc == nil {
				cc = &crashCount{service: c.upstream.key.service, firstAt: c.at, groups: make(map[int]int)}
				out[signature] = cc
			}
			cc.total++
			cc.groups[c.upstream.group]++
			if now.Sub(c.at) <= evidenceWindow {
				cc.recent++
			}
		}
	}
	return out
}

// isImplicated reports whether the crashes of a signature make it a suspect.
func (m *Machine) isImplicated(now time.Time, signature uint64, cc *crashCount) bool {
	if cc.recent == 0 {
		return false
	}
	since := cc.firstAt.Add(-maxRunTime)
	if cc.total == 1 {
		since = now.Add(-replyRetention)
	}
	if !m.answeredSince(signature, since) {
		return true
	}
	for _, n := range cc.groups {
		if n >= 2 {
			return true
		}
	}
	return false
}

// isExplainedByOther reports whether other signatures explain the recent crashes of a signature. This is so if a suspect of the
// same service has recent evidence and is confirmed or has many more crashes, even if only peers reported it, or if at each of
// these crashes a signature was present that was also present at many more.
func (m *Machine) isExplainedByOther(now time.Time, signature uint64, cc *crashCount, counts map[uint64]*crashCount) bool {
	for other, s := range m.suspects {
		if other != signature && s.Service == cc.service && now.Sub(s.lastEvidence) <= evidenceWindow &&
			(s.Confirmed || s.Crashes >= explainingCrashFactor*cc.recent) {
			return true
		}
	}
	for _, c := range m.crashes {
		if c.duringOutage || now.Sub(c.at) > evidenceWindow || !c.hasSignature(signature) {
			continue
		}
		explained := slices.ContainsFunc(c.signatures, func(other uint64) bool {
			o := counts[other]
			return o != nil && other != signature && o.recent >= explainingCrashFactor*cc.recent
		})
		if !explained {
			return false
		}
	}
	return true
}
