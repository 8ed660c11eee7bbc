package replayer

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/router/tracer"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// recordTrace runs two searches of two groups and returns their trace. The second group does not reply to the second search.
func recordTrace(t *testing.T) []byte {
	t.Helper()
	v := &tabler.Value{Revision: 1, Service: tabler.NewServiceRow("find")}
	for i := range 4 {
		v.Upstreams = append(v.Upstreams, tabler.UpstreamRow{
			Service: "find", Group: i / 2, Upstream: fmt.Sprint("u", i), Weight: 100, Connections: 24, Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 9000), FailureDomain: "d0",
		})
	}
	rec := tracer.Recorder{Header: tracer.Header{Seed: [2]uint64{1, 7}, VM: "vm1", FailureDomain: "d0", Selection: selector.Random}}
	m, now := &router.Machine{}, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m.Configure(rec.Header.Config())
	step := func(ev router.Event) []router.Action {
		now = now.Add(time.Millisecond)
		out := m.Step(now, ev)
		rec.Record(now, ev, out)
		return out
	}
	step(router.TableAdopted{Table: (&tabler.Snapshot{}).WithValue(v)})
	for _, u := range v.Upstreams {
		step(router.ConnectionsChanged{Service: "find", Upstream: u.Upstream, Open: 2})
	}
	for id := range router.RequestID(2) {
		for _, a := range step(router.RequestArrived{Request: id + 1, Service: "find", Kind: encoder.SubSearch, Query: "q"}) {
			s, ok := a.(router.Send)
			if !ok {
				continue
			}
			group := int(s.Upstream[1]-'0') / 2
			if group == 1 && id == 1 {
				continue
			}
			step(router.ReplyArrived{Attempt: s.Attempt, Reply: &encoder.SubReply{
				Upstream: s.Upstream, Incarnation: 1, Status: encoder.StatusOK, Version: 4, Layout: "a",
				Held:    []encoder.HeldVersion{{Version: 4, Layout: "a", ShardsTotal: 2, Shards: []int{group}}},
				Results: []encoder.ShardResult{{Shard: group, Items: []string{"x"}}},
			}})
		}
	}
	now = now.Add(time.Second)
	step(router.TimerFired{})
	var out bytes.Buffer
	if err := rec.Write(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestReplay guards against a replay that misses an answer or accepts a changed or incomplete trace, and against outcomes that
// change when they are written and read.
func TestReplay(t *testing.T) {
	trace := recordTrace(t)
	r, err := Replay(trace)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Outcomes) != 2 || len(r.Faults) != 0 {
		t.Fatalf("outcomes %+v, faults %v", r.Outcomes, r.Faults)
	}
	r.Outcomes[1].Reason = "" // the text of the reason is not under test here
	want := []Outcome{
		{Request: 1, Service: "find", Kind: encoder.SubSearch, Outcome: encoder.OutcomeDone, Snapshot: 4, Covered: []int{0, 1}},
		{Request: 2, Service: "find", Kind: encoder.SubSearch, Outcome: encoder.OutcomePartial, Snapshot: 4, Covered: []int{0}, Missing: []int{1}},
	}
	if diff := cmp.Diff(want, r.Outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	var file bytes.Buffer
	if err := WriteOutcomes(&file, want); err != nil {
		t.Fatal(err)
	}
	read, err := ReadOutcomes(&file)
	if diff := cmp.Diff(want, read); diff != "" || err != nil {
		t.Errorf("file: error %v (-want +got):\n%s", err, diff)
	}
	if _, err := Replay(bytes.ReplaceAll(trace, []byte(`"partial"`), []byte(`"done"`))); err == nil {
		t.Error("a trace with a changed action was accepted")
	}
	if _, err := Replay(trace[bytes.IndexByte(trace, '\n')+1:]); err == nil {
		t.Error("a trace without its first step was accepted")
	}
}

// TestCompareOutcomes guards against a difference from the expected outcomes that is not reported.
func TestCompareOutcomes(t *testing.T) {
	base := []Outcome{{Request: 1, Outcome: "done", Covered: []int{0}}, {Request: 2, Outcome: "partial", Missing: []int{0}}}
	cases := []struct {
		name string
		want []Outcome
		part string // substring of the only difference; empty for none
	}{
		{"equal", base, ""},
		{"other outcome", []Outcome{base[0], {Request: 2, Outcome: "done", Missing: []int{0}}}, "request 2: got"},
		{"other coverage", []Outcome{{Request: 1, Outcome: "done", Covered: []int{1}}, base[1]}, "request 1: got"},
		{"request without expected outcome", base[:1], "request 2 has no expected outcome"},
		{"request not in the trace", append(base[:2:2], Outcome{Request: 3}), "request 3 is not in the trace"},
	}
	for _, c := range cases {
		got := CompareOutcomes(c.want, base)
		if (c.part == "") != (len(got) == 0) || !strings.Contains(strings.Join(got, "\n"), c.part) || len(got) > 1 {
			t.Errorf("%s: differences %q, want one that contains %q", c.name, got, c.part)
		}
	}
}

// TestCheckPartition guards against an answer that is accepted although a shard is reported twice, not at all or without its
// result.
func TestCheckPartition(t *testing.T) {
	missing := []encoder.MissingShard{{Shard: 1}}
	results := []encoder.ShardResult{{Shard: 0}}
	cases := []struct {
		name   string
		answer encoder.SearchAnswer
		ok     bool
	}{
		{"whole", encoder.SearchAnswer{ShardsTotal: 2, Covered: []int{0}, Missing: missing, Results: results}, true},
		{"not run", encoder.SearchAnswer{Outcome: encoder.OutcomeNotRun, ShardsTotal: 2}, true},
		{"shard reported twice", encoder.SearchAnswer{ShardsTotal: 2, Covered: []int{0, 1}, Missing: missing, Results: results}, false},
		{"shard not reported", encoder.SearchAnswer{ShardsTotal: 2, Covered: []int{0}, Results: results}, false},
		{"covered shard without result", encoder.SearchAnswer{ShardsTotal: 2, Covered: []int{0}, Missing: missing}, false},
		{"result of a missing shard", encoder.SearchAnswer{ShardsTotal: 2, Covered: []int{0}, Missing: missing, Results: []encoder.ShardResult{{Shard: 1}}}, false},
	}
	for _, c := range cases {
		if got := checkPartition(&c.answer); (got == "") != c.ok {
			t.Errorf("%s: fault %q", c.name, got)
		}
	}
}

// FuzzOutcomes guards against an outcomes file that makes ReadOutcomes panic, or that is not read back after it was written.
func FuzzOutcomes(f *testing.F) {
	f.Add([]byte("{\"request\":1,\"service\":\"find\",\"kind\":\"search\",\"outcome\":\"done\",\"covered\":[0,1]}\n"))
	f.Add([]byte("\n{}\n[]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		want, err := ReadOutcomes(bytes.NewReader(data))
		if err != nil {
			return
		}
		var file bytes.Buffer
		if err := WriteOutcomes(&file, want); err != nil {
			t.Fatal(err)
		}
		got, err := ReadOutcomes(&file)
		if err != nil || len(got) != len(want) {
			t.Fatalf("%d outcomes were read back as %d, error %v", len(want), len(got), err)
		}
	})
}
