package navigator

import "time"

const (
	// reachedLifetime is how long the word of a peer that it reaches an upstream counts.
	reachedLifetime = 2 * time.Second
	// unreachedLifetime is how long the word of peers that they reach none either counts. Then one request asks again.
	unreachedLifetime = 500 * time.Millisecond
	// askTimeout is how long the answer to such a request is awaited before another one asks.
	askTimeout = time.Second
)

// Elsewhere is what peers say of upstreams that this VM does not reach. It distinguishes a VM that is cut off from upstreams that are down
// for all VMs. The zero value knows nothing.
type Elsewhere struct {
	reachedAt   time.Time // a peer last served a request there
	unreachedAt time.Time // a peer last said that it does not reach them either
	askedAt     time.Time // a request was last sent to find out
}

// RecordReached records that a peer reached the upstreams.
func (e *Elsewhere) RecordReached(now time.Time) { e.reachedAt, e.askedAt = now, time.Time{} }

// RecordUnreached records that a peer did not reach the upstreams.
func (e *Elsewhere) RecordUnreached(now time.Time) { e.unreachedAt, e.askedAt = now, time.Time{} }

// Reached reports whether a peer reached the upstreams lately, and none has failed to since.
func (e *Elsewhere) Reached(now time.Time) bool {
	return !e.reachedAt.IsZero() && now.Sub(e.reachedAt) < reachedLifetime && !e.unreachedAt.After(e.reachedAt)
}

// Unreached reports whether peers lately did not reach the upstreams either.
func (e *Elsewhere) Unreached(now time.Time) bool {
	return !e.unreachedAt.IsZero() && now.Sub(e.unreachedAt) < unreachedLifetime && e.unreachedAt.After(e.reachedAt)
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
