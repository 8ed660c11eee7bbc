package router

import "comfreyroute/core/protocol/encoder"

// marks is a reusable set of shard numbers. A stamp replaces clearing it between uses.
type marks struct {
	stamps []uint32
	stamp  uint32
}

// reset empties the set for shards below total.
func (s *marks) reset(total int) {
	if len(s.stamps) < total {
		s.stamps = make([]uint32, total)
		s.stamp = 0
	}
	s.stamp++
	if s.stamp == 0 {
		clear(s.stamps)
		s.stamp = 1
	}
}

// take adds a shard and returns false when the set already had it.
func (s *marks) take(shard int) bool {
	if s.stamps[shard] == s.stamp {
		return false
	}
	s.stamps[shard] = s.stamp
	return true
}

// exact tells whether results are exactly the expected shards of a layout with total shards, each once.
func (s *marks) exact(expected []int, results []encoder.ShardResult, total int) bool {
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
		if n := results[k].Shard; n < 0 || n >= total || !s.take(n) {
			return false
		}
	}
	for _, n := range expected {
		if s.stamps[n] != s.stamp {
			return false
		}
	}
	return true
}
