package selector

import "time"

const (
	// minLateAfter is the least time after which an answer is late. defaultLateAfter holds until the service has replied once.
	minLateAfter     = 5 * time.Millisecond
	defaultLateAfter = 30 * time.Millisecond
	// lateDeviations is the number of mean deviations above the mean latency that still counts as usual. With
	// exponential service times, 6 leave about one reply in 200 outside.
	lateDeviations = 6
	// unresponsiveMissed is how many late and unanswered sub-requests make an upstream unresponsive. One alone may be an
	// unresponsive connection.
	unresponsiveMissed = 2
)

// avoided tells whether an upstream or its whole failure domain failed lately.
func (s *Set) avoided(now time.Time, u *Upstream) bool {
	return u.failed || s.unresponsive(now, u) || u.domain.dark(now, s.lateAfter(nil))
}

// unresponsive tells whether several sub-requests are late and nothing was answered meanwhile.
func (s *Set) unresponsive(now time.Time, u *Upstream) bool {
	if u.missed+len(u.starts) < unresponsiveMissed {
		return false
	}
	lateAfter := s.lateAfter(u)
	return now.Sub(u.lastReply) > lateAfter && u.missed+u.overdue(now, lateAfter) >= unresponsiveMissed
}

// trialDue tells whether the next trial of an avoided upstream may run: one at a time, after a pause.
func (s *Set) trialDue(now time.Time, u *Upstream) bool {
	if u.InFlight > 0 || now.Before(u.trialAt) {
		return false
	}
	return !u.domain.dark(now, s.lateAfter(nil)) || u.domain.trialDue(now)
}

// lateAfter returns after which time an answer is late, from the usual latency of an upstream, or of the service for nil.
func (s *Set) lateAfter(u *Upstream) time.Duration {
	a := &s.latency
	if u != nil && u.latency.mean > 0 {
		a = &u.latency
	}
	if a.mean == 0 {
		return defaultLateAfter
	}
	return max(minLateAfter, time.Duration(a.mean+lateDeviations*a.deviation))
}
