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
		for range 200 { // the only VM earns the burst
			now = now.Add(askInterval)
			g.Answer(now, Ask{VM: "a"})
		}
		g.Answer(now, Ask{VM: "a", Wants: []Want{{"c", c.spent, 0}}})
		if diff := cmp.Diff([]Grant{c.got}, g.Answer(now, Ask{VM: "a", Wants: []Want{c.want}}).Grants); diff != "" {
			t.Errorf("%s: grants (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestMoveToStoppingGranter guards against VMs that move to a better-ranked granter while it stops, and ask it until it has ended, or probe the next one
// again and again.
func TestMoveToStoppingGranter(t *testing.T) {
	members := []Member{{Name: "best", LinkMbps: 3}, {Name: "second", LinkMbps: 2}, {Name: "a", LinkMbps: 1}}
	var best, second Granter
	for _, g := range []*Granter{&best, &second} {
		g.SetFleet(epoch, 1)
		g.SetLimits(epoch, map[string]Limit{"c": {Rate: 10, Burst: 100}})
	}
	h := Holder{Self: "a"}
	h.SetMembers(members)
	now, asked := epoch, []string{}
	ask := func() {
		now = now.Add(askInterval)
		q, to, _ := h.Ask(now, []Want{{"c", 1, 0}})
		asked = append(asked, to.Name)
		o := map[string]*Granter{"best": &best, "second": &second}[to.Name].Answer(now, q)
		h.Offered(now, &o)
	}
	h.Ask(now, nil)
	h.Failed(now, false) // the best one
	for range 8 {
		ask()
	}
	if _, _, ok := h.Probe(now); !ok {
		t.Fatal("no probe is due")
	}
	h.Probed(now, true)
	best.Stop()
	for range 4 {
		ask()
	}
	if diff := cmp.Diff([]string{"second", "best", "second", "second"}, asked[8:]); diff != "" {
		t.Errorf("VMs asked (-want +got):\n%s", diff)
	}
	if level := second.Level(now, "c"); level < 20 {
		t.Errorf("%v grants are stored after the move, want those from before it", level)
	}
	if o := best.Answer(now, Ask{VM: "a", Tests: true}); !o.Released {
		t.Error("a granter that stops answers a probe like one that does not")
	}
	now = now.Add(askInterval)
	h.Ask(now, nil)
	h.Failed(now, false)
	probes := 0
	for ; probes < 10; probes++ {
		if _, _, ok := h.Probe(now); !ok {
			break
		}
		h.Probed(now, true)
	}
	if probes != 1 {
		t.Errorf("%d VMs are probed at once after an ask has failed, want 1", probes)
	}
}
