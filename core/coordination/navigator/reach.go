package navigator

import (
	"slices"
	"time"
)

const (
	// minSilent is how many upstreams must be silent before all of them count as lost. Fewer fail by themselves.
	minSilent = 3
	// minSilentServices is how many services they must belong to, unless fewer are in use: all upstreams of one service may have failed.
	minSilentServices = 2
	// minSilence is the shortest time without a reply after which upstreams count as lost. It covers the pauses of a small VM.
	minSilence = 60 * time.Millisecond
	// checkInterval is how often silent upstreams are looked at after minSilence.
	checkInterval = 20 * time.Millisecond
	// maxRecorded bounds the recorded upstreams.
	maxRecorded = 16
)

// Reach tells whether a VM reaches any of its upstreams. Its evidence are the attempts since the last reply of any upstream. The zero
// value has no evidence of a loss.
type Reach struct {
	silent    []silentUpstream // since the last reply, one for each upstream
	services  int              // that have upstreams
	upstreams int
	lost      bool
	lostAt    time.Time
}

// silentUpstream is an upstream that got a request since the last reply of any upstream.
type silentUpstream struct {
	upstream string
	service  string
	sent     time.Time
	lateAt   time.Time // from when its silence counts
}

// Configure sets how many upstreams of how many services are registered.
func (r *Reach) Configure(services, upstreams int) { r.services, r.upstreams = services, upstreams }

// RecordStart records that a request is sent to an upstream, whose reply is late from lateAt on.
func (r *Reach) RecordStart(now time.Time, service, upstream string, lateAt time.Time) {
	if len(r.silent) == maxRecorded || slices.ContainsFunc(r.silent, func(s silentUpstream) bool { return s.upstream == upstream }) {
		return
	}
	r.silent = append(r.silent, silentUpstream{upstream: upstream, service: service, sent: now, lateAt: lateAt})
}

// RecordFailure records that an upstream could not be reached.
func (r *Reach) RecordFailure(now time.Time, service, upstream string) {
	for i := range r.silent {
		if r.silent[i].upstream == upstream {
			r.silent[i].lateAt = now
			return
		}
	}
	r.RecordStart(now, service, upstream, now)
}

// RecordReply records a reply of an upstream. It reports whether the upstreams were lost until now.
func (r *Reach) RecordReply() bool {
	r.silent = r.silent[:0]
	was := r.lost
	if was {
		r.lost = false
	}
	return was
}

// Silent reports whether several upstreams have requests and none has replied since.
func (r *Reach) Silent() bool { return len(r.silent) >= r.needed() }

// needed returns how many upstreams must be silent.
func (r *Reach) needed() int { return max(1, min(minSilent, r.upstreams)) }

// Lost reports whether the VM has lost its upstreams. Lost upstreams stay lost until RecordReply.
func (r *Reach) Lost(now time.Time) bool {
	if r.lost || !r.Silent() || now.Sub(r.silent[0].sent) < minSilence {
		return r.lost
	}
	services, late := make([]string, 0, minSilentServices), 0
	for _, s := range r.silent {
		if s.lateAt.After(now) {
			continue
		}
		late++
		if len(services) < minSilentServices && !slices.Contains(services, s.service) {
			services = append(services, s.service)
		}
	}
	if late < r.needed() || len(services) < min(minSilentServices, r.services) {
		return false
	}
	r.lost, r.lostAt = true, now
	return true
}

// LostSince returns when the upstreams were lost. It is zero if they never were.
func (r *Reach) LostSince() time.Time { return r.lostAt }

// NextCheck returns when Lost may change its answer without a further event, zero if that needs an event.
func (r *Reach) NextCheck(now time.Time) time.Time {
	if r.lost || !r.Silent() {
		return time.Time{}
	}
	return laterOf(r.silent[0].sent.Add(minSilence), now.Add(checkInterval))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
