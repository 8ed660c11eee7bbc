// Package budgeter limits the extra load that hedges and retries put on upstreams, and keeps the recent latency distribution
// from which the hedge delay is derived.
//
// All hedges and retries of a service share one budget, so that a fault that makes every sub-request slow or fail does not
// multiply the load on the upstreams that still work.
package budgeter
