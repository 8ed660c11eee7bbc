// Package tracker tracks the membership and liveness of the entry VMs, as one VM sees them.
//
// The platform's VM list lags behind, so heartbeats with incarnations supplement it. The views of two VMs may differ, and no
// guarantee depends on them. The package also decides when a VM is isolated from the platform and all its peers, and when a
// starting VM may join a full fleet.
//
// The package does no I/O and reads no clock.
package tracker

//go:generate stringer -type=State -linecomment -output=state_string.go
