package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/authenticator"
	"comfreyroute/core/coordination/rationer"
)

// TestRation guards against requests that run without a grant, wait for one that never comes, or keep a grant from a more urgent one: it plays three
// requests that come at once, of which the first is in an ask before the others, and what the VM hears of its granter.
func TestRation(t *testing.T) {
	const sent = Reason(-1)
	granted := func(fresh, late int) func(rationer.Ask) *rationer.Offer {
		return func(rationer.Ask) *rationer.Offer {
			return &rationer.Offer{Grants: []rationer.Grant{{Customer: "acme", Requests: fresh, Late: late, After: time.Second}}}
		}
	}
	cases := []struct {
		name      string
		rate      float64
		offer     func(rationer.Ask) *rationer.Offer // nil for no answer
		deadlines []time.Duration                    // of /one/, /one/ and /all/ requests; the timeout of the routes is 1 s and their target 100 ms
		want      []Reason
	}{
		{"enough", 10, granted(3, 0), []time.Duration{0, 0, 0}, []Reason{sent, sent, sent}},
		{"one for each ask, the more urgent route first", 10, granted(1, 0), []time.Duration{0, 0, 0}, []Reason{sent, OverRate, sent}},
		{"none", 10, granted(0, 0), []time.Duration{0, 0, 0}, []Reason{OverRate, OverRate, OverRate}},
		{"late callers apart", 10, granted(2, 0), []time.Duration{500 * time.Millisecond, 0, 0}, []Reason{OverRate, sent, sent}},
		{"unknown to the granter", 10, func(rationer.Ask) *rationer.Offer {
			return &rationer.Offer{Grants: []rationer.Grant{{Customer: "acme", Unknown: true}}}
		}, []time.Duration{0, 0, 0}, []Reason{NoGrant, NoGrant, NoGrant}},
		{"no answer", 10, func(rationer.Ask) *rationer.Offer { return nil }, []time.Duration{0, 0, 0}, []Reason{NoGrant, NoGrant, NoGrant}},
		{"no limit", 0, nil, []time.Duration{0, 0, 0}, []Reason{sent, sent, sent}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 2)
			h.machine.Config.VM = "vm1"
			m := testManifest(2, 2)
			m.Routes[1].Priority = 2
			m = NewManifest(2, m.Routes, m.Services, m.Limits)
			m.Customers = customersOf(map[string]authenticator.Customer{"k": {Name: "acme", Rate: c.rate, Burst: c.rate}})
			var ask *AskGrants
			step := func(e Event) {
				for _, a := range h.machine.Step(h.now, e) {
					switch a := a.(type) {
					case AskGrants:
						ask = &a
					case Answer:
						h.answers[a.Request] = a
					case Send:
						h.sent = append(h.sent, a)
					}
				}
			}
			answer := func(o *rationer.Offer) {
				ask = nil
				step(GrantsOffered{Offer: o})
			}
			step(ManifestAdopted{Manifest: m})
			step(GrantersListed{Members: []rationer.Member{{Name: "vm0"}}})
			for ask != nil {
				answer(&rationer.Offer{}) // from now on the granter is known
			}
			for i, path := range []string{"/one/x", "/one/x", "/all/x"} {
				e := RequestArrived{Request: RequestID(i + 1), Message: &Message{RequestID: path, Host: "h.example", Path: path, Target: path, Method: "GET"}, Keys: []string{"k"}}
				if c.deadlines[i] > 0 {
					e.Deadline = h.now.Add(c.deadlines[i])
				}
				step(e)
			}
			for end := h.now.Add(time.Second); h.now.Before(end); h.now = h.now.Add(5 * time.Millisecond) {
				if ask != nil {
					answer(c.offer(ask.Ask))
				}
				step(TimerFired{})
			}
			var got []Reason
			for id := RequestID(1); id <= 3; id++ {
				reason := sent
				if o, ok := h.answers[id].Outcome.(Refused); ok {
					reason = o.Reason
				}
				got = append(got, reason)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("reasons (-want +got):\n%s", diff)
			}
		})
	}
}
