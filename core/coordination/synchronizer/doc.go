// Package synchronizer decides which table values are in effect on a VM and carries out the edits of operators.
//
// Machine checks every value that the VM reads from the platform or hears from a peer. The revisions of its snapshot only
// increase, so that lost, repeated or reordered messages never revert an accepted change. Two VMs of each failure domain
// watch the platform; the others learn from peers. Editor resolves concurrent edits and lost answers.
//
// The package does no I/O and reads no clock.
package synchronizer
