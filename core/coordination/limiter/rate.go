package limiter

import "time"

// rateBurst is how much of its share a VM may use at once after a pause; at least one request.
const rateBurst = 100 * time.Millisecond

// Rate holds one VM to its share of an operators' limit of requests per second over the fleet. The zero value has no limit.
//
// It keeps the time at which the next request conforms (generic cell rate algorithm). In any window of length d it admits
// at most share × (d + rateBurst) + 1 requests.
type Rate struct {
	interval time.Duration // between two requests; 0 means no limit
	next     time.Time     // when the next request conforms without using the burst
}

// Configure sets the fleet limit in requests per second, 0 for none, and the most VMs that may share it.
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

// Allow tells whether a request may run now, and counts it when it may.
func (l *Rate) Allow(now time.Time) bool {
	if l.interval == 0 {
		return true
	}
	// The next time lies further ahead only when it was set under a lower limit.
	if furthest := now.Add(max(rateBurst, l.interval)); l.next.After(furthest) {
		l.next = furthest
	}
	if l.RetryAfter(now) > 0 {
		return false
	}
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(l.interval)
	return true
}

// RetryAfter returns how long to wait until a request is allowed, 0 when it is allowed now.
func (l *Rate) RetryAfter(now time.Time) time.Duration {
	// The second condition also keeps the difference to the zero time, which saturates, out of the arithmetic below.
	if l.interval == 0 || !l.next.After(now) {
		return 0
	}
	return max(0, l.next.Sub(now)-max(0, rateBurst-l.interval))
}
