// Package exchanger defines the messages that entry VMs exchange and the drpc service that carries them.
//
// The other Go files are generated from peers.proto and committed, so that a build needs no generator. Durations on the wire are
// relative, because the clocks of two VMs may differ.
package exchanger

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peers.proto
