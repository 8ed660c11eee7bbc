package plotter

import (
	"bytes"
	"encoding/csv"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/bench/internal/loader"
)

// TestTables guards against a value in the wrong column, and against a plot that fails for a run without answers.
func TestTables(t *testing.T) {
	r := loader.NewReport()
	r.Sent, r.Answered, r.Whole, r.WithinObjective, r.CoveredShards, r.ReportedShards = 4, 3, 2, 1, 9, 12
	r.Refused, r.Unknown, r.Failed, r.Wrong, r.NeededSubRequests, r.ReceivedSubRequests, r.ShedSubRequests = 5, 6, 7, 8, 100, 104, 11
	for _, v := range []int64{1000, 2000, 3000} {
		if err := r.Latency.RecordValue(v); err != nil {
			t.Fatal(err)
		}
	}
	rows := []Row{{"default", r}, {"empty", loader.NewReport()}}
	var values, table bytes.Buffer
	if err := WriteCSV(&values, rows); err != nil {
		t.Fatal(err)
	}
	lines, err := csv.NewReader(&values).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for i, name := range lines[0] {
		got[name] = lines[1][i]
	}
	want := map[string]string{
		"run": "default", "sent": "4", "samples": "3", "p50 ms": "2.00", "p99 ms": "3.00", "p99.9 ms": "3.00", "within 72 ms": "0.2500",
		"coverage": "0.7500", "whole": "0.5000", "refused": "5", "unknown": "6", "failed": "7", "wrong": "8", "extra load": "0.0400",
		"shed": "11", "lag p99 ms": "0.00",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("CSV (-want +got):\n%s", diff)
	}
	if err := WriteMarkdown(&table, rows); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(table.String(), "\n"); got != 4 {
		t.Errorf("%d lines of Markdown, want 4", got)
	}
	path := filepath.Join(t.TempDir(), "latency.png")
	if err := PlotQuantiles(path, "test", rows); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(bytes.NewReader(data)); err != nil {
		t.Error(err)
	}
}
