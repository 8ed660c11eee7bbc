package router

//go:generate stringer -type=Failure -linecomment -output=failure_string.go

// Failure is the reason why an attempt ended without a usable reply.
type Failure int

// The failures of an attempt.
const (
	FailureRefused      Failure = iota // refused
	FailureReset                       // reset
	FailureUnresponsive                // unresponsive
	FailureTimeout                     // timeout
	FailureMismatched                  // mismatched
	FailureInvalid                     // invalid
	FailureNoConnection                // no_connection
	FailureCancelled                   // cancelled
)
