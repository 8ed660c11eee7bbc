package reporter

import "time"

// Counts are the counts of requests and answers in a span of time.
type Counts struct {
	Requests uint64 `json:"requests"` // all requests, including refused ones
	InTime   uint64 `json:"intime"`   // answered within the latency objective
	Answers  uint64 `json:"answers"`  // complete and partial answers
	Whole    uint64 `json:"whole"`    // answers that cover every shard
	Covered  uint64 `json:"covered"`  // shards covered by answers
	Shards   uint64 `json:"shards"`   // shards that all answers should have covered
	NotRun   uint64 `json:"notrun"`   // refused without being run
	Unknown  uint64 `json:"unknown"`  // calls with unknown outcome
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	c.Requests += d.Requests
	c.InTime += d.InTime
	c.Answers += d.Answers
	c.Whole += d.Whole
	c.Covered += d.Covered
	c.Shards += d.Shards
	c.NotRun += d.NotRun
	c.Unknown += d.Unknown
	return c
}

// Sample is the result of one request.
type Sample struct {
	Latency time.Duration
	Covered int // shards covered; 1 of 1 for a lookup or call that succeeded
	Shards  int
	NotRun  bool
	Unknown bool
}

func (s Sample) counts(objective time.Duration) Counts {
	c := Counts{Requests: 1}
	switch {
	case s.NotRun:
		c.NotRun = 1
		return c
	case s.Unknown:
		c.Unknown = 1
		return c
	}
	c.Answers = 1
	c.Covered, c.Shards = uint64(s.Covered), uint64(s.Shards)
	if s.Latency <= objective {
		c.InTime = 1
	}
	if s.Covered == s.Shards {
		c.Whole = 1
	}
	return c
}
