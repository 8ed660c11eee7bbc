package budgeter

import (
	"math/bits"
	"time"
)

const (
	// windowLength is the time that one histogram covers. Quantiles use the current and the previous histogram, so a change of the
	// upstreams' latency takes full effect after at most two windows.
	windowLength = 5 * time.Second
	// subBucketBits yields 16 buckets for each power of two, a relative error of at most 1/16.
	subBucketBits = 4
	// maxExponent limits values to about 67 s, in microseconds.
	maxExponent = 26
	bucketCount = (maxExponent - subBucketBits + 1) << subBucketBits
)

type histogram struct {
	counts [bucketCount]uint32
	total  uint64
}

// Latencies is the recent latency distribution of the sub-requests of a service. It consists of two alternating log-linear
// histograms in microseconds. The zero value is empty.
//
// Add is called for each sub-request and costs a few nanoseconds. HdrHistogram's recorder is not used, because 16 buckets for
// each power of two are precise enough.
type Latencies struct {
	histograms   [2]histogram
	current      int
	currentStart time.Time
}

// Add records one latency.
func (l *Latencies) Add(now time.Time, d time.Duration) {
	if l.currentStart.IsZero() {
		l.currentStart = now
	}
	if now.Sub(l.currentStart) >= windowLength {
		l.current ^= 1
		l.histograms[l.current] = histogram{}
		l.currentStart = now
	}
	w := &l.histograms[l.current]
	w.counts[bucketOf(d)]++
	w.total++
}

// Count returns the number of latencies in both histograms.
func (l *Latencies) Count() uint64 { return l.histograms[0].total + l.histograms[1].total }

// Quantile returns the upper bound of the bucket that contains the quantile q, from 0 to 1. It returns 0 without latencies.
func (l *Latencies) Quantile(q float64) time.Duration {
	total := l.Count()
	if total == 0 {
		return 0
	}
	rank := uint64(q * float64(total))
	if rank >= total {
		rank = total - 1
	}
	var seen uint64
	for i := range bucketCount {
		seen += uint64(l.histograms[0].counts[i]) + uint64(l.histograms[1].counts[i])
		if seen > rank {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

func bucketOf(d time.Duration) int {
	us := uint64(max(0, d.Microseconds()))
	e := bits.Len64(us)
	if e <= subBucketBits {
		return int(us)
	}
	if e > maxExponent {
		return bucketCount - 1
	}
	shift := e - subBucketBits - 1
	return (shift+1)<<subBucketBits + int(us>>shift) - 1<<subBucketBits
}

// bucketUpperBound returns the largest latency of a bucket.
func bucketUpperBound(i int) time.Duration {
	if i < 1<<subBucketBits {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i>>subBucketBits - 1
	base := uint64(i&(1<<subBucketBits-1) + 1<<subBucketBits)
	return time.Duration((base+1)<<shift) * time.Microsecond
}
