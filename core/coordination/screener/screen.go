package screener

import (
	"slices"
	"time"
)

// Shard is what a VM knows of one shard when a request arrives.
type Shard struct {
	Upstreams int           // that may get requests
	Free      int           // upstreams with room for another request
	Queue     int           // requests of this VM that wait for room and go first
	Places    int           // requests of this VM that the upstreams take at once whose declared rate allows another one
	Grant     time.Duration // without places: until the declared rate of an upstream allows another request
	Spacing   time.Duration // without places: between the requests that the declared rates of all upstreams allow
	Service   time.Duration // usual time of a request at an upstream; 0 if unknown
	Steady    bool          // places become free one after the other; otherwise all may do so at once
}

// Overdue reports whether a request waits for room at the shard for longer than patience: certainly, or usually if the shard is steady.
func (s Shard) Overdue(patience time.Duration) bool {
	wait, ok := s.wait()
	return !ok || wait > patience
}

// wait returns how long a new request waits for room at the shard. It returns false if the shard cannot serve it at all.
func (s Shard) wait() (time.Duration, bool) {
	switch {
	case s.Upstreams == 0:
		return 0, false
	case s.Places == 0:
		return s.Grant + time.Duration(s.Queue)*s.Spacing, true
	case s.Free > s.Queue:
		return 0, true
	}
	if s.Steady {
		return time.Duration(float64(s.Queue-s.Free+1) / float64(s.Places) * float64(s.Service)), true
	}
	// All places may become free at once, now, and the requests in the queue take them first.
	turns := (s.Queue - s.Free) / s.Places
	return time.Duration(turns) * s.Service, true
}

// Verdict is the result of a screening: Admitted or Rejected.
type Verdict interface{ isVerdict() }

// Admitted means that enough shards may serve the request in time.
type Admitted struct{}

// Rejected means that too few shards can serve the request in time.
type Rejected struct {
	Unreachable []int         // positions of the shards that cannot serve it
	Until       time.Duration // until enough shards have room; 0 if that is not known
}

func (Admitted) isVerdict() {}
func (Rejected) isVerdict() {}

// Screen decides about a request that needs a number of the shards and waits for each one no longer than patience.
func Screen(shards []Shard, needed int, patience time.Duration) Verdict {
	var unreachable []int
	var late []time.Duration
	for i, s := range shards {
		if !s.Overdue(patience) {
			continue
		}
		unreachable = append(unreachable, i)
		wait, ok := s.wait()
		// When the rate of this VM allows a request says nothing about other VMs, and a caller that retries reaches one of those.
		if ok && s.Places > 0 {
			late = append(late, wait)
		}
	}
	missing := needed - (len(shards) - len(unreachable))
	if missing <= 0 {
		return Admitted{}
	}
	r := Rejected{Unreachable: unreachable}
	if missing <= len(late) {
		slices.Sort(late)
		r.Until = late[missing-1] - patience
	}
	return r
}
