package admitter

const (
	// maxCallers bounds the callers with a queue of their own. Further callers share one queue.
	maxCallers = 1024
	// overflowCaller is the name of the queue that the callers above maxCallers share.
	overflowCaller = ""
)

// callerQueue is the queue of one caller in start-time fair queueing: each entry takes 1/weight of virtual time, and the entry
// with the earliest start tag runs next.
type callerQueue struct {
	name    string
	weight  float64
	finish  float64 // virtual finish time of the newest entry
	entries []waiter
}

func (c *callerQueue) push(w waiter, virtual float64) {
	w.start = max(virtual, c.finish)
	c.finish = w.start + 1/c.weight
	c.entries = append(c.entries, w)
}

func (c *callerQueue) pop() waiter {
	w := c.entries[0]
	c.entries = append(c.entries[:0], c.entries[1:]...)
	return w
}

// weightedLength returns the length of the queue divided by the caller's weight.
func (c *callerQueue) weightedLength() float64 { return float64(len(c.entries)) / c.weight }

// callerQueues holds the queues of all callers in the order in which they were first seen, so that replaying a trace results in
// the same decisions.
type callerQueues struct {
	list  []*callerQueue
	names map[string]*callerQueue
}

// find returns the queue of a caller, or nil if it has none.
func (s *callerQueues) find(name string) *callerQueue {
	if c := s.names[name]; c != nil || len(s.list) < maxCallers {
		return c
	}
	return s.names[overflowCaller]
}

// add adds a caller. At the bound it first removes callers without entries whose finish tag is not ahead of the virtual time. If
// that makes no room, the new caller uses the shared queue.
func (s *callerQueues) add(name string, weight, virtual float64) *callerQueue {
	if len(s.list) >= maxCallers {
		s.removeIdle(virtual)
	}
	if len(s.list) >= maxCallers {
		name, weight = overflowCaller, 1
		if c := s.names[name]; c != nil {
			return c
		}
	}
	if s.names == nil {
		s.names = make(map[string]*callerQueue)
	}
	c := &callerQueue{name: name, weight: weight}
	s.list = append(s.list, c)
	s.names[name] = c
	return c
}

func (s *callerQueues) removeIdle(virtual float64) {
	kept := s.list[:0]
	for _, c := range s.list {
		if len(c.entries) == 0 && c.finish <= virtual {
			delete(s.names, c.name)
			continue
		}
		kept = append(kept, c)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// reset removes all callers. No entry may be waiting.
func (s *callerQueues) reset() {
	if len(s.list) > 0 {
		*s = callerQueues{}
	}
}

// nextCaller returns the caller whose first entry runs next. At least one entry must be waiting.
func (s *callerQueues) nextCaller() *callerQueue {
	var best *callerQueue
	for _, c := range s.list {
		if len(c.entries) > 0 && (best == nil || c.entries[0].start < best.entries[0].start ||
			c.entries[0].start == best.entries[0].start && c.entries[0].order < best.entries[0].order) {
			best = c
		}
	}
	return best
}

// longest returns the caller other than c with the largest weighted queue length, or nil if no other has entries.
func (s *callerQueues) longest(c *callerQueue) *callerQueue {
	var most *callerQueue
	for _, o := range s.list {
		if o != c && len(o.entries) > 0 && (most == nil || o.weightedLength() > most.weightedLength()) {
			most = o
		}
	}
	return most
}
