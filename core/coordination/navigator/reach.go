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
	// provenLifetime is how long a reply proves that the VM reaches its upstreams.
	provenLifetime = 500 * time.Millisecond
	// staleAfter is how long evidence counts without a further request.
	staleAfter = 5 * time.Second
	// maxRecorded bounds the recorded upstreams.
	maxRecorded = 16

	// minProbeDelay and maxProbeDelay bound the time between two rounds of probes. It grows when the upstreams are lost again soon after
	// a probe has succeeded.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// trialPatience is how long a trial waits for a request that may go on through a peer.
	trialPatience = 2 * time.Second
	// stableTime is how long the upstreams must be in reach for the next loss to be probed at minProbeDelay again.
	stableTime = 5 * time.Second
)

// Reach tells whether a VM reaches any of its upstreams. Its evidence are the attempts since the last reply of any upstream. The zero
// value has no evidence of a loss.
type Reach struct {
	silent     []silentUpstream // since the last reply, one for each upstream
	services   int              // that have upstreams
	upstreams  int
	repliedAt  time.Time
	triedAt    time.Time // last request or failure
	lost       bool
	lostAt     time.Time
	returnedAt time.Time
	probeAt    time.Time
	probeDelay time.Duration
	trial      Trial
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
	r.triedAt = now
	if len(r.silent) == maxRecorded || slices.ContainsFunc(r.silent, func(s silentUpstream) bool { return s.upstream == upstream }) {
		return
	}
	r.silent = append(r.silent, silentUpstream{upstream: upstream, service: service, sent: now, lateAt: lateAt})
}

// RecordFailure records that an upstream could not be reached.
func (r *Reach) RecordFailure(now time.Time, service, upstream string) {
	r.triedAt = now
	r.trial.recordFailure()
	for i := range r.silent {
		if r.silent[i].upstream == upstream {
			r.silent[i].lateAt = now
			return
		}
	}
	r.RecordStart(now, service, upstream, now)
}

// RecordReply records a reply of an upstream. It reports whether the upstreams were lost until now.
func (r *Reach) RecordReply(now time.Time) bool {
	r.silent, r.repliedAt = r.silent[:0], now
	was := r.lost
	if was {
		r.lost, r.returnedAt, r.trial = false, now, Trial{}
	}
	return was
}

// RecordProbe records that an upstream accepted a connection. That is no reply, but a request may be tried.
func (r *Reach) RecordProbe(now time.Time) {
	if r.lost && r.trial.Arm(now) {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
	}
}

// TrialDue reports whether a request may be sent to the lost upstreams to find out whether they reply again.
func (r *Reach) TrialDue() bool { return r.lost && r.trial.Due() }

// TrialOverdue reports whether any request is to be tried, because none was fit for it for long.
func (r *Reach) TrialOverdue(now time.Time) bool { return r.lost && r.trial.Overdue(now) }

// TakeTrial uses up the trial.
func (r *Reach) TakeTrial() { r.trial.Take() }

// Silent reports whether several upstreams have requests and none has replied since.
func (r *Reach) Silent() bool { return len(r.silent) >= r.needed() }

// RepliedSince reports whether an upstream has replied since a time.
func (r *Reach) RepliedSince(t time.Time) bool { return !r.repliedAt.Before(t) }

// Proven reports whether an upstream has replied lately.
func (r *Reach) Proven(now time.Time) bool {
	return !r.repliedAt.IsZero() && now.Sub(r.repliedAt) < provenLifetime
}

// Suspected reports whether an upstream has failed or is late since the last reply.
func (r *Reach) Suspected(now time.Time) bool {
	return slices.ContainsFunc(r.silent, func(s silentUpstream) bool { return !s.lateAt.After(now) })
}

// Stale reports whether no request was tried for long, so that a loss may be over.
func (r *Reach) Stale(now time.Time) bool { return now.Sub(r.triedAt) > staleAfter }

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
	r.lose(now)
	return true
}

// lose records the loss and plans the first probe.
func (r *Reach) lose(now time.Time) {
	if r.returnedAt.IsZero() || now.Sub(r.returnedAt) >= stableTime {
		r.probeDelay = minProbeDelay
	} else {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
	}
	r.lost, r.lostAt, r.probeAt = true, now, now
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

// Trial allows one request at a time to lost upstreams that accept connections again: they may still not reply. The zero value allows none.
type Trial struct {
	armed   bool
	armedAt time.Time
	failed  bool // a request that used it up was refused or reset
}

// Arm allows the next trial. It reports whether an earlier one was used up without any sign of the upstreams: they accept connections and are silent,
// so that the next trial would cost a request as much. One that met upstreams which are down fails at once, and others may be back.
func (t *Trial) Arm(now time.Time) bool {
	if t.armed {
		return false
	}
	silent := !t.armedAt.IsZero() && !t.failed
	t.armed, t.armedAt, t.failed = true, now, false
	return silent
}

// recordFailure records that a request was refused or reset.
func (t *Trial) recordFailure() { t.failed = !t.armed && !t.armedAt.IsZero() }

// Overdue reports whether no request was fit for the trial for long, so that any request is to be tried.
func (t *Trial) Overdue(now time.Time) bool { return t.armed && now.Sub(t.armedAt) > trialPatience }

// Due reports whether a trial is allowed.
func (t *Trial) Due() bool { return t.armed }

// Take uses up the trial, if there is one.
func (t *Trial) Take() { t.armed = false }

// ProbeDue reports whether a round of probes is due, and plans the next one if so.
func (r *Reach) ProbeDue(now time.Time) bool {
	if !r.lost || now.Before(r.probeAt) {
		return false
	}
	r.probeAt = now.Add(r.probeDelay)
	return true
}

// NextProbe returns when the next round of probes is due, zero while the upstreams are in reach.
func (r *Reach) NextProbe() time.Time {
	if !r.lost {
		return time.Time{}
	}
	return r.probeAt
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
