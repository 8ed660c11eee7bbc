package admitter

import (
	"slices"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// maxCallers bounds the callers tracked; the callers above it share one place.
	maxCallers = 1024
	// overflowCaller is the place of the callers above maxCallers.
	overflowCaller = ""
	// minRetryAfter is the least retry hint, so that rejected callers do not return at once.
	minRetryAfter = 10 * time.Millisecond
)

// Queue admits the requests of one service in one VM. The zero value admits everything whose deadline has not passed.
type Queue struct {
	row       tabler.ServiceRow
	limit     int // share of the operators' limit; 0 means none
	capacity  int // what the upstreams can take; 0 means unknown
	inFlight  int
	waiting   int
	estimate  estimate
	callers   map[string]*caller
	virtual   float64 // start tag of the last entry that left the queue
	order     uint64
	displaced []Entry
}

// caller is the queue of one caller in start-time fair queueing: each entry takes 1/weight of virtual time.
type caller struct {
	weight  float64
	finish  float64 // virtual finish time of the newest entry
	entries []waiter
}

type waiter struct {
	Entry
	start float64
	order uint64
}

// Configure takes the policy of the service row. fleetMax is the most VMs that share its limit.
func (q *Queue) Configure(row *tabler.ServiceRow, fleetMax int) {
	q.row = *row
	q.limit = 0
	if row.InFlightLimit > 0 {
		q.limit = max(1, row.InFlightLimit/max(1, fleetMax))
	}
	for name, c := range q.callers {
		c.weight = q.weight(name)
	}
}

// SetCapacity sets how many requests the upstreams can take from this VM at once, 0 when unknown.
func (q *Queue) SetCapacity(requests int) { q.capacity = max(0, requests) }

// Offer decides about a request. An admitted request counts as in flight until Finished.
func (q *Queue) Offer(now time.Time, e Entry) Verdict {
	q.dropExpired(now)
	c, name := q.lookup(e.Caller)
	wait := q.wait(now, c)
	if !e.Deadline.IsZero() && now.Add(wait+q.needed(now)).After(e.Deadline) {
		if !now.Before(e.Deadline) || q.inFlight > 0 {
			return reject(ReasonDeadline, wait)
		}
	}
	if q.waiting == 0 && q.free() {
		q.inFlight++
		return Verdict{Decision: Admit}
	}
	if v, full := q.makeRoom(c, wait); full {
		return v
	}
	if c == nil {
		c = q.track(name)
	}
	q.order++
	start := max(q.virtual, c.finish)
	c.finish = start + 1/c.weight
	c.entries = append(c.entries, waiter{Entry: e, start: start, order: q.order})
	q.waiting++
	return Verdict{Decision: Wait}
}

// Next returns the waiting request that runs next, if there is one and capacity for it. It counts as in flight until Finished.
func (q *Queue) Next(now time.Time) (Entry, bool) {
	if q.waiting == 0 || !q.free() {
		return Entry{}, false
	}
	q.dropExpired(now)
	var best *caller
	for _, c := range q.callers {
		if len(c.entries) > 0 && (best == nil || c.entries[0].before(best.entries[0])) {
			best = c
		}
	}
	if best == nil {
		return Entry{}, false
	}
	w := best.entries[0]
	best.entries = slices.Delete(best.entries, 0, 1)
	q.virtual = max(q.virtual, w.start)
	q.waiting--
	q.inFlight++
	q.forget()
	return w.Entry, true
}

// Finished ends one request in flight. elapsed is the time since it was admitted or taken by Next.
func (q *Queue) Finished(now time.Time, elapsed time.Duration) {
	q.inFlight = max(0, q.inFlight-1)
	q.estimate.add(now, elapsed)
}

// Remove takes a waiting request out, such as one whose caller is gone. It returns false when the request does not wait.
func (q *Queue) Remove(request uint64) bool {
	for _, c := range q.callers {
		for i := range c.entries {
			if c.entries[i].Request == request {
				c.entries = slices.Delete(c.entries, i, i+1)
				q.waiting--
				q.forget()
				return true
			}
		}
	}
	i := slices.IndexFunc(q.displaced, func(e Entry) bool { return e.Request == request })
	if i < 0 {
		return false
	}
	q.displaced = slices.Delete(q.displaced, i, i+1)
	return true
}

// Expire returns the requests that left the queue without running: those whose deadline passed and those that were displaced.
func (q *Queue) Expire(now time.Time) []Entry {
	q.dropExpired(now)
	out := q.displaced
	q.displaced = nil
	return out
}

// NextExpiry returns when Expire has something to return. The zero time means now.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.displaced) > 0 {
		return time.Time{}, true
	}
	var first time.Time
	found := false
	for _, c := range q.callers {
		for i := range c.entries {
			if d := c.entries[i].Deadline; !d.IsZero() && (!found || d.Before(first)) {
				first, found = d, true
			}
		}
	}
	return first, found
}

func (w waiter) before(o waiter) bool {
	return w.start < o.start || w.start == o.start && w.order < o.order
}

func (q *Queue) dropExpired(now time.Time) {
	if q.waiting == 0 {
		return
	}
	for _, c := range q.callers {
		c.entries = slices.DeleteFunc(c.entries, func(w waiter) bool {
			if w.Deadline.IsZero() || now.Before(w.Deadline) {
				return false
			}
			q.displaced = append(q.displaced, w.Entry)
			q.waiting--
			return true
		})
	}
	q.forget()
}

func reject(reason string, wait time.Duration) Verdict {
	return Verdict{Decision: Reject, Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}
