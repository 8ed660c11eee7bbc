package reporter

import (
	"cmp"
	"slices"
	"time"
)

// Report holds the results of one VM's requests to an upstream since its last report. A try is an attempt that succeeded or failed;
// cancelled and shed attempts and rejected connections do not count.
type Report struct {
	Service  string
	Upstream string
	Tries    int
	Failures int           // tries that failed
	Latency  time.Duration // sum over the successful tries
}

// Collector accumulates the reports of one VM. The zero value is empty.
type Collector struct{ reports map[string]*Report }

// RecordFailure records a failed try.
func (c *Collector) RecordFailure(service, upstream string) { c.addTry(service, upstream).Failures++ }

// RecordSuccess records a successful try.
func (c *Collector) RecordSuccess(service, upstream string, latency time.Duration) {
	c.addTry(service, upstream).Latency += latency
}

// addTry adds a try to the report of an upstream and returns the report.
func (c *Collector) addTry(service, upstream string) *Report {
	if c.reports == nil {
		c.reports = map[string]*Report{}
	}
	r := c.reports[upstream]
	if r == nil {
		r = &Report{Service: service, Upstream: upstream}
		c.reports[upstream] = r
	}
	r.Tries++
	return r
}

// TakeReports removes and returns the reports, sorted by upstream.
func (c *Collector) TakeReports() []Report {
	all := make([]Report, 0, len(c.reports))
	for _, r := range c.reports {
		all = append(all, *r)
	}
	clear(c.reports)
	slices.SortFunc(all, func(x, y Report) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return all
}
