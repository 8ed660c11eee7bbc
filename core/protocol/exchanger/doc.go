// Package exchanger holds the messages that entry VMs exchange with each other and the drpc service that carries them.
//
// The Go files besides this one are generated from peers.proto and committed, so that a build needs no generator.
// Durations on the wire are relative, because the clocks of two VMs may differ.
package exchanger

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peers.proto
