package synchronizer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

var start = time.Unix(1_800_000_000, 0)

// stored returns the stored form of a service's value whose queue length is its revision.
func stored(service string, revision uint64) StoredValue {
	v := &tabler.Value{Service: tabler.NewServiceRow(service)}
	v.Service.Queue = int(revision)
	data, err := tabler.Encode(v)
	if err != nil {
		panic(err)
	}
	return StoredValue{Service: service, Revision: revision, Data: data}
}

// names returns the type of each action and the fields that a test looks at.
func names(actions []Action) []string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case ReadTable:
			out = append(out, fmt.Sprint("read ", a.Call))
		case WatchTable:
			out = append(out, fmt.Sprint("watch ", a.Call, " after ", a.After, " for ", a.Wait))
		case FetchValues:
			out = append(out, fmt.Sprint("fetch ", a.Call, " from ", a.From, " ", a.Services))
		case ApplyTable:
			out = append(out, "adopt")
		case PushRevisions:
			out = append(out, fmt.Sprint("push ", a.To, " ", a.Revisions))
		case RejectValue:
			out = append(out, fmt.Sprint("refuse ", a.Service, " ", a.Revision))
		}
	}
	return out
}

// TestMachineSteps guards against a wrong reaction to each kind of answer and failure.
func TestMachineSteps(t *testing.T) {
	pair := MembersChanged{[]Member{{"a", "d1"}, {"b", "d1"}}}
	many := MembersChanged{[]Member{{"b", "d1"}, {"c", "d1"}, {"d", "d1"}, {"e", "d1"}, {"f", "d1"}}}
	bad := StoredValue{Service: "roster", Revision: 9, Data: []byte(`{}`)}
	heard := RevisionsReceived{"b", []Revision{{"roster", 9}}}
	type step struct {
		at   time.Duration
		ev   Event
		want []string
	}
	cases := []struct {
		name     string
		steps    []step
		complete bool
	}{
		{"reads and watches", []step{
			{0, Ticked{}, []string{"read 1"}},
			{1 * time.Millisecond, TableRead{1, []StoredValue{stored("roster", 3)}, 7}, []string{"adopt", "watch 2 after 7 for 1s"}},
			{time.Second, WatchAnswered{Call: 2, Revision: 7}, []string{"watch 3 after 7 for 1s"}},
			{2 * time.Second, WatchAnswered{Call: 3, Compacted: true}, []string{"read 4"}},
		}, true},
		{"a lower revision and a deleted key change nothing", []step{
			{0, Ticked{}, []string{"read 1"}},
			{1, TableRead{1, []StoredValue{stored("roster", 3)}, 7}, []string{"adopt", "watch 2 after 7 for 1s"}},
			{2, ValueWritten{stored("roster", 2)}, nil},
			{3, ValueWritten{StoredValue{Service: "roster", Revision: 8, Deleted: true}}, nil},
		}, true},
		{"an invalid value is refused once and not fetched", []step{
			{0, Ticked{}, []string{"read 1"}},
			{1, TableRead{1, []StoredValue{bad}, 9}, []string{"refuse roster 9", "watch 2 after 9 for 1s"}},
			{2, TableRead{1, []StoredValue{bad}, 9}, nil},
			{3, heard, nil},
		}, true},
		{"a peer's table is taken only after the platform failed", []step{
			{0, pair, []string{"read 1", "fetch 2 from b []"}},
			{1, ValuesFetched{2, []StoredValue{stored("roster", 3)}}, []string{"adopt"}},
			{2, Ticked{}, nil},
			{3, PlatformCallFailed{1}, nil},
		}, true},
		{"no platform and no complete peer", []step{
			{0, pair, []string{"read 1", "fetch 2 from b []"}},
			{1, FetchFailed{2}, nil},
			{3, PlatformCallFailed{1}, nil},
			{150 * time.Millisecond, Ticked{}, []string{"read 3", "fetch 4 from b []"}},
		}, false},
		{"a heard revision is fetched from its namer, another peer and the platform", []step{
			{0, Ticked{}, []string{"read 1"}},
			{0, TableRead{1, nil, 7}, []string{"watch 2 after 7 for 1s"}},
			{0, many, nil},
			{0, RevisionsReceived{"c", []Revision{{"roster", 9}}}, []string{"fetch 3 from c [roster]"}},
			{1, FetchFailed{3}, nil},
			{100*time.Millisecond + 1, Ticked{}, []string{"fetch 4 from b [roster]"}},
			{2 * time.Second, Ticked{}, nil},
			{3 * time.Second, Ticked{}, []string{"watch 5 after 7 for 0s"}},
			{3 * time.Second, WatchAnswered{5, []StoredValue{stored("roster", 9)}, 9, false}, []string{"adopt", "push [b c d e f] [{roster 9}]"}},
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &Machine{Self: Member{"a", "d1"}}
			for i, s := range c.steps {
				if diff := cmp.Diff(s.want, names(m.Step(start.Add(s.at), s.ev))); diff != "" {
					t.Fatalf("step %d (-want +got):\n%s", i, diff)
				}
			}
			if m.Complete() != c.complete {
				t.Errorf("complete: %v", m.Complete())
			}
		})
	}
}

