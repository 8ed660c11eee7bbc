package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a table for terminals.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tOBJECTIVE\tWINDOW\tSEEN\tREQUESTS\tIN TIME\tWHOLE\tLATENCY BURN\tCOVERAGE BURN\tBUDGET LEFT\tALERT")
	for _, s := range r.Services {
		for i, x := range s.Windows {
			name, objective, budget, alert := "", "", "", ""
			if i == 0 {
				name = s.Service
				objective = fmt.Sprintf("%.4g%% in %.4g ms, %.4g%% whole", 100*s.LatencyShare, s.LatencyMS, 100*s.CoverageShare)
				budget = fmt.Sprintf("latency %.1f%%, coverage %.1f%%", 100*s.LatencyBudget, 100*s.CoverageBudget)
				alert = s.Alert
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.0f%%\t%d\t%s\t%s\t%.2f\t%.2f\t%s\t%s\n", name, objective, spanName(x.SpanMS), 100*x.Seen,
				x.Counts.Requests, formatShare(x.Counts.InTime, x.Counts.Requests), formatShare(x.Counts.Whole, x.Counts.Answers),
				x.LatencyBurn, x.CoverageBurn, budget, alert)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.sources())
	return err
}

// sources returns one line for each VM: how long it has counted, or that it could not be reached.
func (r Report) sources() string {
	var b strings.Builder
	for _, v := range r.VMs {
		fmt.Fprintf(&b, "%s has counted for %s.\n", v.VM, (time.Duration(v.SeenMS) * time.Millisecond).Round(time.Second))
	}
	for _, v := range r.Unreachable {
		fmt.Fprintf(&b, "%s could not be reached; its requests are not in this report.\n", v)
	}
	return b.String()
}

func spanName(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// formatShare formats n as a percentage of all.
func formatShare(n, all uint64) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f%%", 100*float64(n)/float64(all))
}
