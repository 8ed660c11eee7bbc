package kvclient

//go:generate stringer -type=Status -linecomment -output=status_string.go

// Status is the outcome of a call.
type Status int

// The statuses of a call. Only with Uncertain a write may or may not have taken effect.
const (
	Unavailable Status = iota // unavailable
	OK                        // ok
	Conflict                  // conflict
	Uncertain                 // uncertain
	Throttled                 // throttled
	Rejected                  // rejected
)
