// Package messenger carries the Peers service between entry VMs over drpc.
//
// A drpc connection carries one call at a time, so each peer has two separate sets of connections, for control calls and for
// work calls: a call that waits for an upstream does not delay the heartbeats. The number of calls in each set and the size of
// every message are limited. A peer that exceeds a limit or violates the protocol loses only the connection on which it did.
package messenger
