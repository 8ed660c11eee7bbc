package receiver

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

//go:generate stringer -type=Outcome -linecomment -output=strings.go

// Outcome is the result of a request in logs and metrics.
type Outcome int

// The outcomes. Whole covers every shard or is the reply of a single upstream, Partial lacks shards, Rejected was not run by any
// upstream, Failed has no usable reply although the request may have run, and UpstreamFailed is a server error of the upstream.
const (
	Whole          Outcome = iota // whole
	Partial                       // partial
	Rejected                      // rejected
	Failed                        // failed
	UpstreamFailed                // upstream_failed
)

// Metrics holds the counters and latency histograms of a receiver. The slices are indexed by Outcome.
type Metrics struct {
	answers        []*metrics.Counter
	latency        []*metrics.Histogram
	rejectedBodies *metrics.Counter
	callersGone    *metrics.Counter
}

func (m *Metrics) observe(o Outcome, elapsed time.Duration) {
	m.answers[o].Inc()
	m.latency[o].Update(elapsed.Seconds())
}
