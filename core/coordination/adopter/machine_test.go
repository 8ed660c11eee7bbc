package adopter

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/state/tabler"
)

var start = time.Unix(1_800_000_000, 0)

// stored returns the stored form of a service's value whose queue length is its revision.
func stored(service string, revision uint64) Stored {
	v := &tabler.Value{Service: tabler.NewServiceRow(service)}
	v.Service.Queue = int(revision)
	data, err := tabler.Encode(v)
	if err != nil {
		panic(err)
	}
	return Stored{Service: service, Revision: revision, Data: data}
}

// names returns the type of each action and the fields that a test looks at.
func names(actions []Action) []string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case ReadTable:
			out = append(out, fmt.Sprint("read ", a.Call))
		case Watch:
			out = append(out, fmt.Sprint("watch ", a.Call, " after ", a.After, " for ", a.Wait))
		case Fetch:
			out = append(out, fmt.Sprint("fetch ", a.Call, " from ", a.From, " ", a.Services))
		case Adopt:
			out = append(out, "adopt")
		case Push:
			out = append(out, fmt.Sprint("push ", a.To, " ", a.Revisions))
		case Refuse:
			out = append(out, fmt.Sprint("refuse ", a.Service, " ", a.Revision))
		}
	}
	return out
}

// TestMachineSteps guards against a wrong reaction to each kind of answer and failure.
func TestMachineSteps(t *testing.T) {
	pair := MembersChanged{[]Member{{"a", "d1"}, {"b", "d1"}}}
	many := MembersChanged{[]Member{{"b", "d1"}, {"c", "d1"}, {"d", "d1"}, {"e", "d1"}, {"f", "d1"}}}
	bad := Stored{Service: "roster", Revision: 9, Data: []byte(`{}`)}
	heard := RevisionsHeard{"b", []Revision{{"roster", 9}}}
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
			{1 * time.Millisecond, TableRead{1, []Stored{stored("roster", 3)}, 7}, []string{"adopt", "watch 2 after 7 for 1s"}},
			{time.Second, WatchAnswered{Call: 2, Revision: 7}, []string{"watch 3 after 7 for 1s"}},
			{2 * time.Second, WatchAnswered{Call: 3, Compacted: true}, []string{"read 4"}},
		}, true},
		{"a lower revision and a deleted key change nothing", []step{
			{0, Ticked{}, []string{"read 1"}},
			{1, TableRead{1, []Stored{stored("roster", 3)}, 7}, []string{"adopt", "watch 2 after 7 for 1s"}},
			{2, ValueWritten{stored("roster", 2)}, nil},
			{3, ValueWritten{Stored{Service: "roster", Revision: 8, Deleted: true}}, nil},
		}, true},
		{"an invalid value is refused once and not fetched", []step{
			{0, Ticked{}, []string{"read 1"}},
			{1, TableRead{1, []Stored{bad}, 9}, []string{"refuse roster 9", "watch 2 after 9 for 1s"}},
			{2, TableRead{1, []Stored{bad}, 9}, nil},
			{3, heard, nil},
		}, true},
		{"a peer's table is taken only after the platform failed", []step{
			{0, pair, []string{"read 1", "fetch 2 from b []"}},
			{1, ValuesFetched{2, []Stored{stored("roster", 3)}}, []string{"adopt", "push [b] [{roster 3}]"}},
			{2, Ticked{}, nil},
			{3, PlatformFailed{1}, nil},
		}, true},
		{"no platform and no complete peer", []step{
			{0, pair, []string{"read 1", "fetch 2 from b []"}},
			{1, FetchFailed{2}, nil},
			{3, PlatformFailed{1}, nil},
			{150 * time.Millisecond, Ticked{}, []string{"read 3", "fetch 4 from b []"}},
		}, false},
		{"a heard revision is fetched from its namer, another peer and the platform", []step{
			{0, Ticked{}, []string{"read 1"}},
			{0, TableRead{1, nil, 7}, []string{"watch 2 after 7 for 1s"}},
			{0, many, nil},
			{0, RevisionsHeard{"c", []Revision{{"roster", 9}}}, []string{"fetch 3 from c [roster]"}},
			{1, FetchFailed{3}, nil},
			{100*time.Millisecond + 1, Ticked{}, []string{"fetch 4 from b [roster]"}},
			{2 * time.Second, Ticked{}, nil},
			{3 * time.Second, Ticked{}, []string{"watch 5 after 7 for 0s"}},
			{3 * time.Second, WatchAnswered{5, []Stored{stored("roster", 9)}, 9, false}, []string{"adopt", "push [b c d e f] [{roster 9}]"}},
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
