package reporter

import (
	"cmp"
	"slices"
	"time"
)

// Report is what one VM saw of an upstream since its last report.
type Report struct {
	Service  string
	Upstream string
	Tries    int
	Failures int           // of the tries
	Latency  time.Duration // sum over the tries that succeeded
}

// Collector collects the reports of one VM. The zero value is empty.
type Collector struct{ reports map[string]*Report }

// RecordFailure records an attempt that failed.
func (b *Collector) RecordFailure(service, upstream string) { b.find(service, upstream).Failures++ }

// RecordSuccess records an attempt that succeeded.
func (b *Collector) RecordSuccess(service, upstream string, latency time.Duration) {
	b.find(service, upstream).Latency += latency
}

// find returns the report of an upstream, with one more try.
func (b *Collector) find(service, upstream string) *Report {
	if b.reports == nil {
		b.reports = map[string]*Report{}
	}
	r := b.reports[upstream]
	if r == nil {
		r = &Report{Service: service, Upstream: upstream}
		b.reports[upstream] = r
	}
	r.Tries++
	return r
}

// TakeReports returns the reports by upstream, and empties the book.
func (b *Collector) TakeReports() []Report {
	all := make([]Report, 0, len(b.reports))
	for _, r := range b.reports {
		all = append(all, *r)
	}
	clear(b.reports)
	slices.SortFunc(all, func(x, y Report) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return all
}
