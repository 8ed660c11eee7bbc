// Package tracker keeps one VM's view of the entry VMs.
//
// The platform's VM list lags, so heartbeats with incarnations supplement it. Views of two VMs may differ and no guarantee
// depends on them. The package also decides when a VM is cut off from the platform and all its peers, and when a starting VM
// may join a full fleet.
//
// The package does no I/O and reads no clock.
package tracker

//go:generate stringer -type=State -linecomment -output=state_string.go
