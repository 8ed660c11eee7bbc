package budgeter

import (
	"math/bits"
	"time"
)

const (
	// windowLength is how long a window collects. Quantiles come from the current and the previous window, so a change of
	// the upstreams' latency has full effect after two windows at the latest.
	windowLength = 5 * time.Second
	// subBits gives 16 buckets for each power of two, a relative error of at most 1/16.
	subBits = 4
	// maxExponent limits values to about 67 s in microseconds.
	maxExponent = 26
	buckets     = (maxExponent - subBits + 1) << subBits
)

type window struct {
	counts [buckets]uint32
	total  uint64
}

// Latencies is the recent latency distribution of a service's sub-requests: two log-linear histograms in microseconds that
// alternate. Adding a value costs a few nanoseconds. The zero value is empty.
//
// HdrHistogram's recorder is not used because this one is updated for each sub-request and needs only two significant bits
// more than the power of two.
type Latencies struct {
	windows [2]window
	current int
	started time.Time
}

// Add counts one latency.
func (l *Latencies) Add(now time.Time, d time.Duration) {
	if l.started.IsZero() {
		l.started = now
	}
	if now.Sub(l.started) >= windowLength {
		l.current ^= 1
		l.windows[l.current] = window{}
		l.started = now
	}
	w := &l.windows[l.current]
	w.counts[bucket(d)]++
	w.total++
}

// Count returns the number of latencies in both windows.
func (l *Latencies) Count() uint64 { return l.windows[0].total + l.windows[1].total }

// Quantile returns the upper end of the bucket that holds the quantile q, between 0 and 1, or 0 without values.
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
	for i := range buckets {
		seen += uint64(l.windows[0].counts[i]) + uint64(l.windows[1].counts[i])
		if seen > rank {
			return upper(i)
		}
	}
	return upper(buckets - 1)
}

func bucket(d time.Duration) int {
	us := uint64(max(0, d.Microseconds()))
	e := bits.Len64(us)
	if e <= subBits {
		return int(us)
	}
	if e > maxExponent {
		return buckets - 1
	}
	shift := e - subBits - 1
	return (shift+1)<<subBits + int(us>>shift) - 1<<subBits
}

// upper returns the largest latency of a bucket.
func upper(i int) time.Duration {
	if i < 1<<subBits {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i>>subBits - 1
	base := uint64(i&(1<<subBits-1) + 1<<subBits)
	return time.Duration((base+1)<<shift) * time.Microsecond
}
