package registrar

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/exchanger"
)

// Limits of the news in a message. Notify sends news at once; heartbeats repeat the latest news until it expires.
const (
	maxSuspicions = 16
	maxDrains     = 16
	drainLifetime = 30 * time.Second // how long messages repeat the news of a draining upstream
	maxRemaining  = time.Hour        // limit of a duration in a message; a longer one is an error of the sender
)

// news holds what messages to peers carry besides the membership and the table revisions.
type news struct {
	vm         string
	suspicions []router.SpreadSuspicion
	drains     []drain
}

type drain struct {
	router.SpreadDrain
	expires time.Time
}

// add stores a suspicion or a draining upstream. It replaces an earlier entry for the same signature or upstream.
func (n *news) add(now time.Time, a router.Action) {
	switch a := a.(type) {
	case router.SpreadSuspicion:
		n.suspicions = slices.DeleteFunc(n.suspicions, func(s router.SpreadSuspicion) bool {
			return s.Signature == a.Signature && s.Service == a.Service
		})
		n.suspicions = latest(append(n.suspicions, a), maxSuspicions)
	case router.SpreadDrain:
		n.drains = slices.DeleteFunc(n.drains, func(d drain) bool { return d.Service == a.Service && d.Upstream == a.Upstream })
		n.drains = latest(append(n.drains, drain{a, now.Add(drainLifetime)}), maxDrains)
	}
}

// latest returns the last limit entries of list.
func latest[T any](list []T, limit int) []T { return slices.Delete(list, 0, max(0, len(list)-limit)) }

// addToMessage adds the news that has not expired to a message. Times on the wire are relative, because the clocks of the VMs
// differ.
func (n *news) addToMessage(now time.Time, m *exchanger.News) {
	n.suspicions = slices.DeleteFunc(n.suspicions, func(s router.SpreadSuspicion) bool { return !now.Before(s.Expires) })
	n.drains = slices.DeleteFunc(n.drains, func(d drain) bool { return !now.Before(d.expires) })
	for _, s := range n.suspicions {
		m.Suspicions = append(m.Suspicions, &exchanger.Suspicion{
			Signature: s.Signature, Service: s.Service, Confirmed: s.Confirmed, Crashes: uint32(s.Crashes),
			ExpiresInMs: s.Expires.Sub(now).Milliseconds(), NextProbeInMs: max(0, s.NextProbe.Sub(now).Milliseconds()), Origin: n.vm,
		})
	}
	for _, d := range n.drains {
		m.Drains = append(m.Drains, &exchanger.Drain{
			Service: d.Service, Upstream: d.Upstream, Incarnation: d.Incarnation, Draining: d.Leaving,
			ExpiresInMs: d.expires.Sub(now).Milliseconds(),
		})
	}
}

// routerEvents converts the news in a peer's message to events of the router.
func routerEvents(now time.Time, n *exchanger.News) []router.Event {
	var events []router.Event
	after := func(ms int64) time.Time {
		return now.Add(time.Duration(min(max(ms, 0), maxRemaining.Milliseconds())) * time.Millisecond)
	}
	for _, s := range n.GetSuspicions()[:min(len(n.GetSuspicions()), maxSuspicions)] {
		events = append(events, router.SuspicionHeard{
			Signature: s.GetSignature(), Service: s.GetService(), Confirmed: s.GetConfirmed(), Crashes: int(s.GetCrashes()),
			Expires: after(s.GetExpiresInMs()), NextProbe: after(s.GetNextProbeInMs()),
		})
	}
	for _, d := range n.GetDrains()[:min(len(n.GetDrains()), maxDrains)] {
		events = append(events, router.UpstreamLeaving{
			Service: d.GetService(), Upstream: d.GetUpstream(), Incarnation: d.GetIncarnation(), Leaving: d.GetDraining(),
		})
	}
	return events
}

// compareUpstreams orders upstreams by service and name, so that their events have a fixed order.
func compareUpstreams(a, b Upstream) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
}
