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

// memoryStore is a key-value service in memory. The maps are indexed by the number of the put, from 0.
type memoryStore struct {
	items    map[string]encoder.KeyValue
	revision uint64
	puts     int
	races    map[int]func()          // run before the put
	faults   map[int]kvclient.Status // replace the status of the put
	lost     map[int]bool            // the put has no effect
}

func (s *memoryStore) Get(_ context.Context, key string) kvclient.ReadResult {
	return kvclient.ReadResult{Status: kvclient.OK, Item: s.items[key]}
}

func (s *memoryStore) Range(context.Context, string, int) kvclient.RangeResult {
	l := kvclient.RangeResult{Status: kvclient.OK, Revision: s.revision}
	for _, x := range s.items {
		l.Items = append(l.Items, x)
	}
	slices.SortFunc(l.Items, func(a, b encoder.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return l
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expect, _ uint64) kvclient.WriteResult {
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

func newStore(t *testing.T) *memoryStore {
	t.Helper()
	s := &memoryStore{items: map[string]encoder.KeyValue{}}
	e := newEditor(s)
	f := e.EditService(context.Background(), tabler.Edit{ID: "setup", Who: "test"}, "ledger", nil, parseChanges(t,
		"ledger.row = present", "ledger.kind = point",
		"ledger/ledger-0.row = present", "ledger/ledger-0.address = 127.0.0.1:9000", "ledger/ledger-0.connections = 100", "ledger/ledger-0.domain = a", "ledger/ledger-0.slots = 2",
		"ledger/ledger-1.row = present", "ledger/ledger-1.address = 127.0.0.2:9000", "ledger/ledger-1.connections = 100", "ledger/ledger-1.domain = b", "ledger/ledger-1.slots = 2"))
	if f.Verdict != synchronizer.Accepted {
		t.Fatalf("setup: %v %v", f.Verdict, f.Err)
	}
	s.puts = 0
	return s
}

func newEditor(s *memoryStore) *Editor {
	now := time.Unix(1_800_000_000, 0)
	return &Editor{Store: s, Now: func() time.Time { return now }, Sleep: func(d time.Duration) { now = now.Add(d) }}
}

func parseChanges(t *testing.T, texts ...string) []tabler.Change {
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

// TestEdit guards against an accepted edit that is lost, or a wrong verdict, when operators edit concurrently or
// the response to a write is lost.
func TestEdit(t *testing.T) {
	const mine, otherRow, sameRow = "ledger/ledger-0.weight = 50", "ledger/ledger-1.weight = 10", "ledger/ledger-0.weight = 20"
	cases := []struct {
		name   string
		race   string // change that another operator makes just before the write
		fault  map[int]kvclient.Status
		lost   map[int]bool
		want   synchronizer.Verdict
		weight [2]int
	}{
		{"no other edit", "", nil, nil, synchronizer.Accepted, [2]int{50, 100}},
		{"concurrent edit of another row", otherRow, nil, nil, synchronizer.Accepted, [2]int{50, 10}},
		{"concurrent edit of the same row", sameRow, nil, nil, synchronizer.Conflicting, [2]int{20, 100}},
		{"write response lost", "", map[int]kvclient.Status{0: kvclient.Uncertain}, nil, synchronizer.Accepted, [2]int{50, 100}},
		{"write request lost", "", map[int]kvclient.Status{0: kvclient.Uncertain}, map[int]bool{0: true}, synchronizer.Accepted, [2]int{50, 100}},
		{"platform unavailable", "", map[int]kvclient.Status{0: kvclient.Unavailable}, map[int]bool{0: true}, synchronizer.Accepted, [2]int{50, 100}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStore(t)
			s.faults, s.lost = c.fault, c.lost
			base, err := newEditor(s).ReadTable(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if c.race != "" {
				s.races = map[int]func(){0: func() {
					if f := newEditor(s).EditService(context.Background(), tabler.Edit{ID: "race", Who: "other"}, "ledger", nil, parseChanges(t, c.race)); f.Verdict != synchronizer.Accepted {
						t.Errorf("concurrent edit: verdict %v, want accepted", f.Verdict)
					}
				}}
			}
			f := newEditor(s).EditService(context.Background(), tabler.Edit{ID: "mine", Who: "test"}, "ledger", FindValue(base.AllValues(), "ledger"), parseChanges(t, mine))
			if f.Verdict != c.want {
				t.Errorf("verdict %v (%v), want %v", f.Verdict, f.Err, c.want)
			}
			after, err := newEditor(s).ReadTable(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			var got [2]int
			for i, u := range FindValue(after.AllValues(), "ledger").Upstreams {
				got[i] = u.Weight
			}
			if diff := cmp.Diff(c.weight, got); diff != "" {
				t.Errorf("weights (-want +got):\n%s", diff)
			}
			if v := FindValue(after.AllValues(), "ledger"); v.HasEdit("mine") != (c.want == synchronizer.Accepted) {
				t.Errorf("the history contains the edit: %v", v.HasEdit("mine"))
			}
		})
	}
}

// TestPlanChanges guards against a plan that changes services which already match the file, or removes services without prune.
func TestPlanChanges(t *testing.T) {
	s := newStore(t)
	table, err := newEditor(s).ReadTable(context.Background())
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
		{"no difference", table, table.AllValues(), true, nil},
		{"service missing from the file", table, nil, false, nil},
		{"service missing from the file, prune", table, nil, true, []string{"ledger"}},
		{"new service", empty, table.AllValues(), false, []string{"ledger"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, SortedServices(PlanChanges(c.from, c.wanted, c.prune))); diff != "" {
				t.Errorf("services (-want +got):\n%s", diff)
			}
		})
	}
}
