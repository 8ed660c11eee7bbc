package forwarder

import "time"

const (
	// patienceWindow is the length of a window of patience. The last one and the current one count.
	patienceWindow = 30 * time.Second
	// minPatienceSamples is the fewest deadlines from which patience is known.
	minPatienceSamples = 8
)

// patience tracks how long the callers of a route wait for an answer, all tries together. The zero value knows nothing yet.
//
// It answers callers who come back after a failed try, or had to open a connection first: they have waited already, and their latency target does
// not start anew. A deadline tells only what is left, so that the longest one seen lately stands for what callers have at first.
type patience struct {
	longest    [2]time.Duration // in the current window and the one before it
	samples    [2]int
	windowEnds time.Time
}

// record records the time that a caller has left on arrival.
func (p *patience) record(now time.Time, left time.Duration) {
	if !now.Before(p.windowEnds) {
		p.longest[1], p.samples[1] = p.longest[0], p.samples[0]
		if now.Sub(p.windowEnds) >= patienceWindow {
			p.longest[1], p.samples[1] = 0, 0
		}
		p.longest[0], p.samples[0] = 0, 0
		p.windowEnds = now.Add(patienceWindow)
	}
	p.longest[0] = max(p.longest[0], left)
	p.samples[0]++
}

// spent returns how long a caller with so much time left has waited before. While too few deadlines are known, callers are taken to have the timeout
// of the route at first, which bounds the time in any case.
func (p *patience) spent(left, timeout time.Duration) time.Duration {
	whole := timeout
	if p.samples[0]+p.samples[1] >= minPatienceSamples {
		whole = min(timeout, max(p.longest[0], p.longest[1]))
	}
	return max(0, whole-left)
}
