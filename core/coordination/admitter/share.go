package admitter

const (
	// maxCallers bounds the callers tracked; the callers above it share one place.
	maxCallers = 1024
	// overflowCaller is the place of the callers above maxCallers.
	overflowCaller = ""
)

// caller is the queue of one caller in start-time fair queueing: each entry takes 1/weight of virtual time, and the entry
// with the earliest start runs next.
type caller struct {
	name    string
	weight  float64
	finish  float64 // virtual finish time of the newest entry
	entries []waiter
}

func (c *caller) push(w waiter, virtual float64) {
	w.start = max(virtual, c.finish)
	c.finish = w.start + 1/c.weight
	c.entries = append(c.entries, w)
}

func (c *caller) pop() waiter {
	w := c.entries[0]
	c.entries = append(c.entries[:0], c.entries[1:]...)
	return w
}

// use is the length of the queue relative to the caller's weight.
func (c *caller) use() float64 { return float64(len(c.entries)) / c.weight }

// callers holds the queues of the callers in the order in which they were first seen, so that a replayed trace gives the
// same decisions.
type callers struct {
	list  []*caller
	names map[string]*caller
}

// find returns the queue of a caller, nil when it has none.
func (s *callers) find(name string) *caller {
	if c := s.names[name]; c != nil || len(s.list) < maxCallers {
		return c
	}
	return s.names[overflowCaller]
}

// track adds a caller. When the bound is reached, callers without entries and without virtual time ahead are forgotten;
// if that makes no room, the new one shares the common place.
func (s *callers) track(name string, weight, virtual float64) *caller {
	if len(s.list) >= maxCallers {
		s.forget(virtual)
	}
	if len(s.list) >= maxCallers {
		name, weight = overflowCaller, 1
		if c := s.names[name]; c != nil {
			return c
		}
	}
	if s.names == nil {
		s.names = make(map[string]*caller)
	}
	c := &caller{name: name, weight: weight}
	s.list = append(s.list, c)
	s.names[name] = c
	return c
}

func (s *callers) forget(virtual float64) {
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

// reset forgets all callers; nothing waits.
func (s *callers) reset() {
	if len(s.list) > 0 {
		*s = callers{}
	}
}

// next returns the caller whose first entry runs next. At least one entry must wait.
func (s *callers) next() *caller {
	var best *caller
	for _, c := range s.list {
		if len(c.entries) > 0 && (best == nil || c.entries[0].start < best.entries[0].start ||
			c.entries[0].start == best.entries[0].start && c.entries[0].order < best.entries[0].order) {
			best = c
		}
	}
	return best
}

// most returns the caller other than c with the longest queue relative to its weight.
func (s *callers) most(c *caller) *caller {
	var most *caller
	for _, o := range s.list {
		if o != c && len(o.entries) > 0 && (most == nil || o.use() > most.use()) {
			most = o
		}
	}
	return most
}
