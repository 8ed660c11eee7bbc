package rationer

import (
	"testing"
	"time"
)

// TestBurstOnce guards against a burst that is given out again: by a granter that earned it before its VMs turned to another one, was asked by
// VMs before it knew the fleet, or saw a customer leave the manifest and return, for odd numbers in a message, or at a VM without a granter.
func TestBurstOnce(t *testing.T) {
	limits := map[string]Limit{"c": {Rate: 10, Burst: 100}}
	all := []Want{{"c", 1000, 0}}
	earn := func(g *Granter, now time.Time) time.Time {
		for range 120 {
			now = now.Add(askInterval)
			g.Answer(now, Ask{VM: "a"})
			g.Answer(now, Ask{VM: "b"})
		}
		return now
	}
	known := func() *Granter {
		var g Granter
		g.SetFleet(epoch, 2)
		g.SetLimits(epoch, limits)
		return &g
	}
	cases := []struct {
		name string
		max  int
		got  func() int
	}{
		{"a customer is first asked for after the VMs were away", 1, func() int {
			g := known()
			now := earn(g, epoch).Add(10 * time.Second)
			g.Answer(now, Ask{VM: "a"})
			return g.Answer(now, Ask{VM: "a", Wants: all}).Grants[0].Requests
		}},
		{"asked before the fleet is known", 1, func() int {
			var g Granter
			now := earn(&g, epoch)
			g.SetFleet(now, 2)
			g.SetLimits(now, limits)
			return g.Answer(now, Ask{VM: "a", Wants: all}).Grants[0].Requests
		}},
		{"a VM knows neither the fleet nor a granter", 0, func() int {
			var h Holder
			h.SetLimits(limits)
			h.SetMembers(nil)
			n := 0
			for i := range 30 {
				if h.Admit(epoch.Add(time.Duration(i)*time.Second), "c") == Granted {
					n++
				}
			}
			return n
		}},
		{"more VMs than are known", 10, func() int {
			var g Granter
			g.SetFleet(epoch, 1)
			g.SetLimits(epoch, limits)
			g.Answer(epoch, Ask{VM: "a"})
			g.Answer(epoch, Ask{VM: "b"})
			g.Answer(epoch.Add(time.Second), Ask{VM: "a", Wants: all})
			return g.Answer(epoch.Add(time.Second), Ask{VM: "b", Wants: all}).Grants[0].Requests +
				g.Answer(epoch.Add(2*time.Second), Ask{VM: "b", Wants: all}).Grants[0].Requests
		}},
		{"the customer returns", 1, func() int {
			g := known()
			now := earn(g, epoch)
			g.Answer(now, Ask{VM: "a", Wants: all})
			g.SetLimits(now, nil)
			g.SetLimits(now, limits)
			return g.Answer(now, Ask{VM: "a", Wants: all}).Grants[0].Requests
		}},
		{"less than no request", 1, func() int {
			g := known()
			now := earn(g, epoch)
			g.Answer(now, Ask{VM: "a", Wants: all})
			return g.Answer(now, Ask{VM: "a", Wants: []Want{{"c", -1000, 0}, {"c", 1000, 0}, {"c", 0, -1000}, {"c", 1000, 0}}}).Grants[1].Requests
		}},
		{"a share is used, handed over and used again", 0, func() int {
			h := Holder{Self: "a"}
			h.SetMembers([]Member{{Name: "a"}})
			h.SetLimits(limits)
			now := epoch
			answer := func(o *Offer) {
				now = now.Add(time.Minute)
				if _, _, ok := h.Ask(now, nil); !ok {
					t.Fatal("no ask is due")
				}
				if o != nil {
					h.Offered(now, o)
				} else {
					h.Failed(now, false)
				}
			}
			answer(nil)
			h.Admit(now, "c")
			now = now.Add(2 * time.Second)
			h.Admit(now, "c") // stores the share of half a second
			answer(&Offer{})  // to the test
			answer(&Offer{})
			answer(nil)
			answer(nil)
			n := 0
			for h.Admit(now, "c") == Granted {
				n++
			}
			return n
		}},
	}
	for _, c := range cases {
		if got := c.got(); got > c.max {
			t.Errorf("%s: %d requests are granted, want %d at most", c.name, got, c.max)
		}
	}
}
