package measurer

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/reporter"
	"comfreyroute/core/state/tabler"
	"comfreyroute/entry/internal/looper"
)

const sampleCapacity = 4096

var droppedSamples = metrics.NewCounter("comfrey_report_dropped_total")

// Collector collects the counts of the burn-rate report. One goroutine owns them.
type Collector struct {
	VM string

	reporter reporter.Reporter
	samples  chan serviceSample
	inspect  chan func()
	quit     chan struct{}
	done     chan struct{}
}

type serviceSample struct {
	row    *tabler.ServiceRow
	sample reporter.Sample
}

// Start starts the goroutine.
func (c *Collector) Start() {
	c.samples = make(chan serviceSample, sampleCapacity)
	c.inspect = make(chan func(), 8)
	c.quit, c.done = make(chan struct{}), make(chan struct{})
	c.reporter.SetStartTime(time.Now())
	go c.run()
}

// Stop stops the goroutine.
func (c *Collector) Stop() { close(c.quit) }

// Done returns a channel that is closed when the goroutine has ended.
func (c *Collector) Done() <-chan struct{} { return c.done }

func (c *Collector) run() {
	defer close(c.done)
	for {
		select {
		case s := <-c.samples:
			c.reporter.RecordRequest(time.Now(), s.row, s.sample)
		case f := <-c.inspect:
			f()
		case <-c.quit:
			return
		}
	}
}

// RecordAnswer records an answer in the metrics and in the report. When the queue of samples is full, the sample is
// dropped and counted.
func (c *Collector) RecordAnswer(row *tabler.ServiceRow, kind string, latency time.Duration, a looper.Answer) {
	CountAnswer(row.Service, kind, latency, a)
	select {
	case c.samples <- serviceSample{row, newSample(latency, a)}:
	default:
		droppedSamples.Inc()
	}
}

func newSample(latency time.Duration, a looper.Answer) reporter.Sample {
	s := reporter.Sample{Latency: latency}
	var outcome encoder.Outcome
	if a.Search != nil {
		outcome, s.Covered, s.Shards = a.Search.Outcome, len(a.Search.Covered), a.Search.ShardsTotal
	} else {
		outcome, s.Covered, s.Shards = a.Point.Outcome, 1, 1
	}
	s.NotRun, s.Unknown = outcome == encoder.OutcomeNotRun, outcome == encoder.OutcomeUnknown
	return s
}

// Summary returns the counts of this VM. It returns false when the context ends or the collector stops.
func (c *Collector) Summary(ctx context.Context) (reporter.Summary, bool) {
	answer := make(chan reporter.Summary, 1)
	select {
	case c.inspect <- func() { answer <- c.reporter.Summarize(time.Now(), c.VM) }:
	case <-ctx.Done():
		return reporter.Summary{}, false
	case <-c.done:
		return reporter.Summary{}, false
	}
	select {
	case s := <-answer:
		return s, true
	case <-c.done:
		return reporter.Summary{}, false
	}
}
