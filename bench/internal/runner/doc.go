// Package runner starts clusters of real processes on loopback and runs experiments on them.
//
// An experiment compares two policies. Each has its own cluster of fakes and entry VMs, and only one cluster has load at a time,
// in short alternating blocks with the same seeds. Other programs on the host thereby affect both policies alike, so that the
// ratio of their results holds on a shared host.
package runner
