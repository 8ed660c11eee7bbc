// Package budgeter bounds the extra load that hedges and retries put on upstreams, and keeps the recent latency
// distribution from which the hedge delay is taken.
//
// Hedges and retries of a service share one budget: a fault that makes every sub-request slow or failing must not multiply
// the load on the upstreams that still work.
package budgeter
