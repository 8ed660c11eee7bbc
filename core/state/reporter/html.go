package reporter

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Size of a plot in pixels, and the burn rate at the top edge.
const (
	plotWidth  = 720
	plotHeight = 120
	plotTop    = 20.0
)

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"span": spanName, "share": formatShare, "line": polylinePoints, "percent": func(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) },
	"ceiling": func() float64 { return plotTop }, "height": func(rate float64) float64 { return plotHeight * (1 - rate/plotTop) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;width:100%}th,td{text-align:right;padding:.25rem .6rem;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}.alert{color:#a00;font-weight:600}svg{background:#fafafa;border:1px solid #ddd}
.latency{stroke:#1f5fa8}.coverage{stroke:#c0561a}.limit{stroke:#999;stroke-dasharray:4 4}.legend{font-size:13px;color:#555}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.Time.UTC.Format "2006-01-02 15:04:05 UTC"}}. A burn rate of 1 uses up the error budget exactly.</p>
{{range .Unreachable}}<p class="alert">{{.}} could not be reached; its requests are not in this report.</p>{{end}}
{{range .Services}}<h2>{{.Service}}</h2>
{{if .Alert}}<p class="alert">The error budget burns {{if eq .Alert "fast"}}fast: act now{{else}}slowly: act today{{end}}.</p>{{end}}
<p>Objectives: {{percent .LatencyShare}} of requests answered within {{.LatencyMS}} ms, {{percent .CoverageShare}} of answers whole.
Error budget left in the last 6 hours: latency {{percent .LatencyBudget}}, coverage {{percent .CoverageBudget}}.</p>
<table><tr><th>Window</th><th>Seen</th><th>Requests</th><th>In time</th><th>Whole</th><th>Not run</th><th>Unknown</th><th>Latency burn</th><th>Coverage burn</th></tr>
{{range .Windows}}<tr><td>{{span .SpanMS}}</td><td>{{percent .Seen}}</td><td>{{.Counts.Requests}}</td><td>{{share .Counts.InTime .Counts.Requests}}</td>
<td>{{share .Counts.Whole .Counts.Answers}}</td><td>{{.Counts.NotRun}}</td><td>{{.Counts.Unknown}}</td><td>{{printf "%.2f" .LatencyBurn}}</td><td>{{printf "%.2f" .CoverageBurn}}</td></tr>{{end}}</table>
<svg viewBox="0 0 720 120" width="720" height="120" role="img" aria-label="Burn rates of the last 6 hours">
<line class="limit" x1="0" x2="720" y1="{{height 1}}" y2="{{height 1}}"/>
<polyline class="latency" fill="none" stroke-width="1.5" points="{{line .Points "latency"}}"/>
<polyline class="coverage" fill="none" stroke-width="1.5" points="{{line .Points "coverage"}}"/></svg>
<p class="legend">Last 6 hours, 5 minutes a point, 0 to {{ceiling}}; blue: latency burn, orange: coverage burn, dashed: 1.</p>{{end}}
<h2>Sources</h2><ul>{{range .VMs}}<li>{{.VM}} has counted for {{.SeenMS}} ms</li>{{end}}</ul>
</body></html>
`))

// WriteHTML writes the report as one HTML page without scripts or external files.
func (r Report) WriteHTML(w io.Writer) error { return page.Execute(w, r) }

// polylinePoints returns the points attribute of a polyline. Burn rates above plotTop are drawn at the top edge.
func polylinePoints(points []PointReport, kind string) string {
	var b strings.Builder
	for i, p := range points {
		rate := p.LatencyBurn
		if kind == "coverage" {
			rate = p.CoverageBurn
		}
		x := float64(i) * plotWidth / float64(max(len(points)-1, 1))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, plotHeight*(1-min(rate, plotTop)/plotTop))
	}
	return strings.TrimSpace(b.String())
}
