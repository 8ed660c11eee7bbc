package reporter

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/state/tabler"
)

// Burn rates at which a pair of windows counts as burning: at the fast rate a budget of 30 days is gone in about 2 days, at the
// slow rate in 5 days.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// Objectives of a service whose row sets none.
const (
	defaultLatencyShare  = 0.99
	defaultCoverageShare = 0.999
)

// Report is the burn report of the fleet.
type Report struct {
	Time        time.Time       `json:"time"`
	VMs         []VMReport      `json:"vms"`
	Unreachable []string        `json:"unreachable"`
	Services    []ServiceReport `json:"services"`
}

// VMReport tells how long a VM has been counting.
type VMReport struct {
	VM     string `json:"vm"`
	SeenMS int64  `json:"seen"`
}

// ServiceReport is the part of one service.
type ServiceReport struct {
	Service        string         `json:"service"`
	LatencyMS      float64        `json:"latency"`       // objective
	LatencyShare   float64        `json:"latencyshare"`  // objective
	CoverageShare  float64        `json:"coverageshare"` // objective
	Windows        []WindowReport `json:"windows"`
	LatencyBudget  float64        `json:"latencybudget"`  // share of the error budget of the longest window that is left, may be negative
	CoverageBudget float64        `json:"coveragebudget"` // likewise
	Alert          string         `json:"alert,omitempty"`
	Points         []PointReport  `json:"points"`
	objective      tabler.Objective
}

// WindowReport is one window of a service.
type WindowReport struct {
	SpanMS       int64   `json:"span"`
	Seen         float64 `json:"seen"` // share of the window that the answering VMs have counted, averaged
	Counts       Counts  `json:"counts"`
	LatencyBurn  float64 `json:"latencyburn"`
	CoverageBurn float64 `json:"coverageburn"`
}

// PointReport is one point of the history.
type PointReport struct {
	LatencyBurn  float64 `json:"latencyburn"`
	CoverageBurn float64 `json:"coverageburn"`
	Requests     uint64  `json:"requests"`
}

// MergeSummaries joins the summaries of several VMs with the objectives of the table.
func MergeSummaries(now time.Time, table *tabler.Snapshot, summaries []Summary, unreachable []string) Report {
	out := Report{Time: now, Unreachable: slices.Sorted(slices.Values(unreachable))}
	services := map[string]*ServiceReport{}
	for _, s := range summaries {
		out.VMs = append(out.VMs, VMReport{VM: s.VM, SeenMS: s.SeenMS})
		for _, row := range s.Services {
			r := services[row.Service]
			if r == nil {
				r = newServiceReport(row.Service, table)
				services[row.Service] = r
			}
			r.add(row)
		}
	}
	slices.SortFunc(out.VMs, func(a, b VMReport) int { return cmp.Compare(a.VM, b.VM) })
	for _, r := range services {
		r.finish(summaries)
		out.Services = append(out.Services, *r)
	}
	slices.SortFunc(out.Services, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func newServiceReport(service string, table *tabler.Snapshot) *ServiceReport {
	row := tabler.ServiceRow{Service: service}
	if v := table.FindService(service); v != nil {
		row = v.Service
	}
	o := row.Objective
	o.Latency = latencyObjective(&row)
	if o.LatencyShare == 0 {
		o.LatencyShare = defaultLatencyShare
	}
	if o.CoverageShare == 0 {
		o.CoverageShare = defaultCoverageShare
	}
	r := &ServiceReport{
		Service: service, LatencyMS: float64(o.Latency) / float64(time.Millisecond),
		LatencyShare: o.LatencyShare, CoverageShare: o.CoverageShare, objective: o,
	}
	for _, w := range Windows {
		r.Windows = append(r.Windows, WindowReport{SpanMS: w.Milliseconds()})
	}
	r.Points = make([]PointReport, points)
	return r
}

// add adds the counts of one VM. Burn rates of points are kept as weighted sums until finish.
func (r *ServiceReport) add(s ServiceSummary) {
	for i := range min(len(r.Windows), len(s.Windows)) {
		r.Windows[i].Counts = r.Windows[i].Counts.Add(s.Windows[i])
	}
	for i := range min(len(r.Points), len(s.Points)) {
		c, p := s.Points[i], &r.Points[i]
		p.LatencyBurn += float64(c.Requests) * latencyBurn(c, r.objective)
		p.CoverageBurn += float64(c.Requests) * coverageBurn(c, r.objective)
		p.Requests += c.Requests
	}
}

func (r *ServiceReport) finish(summaries []Summary) {
	for i := range r.Windows {
		w := &r.Windows[i]
		w.LatencyBurn = latencyBurn(w.Counts, r.objective)
		w.CoverageBurn = coverageBurn(w.Counts, r.objective)
		for _, s := range summaries {
			w.Seen += min(1, float64(s.SeenMS)/float64(w.SpanMS)) / float64(len(summaries))
		}
	}
	for i := range r.Points {
		if p := &r.Points[i]; p.Requests > 0 {
			p.LatencyBurn /= float64(p.Requests)
			p.CoverageBurn /= float64(p.Requests)
		}
	}
	longest := r.Windows[len(r.Windows)-1]
	r.LatencyBudget = 1 - longest.LatencyBurn
	r.CoverageBudget = 1 - longest.CoverageBurn
	r.Alert = r.alert()
}

// alert names the fastest burn that both windows of a pair show.
func (r *ServiceReport) alert() string {
	burning := func(short, long int, rate float64) bool {
		a, b := r.Windows[short], r.Windows[long]
		return a.LatencyBurn >= rate && b.LatencyBurn >= rate || a.CoverageBurn >= rate && b.CoverageBurn >= rate
	}
	switch {
	case burning(0, 1, fastBurn):
		return "fast"
	case burning(2, 3, slowBurn):
		return "slow"
	default:
		return ""
	}
}

// burn returns the share of bad events in relation to the share that the objective allows; 1 uses up the budget exactly.
func burn(bad, all uint64, objective float64) float64 {
	if all == 0 {
		return 0
	}
	const leastAllowed = 1e-9 // an objective of 1 allows nothing
	return float64(bad) / float64(all) / max(1-objective, leastAllowed)
}

// latencyBurn counts a refused request and a call with unknown outcome as late: its caller got no answer in time.
func latencyBurn(c Counts, o tabler.Objective) float64 {
	return burn(c.Requests-c.InTime, c.Requests, o.LatencyShare)
}

func coverageBurn(c Counts, o tabler.Objective) float64 {
	return burn(c.Answers-c.Whole, c.Answers, o.CoverageShare)
}
