package selector

import "time"

const (
	// minLateStarts is how many sub-requests to a failure domain must be late, without any reply from the domain, before all of it
	// is avoided, and minLateUpstreams is to how many of its upstreams they must have been sent. With fewer, a single slow upstream
	// would exclude the others of its domain.
	minLateStarts    = 3
	minLateUpstreams = 2
	// maxStartsPerUpstream bounds the recorded starts of one upstream, so that a busy one does not take all maxStarts places.
	maxStartsPerUpstream = 2
	maxStarts            = 8
)

// failureDomain is the state that the upstreams of one failure domain share. It records the first sub-requests since the last
// reply from any of them.
type failureDomain struct {
	starts     [maxStarts]startRecord // in order of time
	count      int
	trialAt    time.Time // zero until the domain is found unresponsive
	trialDelay time.Duration
}

type startRecord struct {
	at             time.Time
	upstreamSerial uint64
}

func (d *failureDomain) recordStart(now time.Time, upstream uint64) {
	if d.count == maxStarts {
		return
	}
	n := 0
	for _, s := range d.starts[:d.count] {
		if s.upstreamSerial == upstream {
			n++
		}
	}
	if n < maxStartsPerUpstream {
		d.starts[d.count] = startRecord{at: now, upstreamSerial: upstream}
		d.count++
	}
}

// removeStart removes the record of a sub-request that ended before its reply was late.
func (d *failureDomain) removeStart(start time.Time, upstream uint64) {
	for i, s := range d.starts[:d.count] {
		if s.upstreamSerial == upstream && s.at.Equal(start) {
			copy(d.starts[i:], d.starts[i+1:d.count])
			d.count--
			return
		}
	}
}

func (d *failureDomain) recordReply() {
	d.count, d.trialAt, d.trialDelay = 0, time.Time{}, 0
}

// unresponsive reports whether enough replies of the domain are late and none has arrived since.
func (d *failureDomain) unresponsive(now time.Time, lateAfter time.Duration) bool {
	if d.count < minLateStarts || now.Sub(d.starts[minLateStarts-1].at) <= lateAfter {
		return false
	}
	distinct := 0
	for i, s := range d.starts[:d.count] {
		if now.Sub(s.at) <= lateAfter {
			break
		}
		if i == 0 || s.upstreamSerial != d.starts[0].upstreamSerial {
			distinct++
		}
		if distinct >= minLateUpstreams {
			return true
		}
	}
	return false
}

// trialDue reports whether a sub-request may be sent to an unresponsive domain as a trial.
func (d *failureDomain) trialDue(now time.Time) bool {
	if d.trialAt.IsZero() {
		d.postponeTrial(now)
	}
	return !now.Before(d.trialAt)
}

func (d *failureDomain) postponeTrial(now time.Time) {
	d.trialDelay = min(max(minTrialDelay, 2*d.trialDelay), maxTrialDelay)
	d.trialAt = now.Add(d.trialDelay)
}
