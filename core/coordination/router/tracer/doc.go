// Package tracer encodes the events and actions of the router for the decision trace, and replays a trace through a new
// router.Machine.
//
// A replay compares every action, so the trace of a fault can serve as a regression test of the recorded decision. It needs the
// trace from the first step of the machine and times without a monotonic clock reading: the caller of Machine.Step derives its
// times from one clock reading and strips the monotonic part with Round(0), because JSON does not carry it.
package tracer
