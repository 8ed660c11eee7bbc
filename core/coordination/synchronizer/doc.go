// Package synchronizer keeps the table of a VM in sync with the platform and its peers, and writes the edits of operators.
//
// Machine validates every value that the VM reads from the platform or receives from a peer. The revisions of its snapshot only
// increase, so that lost, repeated or reordered messages never revert an accepted change. Two VMs of each failure domain watch
// the platform; the others learn of changes from peers. Editor resolves concurrent edits and lost answers.
//
// The package does no I/O and reads no clock.
package synchronizer
