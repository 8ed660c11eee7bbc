// Package router decides how each request is executed: which index version it uses, which upstreams receive its sub-requests,
// when a sub-request is retried, hedged or cancelled, and what the answer contains.
//
// The package does no I/O and reads no clock. The daemon, the tests and the trace replayer pass events with their times to
// Machine.Step and execute the returned actions, so that replaying a recorded trace yields the same decisions.
package router
