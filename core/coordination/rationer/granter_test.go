package rationer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestScarceGrants guards against a customer whose late callers use the grants that others could still use in time, and against a hint that brings
// callers back before the rate has worked off what was refused.
func TestScarceGrants(t *testing.T) {
	cases := []struct {
		name  string
		spent int // of a burst of 100
		want  Want
		got   Grant
	}{
		{"plenty", 0, Want{"c", 10, 10}, Grant{Customer: "c", Requests: 10, Late: 10}},
		{"late ones beyond the reserve", 45, Want{"c", 0, 10}, Grant{Customer: "c", Late: 5, After: 500 * time.Millisecond}},
		{"none for late ones", 60, Want{"c", 10, 10}, Grant{Customer: "c", Requests: 10, After: time.Second}},
		{"none at all", 100, Want{"c", 10, 0}, Grant{Customer: "c", After: time.Second}},
		{"unknown customer", 0, Want{"d", 1, 0}, Grant{Customer: "d", Unknown: true}},
	}
	for _, c := range cases {
		var g Granter
		g.SetFleet(epoch, 1)
		g.SetLimits(epoch, map[string]Limit{"c": {Rate: 10, Burst: 100}})
		g.Answer(epoch, Ask{VM: "a"})
		now := epoch
		for range 100 { // the only VM earns the burst
			now = now.Add(time.Second)
			g.Answer(now, Ask{VM: "a"})
		}
		g.Answer(now, Ask{VM: "a", Wants: []Want{{"c", c.spent, 0}}})
		if diff := cmp.Diff([]Grant{c.got}, g.Answer(now, Ask{VM: "a", Wants: []Want{c.want}}).Grants); diff != "" {
			t.Errorf("%s: grants (-want +got):\n%s", c.name, diff)
		}
	}
}
