// Package drainer controls the order of a graceful shutdown, so that no request in flight is interrupted.
//
// The package does no I/O and reads no clock.
package drainer

//go:generate stringer -type=Phase -linecomment -output=phase_string.go