// follower returns a machine with a complete table whose failure domain has other watchers.
func follower(t *testing.T) *Machine {
	members := []Member{{"a", "d1"}, {"b", "d1"}, {"c", "d1"}}
	for _, self := range members {
		m := &Machine{Self: self}
		m.Step(start, MembersChanged{members})
		if !m.IsWatcher() {
			m.Step(start, TableRead{1, nil, 7})
			m.Step(start, ContactAgeReceived{start, 0})
			return m
		}
	}
	t.Fatal("all three VMs of a failure domain watch")
	return nil
}

// TestWatchers guards against a failure domain with another number of watchers than two, and against one that loses a watcher
// and chooses no other.
func TestWatchers(t *testing.T) {
	var members []Member
	for i := range 12 {
		members = append(members, Member{fmt.Sprint("vm", i), fmt.Sprint("d", i%3)})
	}
	for range 3 {
		watchers := map[string]int{}
		gone := ""
		for _, self := range members {
			m := &Machine{Self: self}
			m.Step(start, MembersChanged{members})
			if m.IsWatcher() {
				watchers[self.FailureDomain]++
				gone = self.ID
			}
		}
		if diff := cmp.Diff(map[string]int{"d0": 2, "d1": 2, "d2": 2}, watchers); diff != "" {
			t.Errorf("watchers of %d VMs (-want +got):\n%s", len(members), diff)
		}
		members = slices.DeleteFunc(members, func(x Member) bool { return x.ID == gone })
	}
}

// TestStale guards against a VM that hears of no platform contact and makes none itself, and against one that calls the
// platform although it hears of contacts.
func TestStale(t *testing.T) {
	m := follower(t)
	var at []time.Duration
	for now := time.Duration(0); now < 6*time.Second; now += TickInterval {
		if now < 3*time.Second {
			m.Step(start.Add(now), ContactAgeReceived{start.Add(now), 500 * time.Millisecond})
		}
		if got := names(m.Step(start.Add(now), Ticked{})); len(got) > 0 {
			at = append(at, now)
		}
	}
	// The last contact known is that of 2.4 s; without random numbers StaleAfter takes 1.25 s.
	if len(at) < 2 || at[0] != 3700*time.Millisecond {
		t.Errorf("calls at %v, the first one is due at 3.7s", at)
	}
}

// TestFetchWithoutReport guards against a value that is never fetched again after a request of which nothing was heard.
func TestFetchWithoutReport(t *testing.T) {
	m := follower(t)
	var got []string
	for now := time.Duration(0); now < time.Second; now += TickInterval {
		ev := Event(Ticked{})
		if now == 0 {
			ev = RevisionsReceived{"z", []Revision{{"roster", 9}}}
		}
		for _, s := range names(m.Step(start.Add(now), ev)) {
			got = append(got, fmt.Sprint(now, " ", s))
		}
	}
	want := []string{"0s fetch 3 from z [roster]", "500ms fetch 4 from " + m.peers[0].ID + " [roster]"}
	if diff := cmp.Diff(want, got[:min(2, len(got))]); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestMessages guards against a value or revision that changes on its way to a peer, and against a long table whose old
// revisions are never told.
func TestMessages(t *testing.T) {
	m := &Machine{Self: Member{"a", "d1"}}
	var items []StoredValue
	for i := range 20 {
		items = append(items, stored(fmt.Sprint("s", i), uint64(i+1)))
	}
	m.Step(start, Ticked{})
	m.Step(start, TableRead{1, FromTableValues(ToTableValues(items)), 20})
	if diff := cmp.Diff(m.Revisions(), FromRevisions(ToRevisions(m.Revisions()))); diff != "" || len(m.Revisions()) != 20 {
		t.Errorf("revisions (-want +got):\n%s", diff)
	}
	heard := map[string]bool{}
	for turn := range 7 {
		list := SelectRevisions(m.Revisions(), 6, turn)
		if len(list) != 6 || list[0].Revision != 20 {
			t.Errorf("revisions %v", list)
		}
		for _, r := range list {
			heard[r.Service] = true
		}
	}
	if len(heard) != 20 {
		t.Errorf("%d of 20 revisions were told", len(heard))
	}
	keys := FromKeyValues([]encoder.KeyValue{{Key: "table/roster", Revision: 3}, {Key: "claims/roster/1", Revision: 4}})
	if diff := cmp.Diff([]StoredValue{{Service: "roster", Revision: 3}}, keys); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
}
