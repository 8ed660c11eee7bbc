// Package router decides what happens to each request: which index version it uses, which upstreams get its sub-requests,
// when a sub-request is retried, hedged or cancelled, and what the answer says.
//
// The package does no I/O and reads no clock. The daemon, the tests and the trace replayer feed events with their times into
// Machine.Step and carry out the returned actions, so that a recorded trace replays to the same decisions.
package router
