// Package claimer decides whether a non-idempotent call may run, so that it runs at most once over the whole fleet.
//
// A call is identified either by an idempotency key, for which the VM creates a claim in the key-value service before it
// dispatches, or by a ticket, which only the incarnation that issued it can run. The answer is "not run" only when no attempt
// under the same key or ticket can have run; it is "unknown" whenever an attempt may have run.
//
// The package does no I/O and reads no clock: Machine.Step takes events with their times and returns actions.
package claimer

//go:generate stringer -type=WriteResult -linecomment -output=writeresult_string.go
//go:generate stringer -type=phase -linecomment -output=phase_string.go
