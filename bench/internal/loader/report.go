package loader

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyroute/core/protocol/encoder"
)

// Bounds of the latency histograms, in microseconds.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
)

// maxExamples bounds the texts of wrong answers and failures in a report.
const maxExamples = 10

// Report is the outcome of one run, or of several runs added up.
type Report struct {
	Sent                uint64 // in the measured time
	Answered            uint64 // done or partial
	Whole               uint64 // answers without a missing shard
	Refused             uint64 // not run
	Unknown             uint64 // calls with unknown outcome
	Failed              uint64 // no answer that could be decoded
	Wrong               uint64
	WithinObjective     uint64 // answers within the objective
	CoveredShards       uint64 // shards
	ReportedShards      uint64 // covered and missing shards
	NeededSubRequests   uint64 // sub-requests that all sent requests need, warm-up included, without refused ones
	ReceivedSubRequests uint64 // sub-requests that the upstreams received, warm-up included
	ShedSubRequests     uint64 // those that the upstreams shed

	FailureExamples []string // of wrong answers and failures
	CallOutcomes    map[string]map[string]encoder.Outcome

	Latency *hdrhistogram.Histogram // of answers, in microseconds
	SendLag *hdrhistogram.Histogram // of the load tool behind the intended send time, in microseconds
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		CallOutcomes: make(map[string]map[string]encoder.Outcome),
		Latency:      hdrhistogram.New(lowest, highest, digits),
		SendLag:      hdrhistogram.New(lowest, highest, digits),
	}
}

// Add adds another report.
func (r *Report) Add(o *Report) {
	r.Sent += o.Sent
	r.Answered += o.Answered
	r.Whole += o.Whole
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.Failed += o.Failed
	r.Wrong += o.Wrong
	r.WithinObjective += o.WithinObjective
	r.CoveredShards += o.CoveredShards
	r.ReportedShards += o.ReportedShards
	r.NeededSubRequests += o.NeededSubRequests
	r.ReceivedSubRequests += o.ReceivedSubRequests
	r.ShedSubRequests += o.ShedSubRequests
	for _, e := range o.FailureExamples {
		r.example(e)
	}
	for s, m := range o.CallOutcomes {
		if r.CallOutcomes[s] == nil {
			r.CallOutcomes[s] = make(map[string]encoder.Outcome)
		}
		maps.Copy(r.CallOutcomes[s], m)
	}
	r.Latency.Merge(o.Latency)
	r.SendLag.Merge(o.SendLag)
}

func (r *Report) example(text string) {
	if len(r.FailureExamples) < maxExamples {
		r.FailureExamples = append(r.FailureExamples, text)
	}
}

// Quantile returns a latency quantile of the answers; q is between 0 and 100.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Coverage returns the covered shards per reported shard.
func (r *Report) Coverage() float64 { return ratio(r.CoveredShards, r.ReportedShards) }

// WholeShare returns the whole answers per sent request.
func (r *Report) WholeShare() float64 { return ratio(r.Whole, r.Sent) }

// WithinObjectiveShare returns the answers within the objective per sent request.
func (r *Report) WithinObjectiveShare() float64 { return ratio(r.WithinObjective, r.Sent) }

// ExtraLoad returns the sub-requests that upstreams received per needed one, less 1.
func (r *Report) ExtraLoad() float64 {
	if r.NeededSubRequests == 0 {
		return 0
	}
	return ratio(r.ReceivedSubRequests, r.NeededSubRequests) - 1
}

func ratio(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
