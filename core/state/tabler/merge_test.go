package tabler

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// edit applies cell edits to a value.
func edit(t interface{ Fatal(...any) }, v *Value, texts ...string) *Value {
	var changes []Change
	for _, s := range texts {
		c, err := ParseChange(s)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, c)
	}
	next, err := v.ApplyChanges(changes)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestMerge guards against a merge that loses an edit or misses a conflict.
func TestMerge(t *testing.T) {
	cases := []struct {
		name         string
		mine, theirs []string
		want         []string // cells of the merged value that differ from the base
		conflicts    int
	}{
		{"different rows", []string{"matching/m0a.weight = 7"}, []string{"matching/m0b.weight = 8", "matching.queue = 9"},
			[]string{"matching.queue=9", "matching/m0a.weight=7", "matching/m0b.weight=8"}, 0},
		{"same edit", []string{"matching.queue = 9"}, []string{"matching.queue = 9"}, []string{"matching.queue=9"}, 0},
		{"same row", []string{"matching.queue = 9"}, []string{"matching.kind = search", "matching.budget = 1"}, nil, 1},
		{"removed row is edited", []string{"matching/m0a.row = absent"}, []string{"matching/m0a.weight = 1"}, nil, 1},
		{"two added rows", []string{"matching/x.row = present"}, []string{"matching/y.row = present"},
			[]string{"matching/y.row=present", "matching/x.row=present"}, 0},
		{"removed service is edited", []string{"matching.row = absent"}, []string{"matching/m0a.weight = 1"}, nil, 1},
		{"edited service is removed", []string{"matching/m0a.weight = 1"}, []string{"matching.row = absent"}, nil, 1},
		{"both remove", []string{"matching.row = absent"}, []string{"matching.row = absent"}, []string{"matching.row=absent"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			base := exampleValue()
			merged, conflicts := Merge(base, edit(t, base, c.mine...), edit(t, base, c.theirs...))
			if diff := cmp.Diff(c.conflicts, len(conflicts)); diff != "" {
				t.Fatalf("conflicts (-want +got):\n%s\n%v", diff, conflicts)
			}
			var got []string
			if merged != nil {
				for _, x := range Diff(base, merged) {
					got = append(got, fmt.Sprintf("%s.%s=%s", x.rowPath(), x.Field, x.New))
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestApplyRejects guards against a cell edit that, without an error, has no effect or changes another cell.
func TestApplyRejects(t *testing.T) {
	for _, s := range []string{
		"matching", "matching.queue", "matching/.queue = 1", "/m0a.weight = 1", "matching.color = red", "matching.queue = many",
		"matching/m9.weight = 1", "matching/m0a.queue = 1", "roster.queue = 1", "matching.row = gone", "_fleet.max = 3",
	} {
		c, err := ParseChange(s)
		if err == nil {
			_, err = exampleValue().ApplyChanges([]Change{c})
		}
		if err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}

// drawValue draws a value of the service with random rows. The value may be invalid as a whole.
func drawValue(t *rapid.T, label string) *Value {
	v := &Value{Service: NewServiceRow("matching"), Removed: rapid.IntRange(0, 9).Draw(t, label+" removed") == 0}
	if v.Removed {
		return v
	}
	v.Service.Queue = rapid.IntRange(0, 3).Draw(t, label+" queue")
	v.Service.HedgeBudget = float64(rapid.IntRange(0, 100).Draw(t, label+" budget")) / 100
	v.Service.Callers = nil
	for i := range rapid.IntRange(0, 2).Draw(t, label+" callers") {
		v.Service.Callers = append(v.Service.Callers, CallerWeight{fmt.Sprint("c", i), 2})
	}
	for i := range 4 {
		if rapid.Bool().Draw(t, label+" row") {
			v.Upstreams = append(v.Upstreams, UpstreamRow{
				Service: "matching", Upstream: fmt.Sprint("u.", i), FailureDomain: "d1", Connections: 1, Slots: 1,
				Weight:  rapid.IntRange(0, 2).Draw(t, label+" weight"),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), uint16(rapid.IntRange(1, 2).Draw(t, label+" port"))),
			})
		}
	}
	return v
}

var anyOrder = cmp.Options{equateAddress, cmpopts.EquateEmpty(), cmpopts.SortSlices(func(a, b UpstreamRow) bool { return a.Upstream < b.Upstream })}

// TestDiffApply guards against a diff that misses a change, or that does not produce the second value when it is applied.
func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawValue(t, "a"), drawValue(t, "b")
		var changes []Change
		for _, c := range Diff(a, b) {
			p, err := ParseChange(fmt.Sprintf("%s.%s = %s", c.rowPath(), c.Field, c.New))
			if err != nil {
				t.Fatal(err)
			}
			changes = append(changes, p)
		}
		got, err := a.ApplyChanges(changes)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(b, got, anyOrder); diff != "" {
			t.Fatalf("(-want +got):\n%s", diff)
		}
	})
}

// TestDiffTables guards against a table diff that misses an added or removed service, or that removes the fleet row.
func TestDiffTables(t *testing.T) {
	from := exampleTable()
	roster := &Value{Service: NewServiceRow("roster")}
	roster.Service.Queue = 9
	to := []*Value{edit(t, from[1], "matching/m0a.weight = 7"), roster}
	var got []string
	for _, c := range DiffTables(from, to) {
		got = append(got, c.String())
	}
	want := []string{
		`matching/m0a.weight = "7" (was "0")`, `profiles.row = "absent" (was "present")`,
		`roster.row = "present" (was "absent")`, `roster.queue = "9" (was "256")`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestMergeSymmetric guards against a merge whose result depends on which operator wrote first.
func TestMergeSymmetric(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, a, b := drawValue(t, "base"), drawValue(t, "a"), drawValue(t, "b")
		x, xs := Merge(base, a, b)
		y, ys := Merge(base, b, a)
		if diff := cmp.Diff(len(xs), len(ys)); diff != "" {
			t.Fatalf("conflicts (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(x, y, anyOrder); diff != "" {
			t.Fatalf("(-want +got):\n%s", diff)
		}
	})
}
