package router

//go:generate stringer -type=Failure -linecomment -output=failure_string.go

// Failure is the reason why an attempt ended without a usable reply.
type Failure int

// The failures of an attempt. FailureUnresponsive means that the connection stopped responding while others to the upstream work,
// FailureMismatched that the reply belongs to another request, FailureInvalid that the request could not be encoded or the reply could
// not be decoded, and FailureNoConnection that there was no usable connection.
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
