package kvclient

//go:generate stringer -type=Status -linecomment -output=status_string.go

// Status is the outcome of a call.
type Status int

// The statuses of a call. Uncertain is the only one that leaves open whether a write has taken effect.
const (
	Unavailable Status = iota // unavailable
	OK                        // ok
	Conflict                  // conflict
	Uncertain                 // uncertain
	Throttled                 // throttled
	Rejected                  // rejected
)
