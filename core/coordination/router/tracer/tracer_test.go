package tracer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/recorder"
	"comfreyroute/core/state/tabler"
)

func table() *tabler.Snapshot {
	v := &tabler.Value{Service: tabler.ServiceRow{Service: "matching", HedgeBudget: 0.05, RequestLimit: 5000}}
	for k := range 9 {
		v.Upstreams = append(v.Upstreams, tabler.UpstreamRow{
			Service: "matching", Group: k / 3, Upstream: fmt.Sprint("u", k), Weight: 100, Connections: 24, Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(k + 1)}), 9000), FailureDomain: fmt.Sprint("d", k%3),
		})
	}
	return &tabler.Snapshot{Values: []*tabler.Value{v}}
}

// record runs searches against upstreams that fail at random and returns the trace.
func record(t *testing.T, seed uint64, limit int) []byte {
	t.Helper()
	trace := Recorder{
		Header: Header{Seed: [2]uint64{seed, 9}, FailureDomain: "d0", VM: "vm1", Selection: selector.Random}, Limit: limit,
	}
	var m router.Machine
	m.Configure(trace.Header.Config())
	r := rand.New(rand.NewPCG(seed, 1))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var open []router.Send
	step := func(ev router.Event) {
		out := m.Step(now, ev)
		trace.Record(now, ev, out)
		for _, a := range out {
			if s, ok := a.(router.Send); ok {
				open = append(open, s)
			}
		}
	}
	step(router.TableAdopted{Table: table()})
	step(router.FleetSeen{VMs: []string{"vm1", "vm2"}})
	for id := range 40 {
		step(router.RequestArrived{
			Request: router.RequestID(id + 1), Service: "matching", Kind: encoder.SubSearch, Query: fmt.Sprint(id % 7), Body: []byte("{ }"),
		})
		for range 1 + r.IntN(8) {
			now = now.Add(time.Duration(r.IntN(5000)) * time.Microsecond)
			step(router.TimerFired{})
			if len(open) == 0 {
				continue
			}
			k := r.IntN(len(open))
			s := open[k]
			open = append(open[:k], open[k+1:]...)
			if r.IntN(4) == 0 {
				step(router.AttemptFailed{Attempt: s.Attempt, Failure: router.Failure(r.IntN(8)), Written: r.IntN(2) == 0})
				continue
			}
			group := int(s.Upstream[1]-'0') / 3
			step(router.ReplyArrived{Attempt: s.Attempt, Reply: &encoder.SubReply{
				Upstream: s.Upstream, Incarnation: uint64(1 + r.IntN(20)/19), Status: encoder.StatusOK, Version: 4, Layout: "a",
				Held:    []encoder.HeldVersion{{Version: 4, Layout: "a", ShardsTotal: 3, Shards: []int{group}}},
				Results: []encoder.ShardResult{{Shard: group}},
			}})
		}
	}
	var out bytes.Buffer
	if err := trace.Write(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestReplay guards against a trace that lacks an input of a decision, and against decisions that depend on anything but the
// events, the times and the seed.
func TestReplay(t *testing.T) {
	for seed := range uint64(20) {
		trace := record(t, seed, 1<<20)
		steps, err := Replay(bytes.NewReader(trace))
		if want := bytes.Count(trace, []byte("\n")) - 1; err != nil || steps != want {
			t.Fatalf("seed %d: %d of %d steps are equal: %v", seed, steps, want, err)
		}
	}
}

// TestReplayShowsDifferences guards against a replay that accepts a changed or missing step.
func TestReplayShowsDifferences(t *testing.T) {
	trace := string(record(t, 1, 1<<20))
	lines := strings.SplitAfter(trace, "\n")
	cases := []struct{ name, trace, want string }{
		{"other seed", strings.Replace(trace, `"Seed":[1,9]`, `"Seed":[2,9]`, 1), "action"},
		{"no header", strings.Join(lines[1:], ""), "first record"},
		{"other upstream", strings.Replace(trace, `"Upstream":"u`, `"Upstream":"v`, 1), "action 0 was"},
		{"missing step", strings.Join(lines[:2], "") + strings.Join(lines[3:], ""), "follows step 1"},
		{"wrapped ring", string(record(t, 1, 10)), "from the machine's first"},
		{"unknown event", strings.Replace(trace, `"kind":"FleetSeen"`, `"kind":"FleetLost"`, 1), "unknown event"},
		{"unknown field", strings.Replace(trace, `{"VMs":`, `{"X":1,"VMs":`, 1), "unknown field"},
	}
	for _, c := range cases {
		if _, err := Replay(strings.NewReader(c.trace)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v does not contain %q", c.name, err, c.want)
		}
	}
}

// FuzzDecode guards against records that make the decoder panic, and against accepted records that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	seen := make(map[string]bool)
	for kind := range eventDecoders {
		f.Add([]byte(`{"number":1,"time":"2026-01-01T00:00:00Z","kind":"` + kind + `","event":{}}`))
	}
	for kind := range actionDecoders {
		f.Add([]byte(`{"number":1,"time":"2026-01-01T00:00:00Z","kind":"TimerFired","event":{},"actions":[{"kind":"` + kind + `","action":{}}]}`))
	}
	var t testing.T
	for _, line := range bytes.SplitAfter(record(&t, 3, 1<<20), []byte("\n")) {
		if r, err := recorder.Decode(line); err == nil && !seen[r.Kind] {
			seen[r.Kind] = true
			f.Add(line)
		}
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := recorder.Decode(line)
		if err != nil {
			return
		}
		s, err := Decode(r)
		if err != nil {
			return
		}
		again, err := Encode(s)
		if err != nil {
			t.Fatalf("accepted %q, but: %v", line, err)
		}
		if again.Kind != r.Kind || len(again.Actions) != len(r.Actions) {
			t.Fatalf("%q changed to %+v", line, again)
		}
	})
}
