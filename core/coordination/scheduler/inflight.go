package scheduler

// MaxInFlight is how many attempts of one sub-request run at once: one, its hedge, and one more because both may be on connections that
// became silent.
const MaxInFlight = 3

// InFlight holds the ids of the attempts of one sub-request that run. Zero is no id.
type InFlight[ID ~uint64] [MaxInFlight]ID

// Count returns how many attempts run.
func (l *InFlight[ID]) Count() int {
	n := 0
	for _, id := range l {
		if id != 0 {
			n++
		}
	}
	return n
}

// Add adds an attempt. It panics when MaxLive attempts run already.
func (l *InFlight[ID]) Add(id ID) {
	for k := range l {
		if l[k] == 0 {
			l[k] = id
			return
		}
	}
	panic("scheduler: a sub-request has too many attempts in flight")
}

// Remove removes an attempt that ended.
func (l *InFlight[ID]) Remove(id ID) {
	for k := range l {
		if l[k] == id {
			l[k] = 0
		}
	}
}
