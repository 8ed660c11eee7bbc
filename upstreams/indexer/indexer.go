package indexer

import (
	"fmt"
	"hash/fnv"
)

// Parameters of the contents. For a query, one in emptyShardDivisor shards has no items, the others have 1 to maxItems.
const (
	emptyShardDivisor = 5
	maxItems          = 3
)

// GroupOfShard returns the group that holds a shard in a layout. The shards are assigned round-robin, starting at a group that
// depends on the name of the layout.
func GroupOfShard(layout string, shard, groups int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(layout))
	return (shard + int(h.Sum32()%uint32(groups))) % groups
}

// ShardsOfGroup returns the shards that a group holds in a layout of total shards.
func ShardsOfGroup(layout string, group, groups, total int) []int {
	shards := []int{}
	for s := range total {
		if GroupOfShard(layout, s, groups) == group {
			shards = append(shards, s)
		}
	}
	return shards
}

// Items returns the results of a query in one shard, or nil if there are none.
func Items(service string, version uint64, layout string, shard int, query string) []string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%d|%s|%d|%s", service, version, layout, shard, query)
	sum := mixBits(h.Sum64())
	if sum%emptyShardDivisor == 0 {
		return nil
	}
	items := make([]string, 1+int(sum>>32%maxItems))
	for i := range items {
		items[i] = fmt.Sprintf("%s-%d-%d-%012x-%d", service, version, shard, sum>>16, i)
	}
	return items
}

// LookupResult returns the result of the lookup of a key, before it is encoded as a JSON string.
func LookupResult(service, key string) string { return service + ":" + key }

// mixBits applies a bit mixer to an FNV hash, because the low bits of the hash of a short input depend on few of its bytes.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
