package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type item struct {
	name      string
	due       time.Time
	heapIndex int
}

func (i *item) Due() time.Time  { return i.due }
func (i *item) HeapIndex() *int { return &i.heapIndex }

// TestQueue guards against a wrong order after the due time of an item changed or another item was removed.
func TestQueue(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	a, b, c := &item{"a", at(3), -1}, &item{"b", at(1), -1}, &item{"c", at(2), -1}
	var q Queue[*item]
	for _, i := range []*item{a, b, c} {
		q.Set(i)
	}
	b.due = at(4)
	q.Set(b)
	q.Remove(c)
	q.Remove(c)
	var got []string
	for q.Len() > 0 {
		got = append(got, q[0].name)
		q.Remove(q[0])
	}
	if diff := cmp.Diff([]string{"a", "b"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestInFlight guards against attempts that still count after they ended.
func TestInFlight(t *testing.T) {
	var f InFlight[uint64]
	f.Add(7)
	f.Add(8)
	f.Remove(7)
	f.Remove(9)
	if diff := cmp.Diff(InFlight[uint64]{0, 8}, f); diff != "" || f.Count() != 1 {
		t.Errorf("%d in flight (-want +got):\n%s", f.Count(), diff)
	}
}
