package router

import "comfreyroute/core/protocol/encoder"

// shardSet is a reusable set of shard numbers. A generation counter avoids clearing it between uses.
type shardSet struct {
	generations []uint32
	generation  uint32
}

// reset empties the set and makes room for shard numbers below total.
func (s *shardSet) reset(total int) {
	if len(s.generations) < total {
		s.generations = make([]uint32, total)
		s.generation = 0
	}
	s.generation++
	if s.generation == 0 {
		clear(s.generations)
		s.generation = 1
	}
}

// add adds a shard. It returns false if the set already contains it.
func (s *shardSet) add(shard int) bool {
	if s.generations[shard] == s.generation {
		return false
	}
	s.generations[shard] = s.generation
	return true
}

// matches reports whether results contain each expected shard of a layout with total shards exactly once, and no other shard.
func (s *shardSet) matches(expected []int, results []encoder.ShardResult, total int) bool {
	if len(expected) != len(results) {
		return false
	}
	same := true
	for k := range results {
		same = same && results[k].Shard == expected[k]
	}
	if same {
		return true
	}
	s.reset(total)
	for k := range results {
		if n := results[k].Shard; n < 0 || n >= total || !s.add(n) {
			return false
		}
	}
	for _, n := range expected {
		if s.generations[n] != s.generation {
			return false
		}
	}
	return true
}
