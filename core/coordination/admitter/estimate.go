package admitter

import (
	"math"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// estimateGain is the weight of one sample in the mean service time.
	estimateGain = 0.05
	// neededDeviations is the number of mean deviations above the mean that a request must have left. With the mean alone,
	// 9 % of the requests that ran in TestFlood missed their deadline.
	neededDeviations = 2
	// estimateHalfLife halves an estimate that gets no new samples. Without it, an estimate above every deadline would
	// reject everything and never be corrected.
	estimateHalfLife = time.Second
)

// estimate is the recent service time of admitted requests.
type estimate struct {
	average   float64 // seconds
	deviation float64 // mean, in seconds
	at        time.Time
}

func (e *estimate) add(now time.Time, elapsed time.Duration) {
	s := max(0, elapsed.Seconds())
	if e.at.IsZero() {
		e.average = s
	} else {
		difference := s - e.average
		e.average += difference * estimateGain
		e.deviation += (math.Abs(difference) - e.deviation) * estimateGain
	}
	e.at = now
}

// mean returns the mean service time, lowered by the age of the last sample.
func (e *estimate) mean(now time.Time) time.Duration {
	return e.aged(now, e.average)
}

// long returns the service time that most requests stay below.
func (e *estimate) long(now time.Time) time.Duration {
	return e.aged(now, e.average+neededDeviations*e.deviation)
}

func (e *estimate) aged(now time.Time, seconds float64) time.Duration {
	if e.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(e.at).Seconds())
	return time.Duration(seconds * math.Exp2(-age/estimateHalfLife.Seconds()) * float64(time.Second))
}

// needed returns the run time that a request must have left. It is at most half of the service's deadline: while a shard
// is lost every search runs into its deadline, and its answer without that shard is still an answer.
func (q *Queue) needed(now time.Time) time.Duration {
	d := q.row.Deadline
	if d <= 0 {
		d = tabler.DefaultDeadline
	}
	return min(q.estimate.long(now), d/2)
}

// wait estimates how long a new entry of a caller waits: each other caller runs at most its own share before it.
func (q *Queue) wait(now time.Time, c *caller) time.Duration {
	n := q.concurrency()
	if n == 0 || q.waiting == 0 && q.inFlight < n {
		return 0
	}
	weight, own := 1.0, 0
	if c != nil {
		weight, own = c.weight, len(c.entries)
	}
	ahead := float64(own + 1)
	for _, o := range q.callers.list {
		if o != c {
			ahead += min(float64(len(o.entries)), float64(own+1)*o.weight/weight)
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
