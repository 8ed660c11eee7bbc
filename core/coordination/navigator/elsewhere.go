package navigator

import "time"

const (
	// reachedLifetime is how long the word of a peer that it reaches an upstream counts.
	reachedLifetime = 2 * time.Second
	// unreachedLifetime is how long the word of peers that they reach none either counts. Then one request asks again.
	unreachedLifetime = 500 * time.Millisecond
	// minUnreached is how many answers in turn must say that peers reach none. A peer may have lost its upstreams like this VM.
	minUnreached = 3
	// askTimeout is how long the answer to such a request is awaited before another one asks.
	askTimeout = time.Second
)

// Elsewhere is what peers say of upstreams that this VM does not reach. It distinguishes a VM that is cut off from upstreams that are down
// for all VMs. The zero value knows nothing.
type Elsewhere struct {
	reachedAt   time.Time // a peer last served a request there
	unreachedAt time.Time // a peer last said that it does not reach them either
	unreached   int       // how many peers have said so since a peer last served a request
	askedAt     time.Time // a request was last sent to find out
}

// RecordReached records that a peer reached the upstreams.
func (e *Elsewhere) RecordReached(now time.Time) {
	e.reachedAt, e.askedAt, e.unreached = now, time.Time{}, 0
}

// RecordUnreached records that a peer did not reach the upstreams.
func (e *Elsewhere) RecordUnreached(now time.Time) {
	e.unreachedAt, e.askedAt = now, time.Time{}
	e.unreached = min(e.unreached+1, minUnreached)
}

// RecordNoAnswer records that a request which asked a peer found nothing out, so that another one may ask.
func (e *Elsewhere) RecordNoAnswer() { e.askedAt = time.Time{} }

// Reached reports whether a peer reached the upstreams lately, and not too many have failed to since.
func (e *Elsewhere) Reached(now time.Time) bool {
	return !e.reachedAt.IsZero() && now.Sub(e.reachedAt) < reachedLifetime && e.unreached < minUnreached
}

// Unreached reports whether peers lately did not reach the upstreams either.
func (e *Elsewhere) Unreached(now time.Time) bool {
	return e.unreached >= minUnreached && now.Sub(e.unreachedAt) < unreachedLifetime
}

// Ask reports whether a request may go through a peer: all of them while peers reach the upstreams, and otherwise one at a time to find out.
func (e *Elsewhere) Ask(now time.Time) bool {
	switch {
	case e.Reached(now):
		return true
	case e.Unreached(now), !e.askedAt.IsZero() && now.Sub(e.askedAt) < askTimeout:
		return false
	}
	e.askedAt = now
	return true
}
