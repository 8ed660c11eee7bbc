// Package scheduler orders requests by their due time and tracks the concurrent attempts of a sub-request.
//
// The state machines of packages router and forwarder share it. Like them, it reads no clock.
package scheduler

import (
	"container/heap"
	"time"
)

// Item is a request in a queue. HeapIndex points to the index of the item in the queue, which is -1 while it is in none.
type Item interface {
	Due() time.Time
	HeapIndex() *int
}

// Queue is a heap with the item that is due first at the front. Only Set and Remove keep its order; the methods of heap.Interface
// do not. The zero value is empty.
type Queue[T Item] []T

// Len implements heap.Interface.
func (q Queue[T]) Len() int { return len(q) }

// Less implements heap.Interface.
func (q Queue[T]) Less(i, j int) bool { return q[i].Due().Before(q[j].Due()) }

// Swap implements heap.Interface.
func (q Queue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	*q[i].HeapIndex(), *q[j].HeapIndex() = i, j
}

// Push implements heap.Interface.
func (q *Queue[T]) Push(x any) {
	item := x.(T)
	*item.HeapIndex() = len(*q)
	*q = append(*q, item)
}

// Pop implements heap.Interface.
func (q *Queue[T]) Pop() any {
	var none T
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = none
	*q = (*q)[:last]
	*item.HeapIndex() = -1
	return item
}

// Set adds an item, or moves it after its due time changed.
func (q *Queue[T]) Set(item T) {
	if at := *item.HeapIndex(); at >= 0 {
		heap.Fix(q, at)
		return
	}
	heap.Push(q, item)
}

// Remove removes an item if it is in the queue.
func (q *Queue[T]) Remove(item T) {
	if at := *item.HeapIndex(); at >= 0 {
		heap.Remove(q, at)
	}
}
