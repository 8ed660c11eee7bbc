package scheduler

// MaxInFlight limits the concurrent attempts of one sub-request: the first, its hedge, and a third in case both are on
// unresponsive connections.
const MaxInFlight = 3

// InFlight holds the ids of the attempts in flight of one sub-request. Zero marks a free place.
type InFlight[ID ~uint64] [MaxInFlight]ID

// Count returns the number of attempts in flight.
func (f *InFlight[ID]) Count() int {
	n := 0
	for _, id := range f {
		if id != 0 {
			n++
		}
	}
	return n
}

// Add adds an attempt. It panics if MaxInFlight attempts are already in flight.
func (f *InFlight[ID]) Add(id ID) {
	for k := range f {
		if f[k] == 0 {
			f[k] = id
			return
		}
	}
	panic("scheduler: a sub-request has too many attempts in flight")
}

// Remove removes an attempt that ended.
func (f *InFlight[ID]) Remove(id ID) {
	for k := range f {
		if f[k] == id {
			f[k] = 0
		}
	}
}
