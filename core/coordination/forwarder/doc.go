// Package forwarder decides what happens to each request that is forwarded along the routes of a manifest: which upstream gets
// it, when it is sent again or hedged, when a gathered answer is good enough, and when a request is refused.
//
// Unlike package router it has no index versions and no format of its own: requests and replies pass through unchanged, and the
// shards of one gathered answer are those of one manifest. It shares the selection of upstreams and the budgets with router.
//
// The package does no I/O and reads no clock. The daemon and the tests feed events with their times into Machine.Step and carry
// out the returned actions.
package forwarder
