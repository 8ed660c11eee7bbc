package reporter

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/state/tabler"
)

// Burn rates that raise an alert when both windows of a pair reach them. At the fast rate an error budget of 30 days is used up
// in about 2 days, at the slow rate in 5 days.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// Default objectives of a service whose row sets none.
const (
	defaultLatencyShare  = 0.99
	defaultCoverageShare = 0.999
)

// Report is the burn rate report of the fleet.
type Report struct {
	Time        time.Time       `json:"time"`
	VMs         []VMReport      `json:"vms"`
	Unreachable []string        `json:"unreachable"`
	Services    []ServiceReport `json:"services"`
}

// VMReport is the time for which a VM has counted requests.
type VMReport struct {
	VM     string `json:"vm"`
	SeenMS int64  `json:"seen"`
}

// ServiceReport is the report of one service.
type ServiceReport struct {
	Service        string         `json:"service"`
	LatencyMS      float64        `json:"latency"`       // objective
	LatencyShare   float64        `json:"latencyshare"`  // objective
	CoverageShare  float64        `json:"coverageshare"` // objective
	Windows        []WindowReport `json:"windows"`
	LatencyBudget  float64        `json:"latencybudget"`  // remaining share of the error budget of the longest window, negative when overspent
	CoverageBudget float64        `json:"coveragebudget"` // as LatencyBudget
	Alert          string         `json:"alert,omitempty"`
	Points         []PointReport  `json:"points"`
	objective      tabler.Objective
}

// WindowReport is one window of a service.
type WindowReport struct {
	SpanMS       int64   `json:"span"`
	Seen         float64 `json:"seen"` // share of the window in which VMs have counted, averaged over the VMs that answered
	Counts       Counts  `json:"counts"`
	LatencyBurn  float64 `json:"latencyburn"`
	CoverageBurn float64 `json:"coverageburn"`
}

// PointReport is one point of the burn rate history.
type PointReport struct {
	LatencyBurn  float64 `json:"latencyburn"`
	CoverageBurn float64 `json:"coverageburn"`
	Requests     uint64  `json:"requests"`
}

// MergeSummaries returns the report of the fleet from the summaries of its VMs and the objectives in the table.
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
			r.addCounts(row)
		}
	}
	slices.SortFunc(out.VMs, func(a, b VMReport) int { return cmp.Compare(a.VM, b.VM) })
	for _, r := range services {
		r.computeRates(summaries)
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

// addCounts adds the counts of one VM. Until computeRates, the burn rates of points are sums weighted by requests.
func (r *ServiceReport) addCounts(s ServiceSummary) {
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

// computeRates sets the burn rates, the remaining error budgets and the alert from the added counts.
func (r *ServiceReport) computeRates(summaries []Summary) {
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

// alert returns the more urgent alert, "fast" before "slow", whose burn rate both windows of its pair reach for the same
// objective, or "".
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

// burn returns the share of bad events divided by the share that the objective allows. A rate of 1 uses up the error budget
// exactly.
func burn(bad, all uint64, objective float64) float64 {
	if all == 0 {
		return 0
	}
	const minAllowed = 1e-9 // avoids a division by zero for an objective of 1, which allows no bad event
	return float64(bad) / float64(all) / max(1-objective, minAllowed)
}

// latencyBurn returns the burn rate of the latency objective. A refused request and a call with unknown outcome count as late,
// because their callers got no answer in time.
func latencyBurn(c Counts, o tabler.Objective) float64 {
	return burn(c.Requests-c.InTime, c.Requests, o.LatencyShare)
}

// coverageBurn returns the burn rate of the coverage objective, among answered requests only.
func coverageBurn(c Counts, o tabler.Objective) float64 {
	return burn(c.Answers-c.Whole, c.Answers, o.CoverageShare)
}
