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
	Compared time.Duration `json:",omitempty"` // part of Latency that is from tries whose usual latency is known
	Usual    time.Duration `json:",omitempty"` // sum of these tries' usual latency: what their requests get from any upstream
	Rate     *Rate         `json:",omitempty"` // nil if no reply has said anything new about the rate that the upstream takes
}

// Collector accumulates the reports of one VM. The zero value is empty.
type Collector struct {
	reports map[string]*Report
	news    bool // a report may change a rating for the worse
}

// maxLatencyFactor bounds the latency of a try to a multiple of what it usually takes, so that a VM that has lost its network cannot outvote
// the others.
const maxLatencyFactor = 10

// RecordFailure records a failed try. It is known if its silence was recorded before.
func (c *Collector) RecordFailure(service, upstream string, known bool) {
	c.news = true
	r := c.report(service, upstream)
	if !known {
		r.Tries++
	}
	r.Failures++
}

// RecordSilence records a try that has no reply yet at an age. Reported is the age at which it was recorded last, 0 for the first time.
func (c *Collector) RecordSilence(service, upstream string, age, reported, usual time.Duration) {
	c.news = true
	c.addLatency(c.report(service, upstream), age, reported, usual)
}

// RecordSuccess records a successful try of a request that usually takes the given time, 0 if that is unknown. Reported is the age at which
// its silence was recorded last, 0 if it was not.
func (c *Collector) RecordSuccess(service, upstream string, latency, reported, usual time.Duration) {
	c.news = c.news || reported > 0 || usual > 0 && latency >= usualFactor*usual
	c.addLatency(c.report(service, upstream), latency, reported, usual)
}

// RecordRate records what the last replies of an upstream declare.
func (c *Collector) RecordRate(service, upstream string, r Rate) {
	c.report(service, upstream).Rate = &r
}

// addLatency adds the part of a try's latency that was not reported yet, and the try itself if none of it was.
func (c *Collector) addLatency(r *Report, latency, reported, usual time.Duration) {
	if reported == 0 {
		r.Tries++
		r.Usual += usual
	}
	if usual == 0 {
		r.Latency += max(0, latency-reported)
		return
	}
	bound := maxLatencyFactor * usual
	added := max(0, min(latency, bound)-min(reported, bound))
	r.Latency += added
	r.Compared += added
}

// report returns the report of an upstream.
func (c *Collector) report(service, upstream string) *Report {
	if c.reports == nil {
		c.reports = map[string]*Report{}
	}
	r := c.reports[upstream]
	if r == nil {
		r = &Report{Service: service, Upstream: upstream}
		c.reports[upstream] = r
	}
	return r
}

// News reports whether there was a failure, a silence or a slow reply since the last call of TakeReports.
func (c *Collector) News() bool { return c.news }

// TakeReports removes and returns the reports, sorted by upstream.
func (c *Collector) TakeReports() []Report {
	all := make([]Report, 0, len(c.reports))
	for _, r := range c.reports {
		all = append(all, *r)
	}
	clear(c.reports)
	c.news = false
	slices.SortFunc(all, func(x, y Report) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return all
}
