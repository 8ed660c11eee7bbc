package selector

import (
	"math"
	"time"
)

const (
	// latencyGain and deviationGain are the weights of one reply in the mean latency and its mean deviation.
	latencyGain   = 0.2
	deviationGain = 0.1
	// latencyHalfLife is the half-life of the difference between an upstream's latency and that of its service while there are
	// no replies. Without the decay, an upstream that was slow once would never be selected again.
	latencyHalfLife = 8 * time.Second
	// errorGain is the weight of one result in the share of errors.
	errorGain = 0.2
	// errorHalfLife is the half-life of the share of errors while there are no results.
	errorHalfLife = 3 * time.Second
	// reportedHalfLife is the half-life of the weight of other VMs' ratings, which arrive each second while a problem lasts.
	reportedHalfLife = 2 * time.Second
)

// latencyAverage is the exponential moving average of latencies and of their deviation.
type latencyAverage struct {
	mean      float64 // ns; 0 before the first sample
	deviation float64 // ns
	updatedAt time.Time
}

func (a *latencyAverage) add(now time.Time, d time.Duration) {
	x := max(1, float64(d))
	if a.mean == 0 {
		a.mean, a.deviation = x, x/2
	} else {
		difference := x - a.mean
		a.mean += latencyGain * difference
		// The floor of 1 ns keeps a constant latency from driving the deviation into denormal numbers, which are slow.
		a.deviation = max(1, a.deviation+deviationGain*(math.Abs(difference)-a.deviation))
	}
	a.updatedAt = now
}

// decay returns the weight that remains at an age. The decay is hyperbolic: that takes a division for each candidate, where
// an exponential takes a library call.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}
