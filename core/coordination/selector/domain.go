package selector

import "time"

const (
	// darkStarts is how many late sub-requests to one failure domain must be without any reply from it before the whole
	// domain is avoided, and darkUpstreams is to how many of its upstreams. Fewer would let one unlucky upstream exclude
	// its neighbours.
	darkStarts    = 3
	darkUpstreams = 2
	// perUpstreamStarts bounds the kept starts of one upstream, so that a busy one does not fill the record.
	perUpstreamStarts = 2
	keptStarts        = 8
)

// domain is what the upstreams of one failure domain have in common. It records the first sub-requests since the last
// reply of any of them.
type domain struct {
	starts  [keptStarts]domainStart // in order of time
	kept    int
	trialAt time.Time // zero until the domain was found dark
	pause   time.Duration
}

type domainStart struct {
	at       time.Time
	upstream uint64 // serial
}

func (d *domain) started(now time.Time, upstream uint64) {
	if d.kept == keptStarts {
		return
	}
	n := 0
	for _, s := range d.starts[:d.kept] {
		if s.upstream == upstream {
			n++
		}
	}
	if n < perUpstreamStarts {
		d.starts[d.kept] = domainStart{at: now, upstream: upstream}
		d.kept++
	}
}

// withdrawn forgets a sub-request that ended before an answer was due.
func (d *domain) withdrawn(start time.Time, upstream uint64) {
	for i, s := range d.starts[:d.kept] {
		if s.upstream == upstream && s.at.Equal(start) {
			copy(d.starts[i:], d.starts[i+1:d.kept])
			d.kept--
			return
		}
	}
}

func (d *domain) replied() {
	d.kept, d.trialAt, d.pause = 0, time.Time{}, 0
}

// dark tells whether the domain answers nothing although enough answers are late.
func (d *domain) dark(now time.Time, lateAfter time.Duration) bool {
	if d.kept < darkStarts || now.Sub(d.starts[darkStarts-1].at) <= lateAfter {
		return false
	}
	distinct := 0
	for i, s := range d.starts[:d.kept] {
		if now.Sub(s.at) <= lateAfter {
			break
		}
		if i == 0 || s.upstream != d.starts[0].upstream {
			distinct++
		}
		if distinct >= darkUpstreams {
			return true
		}
	}
	return false
}

// trialDue tells whether one sub-request may test a dark domain.
func (d *domain) trialDue(now time.Time) bool {
	if d.trialAt.IsZero() {
		d.postpone(now)
	}
	return !now.Before(d.trialAt)
}

func (d *domain) postpone(now time.Time) {
	d.pause = min(max(firstPause, 2*d.pause), maxPause)
	d.trialAt = now.Add(d.pause)
}
