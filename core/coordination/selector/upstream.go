package selector

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// rampDuration is the time until a starting upstream, whose caches are cold, gets its full share of the load.
	rampDuration = 10 * time.Second
	// minRampShare is the part of its share that a starting upstream gets at first.
	minRampShare = 0.1
	// minFailureBeforeRamp is how long an upstream must have failed for its recovery to count as a start.
	minFailureBeforeRamp = time.Second
	// minTrialDelay and maxTrialDelay bound the time between two trials of a failed upstream. It doubles with each failure.
	minTrialDelay = 50 * time.Millisecond
	maxTrialDelay = 3 * time.Second
	// minShedPause and maxShedPause bound how long other upstreams are preferred to one that shed load.
	minShedPause = 5 * time.Millisecond
	maxShedPause = time.Second
	// maxUnheard is how many replies in a row need not be awaited. A VM may then send an upstream that begins to declare a rate so many requests more.
	maxUnheard = 2
)

// Upstream is the state of one upstream as seen by this VM.
type Upstream struct {
	Row             tabler.UpstreamRow
	InFlight        int
	Incarnation     uint64
	Draining        bool // as reported by the upstream itself
	Leaving         bool // as reported by the VM list or a peer
	Held            []encoder.HeldVersion
	Load            encoder.Load
	OpenConnections int // usable ones

	serial             uint64 // unlike the position, it does not change
	limit              limiter.InFlight
	quota              *quota  // nil until the upstream declares a rate
	warmup             *warmup // nil unless a cold upstream limits its rate
	domain             *failureDomain
	leavingIncarnation uint64 // to which Leaving applies; 0 if unknown
	loadReportedAt     time.Time
	otherVMsLoad       int         // running and queued at loadReportedAt, without this VM's own
	starts             []time.Time // of the sub-requests in flight
	latency            latencyAverage
	errorAverage       float64 // moving average of the share of failed results, 0 to 1
	errorAverageAt     time.Time
	reportedErrors     float64 // share of errors, 0 to 1, that other VMs reported
	reportedLatency    time.Duration
	reportedAt         time.Time
	lastReply          time.Time
	unheard            int // replies that were not awaited since lastReply
	shedUntil          time.Time
	pausedUntil        time.Time // the upstream wants no requests of this VM until then
	missed             int       // sub-requests that ended late and without a reply since lastReply
	failed             bool
	refused            bool // the last failure was a refused connection
	failedSince        time.Time
	trialAt            time.Time // of the next trial of a failed upstream
	trialDelay         time.Duration
	rampStart          time.Time
}

// Eligible reports whether the upstream may get new work.
func (u *Upstream) Eligible() bool {
	return !u.Draining && !u.Leaving && u.Row.Weight > 0
}

// Limit returns how many sub-requests this VM may have in flight to the upstream.
func (u *Upstream) Limit() int { return u.limit.Limit() }

// holds reports whether the upstream may hold an index version. One that has not reported any version may.
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

// recordReply records a reply to a sub-request, which ends a failure. After a long failure the upstream counts as starting: the
// ramp limits its share, and with the old errors counted as well it would get no work. It may be cold for coldTime.
func (u *Upstream) recordReply(now time.Time, coldTime time.Duration) {
	if u.failed && now.Sub(u.failedSince) >= minFailureBeforeRamp {
		u.rampStart, u.errorAverage = now, 0
		u.extendCold(now.Add(coldTime))
	}
	u.lastReply = now
	u.failed, u.refused, u.missed, u.unheard, u.trialDelay = false, false, 0, 0, 0
}

// recordFailure records a failure and sets the time of the next trial.
func (u *Upstream) recordFailure(now time.Time) {
	if !u.failed {
		u.failed, u.failedSince = true, now
	}
	u.trialDelay = min(max(minTrialDelay, 2*u.trialDelay), maxTrialDelay)
	u.trialAt = now.Add(u.trialDelay)
}

// recordError adds a failed result to the share of errors.
func (u *Upstream) recordError(now time.Time) {
	e := u.ownErrorShare(now)
	u.errorAverage, u.errorAverageAt = e+errorGain*(1-e), now
}

// recordSuccess adds a successful result to the share of errors.
func (u *Upstream) recordSuccess(now time.Time) {
	u.errorAverage, u.errorAverageAt = u.ownErrorShare(now)*(1-errorGain), now
}

// ownErrorShare returns the share of errors that this VM saw, reduced by its age.
func (u *Upstream) ownErrorShare(now time.Time) float64 {
	if u.errorAverage == 0 {
		return 0
	}
	return u.errorAverage * decay(now.Sub(u.errorAverageAt), errorHalfLife)
}

// errorShare returns the larger one of the shares of errors that this VM saw and that other VMs reported.
func (u *Upstream) errorShare(now time.Time) float64 {
	return max(u.ownErrorShare(now), u.reportedErrors*decay(now.Sub(u.reportedAt), reportedHalfLife))
}

// rampShare returns the part of its share that a starting upstream gets, 0 to 1.
func (u *Upstream) rampShare(now time.Time) float64 {
	if u.rampStart.IsZero() {
		return 1
	}
	age := now.Sub(u.rampStart)
	if age >= rampDuration {
		return 1
	}
	return max(minRampShare, float64(age)/float64(rampDuration))
}

// addStart adds a sub-request to those in flight.
func (u *Upstream) addStart(now time.Time) {
	u.InFlight++
	u.starts = append(u.starts, now)
}

// removeStart removes the sub-request in flight whose start is nearest to now - latency and returns that start.
func (u *Upstream) removeStart(now time.Time, latency time.Duration) time.Time {
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

// countLate returns the number of sub-requests in flight for longer than lateAfter.
func (u *Upstream) countLate(now time.Time, lateAfter time.Duration) int {
	n := 0
	for _, s := range u.starts {
		if now.Sub(s) > lateAfter {
			n++
		}
	}
	return n
}

// oldestAge returns the age of the oldest sub-request in flight.
func (u *Upstream) oldestAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, s := range u.starts {
		age = max(age, now.Sub(s))
	}
	return age
}
