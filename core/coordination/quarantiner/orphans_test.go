package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOrphans guards against crashes that are not linked to the requests which timed out or were cancelled before them, and against links to those
// that ended too long before or at another incarnation.
func TestOrphans(t *testing.T) {
	start := time.Unix(1000, 0)
	run := func(upstream string, started int64) Crash {
		return Crash{Service: "s", Upstream: upstream, Started: time.UnixMilli(started)}
	}
	cases := []struct {
		name string
		add  []Orphan
		take func(t *Orphans) []Orphan
		want []uint64 // signatures
	}{
		{"crashed", []Orphan{{1, run("a", 1), start}, {2, run("a", 1), start}, {3, run("b", 1), start}},
			func(t *Orphans) []Orphan { return t.TakeCrashed(start.Add(time.Second), run("a", 1)) }, []uint64{1, 2}},
		{"crashed long after", []Orphan{{1, run("a", 1), start}, {2, run("a", 1), start.Add(time.Second)}},
			func(t *Orphans) []Orphan { return t.TakeCrashed(start.Add(OrphanWindow+time.Second/2), run("a", 1)) }, []uint64{2}},
		{"another incarnation crashed", []Orphan{{1, run("a", 1), start}},
			func(t *Orphans) []Orphan { return t.TakeCrashed(start.Add(time.Second), run("a", 2)) }, nil},
		{"replaced", []Orphan{{1, run("a", 1), start}, {2, run("a", 2), start}},
			func(t *Orphans) []Orphan { return t.TakeReplaced(start.Add(time.Second), "s", "a", time.UnixMilli(2)) }, []uint64{1}},
		{"outlived", []Orphan{{1, run("a", 1), start}, {2, run("a", 1), start.Add(time.Second)}},
			func(t *Orphans) []Orphan { return t.TakeSurvived(start.Add(OrphanWindow+time.Second/2), "s", "a") }, []uint64{1}},
		{"run again", []Orphan{{1, run("a", 1), start}, {1, run("a", 1), start.Add(time.Second)}},
			func(t *Orphans) []Orphan { return t.TakeCrashed(start.Add(time.Second), run("a", 1)) }, []uint64{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var all Orphans
			for _, o := range c.add {
				all.Add(o.EndedAt, o)
			}
			var got []uint64
			for _, o := range c.take(&all) {
				got = append(got, o.Signature)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("signatures (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFloodOfOrphans guards against memory without bounds when requests time out all day, and against a flood that is still in the way after it.
func TestFloodOfOrphans(t *testing.T) {
	var all Orphans
	now := time.Unix(1000, 0)
	add := func(n int, upstream string) {
		all.Add(now, Orphan{Signature: uint64(n), Run: Crash{Service: "s", Upstream: upstream}, EndedAt: now})
	}
	for n := range 20 * maxOrphans {
		now = now.Add(100 * time.Microsecond)
		add(n, fmt.Sprint(n%1000))
		if all.count > maxOrphans {
			t.Fatalf("%d orphans are kept, want at most %d", all.count, maxOrphans)
		}
	}
	now = now.Add(3 * OrphanWindow)
	add(7, "a")
	if got := all.TakeCrashed(now, Crash{Service: "s", Upstream: "a"}); len(got) != 1 {
		t.Errorf("%d orphans of an upstream that crashes after the flood, want 1", len(got))
	}
	if !all.Empty() || len(all.byUpstream) > 0 {
		t.Errorf("%d orphans of %d upstreams are kept long after the flood", all.count, len(all.byUpstream))
	}
}
