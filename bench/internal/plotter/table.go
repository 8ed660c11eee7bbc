package plotter

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/loader"
)

// Row is one run in a table.
type Row struct {
	Name   string
	Report *loader.Report
}

// column is one column of a table.
type column struct {
	name string
	get  func(r *loader.Report) string
}

var columns = []column{
	{"sent", count(func(r *loader.Report) uint64 { return r.Sent })},
	{"samples", count(func(r *loader.Report) uint64 { return uint64(r.Latency.TotalCount()) })},
	{"p50 ms", quantile(50)},
	{"p99 ms", quantile(99)},
	{"p99.9 ms", quantile(99.9)},
	{"within 72 ms", share((*loader.Report).WithinObjectiveShare)},
	{"coverage", share((*loader.Report).Coverage)},
	{"whole", share((*loader.Report).WholeShare)},
	{"refused", count(func(r *loader.Report) uint64 { return r.Refused })},
	{"unknown", count(func(r *loader.Report) uint64 { return r.Unknown })},
	{"failed", count(func(r *loader.Report) uint64 { return r.Failed })},
	{"wrong", count(func(r *loader.Report) uint64 { return r.Wrong })},
	{"extra load", share((*loader.Report).ExtraLoad)},
	{"shed", count(func(r *loader.Report) uint64 { return r.ShedSubRequests })},
	{"lag p99 ms", func(r *loader.Report) string { return milliseconds(r.SendLag.ValueAtQuantile(99)) }},
}

func count(f func(*loader.Report) uint64) func(*loader.Report) string {
	return func(r *loader.Report) string { return strconv.FormatUint(f(r), 10) }
}

func share(f func(*loader.Report) float64) func(*loader.Report) string {
	return func(r *loader.Report) string { return fmt.Sprintf("%.4f", f(r)) }
}

func quantile(q float64) func(*loader.Report) string {
	return func(r *loader.Report) string { return milliseconds(r.Latency.ValueAtQuantile(q)) }
}

func milliseconds(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

func cells(rows []Row) [][]string {
	header := []string{"run"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	all := [][]string{header}
	for _, r := range rows {
		line := []string{r.Name}
		for _, c := range columns {
			line = append(line, c.get(r.Report))
		}
		all = append(all, line)
	}
	return all
}

// WriteMarkdown writes a table. The lag column tells how far the load tool itself was behind the intended send times.
func WriteMarkdown(w io.Writer, rows []Row) error {
	all := cells(rows)
	for i, line := range all {
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(line, " | ")); err != nil {
			return eris.Wrap(err, "write table")
		}
		if i == 0 {
			if _, err := fmt.Fprintf(w, "|%s\n", strings.Repeat("---|", len(line))); err != nil {
				return eris.Wrap(err, "write table")
			}
		}
	}
	return nil
}

// WriteCSV writes a table as comma-separated values.
func WriteCSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	return eris.Wrap(c.WriteAll(cells(rows)), "write table")
}
