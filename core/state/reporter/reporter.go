package reporter

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/state/tabler"
)

// Reporter counts the requests of one VM. The zero value is ready to use. A Reporter is not safe for concurrent use.
type Reporter struct {
	started time.Time
	series  []*series // sorted by name
}

// RecordRequest counts one ended request of a service. It ignores services beyond the first maxServices.
func (r *Reporter) RecordRequest(now time.Time, row *tabler.ServiceRow, s Sample) {
	if r.started.IsZero() {
		r.started = now
	}
	i, ok := slices.BinarySearchFunc(r.series, row.Service, func(s *series, name string) int { return cmp.Compare(s.name, name) })
	if !ok {
		if len(r.series) >= maxServices {
			return
		}
		r.series = slices.Insert(r.series, i, &series{name: row.Service})
	}
	if c := r.series[i].bucketAt(now); c != nil {
		*c = c.Add(s.counts(latencyObjective(row)))
	}
}

// SetStartTime sets the time from which the VM has counted requests. Without it, the first recorded request sets the time.
func (r *Reporter) SetStartTime(now time.Time) { r.started = now }

func latencyObjective(row *tabler.ServiceRow) time.Duration {
	switch {
	case row.Objective.Latency > 0:
		return row.Objective.Latency
	case row.Deadline > 0:
		return row.Deadline
	default:
		return tabler.DefaultDeadline
	}
}

// Summary holds the counts of one VM for a report of the fleet.
type Summary struct {
	VM       string           `json:"vm"`
	SeenMS   int64            `json:"seen"` // time for which the VM has counted, in ms
	Services []ServiceSummary `json:"services"`
}

// ServiceSummary holds the counts of one service in each of Windows, and its history in points of 5 minutes, oldest first.
type ServiceSummary struct {
	Service string   `json:"service"`
	Windows []Counts `json:"windows"`
	Points  []Counts `json:"points"`
}

// Summarize returns the counts of this VM up to now.
func (r *Reporter) Summarize(now time.Time, vm string) Summary {
	out := Summary{VM: vm}
	if !r.started.IsZero() {
		out.SeenMS = now.Sub(r.started).Milliseconds()
	}
	for _, s := range r.series {
		row := ServiceSummary{Service: s.name}
		for _, w := range Windows {
			row.Windows = append(row.Windows, s.sum(now, w))
		}
		for i := points - 1; i >= 0; i-- {
			row.Points = append(row.Points, s.sum(now.Add(-time.Duration(i)*pointLength), pointLength))
		}
		out.Services = append(out.Services, row)
	}
	return out
}
