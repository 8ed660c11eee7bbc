package limiter

import "time"

// rateBurst is the period whose share of requests a VM may use at once after being idle; at least one request.
const rateBurst = 100 * time.Millisecond

// Rate limits one VM to its share of a fleet-wide limit of requests per second that operators set. The zero value has no limit.
//
// It implements the generic cell rate algorithm, which keeps the time at which the next request conforms. In any window of
// length d it admits at most share × (d + rateBurst) + 1 requests.
type Rate struct {
	interval       time.Duration // time between two requests; 0 means no limit
	nextConforming time.Time     // when the next request conforms without using the burst
}

// Configure sets the fleet-wide limit in requests per second, 0 for none, and the maximum number of VMs that share it.
func (l *Rate) Configure(limit float64, fleetMax int) {
	l.SetShare(limit / float64(max(1, fleetMax)))
}

// SetShare sets this VM's own limit in requests per second, 0 for none.
func (l *Rate) SetShare(share float64) {
	if share <= 0 {
		*l = Rate{}
		return
	}
	l.interval = max(1, time.Duration(float64(time.Second)/share))
}

// Allow reports whether a request may run now, and counts it if so.
func (l *Rate) Allow(now time.Time) bool {
	if l.interval == 0 {
		return true
	}
	// A time further ahead than this was set under a lower limit.
	if furthest := now.Add(max(rateBurst, l.interval)); l.nextConforming.After(furthest) {
		l.nextConforming = furthest
	}
	if l.RetryAfter(now) > 0 {
		return false
	}
	if l.nextConforming.Before(now) {
		l.nextConforming = now
	}
	l.nextConforming = l.nextConforming.Add(l.interval)
	return true
}

// RetryAfter returns the time until a request is allowed, 0 if it is allowed now.
func (l *Rate) RetryAfter(now time.Time) time.Duration {
	// The second condition also excludes the zero time, whose difference to now would saturate in the arithmetic below.
	if l.interval == 0 || !l.nextConforming.After(now) {
		return 0
	}
	return max(0, l.nextConforming.Sub(now)-max(0, rateBurst-l.interval))
}
