package loader

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyroute/core/protocol/encoder"
)

// Range, in microseconds, and precision of the latency histograms.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// maxExamples is the maximum number of FailureExamples in a report.
const maxExamples = 10

// Report holds the results of one run or the sum of several runs. Its counts are of the measured time unless stated otherwise.
type Report struct {
	Sent                uint64 // requests in the measured time
	Answered            uint64 // requests answered as done or partial
	Whole               uint64 // answers as done, without a missing shard
	Refused             uint64 // requests answered as not run
	Unknown             uint64 // calls answered as unknown
	Failed              uint64 // requests that were not sent or got no answer that could be decoded
	Wrong               uint64 // wrong answers, warm-up included
	WithinObjective     uint64 // answers within the latency objective
	CoveredShards       uint64 // shards covered by the answers
	ReportedShards      uint64 // covered and missing shards of the answers
	NeededSubRequests   uint64 // sub-requests that the sent requests need, warm-up included, without requests answered as not run
	ReceivedSubRequests uint64 // sub-requests that the upstreams received, warm-up included; set by the caller of Run
	ShedSubRequests     uint64 // sub-requests that the upstreams shed, warm-up included; set by the caller of Run

	FailureExamples []string                              // texts of wrong answers and failures
	CallOutcomes    map[string]map[string]encoder.Outcome // by service and body; empty for a call that failed

	Latency *hdrhistogram.Histogram // of answers, in microseconds
	SendLag *hdrhistogram.Histogram // delay of the load generator behind the intended send times, in microseconds
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		CallOutcomes: make(map[string]map[string]encoder.Outcome),
		Latency:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
		SendLag:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Add adds the results of another report to r.
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
		r.addExample(e)
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

// addExample adds a text to FailureExamples, up to maxExamples.
func (r *Report) addExample(text string) {
	if len(r.FailureExamples) < maxExamples {
		r.FailureExamples = append(r.FailureExamples, text)
	}
}

// Quantile returns a latency quantile of the answers; q is between 0 and 100.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Coverage returns the share of the reported shards that are covered.
func (r *Report) Coverage() float64 { return ratio(r.CoveredShards, r.ReportedShards) }

// WholeShare returns the share of the sent requests with a whole answer.
func (r *Report) WholeShare() float64 { return ratio(r.Whole, r.Sent) }

// WithinObjectiveShare returns the share of the sent requests with an answer within the latency objective.
func (r *Report) WithinObjectiveShare() float64 { return ratio(r.WithinObjective, r.Sent) }

// ExtraLoad returns the sub-requests that the upstreams received in excess of the needed ones, as a share of the needed ones. It
// is 0 when none is needed.
func (r *Report) ExtraLoad() float64 {
	if r.NeededSubRequests == 0 {
		return 0
	}
	return ratio(r.ReceivedSubRequests, r.NeededSubRequests) - 1
}

// ratio returns a/b, or 0 when b is 0.
func ratio(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
