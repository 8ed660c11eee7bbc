package admitter

import (
	"time"

	"comfreyroute/core/state/tabler"
)

func (q *Queue) weight(name string) float64 {
	for i := range q.row.Callers {
		if q.row.Callers[i].Caller == name {
			return float64(max(1, q.row.Callers[i].Weight))
		}
	}
	return 1
}

// lookup returns the queue of a caller, nil when it has none, and the name under which it is tracked.
func (q *Queue) lookup(name string) (*caller, string) {
	if c := q.callers[name]; c != nil {
		return c, name
	}
	if len(q.callers) >= maxCallers {
		return q.callers[overflowCaller], overflowCaller
	}
	return nil, name
}

func (q *Queue) track(name string) *caller {
	if q.callers == nil {
		q.callers = make(map[string]*caller)
	}
	c := &caller{weight: q.weight(name)}
	q.callers[name] = c
	return c
}

// forget drops the callers that have nothing waiting and no virtual time ahead of the others.
func (q *Queue) forget() {
	for name, c := range q.callers {
		if len(c.entries) == 0 && (q.waiting == 0 || c.finish <= q.virtual) {
			delete(q.callers, name)
		}
	}
	if q.waiting == 0 {
		q.virtual = 0
	}
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

// makeRoom keeps the queue within its bound. A full queue takes an entry only from a caller below its share, by
// displacing the newest entry of the caller that is furthest above its own.
func (q *Queue) makeRoom(c *caller, wait time.Duration) (Verdict, bool) {
	if q.waiting < q.length() {
		return Verdict{}, false
	}
	own := 1.0
	if c != nil {
		own = float64(len(c.entries)+1) / c.weight
	}
	var most *caller
	for _, o := range q.callers {
		if o != c && len(o.entries) > 0 && (most == nil || o.use() > most.use()) {
			most = o
		}
	}
	if most == nil || most.use() <= own {
		return reject(ReasonQueueFull, wait), true
	}
	last := len(most.entries) - 1
	q.displaced = append(q.displaced, most.entries[last].Entry)
	most.entries = most.entries[:last]
	most.finish -= 1 / most.weight
	q.waiting--
	return Verdict{}, false
}

func (c *caller) use() float64 { return float64(len(c.entries)) / c.weight }

// wait estimates how long a new entry of a caller waits: each other caller runs at most its own share before it.
func (q *Queue) wait(now time.Time, c *caller) time.Duration {
	n := q.concurrency()
	if n == 0 || q.waiting == 0 && q.inFlight < n {
		return 0
	}
	weight, own := 1.0, 0
	if c != nil {
		weight, own = c.weight, len(c.entries)
	}
	ahead := float64(own + 1)
	for _, o := range q.callers {
		if o != c {
			ahead += min(float64(len(o.entries)), float64(own+1)*o.weight/weight)
		}
	}
	return time.Duration(ahead / float64(n) * float64(q.estimate.mean(now)))
}
