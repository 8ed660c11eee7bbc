package limiter

import "time"

const (
	// decreaseFactor is the part of the limit that remains after shedding or a time-out.
	decreaseFactor = 0.7
	// decreaseInterval is the least time between two decreases: sub-requests that were in flight together report the same
	// overload, which must count once.
	decreaseInterval = 20 * time.Millisecond
)

// InFlight is the adaptive limit of sub-requests in flight to one upstream: additive increase while the upstream works
// without a queue, multiplicative decrease on shedding and time-outs. The zero value has a ceiling of 1.
type InFlight struct {
	ceiling   int
	limit     float64 // 0 until the first Configure
	fixed     bool
	decreased time.Time
}

// Configure sets the ceiling, which is the connection share, and the first limit, which is the number of slots of the
// upstream when known. A limit that already adapted is kept below the new ceiling.
func (l *InFlight) Configure(ceiling, slots int) {
	l.ceiling = max(1, ceiling)
	if l.limit == 0 {
		l.limit = float64(l.ceiling)
		if slots > 0 {
			l.limit = float64(slots)
		}
	}
	l.limit = min(l.limit, float64(l.ceiling))
}

// SetFixed switches the adaptation off, so that the limit is the ceiling, or on again.
func (l *InFlight) SetFixed(fixed bool) { l.fixed = fixed }

// Limit returns the most sub-requests in flight, at least 1.
func (l *InFlight) Limit() int {
	if l.fixed || l.limit == 0 {
		return max(1, l.ceiling)
	}
	return max(1, int(l.limit))
}

// RecordSuccess raises the limit by one for each limit's worth of replies. inFlight is the number in flight before the reply;
// a limit that is not used does not grow. queued is the queue that the upstream reported with the reply.
func (l *InFlight) RecordSuccess(inFlight, queued int) {
	if queued > 0 || inFlight < l.Limit() {
		return
	}
	l.limit = min(float64(max(1, l.ceiling)), max(1, l.limit)+1/max(1, l.limit))
}

// RecordOverload lowers the limit after shedding or a time-out.
func (l *InFlight) RecordOverload(now time.Time) {
	if !l.decreased.IsZero() && now.Sub(l.decreased) < decreaseInterval {
		return
	}
	l.decreased = now
	l.limit = max(1, float64(l.Limit())*decreaseFactor)
}
