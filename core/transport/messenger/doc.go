// Package messenger carries the Peers service between entry VMs over drpc.
//
// A drpc connection carries one call at a time, so each peer has two lanes with connections of their own: a call that
// waits for an upstream does not hold up the heartbeats. Both lanes are bounded. Every message is bounded in size; a peer
// that exceeds a bound or breaks the protocol loses that connection and nothing else.
package messenger
