package kvclient

//go:generate stringer -type=Status -linecomment -output=status_string.go

// Status says what became of a call.
type Status int

// The statuses of a call. Only Uncertain leaves open whether a write has taken effect.
const (
	Unavailable Status = iota // unavailable
	OK                        // ok
	Conflict                  // conflict
	Uncertain                 // uncertain
	Throttled                 // throttled
	Rejected                  // rejected
)
