// Package kvclient is the client of the platform's key-value service and VM list.
//
// A result is a value with a status, because a write has more outcomes than success and error: it may have taken effect
// although its answer was lost. The client never retries; the pacer decides when a call may be made.
package kvclient
