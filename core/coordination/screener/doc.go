// Package screener decides, when a request to many shards arrives, whether enough of the shards can serve it in time.
//
// It answers the load of a few overloaded or lost shards: a request that needs more shards than are left would otherwise be sent to all
// others, wait for the missing ones and then fail, so that its caller learns late what was known on arrival, and the work of the other
// shards is lost. A request is rejected only if the shards that are certainly out of reach are too many.
//
// The package does no I/O and reads no clock.
package screener
