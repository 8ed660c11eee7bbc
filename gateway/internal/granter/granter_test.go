package granter

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/authenticator"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/rationer"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/gateway/internal/relayer"
)

// TestClient guards against an ask that ends in something else than what happened at the granter: a request would run without a grant, or a share would
// count at two granters.
func TestClient(t *testing.T) {
	log := logger.New(io.Discard, "vm")
	ends := func(grants ...rationer.Grant) []forwarder.Event {
		return []forwarder.Event{forwarder.GrantsOffered{Offer: &rationer.Offer{Grants: grants, Released: grants == nil}}, forwarder.GranterDisconnected{Name: "g"}}
	}
	cases := []struct {
		name     string
		customer string // of the granter's manifest
		prepare  func(*Granter, net.Listener)
		silent   bool // connections are opened, and nobody answers
		want     []forwarder.Event
	}{
		{name: "answers, and ends", customer: "c", want: ends(rationer.Grant{Customer: "c", Requests: 2})},
		{name: "another manifest", customer: "d", want: ends(rationer.Grant{Customer: "c", Unknown: true})},
		{name: "stops", customer: "c", prepare: func(g *Granter, _ net.Listener) { g.StartShutdown() }, want: ends()},
		{name: "has ended", prepare: func(_ *Granter, l net.Listener) { _ = l.Close() }, want: []forwarder.Event{forwarder.GrantsOffered{Unsent: true}}},
		{name: "does not answer", silent: true, want: []forwarder.Event{forwarder.GrantsOffered{}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Granter{Log: log}
			g.Configure(rationer.Terms{Slack: 50})
			g.SetFleet(1)
			m := forwarder.NewManifest(1, nil, nil, forwarder.Limits{})
			m.Customers = &authenticator.Directory{}
			m.Customers.Add(authenticator.Customer{Name: c.customer, Rate: 10, Burst: 100}, nil)
			g.SetManifest(m)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if c.prepare != nil {
				c.prepare(g, l)
			}
			events := make(chan forwarder.Event, 8)
			client := NewClient(netip.AddrPort{}, g, func(e forwarder.Event) { events <- e })
			serving, end := context.WithCancel(t.Context())
			defer end()
			if client.Timeout = 20 * time.Second; c.silent {
				client.Timeout = 50 * time.Millisecond // the backlog of the listener takes the connection
			} else {
				go func() { _ = relayer.Serve(serving, l, &relayer.History{}, func(error) {}, g.Method().Register) }() // ends with its context
			}
			go client.Run(t.Context())
			client.Ask(forwarder.AskGrants{
				To:  rationer.Member{Name: "g", Address: netip.MustParseAddrPort(l.Addr().String())},
				Ask: rationer.Ask{VM: "a", Joins: true, Wants: []rationer.Want{{Customer: "c", Requests: 2}}},
			})
			var got []forwarder.Event
			for range c.want {
				e := <-events
				if o, ok := e.(forwarder.GrantsOffered); ok && o.Offer != nil {
					o.Offer.Mark = rationer.Mark{}
				}
				got = append(got, e)
				end()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}
