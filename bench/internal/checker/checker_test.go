package checker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/indexer"
)

func deployment(t testing.TB) *describer.Deployment {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "deployments", "quickstart.ini"))
	if err != nil {
		t.Fatal(err)
	}
	d, err := describer.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// answer returns a correct answer in which shard 3 of 16 is missing.
func answer(query string) *encoder.SearchAnswer {
	a := &encoder.SearchAnswer{Outcome: encoder.OutcomePartial, Snapshot: 1, Layout: "l1", ShardsTotal: 16}
	for s := range 16 {
		if s == 3 {
			a.Missing = append(a.Missing, encoder.MissingShard{Shard: s})
			continue
		}
		a.Covered = append(a.Covered, s)
		a.Results = append(a.Results, encoder.ShardResult{Shard: s, Items: indexer.Items("catalog", 1, "l1", s, query)})
	}
	return a
}

// TestCheckSearch guards against a wrong answer that is accepted, and against a correct answer that is reported as wrong.
func TestCheckSearch(t *testing.T) {
	full := 0 // a shard with results
	for len(indexer.Items("catalog", 1, "l1", full, "q")) == 0 {
		full++
	}
	cases := []struct {
		name   string
		change func(a *encoder.SearchAnswer)
		want   string // substring of the fault; empty for a correct answer
	}{
		{"correct", func(*encoder.SearchAnswer) {}, ""},
		{"no upstream replied", func(a *encoder.SearchAnswer) { *a = encoder.SearchAnswer{Outcome: encoder.OutcomePartial} }, ""},
		{"unknown snapshot", func(a *encoder.SearchAnswer) { a.Snapshot = 2 }, "not an index version"},
		{"other layout", func(a *encoder.SearchAnswer) { a.Layout = "l2" }, "has layout"},
		{"done with a missing shard", func(a *encoder.SearchAnswer) { a.Outcome = encoder.OutcomeDone }, "outcome done"},
		{"shard not reported", func(a *encoder.SearchAnswer) { a.Missing = nil }, "shard 3 is reported 0 times"},
		{"shard covered and missing", func(a *encoder.SearchAnswer) { a.Covered = append(a.Covered, 3) }, "shard 3 is reported 2 times"},
		{"shard outside the layout", func(a *encoder.SearchAnswer) { a.Covered = append(a.Covered, 16) }, "outside"},
		{"two results of a shard", func(a *encoder.SearchAnswer) { a.Results = append(a.Results, a.Results[0]) }, "two results"},
		{"result of a missing shard", func(a *encoder.SearchAnswer) { a.Results = append(a.Results, encoder.ShardResult{Shard: 3}) }, "not covered"},
		{"missing result", func(a *encoder.SearchAnswer) { a.Results[full].Items = nil }, "want"},
		{"results of another query", func(a *encoder.SearchAnswer) { a.Results = answer("other").Results }, "want"},
		{"result of another version", func(a *encoder.SearchAnswer) { a.Results[full].Items = indexer.Items("catalog", 2, "l1", full, "q") }, "want"},
	}
	check := New(deployment(t))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := answer("q")
			c.change(a)
			got := check.CheckSearch("catalog", "q", a)
			if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
				t.Errorf("fault %q, want %q", got, c.want)
			}
		})
	}
}

// TestCheckExecutions guards against a call whose executions contradict its outcome without being reported.
func TestCheckExecutions(t *testing.T) {
	executed := map[string]int{"a": 1, "b": 2, "c": 1, "e": 1}
	outcomes := map[string]encoder.Outcome{
		"a": encoder.OutcomeDone, "b": encoder.OutcomeUnknown, "c": encoder.OutcomeNotRun, "d": encoder.OutcomeDone,
		"e": encoder.OutcomeUnknown, "f": encoder.OutcomeUnknown, "g": encoder.OutcomeNotRun,
	}
	want := []string{"call b ran 2 times", "call c was answered as not run but ran", "call d was answered as done but did not run"}
	if diff := cmp.Diff(want, CheckExecutions(outcomes, executed)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// FuzzCheckSearch guards against an answer that makes the checker panic.
func FuzzCheckSearch(f *testing.F) {
	data, err := json.Marshal(answer("q"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"snapshot":1,"layout":"l1","shards_total":16,"covered":[-1]}`))
	check := New(deployment(f))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var a encoder.SearchAnswer
		if encoder.DecodeBytes(data, encoder.MaxReplyBytes, &a) == nil {
			check.CheckSearch("catalog", "q", &a)
		}
	})
}
