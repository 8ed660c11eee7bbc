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

// Book collects the reports of one VM. The zero value is empty.
type Book struct{ reports map[string]*Report }

// Failed records an attempt that failed.
func (b *Book) Failed(service, upstream string) { b.find(service, upstream).Failures++ }

// Succeeded records an attempt that succeeded.
func (b *Book) Succeeded(service, upstream string, latency time.Duration) {
	b.find(service, upstream).Latency += latency
}

// find returns the report of an upstream, with one more try.
func (b *Book) find(service, upstream string) *Report {
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

// Take returns the reports by upstream, and empties the book.
func (b *Book) Take() []Report {
	all := make([]Report, 0, len(b.reports))
	for _, r := range b.reports {
		all = append(all, *r)
	}
	clear(b.reports)
	slices.SortFunc(all, func(x, y Report) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return all
}
