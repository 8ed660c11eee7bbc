package receiver

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

//go:generate stringer -type=Outcome -linecomment -output=strings.go

// Outcome says how a request ended, for logs and metrics.
type Outcome int

// The outcomes.
const (
	Whole          Outcome = iota // whole
	Partial                       // partial
	Rejected                      // rejected
	Failed                        // failed
	UpstreamFailed                // upstream_failed
)

// Metrics are the counters and latencies of a receiver.
type Metrics struct {
	answers        []*metrics.Counter
	latency        []*metrics.Histogram
	rejectedBodies *metrics.Counter
	callersGone    *metrics.Counter
}

func (m *Metrics) observe(o Outcome, took time.Duration) {
	m.answers[o].Inc()
	m.latency[o].Update(took.Seconds())
}
