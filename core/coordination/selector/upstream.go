package selector

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// latencyGain is the weight of one reply in the latency average.
	latencyGain = 0.2
	// errorGain is the weight of one result in the error average.
	errorGain = 0.2
	// rampTime is how long a starting upstream takes to get its full part: its caches are cold.
	rampTime = 10 * time.Second
	// rampFloor is the part that a starting upstream gets at first.
	rampFloor = 0.1
	// firstPause and maxPause bound the time between two trials of a failed upstream. The pause doubles with each failure.
	firstPause = 50 * time.Millisecond
	maxPause   = 3 * time.Second
)

// Upstream is the state of one upstream as seen by this VM.
type Upstream struct {
	Row         tabler.UpstreamRow
	InFlight    int
	Incarnation uint64
	Draining    bool // as reported by the upstream itself
	Leaving     bool // as told by the VM list or a peer
	Held        []encoder.HeldVersion
	Load        encoder.Load
	Connections int // usable connections that are open

	limit        limiter.InFlight
	domain       *domain
	loadAt       time.Time
	othersAtLoad int         // running and queued at loadAt without this VM's own
	starts       []time.Time // of the sub-requests in flight
	latency      average
	errors       float64 // moving average of failed results, 0 to 1
	errorsAt     time.Time
	lastReply    time.Time
	missed       int // sub-requests that ended late and unanswered since lastReply
	failures     int // consecutive failures
	trialAt      time.Time
	pause        time.Duration
	unreachable  bool // was avoided and has not replied since
	rampFrom     time.Time
}

// Allowed tells whether the upstream may get new work.
func (u *Upstream) Allowed() bool {
	return !u.Draining && !u.Leaving && u.Row.Weight > 0
}

// Limit returns the most sub-requests that this VM keeps in flight to the upstream.
func (u *Upstream) Limit() int { return u.limit.Limit() }

// holds tells whether the upstream may hold a version. One that has not reported any version may.
func (u *Upstream) holds(version uint64) bool {
	if version == 0 || len(u.Held) == 0 {
		return true
	}
	return slices.ContainsFunc(u.Held, func(h encoder.HeldVersion) bool { return h.Version == version })
}

func (u *Upstream) replied(now time.Time) {
	if u.unreachable {
		u.rampFrom = now
	}
	u.unreachable = false
	u.lastReply = now
	u.missed, u.failures, u.pause = 0, 0, 0
	u.trialAt = time.Time{}
}

func (u *Upstream) failed(now time.Time) {
	u.failures++
	u.errors = u.recentErrors(now) + errorGain*(1-u.recentErrors(now))
	u.errorsAt = now
	u.postpone(now)
}

// postpone sets the time of the next trial.
func (u *Upstream) postpone(now time.Time) {
	u.unreachable = true
	u.pause = min(max(firstPause, 2*u.pause), maxPause)
	u.trialAt = now.Add(u.pause)
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

// end removes the sub-request whose start is nearest to now - latency.
func (u *Upstream) end(now time.Time, latency time.Duration) {
	if u.InFlight == 0 {
		return
	}
	u.InFlight--
	start, best := now.Add(-latency), 0
	for i := range u.starts {
		if u.starts[i].Sub(start).Abs() < u.starts[best].Sub(start).Abs() {
			best = i
		}
	}
	u.starts = slices.Delete(u.starts, best, best+1)
}

// overdue counts the sub-requests without an answer for longer than patience.
func (u *Upstream) overdue(now time.Time, patience time.Duration) int {
	n := 0
	for _, s := range u.starts {
		if now.Sub(s) > patience {
			n++
		}
	}
	return n
}
