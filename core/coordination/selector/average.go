package selector

import (
	"math"
	"time"
)

const (
	// latencyGain and deviationGain are the weights of one reply in the mean latency and its mean deviation.
	latencyGain   = 0.2
	deviationGain = 0.1
	// latencyHalfLife halves the difference between an upstream's latency and that of its service while it gets no
	// replies. Without it, an upstream that was slow once would never be chosen again.
	latencyHalfLife = 8 * time.Second
	// errorGain is the weight of one result in the share of errors.
	errorGain = 0.2
	// errorHalfLife halves the share of errors while there are no results.
	errorHalfLife = 3 * time.Second
	// reportedHalfLife halves the weight of what other VMs reported. They report each second while it lasts.
	reportedHalfLife = 2 * time.Second
)

// average is a moving average of latencies with its mean deviation.
type average struct {
	mean      float64 // ns; 0 without a sample
	deviation float64 // ns
	at        time.Time
}

func (a *average) add(now time.Time, d time.Duration) {
	x := max(1, float64(d))
	if a.mean == 0 {
		a.mean, a.deviation = x, x/2
	} else {
		difference := x - a.mean
		a.mean += latencyGain * difference
		// The floor of 1 ns keeps a constant latency from driving the deviation into denormal numbers, which are slow.
		a.deviation = max(1, a.deviation+deviationGain*(math.Abs(difference)-a.deviation))
	}
	a.at = now
}

// decay returns the weight that remains at an age. It falls hyperbolically, which costs a division where an exponential
// costs a library call for each candidate.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}
