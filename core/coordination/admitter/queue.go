package admitter

import (
	"slices"
	"time"

	"comfreyroute/core/state/tabler"
)

const (
	// minRetryAfter is the least retry hint, so that rejected callers do not return at once.
	minRetryAfter = 10 * time.Millisecond
)

// Queue admits the requests of one service in one VM. The zero value admits everything whose deadline has not passed.
type Queue struct {
	row      tabler.ServiceRow
	limit    int // share of the operators' limit; 0 means none
	capacity int // what the upstreams can take; 0 means unknown
	inFlight int
	waiting  int
	estimate estimate
	callers  callers
	virtual  float64 // start tag of the last entry that left the queue
	order    uint64
	expiry   time.Time // no waiting entry expires earlier; zero when unknown
	dropped  []waiter  // left the queue without running
}

// waiter is an entry in the queue.
type waiter struct {
	Entry
	start float64 // virtual time
	order uint64
}

// Configure takes the policy of the service row. fleetMax is the most VMs that share its limit.
func (q *Queue) Configure(row *tabler.ServiceRow, fleetMax int) {
	q.row = *row
	q.limit = 0
	if row.InFlightLimit > 0 {
		q.limit = max(1, row.InFlightLimit/max(1, fleetMax))
	}
	for _, c := range q.callers.list {
		c.weight = q.weight(c.name)
	}
}

// SetCapacity sets how many requests the upstreams can take from this VM at once, 0 when unknown.
func (q *Queue) SetCapacity(requests int) { q.capacity = max(0, requests) }

// Offer decides about a request. An admitted request counts as in flight until Finished.
func (q *Queue) Offer(now time.Time, e Entry) Verdict {
	q.dropExpired(now)
	if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
		return reject(ReasonDeadline, 0)
	}
	c := q.callers.find(e.Caller)
	wait := q.wait(now, c)
	if q.late(e, now.Add(wait), now) {
		return reject(ReasonDeadline, wait)
	}
	if q.waiting == 0 && q.free() {
		q.inFlight++
		return Verdict{Decision: Admit}
	}
	if q.waiting >= q.length() && !q.displace(c) {
		return reject(ReasonQueueFull, wait)
	}
	if c == nil {
		c = q.callers.track(e.Caller, q.weight(e.Caller), q.virtual)
	}
	q.order++
	c.push(waiter{Entry: e, order: q.order}, q.virtual)
	q.waiting++
	if !e.Deadline.IsZero() && (q.waiting == 1 || e.Deadline.Before(q.expiry)) {
		q.expiry = e.Deadline
	}
	return Verdict{Decision: Wait}
}

// late tells whether an entry that starts at a time cannot meet its deadline. With nothing in flight it is tried: only a
// run can correct an estimate that is too high.
func (q *Queue) late(e Entry, start, now time.Time) bool {
	return !e.Deadline.IsZero() && q.inFlight > 0 && start.Add(q.needed(now)).After(e.Deadline)
}

// StartNext returns the waiting request that runs next, if there is one and capacity for it. It counts as in flight until
// Finished. Requests that can no longer meet their deadline leave the queue first, through Expire.
func (q *Queue) StartNext(now time.Time) (Entry, bool) {
	q.dropExpired(now)
	for q.waiting > 0 && q.free() {
		c := q.callers.next()
		w := c.pop()
		q.waiting--
		q.virtual = max(q.virtual, w.start)
		if q.late(w.Entry, now, now) {
			q.dropped = append(q.dropped, w)
			continue
		}
		q.inFlight++
		return w.Entry, true
	}
	return Entry{}, false
}

// Release ends one request in flight. elapsed is the time since it was admitted or taken by Next, 0 when it did not run.
func (q *Queue) Release(now time.Time, elapsed time.Duration) {
	q.inFlight = max(0, q.inFlight-1)
	if elapsed > 0 {
		q.estimate.add(now, elapsed)
	}
}

// Remove takes a waiting request out, such as one whose caller is gone. It returns false when the request does not wait.
func (q *Queue) Remove(request uint64) bool {
	same := func(w waiter) bool { return w.Request == request }
	for _, c := range q.callers.list {
		if i := slices.IndexFunc(c.entries, same); i >= 0 {
			c.entries = slices.Delete(c.entries, i, i+1)
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

// TakeDropped returns the requests that left the queue without running, in the order of their arrival: those that cannot meet
// their deadline and those that were displaced by a caller below its share.
func (q *Queue) TakeDropped(now time.Time) []Entry {
	q.dropExpired(now)
	slices.SortFunc(q.dropped, func(a, b waiter) int { return int(int64(a.order) - int64(b.order)) })
	var out []Entry
	for _, w := range q.dropped {
		out = append(out, w.Entry)
	}
	q.dropped = q.dropped[:0]
	return out
}

// NextExpiry returns when Expire may have something to return. The zero time means now.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.dropped) > 0 {
		return time.Time{}, true
	}
	return q.expiry, q.waiting > 0 && !q.expiry.IsZero()
}

// dropExpired takes the entries out whose deadline passed.
func (q *Queue) dropExpired(now time.Time) {
	if q.waiting == 0 {
		q.expiry = time.Time{}
		q.virtual = 0
		q.callers.reset()
		return
	}
	if q.expiry.IsZero() || now.Before(q.expiry) {
		return
	}
	q.expiry = time.Time{}
	for _, c := range q.callers.list {
		c.entries = slices.DeleteFunc(c.entries, func(w waiter) bool {
			switch {
			case w.Deadline.IsZero():
				return false
			case !now.Before(w.Deadline):
				q.dropped = append(q.dropped, w)
				q.waiting--
				return true
			case q.expiry.IsZero() || w.Deadline.Before(q.expiry):
				q.expiry = w.Deadline
			}
			return false
		})
	}
}

// displace makes room in a full queue for a caller that is below its share, by taking out the newest entry of the caller
// that is furthest above its own.
func (q *Queue) displace(c *caller) bool {
	own := 1.0
	if c != nil {
		own = float64(len(c.entries)+1) / c.weight
	}
	most := q.callers.most(c)
	if most == nil || most.use() <= own {
		return false
	}
	last := len(most.entries) - 1
	q.dropped = append(q.dropped, most.entries[last])
	most.entries = most.entries[:last]
	most.finish -= 1 / most.weight
	q.waiting--
	return true
}

func (q *Queue) length() int {
	if q.row.Queue > 0 {
		return q.row.Queue
	}
	return tabler.DefaultQueue
}

func (q *Queue) concurrency() int {
	switch {
	case q.limit == 0:
		return q.capacity
	case q.capacity == 0:
		return q.limit
	default:
		return min(q.limit, q.capacity)
	}
}

func (q *Queue) free() bool {
	n := q.concurrency()
	return n == 0 || q.inFlight < n
}

func reject(reason string, wait time.Duration) Verdict {
	return Verdict{Decision: Reject, Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}
