package reporter

import "time"

// Limits and resolution of the counts kept in memory.
const (
	bucketLength = 10 * time.Second
	history      = 6 * time.Hour
	buckets      = int(history / bucketLength)
	pointLength  = 5 * time.Minute
	points       = int(history / pointLength)
	maxServices  = 256
)

// Windows are the spans over which burn rates are reported. A short and a long window form a pair, the first two for the fast
// alert and the last two for the slow alert. An alert is raised only when both windows of a pair reach its burn rate.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 30 * time.Minute, 6 * time.Hour}

// series is the history of one service, a ring of buckets.
type series struct {
	name   string
	counts []Counts
	last   int64 // number of the newest bucket
}

// bucketOf returns the number of the bucket of a time.
func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketLength) }

// bucketAt returns the bucket of a time and clears the buckets between the newest one and it. It returns nil for a time before
// the history.
func (s *series) bucketAt(t time.Time) *Counts {
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

// sum returns the sum of the buckets in the span that ends at now.
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
