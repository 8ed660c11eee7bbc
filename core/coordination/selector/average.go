package selector

import "time"

const (
	// deviationGain is the weight of one reply in the mean deviation.
	deviationGain = 0.1
	// latencyHalfLife halves the difference between an upstream's latency and that of its service while it gets no
	// replies. Without it, an upstream that was slow once would never be chosen again.
	latencyHalfLife = 2 * time.Second
	// errorHalfLife halves the share of errors while there are no results.
	errorHalfLife = time.Second
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
		a.deviation += deviationGain * (max(difference, -difference) - a.deviation)
	}
	a.at = now
}
