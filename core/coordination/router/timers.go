package router

import "container/heap"

// timers orders requests by the time at which they need attention.
type timers []*request

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*request)
	r.place = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*t = old[:n]
	r.place = -1
	return r
}

func (t *timers) set(r *request) {
	if r.place < 0 {
		heap.Push(t, r)
		return
	}
	heap.Fix(t, r.place)
}

func (t *timers) remove(r *request) {
	if r.place >= 0 {
		heap.Remove(t, r.place)
	}
}
