package admitter

import (
	"math"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// estimateGain is the weight of one sample in the mean service time.
	estimateGain = 0.05
	// estimateHalfLife halves an estimate that gets no new samples. Without it, an estimate above every deadline would
	// reject everything and never be corrected.
	estimateHalfLife = time.Second
)

// estimate is the recent service time of admitted requests.
type estimate struct {
	average float64 // seconds
	at      time.Time
}

func (e *estimate) add(now time.Time, elapsed time.Duration) {
	s := max(0, elapsed.Seconds())
	if e.at.IsZero() {
		e.average = s
	} else {
		e.average += (s - e.average) * estimateGain
	}
	e.at = now
}

// mean returns the mean service time, lowered by the age of the last sample.
func (e *estimate) mean(now time.Time) time.Duration {
	if e.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(e.at).Seconds())
	return time.Duration(e.average * math.Exp2(-age/estimateHalfLife.Seconds()) * float64(time.Second))
}

// needed returns the run time that a request must have left. It is at most half of the service's deadline: while a shard
// is lost every search runs into its deadline, and its answer without that shard is still an answer.
func (q *Queue) needed(now time.Time) time.Duration {
	d := q.row.Deadline
	if d <= 0 {
		d = tabler.DefaultDeadline
	}
	return min(q.estimate.mean(now), d/2)
}
