// Package recorder keeps the last decisions of a state machine and writes them as a trace: one JSON line for each step with
// its time, its event and the actions that followed.
//
// The package does not know the events and actions. Their encoding lives next to the machine that declares them, so that
// this package stays below all of them. Steps are kept as values and are encoded only when a trace is written, because a
// machine makes many more steps than anybody reads.
package recorder
