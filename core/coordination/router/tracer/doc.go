// Package tracer encodes the events and actions of the router for the decision trace, and replays a trace through a new
// machine.
//
// A replay compares every action, so a trace of a fault becomes a test of the decision that it recorded. It needs the trace
// from the machine's first step and times without a monotonic clock reading: the caller of Machine.Step derives its times
// from one clock reading and strips the monotonic part with Round(0), because JSON does not carry it.
package tracer
