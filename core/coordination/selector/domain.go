package selector

import "time"

// darkUpstreams is how many sub-requests to one failure domain must be without any reply from it before the whole domain
// is avoided. Fewer would let one unlucky upstream exclude its neighbours.
const darkUpstreams = 3

// domain is what the upstreams of one failure domain have in common.
type domain struct {
	unanswered int       // sub-requests started since the last reply of the domain
	since      time.Time // start of the first of them
	trialAt    time.Time
	pause      time.Duration
}

func (d *domain) started(now time.Time) {
	if d.unanswered == 0 {
		d.since = now
	}
	d.unanswered++
}

func (d *domain) replied() { *d = domain{} }

// dark tells whether the domain answers nothing although enough sub-requests wait for it.
func (d *domain) dark(now time.Time, patience time.Duration) bool {
	return d.unanswered >= darkUpstreams && now.Sub(d.since) > patience
}
