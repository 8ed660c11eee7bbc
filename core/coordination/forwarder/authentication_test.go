package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/authenticator"
)

// customersOf returns a directory of customers, each with one key.
func customersOf(byKey map[string]authenticator.Customer) *authenticator.Directory {
	d := &authenticator.Directory{}
	for key, c := range byKey {
		d.Add(c, []string{key})
	}
	return d
}

// TestAuthentication guards against requests that run without a valid key, under the name of another customer, or with the key itself passed
// on, and against peers that trust a VM whose manifest still has a withdrawn key.
func TestAuthentication(t *testing.T) {
	verified := Identity{Verified: true, Customer: "acme"}
	detour := func(i Identity, key string) *Detour {
		d := &Detour{Attempts: 1, Identity: i}
		if key != "" {
			d.Key = authenticator.DigestOf(key)
		}
		return d
	}
	cases := []struct {
		name      string
		customers *authenticator.Directory
		path      string
		keys      []string
		detour    *Detour
		want      Reason // None if the request is sent
		identity  Identity
	}{
		{"no customers configured", nil, "/one/", []string{"k"}, nil, None, Identity{}},
		{"known key", customersOf(map[string]authenticator.Customer{"k": {Name: "acme"}}), "/one/", []string{"k"}, nil, None, verified},
		{"unknown key", customersOf(map[string]authenticator.Customer{"k": {Name: "acme"}}), "/one/", []string{"K"}, nil, UnknownKey, Identity{}},
		{"no key", customersOf(nil), "/one/", nil, nil, NoKey, Identity{}},
		{"empty key", customersOf(map[string]authenticator.Customer{"": {Name: "acme"}}), "/one/", []string{""}, nil, NoKey, Identity{}},
		{"two keys", customersOf(map[string]authenticator.Customer{"k": {Name: "acme"}}), "/one/", []string{"k", "k"}, nil, SeveralKeys, Identity{}},
		{"anonymous route", customersOf(nil), "/open/", []string{"whatever"}, nil, None, Identity{Verified: true}},
		{"by a peer", customersOf(map[string]authenticator.Customer{"k": {Name: "acme"}}), "/one/", nil, detour(verified, "k"), None, verified},
		{"by a peer, withdrawn here", customersOf(nil), "/one/", nil, detour(verified, "k"), OtherManifest, Identity{}},
		{"by a peer, moved to another customer", customersOf(map[string]authenticator.Customer{"k": {Name: "other"}}), "/one/", nil, detour(verified, "k"), OtherManifest, Identity{}},
		{"by a peer without customers", customersOf(nil), "/one/", nil, detour(Identity{}, ""), OtherManifest, Identity{}},
		{"by a peer with customers, none here", nil, "/one/", nil, detour(verified, "k"), OtherManifest, Identity{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 2)
			m := testManifest(2, 2)
			open := m.Routes[1]
			open.Name, open.Prefix, open.Anonymous = "open", "/open/", true
			m = NewManifest(2, append(m.Routes, open), m.Services, m.Limits)
			m.Customers = c.customers
			h.step(ManifestAdopted{Manifest: m})
			if c.detour != nil {
				c.detour.Route = m.fingerprints[m.Match("h.example", c.path)]
			}
			h.step(RequestArrived{Request: 1, Message: &Message{RequestID: "1", Host: "h.example", Path: c.path, Target: c.path, Method: "GET"}, Keys: c.keys, Detour: c.detour})
			reason := None
			if o, ok := h.answers[1].Outcome.(Refused); ok {
				reason = o.Reason
			}
			if reason != c.want || (c.want == None) != (len(h.sent) == 1) {
				t.Fatalf("refused with %v after %d sends, want %v", reason, len(h.sent), c.want)
			}
			if c.want == None {
				if diff := cmp.Diff(c.identity, h.sent[0].Identity); diff != "" {
					t.Errorf("identity (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestCustomerPriority guards against a queue that ranks routes before customers, or that ignores the route among equal customers.
func TestCustomerPriority(t *testing.T) {
	ranked := func(n int) *authenticator.Customer {
		return &authenticator.Customer{Priority: authenticator.Priority{Rank: n, Set: true}}
	}
	cases := []struct {
		name string
		a, b *request
		want bool // a precedes b
	}{
		{"higher customer, lower route", &request{customer: ranked(0), route: &Route{Priority: 2}}, &request{customer: ranked(1), route: &Route{}}, true},
		{"lower customer, higher route", &request{customer: ranked(1), route: &Route{}}, &request{customer: ranked(0), route: &Route{Priority: 2}}, false},
		{"equal customers", &request{customer: ranked(1), route: &Route{Priority: 1}}, &request{customer: ranked(1), route: &Route{}}, false},
		{"another VM's, higher route", &request{detoured: &Detour{}, route: &Route{}}, &request{route: &Route{Priority: 1}}, false},
		{"customer without a rank", &request{customer: &authenticator.Customer{}, route: &Route{Priority: 1}}, &request{route: &Route{Priority: 2}}, true},
	}
	for _, c := range cases {
		if got := c.a.precedes(c.b); got != c.want {
			t.Errorf("%s: precedes is %v, want %v", c.name, got, c.want)
		}
	}
}
