package scheduler

// MaxLive is how many attempts of one sub-request run at once: one, its hedge, and one more because both may be on connections that
// became silent.
const MaxLive = 3

// Live holds the ids of the attempts of one sub-request that run. Zero is no id.
type Live[ID ~uint64] [MaxLive]ID

// Running returns how many attempts run.
func (l *Live[ID]) Running() int {
	n := 0
	for _, id := range l {
		if id != 0 {
			n++
		}
	}
	return n
}

// Attach adds an attempt. It panics when MaxLive attempts run already.
func (l *Live[ID]) Attach(id ID) {
	for k := range l {
		if l[k] == 0 {
			l[k] = id
			return
		}
	}
	panic("scheduler: a sub-request has too many attempts in flight")
}

// Detach removes an attempt that ended.
func (l *Live[ID]) Detach(id ID) {
	for k := range l {
		if l[k] == id {
			l[k] = 0
		}
	}
}
