package selector

import "time"

const (
	// minPatience is the least time after which an answer is late. defaultPatience holds until the service has replied once.
	minPatience     = 5 * time.Millisecond
	defaultPatience = 30 * time.Millisecond
	// patienceDeviations is the number of mean deviations above the mean latency that still counts as usual. With
	// exponential service times, 6 leave about one reply in 200 outside.
	patienceDeviations = 6
	// silentMissed is how many late and unanswered sub-requests make an upstream silent. One alone may be an
	// unresponsive connection.
	silentMissed = 2
)

// avoided tells whether an upstream or its whole failure domain failed lately.
func (s *Set) avoided(now time.Time, u *Upstream) bool {
	return u.failed || s.silent(now, u) || u.domain.dark(now, s.patience(nil))
}

// silent tells whether several sub-requests are late and nothing was answered meanwhile.
func (s *Set) silent(now time.Time, u *Upstream) bool {
	if u.missed+len(u.starts) < silentMissed {
		return false
	}
	patience := s.patience(u)
	return now.Sub(u.lastReply) > patience && u.missed+u.overdue(now, patience) >= silentMissed
}

// trialDue tells whether the next trial of an avoided upstream may run: one at a time, after a pause.
func (s *Set) trialDue(now time.Time, u *Upstream) bool {
	if u.InFlight > 0 || now.Before(u.trialAt) {
		return false
	}
	return !u.domain.dark(now, s.patience(nil)) || u.domain.trialDue(now)
}

// patience returns after which time an answer is late, from the usual latency of an upstream, or of the service for nil.
func (s *Set) patience(u *Upstream) time.Duration {
	a := &s.latency
	if u != nil && u.latency.mean > 0 {
		a = &u.latency
	}
	if a.mean == 0 {
		return defaultPatience
	}
	return max(minPatience, time.Duration(a.mean+patienceDeviations*a.deviation))
}
