package kvclient

//go:generate stringer -type=Status -linecomment -output=status_string.go

// Status is the outcome of a call.
type Status int

// The statuses of a call. Unavailable means that a write did not reach the platform or that a read got no usable reply, Conflict that
// the key has another revision, Throttled that the platform's rate limit was exceeded, and Rejected that the call was refused for
// another reason. Uncertain is the only one that leaves open whether a write has taken effect.
const (
	Unavailable Status = iota // unavailable
	OK                        // ok
	Conflict                  // conflict
	Uncertain                 // uncertain
	Throttled                 // throttled
	Rejected                  // rejected
)
