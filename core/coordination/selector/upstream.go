package selector

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// rampTime is how long a starting upstream takes to get its full part: its caches are cold.
	rampTime = 10 * time.Second
	// rampFloor is the part that a starting upstream gets at first.
	rampFloor = 0.1
	// rampAfter is how long an upstream must have failed before its return counts as a start.
	rampAfter = time.Second
	// firstPause and maxPause bound the time between two trials of a failed upstream. The pause doubles with each failure.
	firstPause = 50 * time.Millisecond
	maxPause   = 3 * time.Second
	// minShedPause and maxShedPause bound how long an upstream that shed load is passed over.
	minShedPause = 5 * time.Millisecond
	maxShedPause = time.Second
)

// Upstream is the state of one upstream as seen by this VM.
type Upstream struct {
	Row             tabler.UpstreamRow
	InFlight        int
	Incarnation     uint64
	Draining        bool // as reported by the upstream itself
	Leaving         bool // as told by the VM list or a peer
	Held            []encoder.HeldVersion
	Load            encoder.Load
	OpenConnections int // usable connections that are open

	serial             uint64 // does not change with the position
	limit              limiter.InFlight
	domain             *domain
	leavingIncarnation uint64 // that Leaving is about; 0 when unknown
	loadAt             time.Time
	othersAtLoad       int         // running and queued at loadAt without this VM's own
	starts             []time.Time // of the sub-requests in flight
	latency            average
	errors             float64 // moving average of failed results, 0 to 1
	errorsAt           time.Time
	reportedErrors     float64 // share of errors that other VMs reported
	reportedLatency    time.Duration
	reportedAt         time.Time
	lastReply          time.Time
	shedUntil          time.Time
	missed             int // sub-requests that ended late and unanswered since lastReply
	failed             bool
	refused            bool // the last failure was a refused connection
	failedSince        time.Time
	trialAt            time.Time // of the next trial of a failed upstream
	pause              time.Duration
	rampFrom           time.Time
}

// Eligible tells whether the upstream may get new work.
func (u *Upstream) Eligible() bool {
	return !u.Draining && !u.Leaving && u.Row.Weight > 0
}

// Limit returns the most sub-requests that this VM keeps in flight to the upstream.
func (u *Upstream) Limit() int { return u.limit.Limit() }

// holds tells whether the upstream may hold a version. One that has not reported any version may.
func (u *Upstream) holds(version uint64) bool {
	if version == 0 || len(u.Held) == 0 {
		return true
	}
	for i := range u.Held {
		if u.Held[i].Version == version {
			return true
		}
	}
	return false
}

// replied records an answer to a sub-request, which ends a failure. After a long failure the upstream starts again: the
// ramp limits its part then, and counting the old errors as well would keep it at nothing.
func (u *Upstream) replied(now time.Time) {
	if u.failed && now.Sub(u.failedSince) >= rampAfter {
		u.rampFrom, u.errors = now, 0
	}
	u.lastReply = now
	u.failed, u.refused, u.missed, u.pause = false, false, 0, 0
}

// fail records a failure and sets the time of the next trial.
func (u *Upstream) fail(now time.Time) {
	if !u.failed {
		u.failed, u.failedSince = true, now
	}
	u.pause = min(max(firstPause, 2*u.pause), maxPause)
	u.trialAt = now.Add(u.pause)
}

// recordError counts a failed result in the share of errors.
func (u *Upstream) recordError(now time.Time) {
	e := u.recentErrors(now)
	u.errors, u.errorsAt = e+errorGain*(1-e), now
}

// recordSuccess counts a good result in the share of errors.
func (u *Upstream) recordSuccess(now time.Time) {
	u.errors, u.errorsAt = u.recentErrors(now)*(1-errorGain), now
}

// recentErrors returns the share of errors, lowered by its age.
func (u *Upstream) recentErrors(now time.Time) float64 {
	if u.errors == 0 {
		return 0
	}
	return u.errors * decay(now.Sub(u.errorsAt), errorHalfLife)
}

// doubt returns the share of errors: the one that this VM saw, or the one that others reported.
func (u *Upstream) doubt(now time.Time) float64 {
	return max(u.recentErrors(now), u.reportedErrors*decay(now.Sub(u.reportedAt), reportedHalfLife))
}

// ramp returns the part of its share that a starting upstream gets, 0 to 1.
func (u *Upstream) ramp(now time.Time) float64 {
	if u.rampFrom.IsZero() {
		return 1
	}
	age := now.Sub(u.rampFrom)
	if age >= rampTime {
		return 1
	}
	return max(rampFloor, float64(age)/float64(rampTime))
}

// begin records the start of a sub-request.
func (u *Upstream) begin(now time.Time) {
	u.InFlight++
	u.starts = append(u.starts, now)
}

// end removes the sub-request whose start is nearest to now - latency and returns its start.
func (u *Upstream) end(now time.Time, latency time.Duration) time.Time {
	start := now.Add(-latency)
	if u.InFlight == 0 {
		return start
	}
	u.InFlight--
	best := 0
	for i := range u.starts {
		if u.starts[i].Sub(start).Abs() < u.starts[best].Sub(start).Abs() {
			best = i
		}
	}
	start = u.starts[best]
	u.starts = slices.Delete(u.starts, best, best+1)
	return start
}

// overdue counts the sub-requests without an answer for longer than lateAfter.
func (u *Upstream) overdue(now time.Time, lateAfter time.Duration) int {
	n := 0
	for _, s := range u.starts {
		if now.Sub(s) > lateAfter {
			n++
		}
	}
	return n
}

// waiting returns the age of the oldest sub-request in flight.
func (u *Upstream) waiting(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, s := range u.starts {
		age = max(age, now.Sub(s))
	}
	return age
}
