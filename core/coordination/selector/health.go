package selector

import "time"

const (
	// minLateAfter is the shortest time after which a reply is late. defaultLateAfter applies until the first reply of the service.
	minLateAfter     = 5 * time.Millisecond
	defaultLateAfter = 30 * time.Millisecond
	// lateDeviations is the number of mean deviations above the mean latency after which a reply is late. With exponential
	// service times, 6 classify about one reply in 200 as late.
	lateDeviations = 6
	// unresponsiveMissed is how many late and unanswered sub-requests make an upstream unresponsive. A single one may be due to
	// an unresponsive connection.
	unresponsiveMissed = 2
)

// avoided reports whether an upstream failed lately, or it or its whole failure domain is unresponsive.
func (s *Set) avoided(now time.Time, u *Upstream) bool {
	return u.failed || s.unresponsive(now, u) || u.domain.unresponsive(now, s.lateAfter(nil))
}

// unresponsive reports whether several sub-requests to an upstream are late and it has not replied meanwhile.
func (s *Set) unresponsive(now time.Time, u *Upstream) bool {
	if u.missed+len(u.starts) < unresponsiveMissed {
		return false
	}
	lateAfter := s.lateAfter(u)
	return now.Sub(u.lastReply) > lateAfter && u.missed+u.countLate(now, lateAfter) >= unresponsiveMissed
}

// trialDue reports whether the next trial of an avoided upstream may start: one at a time, each after a delay.
func (s *Set) trialDue(now time.Time, u *Upstream) bool {
	if u.InFlight > 0 || now.Before(u.trialAt) {
		return false
	}
	return !u.domain.unresponsive(now, s.lateAfter(nil)) || u.domain.trialDue(now)
}

// lateAfter returns the time after which a reply is late, from the latencies of an upstream, or of the service if u is nil.
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
