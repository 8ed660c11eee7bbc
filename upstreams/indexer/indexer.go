package indexer

import (
	"fmt"
	"hash/fnv"
)

// Constants of the content. One of emptyEvery shards is empty for a query, the others have 1 to maxItems items.
const (
	emptyEvery = 5
	maxItems   = 3
)

// GroupOfShard returns the group that holds a shard in a layout. Layouts with different names start at different groups.
func GroupOfShard(layout string, shard, groups int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(layout))
	return (shard + int(h.Sum32()%uint32(groups))) % groups
}

// ShardsOfGroup lists the shards of a group in a layout with a number of shards in all.
func ShardsOfGroup(layout string, group, groups, total int) []int {
	shards := []int{}
	for s := range total {
		if GroupOfShard(layout, s, groups) == group {
			shards = append(shards, s)
		}
	}
	return shards
}

// Items returns the results of a query in one shard. The result is nil for an empty shard.
func Items(service string, version uint64, layout string, shard int, query string) []string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%d|%s|%d|%s", service, version, layout, shard, query)
	sum := mix(h.Sum64())
	if sum%emptyEvery == 0 {
		return nil
	}
	items := make([]string, 1+int(sum>>32%maxItems))
	for i := range items {
		items[i] = fmt.Sprintf("%s-%d-%d-%012x-%d", service, version, shard, sum>>16, i)
	}
	return items
}

// LookupResult returns the result of a lookup of a key, without its JSON quotes.
func LookupResult(service, key string) string { return service + ":" + key }

// mix spreads the bits of an FNV sum, whose low bits depend on few bytes of short input.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
