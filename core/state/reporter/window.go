package reporter

import "time"

// Sizes of the kept history.
const (
	bucketLength = 10 * time.Second
	history      = 6 * time.Hour
	buckets      = int(history / bucketLength)
	pointLength  = 5 * time.Minute
	points       = int(history / pointLength)
	maxServices  = 256
)

// Windows are the spans over which burn rates are reported. A short and a long window form a pair: a fast burn shows in the first
// two, a slow one in the last two, and a burn counts only when both windows of a pair show it.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 30 * time.Minute, 6 * time.Hour}

// series is a ring of buckets of one service.
type series struct {
	name   string
	counts []Counts
	last   int64 // number of the newest bucket
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketLength) }

// at returns the bucket of a time, clearing the buckets between the newest one and it. A time older than the history has none.
func (s *series) at(t time.Time) *Counts {
	n := bucketOf(t)
	if s.counts == nil {
		s.counts = make([]Counts, buckets)
		s.last = n
	}
	for i := max(s.last+1, n-int64(buckets)+1); i <= n; i++ {
		s.counts[i%int64(buckets)] = Counts{}
	}
	s.last = max(s.last, n)
	if n <= s.last-int64(buckets) {
		return nil
	}
	return &s.counts[n%int64(buckets)]
}

// sum adds the buckets that end within a span before a time.
func (s *series) sum(now time.Time, span time.Duration) Counts {
	var total Counts
	n := bucketOf(now)
	for i := n - int64(span/bucketLength) + 1; i <= n; i++ {
		if i > s.last || i <= s.last-int64(buckets) {
			continue
		}
		total = total.Add(s.counts[i%int64(buckets)])
	}
	return total
}
