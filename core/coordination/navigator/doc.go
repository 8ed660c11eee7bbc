// Package navigator decides whether a VM serves a request over its own connections to upstreams or through a peer, another VM of the fleet.
//
// It answers the load of a VM that has lost its upstreams while callers still reach it. Readiness cannot move these callers: their
// connections stay open, and the load balancer uses every VM once most of them are not ready. The VMs beside it often reach the upstreams, so
// that a peer can serve the requests. The package decides when a VM has lost its upstreams (Reach), whether others reach them
// (Elsewhere), which peer gets a request (Peers), and which requests of other VMs a peer takes without starving its own callers (Admit).
//
// The package does no I/O and reads no clock.
package navigator
