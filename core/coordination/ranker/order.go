package ranker

import (
	"cmp"
	"time"
)

// Rank is the rank of a request, 0 the highest in each field.
type Rank struct {
	Detoured bool // another VM sent the request on: callers of this VM go first
	Customer int
	Route    int
}

// Compare orders ranks, the most urgent first.
func (r Rank) Compare(o Rank) int {
	if r.Detoured != o.Detoured {
		if o.Detoured {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.Customer, o.Customer), cmp.Compare(r.Route, o.Route))
}

// Place is the place of a request among all that wait.
type Place struct {
	Rank  Rank
	Start float64 // start tag in the fair queue of its rank
}

// Compare orders places, the first one first.
func (p Place) Compare(o Place) int {
	return cmp.Or(p.Rank.Compare(o.Rank), cmp.Compare(p.Start, o.Start))
}

// Waiter is a sub-request that waits for room at an upstream.
type Waiter struct {
	Place    Place
	Customer string
	TargetAt time.Time // end of the request's latency target
}

// Next returns the position of the waiter that goes next, -1 for none. The waiters are in the order of their places, and one that goes now usually
// has its reply at the given time.
//
// It answers a queue that is longer than the upstreams can serve in time. Of the highest rank, requests that still meet their target go
// before others. Among these the customer goes first whose turn it is, and of its requests the one whose target ends first.
func Next(waiters []Waiter, repliedAt time.Time) int {
	next := -1
	for i := range waiters {
		w := &waiters[i]
		if w.Place.Rank != waiters[0].Place.Rank {
			break
		}
		if next < 0 {
			next = i
			continue
		}
		o := &waiters[next]
		meets, otherMeets := !w.TargetAt.Before(repliedAt), !o.TargetAt.Before(repliedAt)
		if meets && !otherMeets || meets == otherMeets && w.Customer == o.Customer && w.TargetAt.Before(o.TargetAt) {
			next = i
		}
	}
	return next
}
