package editor

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/kvclient"
)

// store is a key-value service in memory. Before the n-th put it runs races[n]; faults[n] replaces the answer of the n-th put.
type store struct {
	items    map[string]encoder.KeyValue
	revision uint64
	puts     int
	races    map[int]func()
	faults   map[int]kvclient.Status
	lost     map[int]bool // the n-th put has no effect
}

func (s *store) Get(_ context.Context, key string) kvclient.ReadResult {
	return kvclient.ReadResult{Status: kvclient.OK, Item: s.items[key]}
}

func (s *store) Range(context.Context, string, int) kvclient.RangeResult {
	l := kvclient.RangeResult{Status: kvclient.OK, Revision: s.revision}
	for _, x := range s.items {
		l.Items = append(l.Items, x)
	}
	slices.SortFunc(l.Items, func(a, b encoder.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return l
}

func (s *store) Put(_ context.Context, key string, value []byte, expect, _ uint64) kvclient.WriteResult {
	n := s.puts
	s.puts++
	if race := s.races[n]; race != nil {
		race()
	}
	w := kvclient.WriteResult{Status: kvclient.Conflict}
	if s.items[key].Revision == expect && !s.lost[n] {
		s.revision++
		s.items[key] = encoder.KeyValue{Key: key, Value: value, Revision: s.revision}
		w = kvclient.WriteResult{Status: kvclient.OK, Revision: s.revision}
	}
	if f, ok := s.faults[n]; ok {
		return kvclient.WriteResult{Status: f}
	}
	return w
}

func newStore(t *testing.T) *store {
	t.Helper()
	s := &store{items: map[string]encoder.KeyValue{}}
	e := editorOf(s)
	f := e.Edit(context.Background(), tabler.Edit{ID: "setup", Who: "test"}, "ledger", nil, changes(t,
		"ledger.row = present", "ledger.kind = point",
		"ledger/ledger-0.row = present", "ledger/ledger-0.address = 127.0.0.1:9000", "ledger/ledger-0.connections = 100", "ledger/ledger-0.domain = a", "ledger/ledger-0.slots = 2",
		"ledger/ledger-1.row = present", "ledger/ledger-1.address = 127.0.0.2:9000", "ledger/ledger-1.connections = 100", "ledger/ledger-1.domain = b", "ledger/ledger-1.slots = 2"))
	if f.Verdict != synchronizer.Accepted {
		t.Fatalf("setup: %v %v", f.Verdict, f.Err)
	}
	s.puts = 0
	return s
}

func editorOf(s *store) *Editor {
	now := time.Unix(1_800_000_000, 0)
	return &Editor{Store: s, Now: func() time.Time { return now }, Sleep: func(d time.Duration) { now = now.Add(d) }}
}

func changes(t *testing.T, texts ...string) []tabler.Change {
	t.Helper()
	var out []tabler.Change
	for _, x := range texts {
		c, err := tabler.ParseChange(x)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, c)
	}
	return out
}

// TestEdit guards against an accepted edit that is lost or reported wrongly when operators race or the answer to a write is lost.
func TestEdit(t *testing.T) {
	const mine, otherRow, sameRow = "ledger/ledger-0.weight = 50", "ledger/ledger-1.weight = 10", "ledger/ledger-0.weight = 20"
	cases := []struct {
		name   string
		race   string // edit of another operator just before the write
		fault  map[int]kvclient.Status
		lost   map[int]bool
		want   synchronizer.Verdict
		weight [2]int
	}{
		{"alone", "", nil, nil, synchronizer.Accepted, [2]int{50, 100}},
		{"other row edited meanwhile", otherRow, nil, nil, synchronizer.Accepted, [2]int{50, 10}},
		{"same row edited meanwhile", sameRow, nil, nil, synchronizer.Conflicting, [2]int{20, 100}},
		{"answer lost after the write", "", map[int]kvclient.Status{0: kvclient.Uncertain}, nil, synchronizer.Accepted, [2]int{50, 100}},
		{"write lost", "", map[int]kvclient.Status{0: kvclient.Uncertain}, map[int]bool{0: true}, synchronizer.Accepted, [2]int{50, 100}},
		{"platform gives no answer", "", map[int]kvclient.Status{0: kvclient.Unavailable}, map[int]bool{0: true}, synchronizer.Accepted, [2]int{50, 100}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStore(t)
			s.faults, s.lost = c.fault, c.lost
			base, err := editorOf(s).Table(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if c.race != "" {
				s.races = map[int]func(){0: func() {
					if f := editorOf(s).Edit(context.Background(), tabler.Edit{ID: "race", Who: "other"}, "ledger", nil, changes(t, c.race)); f.Verdict != synchronizer.Accepted {
						t.Errorf("racing edit: %v", f.Verdict)
					}
				}}
			}
			f := editorOf(s).Edit(context.Background(), tabler.Edit{ID: "mine", Who: "test"}, "ledger", Find(base.AllValues(), "ledger"), changes(t, mine))
			if f.Verdict != c.want {
				t.Errorf("verdict %v (%v), want %v", f.Verdict, f.Err, c.want)
			}
			after, err := editorOf(s).Table(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			var got [2]int
			for i, u := range Find(after.AllValues(), "ledger").Upstreams {
				got[i] = u.Weight
			}
			if diff := cmp.Diff(c.weight, got); diff != "" {
				t.Errorf("weights (-want +got):\n%s", diff)
			}
			if v := Find(after.AllValues(), "ledger"); v.HasEdit("mine") != (c.want == synchronizer.Accepted) {
				t.Errorf("history lists the edit: %v", v.HasEdit("mine"))
			}
		})
	}
}

// TestPlan guards against an apply that changes what is already so, or removes services without being asked to.
func TestPlan(t *testing.T) {
	s := newStore(t)
	table, err := editorOf(s).Table(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	empty := new(tabler.Snapshot)
	cases := []struct {
		name   string
		from   *tabler.Snapshot
		wanted []*tabler.Value
		prune  bool
		want   []string
	}{
		{"same", table, table.AllValues(), true, nil},
		{"not named", table, nil, false, nil},
		{"not named, prune", table, nil, true, []string{"ledger"}},
		{"new", empty, table.AllValues(), false, []string{"ledger"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Services(Plan(c.from, c.wanted, c.prune))); diff != "" {
				t.Errorf("services (-want +got):\n%s", diff)
			}
		})
	}
}
