// Package recorder keeps the last steps of a state machine and encodes them as a trace: one JSON line for each step, with its
// time, its event and the actions that followed.
//
// The package does not know the types of events and actions. A package next to each machine encodes them, so that this package
// depends on no machine. Steps are kept as values and are encoded only when a trace is written, because most steps are never
// read.
package recorder
