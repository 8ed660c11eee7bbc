package admitter

import (
	"math"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// estimateGain is the weight of one sample in the mean service time.
	estimateGain = 0.05
	// requiredDeviations is how many mean deviations above the mean service time a request must have left. With the mean alone,
	// 9 % of the requests that ran in TestFlood missed their deadline.
	requiredDeviations = 2
	// estimateHalfLife is the half-life of an estimate without new samples. Without the decay, an estimate above all deadlines
	// would reject every request and never be corrected.
	estimateHalfLife = time.Second
)

// estimate is a moving average of the service time of admitted requests.
type estimate struct {
	average   float64 // seconds
	deviation float64 // mean deviation in seconds
	updatedAt time.Time
}

func (e *estimate) add(now time.Time, elapsed time.Duration) {
	s := max(0, elapsed.Seconds())
	if e.updatedAt.IsZero() {
		e.average = s
	} else {
		difference := s - e.average
		e.average += difference * estimateGain
		e.deviation += (math.Abs(difference) - e.deviation) * estimateGain
	}
	e.updatedAt = now
}

// mean returns the mean service time, decayed by the age of the last sample.
func (e *estimate) mean(now time.Time) time.Duration {
	return e.decay(now, e.average)
}

// upperEstimate returns a service time that most requests do not exceed, decayed like the mean.
func (e *estimate) upperEstimate(now time.Time) time.Duration {
	return e.decay(now, e.average+requiredDeviations*e.deviation)
}

func (e *estimate) decay(now time.Time, seconds float64) time.Duration {
	if e.updatedAt.IsZero() {
		return 0
	}
	age := max(0, now.Sub(e.updatedAt).Seconds())
	return time.Duration(seconds * math.Exp2(-age/estimateHalfLife.Seconds()) * float64(time.Second))
}

// requiredTime returns the time that a request must have left to be run. It is at most half of the service's deadline: while a
// shard is down every search runs until its deadline, and its answer without that shard is still of use.
func (q *Queue) requiredTime(now time.Time) time.Duration {
	d := q.row.Deadline
	if d <= 0 {
		d = tabler.DefaultDeadline
	}
	return min(q.estimate.upperEstimate(now), d/2)
}

// estimatedWait estimates how long a new entry of a caller waits, given that each other caller runs at most its fair share
// before it.
func (q *Queue) estimatedWait(now time.Time, c *callerQueue) time.Duration {
	n := q.maxInFlight()
	if n == 0 || q.waiting == 0 && q.inFlight < n {
		return 0
	}
	weight, own := 1.0, 0
	if c != nil {
		weight, own = c.Weight, len(c.Items)
	}
	ahead := float64(own + 1)
	for _, o := range q.callers.Users {
		if o != c {
			ahead += min(float64(len(o.Items)), float64(own+1)*o.Weight/weight)
		}
	}
	return time.Duration(ahead / float64(n) * float64(q.estimate.mean(now)))
}

func (q *Queue) weight(name string) float64 {
	for i := range q.row.Callers {
		if q.row.Callers[i].Caller == name {
			return float64(max(1, q.row.Callers[i].Weight))
		}
	}
	return 1
}
