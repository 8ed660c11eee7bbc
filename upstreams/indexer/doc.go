// Package indexer generates the contents of the fake index: the shards that a group holds in a layout, and the results of a query
// in a shard.
//
// The contents are a pure function of service, version, layout, shard and query. A test can therefore compute the correct merged
// results, and detect results of another version, layout or query in a reply.
package indexer
