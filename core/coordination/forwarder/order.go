package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/ranker"
	"comfreyroute/core/coordination/screener"
	"comfreyroute/core/coordination/sharer"
)

// minWork is the least work of a request in its customer's share. It counts while the usual time of a request is unknown.
const minWork = time.Millisecond

// OrderCounts counts what was decided about requests of customers when there was too little room.
type OrderCounts struct {
	Hopeless  uint64 // refused on arrival, because their turn would come too late
	Displaced uint64 // refused while they waited, because others go first
	Withheld  uint64 // extra sends that left the last token to others
}

// turn is the place of a request among those of the same rank. The zero value is that of a request which is ordered by rank and age only.
type turn struct {
	queue *sharer.Queue[struct{}] // nil if the manifest names no customers
	user  *sharer.User[struct{}]
	item  sharer.Item[struct{}]
}

// joinTurns gives a request its place, the same at all shards: with different ones, two requests might each miss a shard where one could have had
// all of them.
func (m *Machine) joinTurns(r *request) {
	if !r.identity.Verified {
		return
	}
	rank := r.rank()
	q := m.turns[rank]
	if q == nil {
		q = &sharer.Queue[struct{}]{}
		if m.turns == nil {
			m.turns = map[ranker.Rank]*sharer.Queue[struct{}]{}
		}
		m.turns[rank] = q
	}
	u := q.Find(r.identity.Customer)
	if u == nil {
		u = q.Add(r.identity.Customer, 1)
	}
	work := time.Duration(0)
	for index := range r.subs {
		work += r.subs[index].service.set.UsualLatency()
	}
	r.turn = turn{queue: q, user: u, item: q.Push(u, max(minWork, work).Seconds(), struct{}{})}
}

// leaveTurns takes a request out of those of its rank once nothing of it waits.
func (r *request) leaveTurns() {
	if r.ordered() && (r.finished || !r.waits()) {
		r.turn.queue.Leave(r.turn.user, r.turn.item.Order)
	}
}

// dequeueAll takes a request out of all queues.
func (r *request) dequeueAll() {
	for index := range r.subs {
		if sub := &r.subs[index]; sub.state == subWaiting {
			sub.service.dequeue(r, index)
		}
	}
	r.leaveTurns()
}

// ordered reports whether customers share the turns of the request's rank.
func (r *request) ordered() bool { return r.turn.queue != nil }

// waits reports whether a sub-request waits for an upstream.
func (r *request) waits() bool {
	return slices.ContainsFunc(r.subs, func(s subRequest) bool { return s.state == subWaiting })
}

func (r *request) rank() ranker.Rank {
	p := r.priorities()
	return ranker.Rank{Detoured: r.detoured != nil, Customer: p[0], Route: p[1]}
}

func (r *request) place() ranker.Place { return ranker.Place{Rank: r.rank(), Start: r.turn.item.Start} }

// targetAt returns the end of the latency target of a request. A route without one has its timeout for a target.
func (r *request) targetAt() time.Time {
	if target := r.route.LatencyTarget; target > 0 && r.arrived.Add(target).Before(r.answerBy) {
		return r.arrived.Add(target)
	}
	return r.answerBy
}

// next returns the position of the waiting sub-request that goes next.
func (s *service) next(now time.Time, waiters []ranker.Waiter) (int, []ranker.Waiter) {
	if !s.waiting[0].request.ordered() {
		return 0, waiters
	}
	waiters = waiters[:0]
	for _, w := range s.waiting {
		waiters = append(waiters, ranker.Waiter{Place: w.request.place(), Customer: w.request.identity.Customer, TargetAt: w.request.targetAt()})
	}
	return ranker.Next(waiters, now.Add(s.set.UsualLatency())), waiters
}

// displace refuses requests that the new request r leaves without a turn in time. Requests of which something was sent keep waiting: that work would
// be lost.
func (m *Machine) displace(now time.Time, r *request) {
	if !r.ordered() {
		return
	}
	for index := range r.subs {
		if r.subs[index].state != subWaiting {
			continue
		}
		s := r.subs[index].service
		at := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.request == r })
		shard := m.shardOf(now, s, 0)
		for _, w := range slices.Clone(s.waiting[at+1:]) {
			shard.Queue, shard.Steady = s.queuedBefore(w.request), w.request.gather == nil
			if w.request.untouched() && shard.Overdue(w.request.waitUntil.Sub(now)) {
				m.refuseOverdue(now, w.request, Displaced)
			}
		}
	}
}

// untouched reports whether a request is in progress here and certainly nothing of it has run or will.
func (r *request) untouched() bool {
	return r.ordered() && !r.finished && r.detour == nil && !r.mayHaveRun && r.runs() == 0 &&
		!slices.ContainsFunc(r.subs, func(s subRequest) bool { return s.inFlight.Count() > 0 })
}

// refuseOverdue refuses a request that too few shards can serve in time. It returns false if enough can.
func (m *Machine) refuseOverdue(now time.Time, r *request, reason Reason) bool {
	m.shards = m.shards[:0]
	for index := range r.subs {
		s := r.subs[index].service
		shard := m.shardOf(now, s, s.queuedBefore(r))
		// Among many shards a few estimates are always too high, and a gathered request is refused for the first two or three of them.
		shard.Steady = r.gather == nil
		m.shards = append(m.shards, shard)
	}
	rejected, ok := screener.Screen(m.shards, r.minShards, r.waitUntil.Sub(now)).(screener.Rejected)
	if !ok {
		return false
	}
	after := m.retryAfter(r)
	switch {
	case rejected.Until > 0:
		after = max(after, m.jitter(rejected.Until))
	case reason == Hopeless:
		reason = screenedReason(m.shards[rejected.Unreachable[0]])
	}
	switch reason {
	case Hopeless:
		m.Order.Hopeless++
	case Displaced:
		m.Order.Displaced++
	}
	p := Report{Route: r.route.Name, Manifest: r.manifestVersion, Elapsed: now.Sub(r.arrived)}
	for _, index := range rejected.Unreachable {
		p.Missing = append(p.Missing, MissingShard{Service: r.subs[index].service.name, Reason: screenedReason(m.shards[index])})
	}
	m.emit(Answer{Request: r.id, Outcome: Refused{Reason: reason, RetryAfter: after}, Report: p})
	m.finish(r)
	return true
}

// takeToken takes a token for an extra send of a sub-request. again is when it asks once more, now if it does not.
func (m *Machine) takeToken(now time.Time, r *request, sub *subRequest, again time.Time) bool {
	s := sub.service
	if !r.ordered() {
		return s.budget.TakeToken(now)
	}
	claim, tokens := ranker.Claim{Covered: r.succeeded >= r.minShards, Rank: r.rank()}, s.budget.Tokens(now)
	if !s.claims.Allow(now, claim, tokens) || !s.budget.TakeToken(now) {
		if tokens > 0 {
			m.Order.Withheld++
		}
		if again.After(now) {
			s.claims.RecordDenied(now, claim, again)
		}
		return false
	}
	s.claims.RecordTaken(claim)
	return true
}
