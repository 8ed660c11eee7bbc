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

// Row is the results of one run in a table.
type Row struct {
	Name   string
	Report *loader.Report
}

// column is a column of a table.
type column struct {
	name   string
	format func(r *loader.Report) string
}

var columns = []column{
	{"sent", countOf(func(r *loader.Report) uint64 { return r.Sent })},
	{"samples", countOf(func(r *loader.Report) uint64 { return uint64(r.Latency.TotalCount()) })},
	{"p50 ms", latencyQuantile(50)},
	{"p99 ms", latencyQuantile(99)},
	{"p99.9 ms", latencyQuantile(99.9)},
	{"within 72 ms", shareOf((*loader.Report).WithinObjectiveShare)},
	{"coverage", shareOf((*loader.Report).Coverage)},
	{"whole", shareOf((*loader.Report).WholeShare)},
	{"refused", countOf(func(r *loader.Report) uint64 { return r.Refused })},
	{"unknown", countOf(func(r *loader.Report) uint64 { return r.Unknown })},
	{"failed", countOf(func(r *loader.Report) uint64 { return r.Failed })},
	{"wrong", countOf(func(r *loader.Report) uint64 { return r.Wrong })},
	{"extra load", shareOf((*loader.Report).ExtraLoad)},
	{"shed", countOf(func(r *loader.Report) uint64 { return r.ShedSubRequests })},
	{"lag p99 ms", func(r *loader.Report) string { return milliseconds(r.SendLag.ValueAtQuantile(99)) }},
}

func countOf(f func(*loader.Report) uint64) func(*loader.Report) string {
	return func(r *loader.Report) string { return strconv.FormatUint(f(r), 10) }
}

func shareOf(f func(*loader.Report) float64) func(*loader.Report) string {
	return func(r *loader.Report) string { return fmt.Sprintf("%.4f", f(r)) }
}

func latencyQuantile(q float64) func(*loader.Report) string {
	return func(r *loader.Report) string { return milliseconds(r.Latency.ValueAtQuantile(q)) }
}

func milliseconds(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

// tableLines returns the header and a line of cells for each row.
func tableLines(rows []Row) [][]string {
	header := []string{"run"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	all := [][]string{header}
	for _, r := range rows {
		line := []string{r.Name}
		for _, c := range columns {
			line = append(line, c.format(r.Report))
		}
		all = append(all, line)
	}
	return all
}

// WriteMarkdown writes a Markdown table. The lag column shows how far the load generator was behind the intended send times.
func WriteMarkdown(w io.Writer, rows []Row) error {
	all := tableLines(rows)
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
	return eris.Wrap(c.WriteAll(tableLines(rows)), "write table")
}
