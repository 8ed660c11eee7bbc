// Package checker finds faults in a manifest before it is sent: fields out of range, parts that can never have an effect, and limits that contradict each
// other.
//
// It answers the load of a manifest that is in force on all VMs within seconds, and whose faults show only when requests fail.
//
// The package does no I/O and reads no clock.
package checker
