// Package runner runs one experiment for two policies side by side: two complete sets of fakes and entry VMs on loopback, of
// which only one has load at a time, in alternating short blocks with the same seeds.
//
// Both policies see the same machine in the same minutes, so that their ratio holds on a machine that other programs share.
package runner
