package admitter

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/sharer"
	"comfreyroute/core/state/tabler"
)

const (
	// minRetryAfter is the shortest retry hint, so that rejected callers do not retry at once.
	minRetryAfter = 10 * time.Millisecond
)

// Queue is the admission queue of one service in one VM. The zero value admits all requests whose deadline has not passed.
type Queue struct {
	row            tabler.ServiceRow
	limit          int // this VM's share of the limit that operators set; 0 means none
	capacity       int // concurrent requests that the upstreams can take; 0 means unknown
	inFlight       int
	waiting        int
	estimate       estimate
	callers        sharer.Queue[Entry]
	earliestExpiry time.Time // no waiting entry expires earlier; zero if unknown
	dropped        []waiter  // removed without running, not yet returned by TakeDropped
}

// waiter is an entry in the queue.
type waiter = sharer.Item[Entry]

// callerQueue holds the entries of one caller.
type callerQueue = sharer.User[Entry]

// Configure applies the settings of a service row. fleetMax is the maximum number of VMs that share its limit.
func (q *Queue) Configure(row *tabler.ServiceRow, fleetMax int) {
	q.row = *row
	q.limit = 0
	if row.InFlightLimit > 0 {
		q.limit = max(1, row.InFlightLimit/max(1, fleetMax))
	}
	for _, c := range q.callers.Users {
		c.Weight = q.weight(c.Name)
	}
}

// SetCapacity sets how many concurrent requests the upstreams can take from this VM, 0 if unknown.
func (q *Queue) SetCapacity(requests int) { q.capacity = max(0, requests) }

// Offer decides on a request. An admitted request counts as in flight until Release.
func (q *Queue) Offer(now time.Time, e Entry) Verdict {
	q.dropExpired(now)
	if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
		return reject(ReasonDeadline, 0)
	}
	c := q.callers.Find(e.Caller)
	wait := q.estimatedWait(now, c)
	if q.missesDeadline(e, now.Add(wait), now) {
		return reject(ReasonDeadline, wait)
	}
	if q.waiting == 0 && q.hasCapacity() {
		q.inFlight++
		return Verdict{Decision: Admit}
	}
	if q.waiting >= q.maxLength() && !q.displaceEntry(c) {
		return reject(ReasonQueueFull, wait)
	}
	if c == nil {
		c = q.callers.Add(e.Caller, q.weight(e.Caller))
	}
	q.callers.Push(c, 1, e)
	q.waiting++
	if !e.Deadline.IsZero() && (q.waiting == 1 || e.Deadline.Before(q.earliestExpiry)) {
		q.earliestExpiry = e.Deadline
	}
	return Verdict{Decision: Wait}
}

// missesDeadline reports whether an entry that starts at a given time is unlikely to meet its deadline. It returns false while
// nothing is in flight, because only a run can correct an estimate that is too high.
func (q *Queue) missesDeadline(e Entry, start, now time.Time) bool {
	return !e.Deadline.IsZero() && q.inFlight > 0 && start.Add(q.requiredTime(now)).After(e.Deadline)
}

// StartNext removes and returns the waiting request that runs next, if there is one and capacity for it. It counts as in flight
// until Release. Requests that can no longer meet their deadline are dropped and returned by TakeDropped.
func (q *Queue) StartNext(now time.Time) (Entry, bool) {
	q.dropExpired(now)
	for q.waiting > 0 && q.hasCapacity() {
		w := q.callers.Pop(q.callers.Next())
		q.waiting--
		if q.missesDeadline(w.Entry, now, now) {
			q.dropped = append(q.dropped, w)
			continue
		}
		q.inFlight++
		return w.Entry, true
	}
	return Entry{}, false
}

// Release ends one request in flight. elapsed is the time since it was admitted or returned by StartNext, 0 if it did not run.
func (q *Queue) Release(now time.Time, elapsed time.Duration) {
	q.inFlight = max(0, q.inFlight-1)
	if elapsed > 0 {
		q.estimate.add(now, elapsed)
	}
}

// Remove removes a waiting request, such as one whose caller is gone. It returns false if the request is not waiting.
func (q *Queue) Remove(request uint64) bool {
	same := func(w waiter) bool { return w.Entry.Request == request }
	for _, c := range q.callers.Users {
		if i := slices.IndexFunc(c.Items, same); i >= 0 {
			c.Items = slices.Delete(c.Items, i, i+1)
			q.waiting--
			return true
		}
	}
	if i := slices.IndexFunc(q.dropped, same); i >= 0 {
		q.dropped = slices.Delete(q.dropped, i, i+1)
		return true
	}
	return false
}

// TakeDropped removes and returns the requests that were dropped without running, in the order of their arrival: those that
// cannot meet their deadline and those that were displaced for a caller below its share.
func (q *Queue) TakeDropped(now time.Time) []Entry {
	q.dropExpired(now)
	slices.SortFunc(q.dropped, func(a, b waiter) int { return int(int64(a.Order) - int64(b.Order)) })
	var out []Entry
	for _, w := range q.dropped {
		out = append(out, w.Entry)
	}
	q.dropped = q.dropped[:0]
	return out
}

// NextExpiry returns the next time at which TakeDropped may return a request, or false if there is none. The zero time means now.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.dropped) > 0 {
		return time.Time{}, true
	}
	return q.earliestExpiry, q.waiting > 0 && !q.earliestExpiry.IsZero()
}

// dropExpired drops the entries whose deadline has passed.
func (q *Queue) dropExpired(now time.Time) {
	if q.waiting == 0 {
		q.earliestExpiry = time.Time{}
		q.callers.Reset()
		return
	}
	if q.earliestExpiry.IsZero() || now.Before(q.earliestExpiry) {
		return
	}
	q.earliestExpiry = time.Time{}
	for _, c := range q.callers.Users {
		c.Items = slices.DeleteFunc(c.Items, func(w waiter) bool {
			switch {
			case w.Entry.Deadline.IsZero():
				return false
			case !now.Before(w.Entry.Deadline):
				q.dropped = append(q.dropped, w)
				q.waiting--
				return true
			case q.earliestExpiry.IsZero() || w.Entry.Deadline.Before(q.earliestExpiry):
				q.earliestExpiry = w.Entry.Deadline
			}
			return false
		})
	}
}

// displaceEntry makes room in a full queue for a new entry of caller c, which is nil for a new caller. It drops the newest entry of
// the other caller with the largest weighted length, if that is larger than the one that c would get. It reports whether it did.
func (q *Queue) displaceEntry(c *callerQueue) bool {
	own := 1.0
	if c != nil {
		own = float64(len(c.Items)+1) / c.Weight
	}
	most := q.callers.Longest(c)
	if most == nil || most.WeightedLength() <= own {
		return false
	}
	q.dropped = append(q.dropped, q.callers.DropNewest(most))
	q.waiting--
	return true
}

func (q *Queue) maxLength() int {
	if q.row.Queue > 0 {
		return q.row.Queue
	}
	return tabler.DefaultQueue
}

func (q *Queue) maxInFlight() int {
	switch {
	case q.limit == 0:
		return q.capacity
	case q.capacity == 0:
		return q.limit
	default:
		return min(q.limit, q.capacity)
	}
}

func (q *Queue) hasCapacity() bool {
	n := q.maxInFlight()
	return n == 0 || q.inFlight < n
}

func reject(reason string, wait time.Duration) Verdict {
	return Verdict{Decision: Reject, Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}
