package forwarder

import (
	"time"

	"comfreyroute/core/coordination/screener"
)

// shardOf returns what this VM knows of a shard at which a number of sub-requests wait before the one that is decided about.
func (m *Machine) shardOf(now time.Time, s *service, queue int) screener.Shard {
	shard := screener.Shard{Queue: queue, Service: s.set.UsualLatency()}
	shard.Upstreams, shard.Free, shard.Places = s.set.Room(now)
	if shard.Upstreams > 0 && shard.Places == 0 {
		shard.Grant, shard.Spacing = s.set.NextGrant(now, nil).Sub(now), s.set.GrantSpacing(now)
	}
	return shard
}

// screen decides whether a request can reach enough shards, and refuses it if not. It returns false for a refused request.
func (m *Machine) screen(now time.Time, r *request) bool {
	if r.ordered() {
		return !m.refuseOverdue(now, r, Hopeless)
	}
	m.shards = m.shards[:0]
	for index := range r.subs {
		s := r.subs[index].service
		m.shards = append(m.shards, m.shardOf(now, s, s.queuedBefore(r)))
	}
	rejected, ok := screener.Screen(m.shards, r.minShards, r.waitUntil.Sub(now)).(screener.Rejected)
	if !ok {
		return true
	}
	reason, after := screenedReason(m.shards[rejected.Unreachable[0]]), m.retryAfter(r)
	if rejected.Until > 0 {
		reason, after = Busy, max(after, m.jitter(rejected.Until))
	}
	p := Report{Route: r.route.Name, Customer: r.identity.Customer, Manifest: r.manifestVersion}
	for _, index := range rejected.Unreachable {
		p.Missing = append(p.Missing, MissingShard{Service: r.subs[index].service.name, Reason: screenedReason(m.shards[index])})
	}
	m.emit(Answer{Request: r.id, Outcome: Refused{Reason: reason, RetryAfter: after}, Report: p})
	m.finish(r)
	return false
}

// screenedReason returns why a shard cannot serve a request.
func screenedReason(s screener.Shard) Reason {
	switch {
	case s.Upstreams == 0:
		return NoUpstream
	case s.Places == 0:
		return RateLimited
	default:
		return Busy
	}
}

// queuedBefore returns how many sub-requests in the queue go before those of a new request.
func (s *service) queuedBefore(r *request) int {
	n := 0
	for n < len(s.waiting) && s.waiting[n].request.precedes(r) {
		n++
	}
	return n
}
