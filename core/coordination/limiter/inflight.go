package limiter

import "time"

const (
	// decreaseFactor multiplies the limit after shedding or a timeout.
	decreaseFactor = 0.7
	// decreaseInterval is the shortest time between two decreases. Sub-requests that were in flight together report the same
	// overload, which must count once.
	decreaseInterval = 20 * time.Millisecond
)

// InFlight is the adaptive limit of sub-requests in flight to one upstream, with additive increase while the upstream has no
// queue and multiplicative decrease on shedding and timeouts. The zero value has a ceiling of 1.
type InFlight struct {
	ceiling   int
	limit     float64 // 0 until the first Configure
	fixed     bool
	decreased time.Time
}

// Configure sets the ceiling, which is the connection share. The first call sets the limit to the number of slots of the
// upstream, or to the ceiling if there are more slots or slots is 0 (unknown). Later calls only lower the limit to the new ceiling.
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

// SetFixed sets whether the limit is fixed at the ceiling instead of adaptive.
func (l *InFlight) SetFixed(fixed bool) { l.fixed = fixed }

// Limit returns the maximum number of sub-requests in flight, at least 1.
func (l *InFlight) Limit() int {
	if l.fixed || l.limit == 0 {
		return max(1, l.ceiling)
	}
	return max(1, int(l.limit))
}

// RecordSuccess records a reply and raises the limit by 1/limit, unless the limit was not reached or the upstream has a queue.
// inFlight is the number in flight before the reply, and queued the queue length that the upstream reported with it.
func (l *InFlight) RecordSuccess(inFlight, queued int) {
	if queued > 0 || inFlight < l.Limit() {
		return
	}
	l.limit = min(float64(max(1, l.ceiling)), max(1, l.limit)+1/max(1, l.limit))
}

// RecordOverload lowers the limit after shedding or a timeout, at most once per decreaseInterval.
func (l *InFlight) RecordOverload(now time.Time) {
	if !l.decreased.IsZero() && now.Sub(l.decreased) < decreaseInterval {
		return
	}
	l.decreased = now
	l.limit = max(1, float64(l.Limit())*decreaseFactor)
}
