// Package indexer defines the content of the fake index: which shards a group holds in a layout, and the results of a query
// in a shard.
//
// The content is a pure function of service, version, layout, shard and query, so that a test can compute the correct merged
// answer and find a result of another version, layout or query in it.
package indexer
