package limiter

import "time"

const (
	// minGrantLifetime is how long a grant may be used at least. The lifetime bounds the requests that an idle fleet sends at once when its
	// load moves to the upstream.
	minGrantLifetime = time.Second
	// storedGrants is how many grants of the whole fleet may be stored beyond those of minGrantLifetime. Without them, a VM with few requests
	// would rarely have a request while it has a grant of an upstream that declares a low rate.
	storedGrants = 2.5
	// minTrialRate is the rate at which a fleet goes on sending to an upstream that declares a lower one, in requests per second. Only a reply
	// shows that the upstream has withdrawn its limit.
	minTrialRate = 0.5
)

// Quota keeps the requests of one VM to one upstream within the VM's share of the rate that the upstream declares for all VMs together. The
// zero value has no limit.
//
// The VM gets a grant for one request at regular times. The times of the VMs are independent of each other, so that a share of less than
// one request in the lifetime of a grant does not let all VMs send at once.
type Quota struct {
	Storage Storage // of unused grants; the zero value is that of declared rates

	limited    bool
	rate       float64       // in requests per second
	declaredAt time.Time     // when the latest reply with a limit arrived
	interval   time.Duration // between two grants
	nextGrant  time.Time     // time of the earliest unused grant
}

// Storage says how long unused grants may be used.
type Storage struct {
	Lifetime time.Duration // at least
	Grants   float64       // of the whole fleet, beyond those of Lifetime
}

// Observe records what a reply declares. Its request was sent at the given time: a reply without a limit ends the limit only if the request
// was sent after the latest reply with one, because replies on several connections overtake each other. vms is the number of VMs that share
// the rate, and phase, from 0 to 1, where the first grant lies in its interval. Observe reports whether the limit has changed.
func (q *Quota) Observe(now, sent time.Time, d Declaration, vms int, phase float64) bool {
	switch {
	case d.Kind == Limited:
		changed := !q.limited || q.rate != d.Rate
		q.limited, q.rate, q.declaredAt = true, d.Rate, now
		q.Share(now, vms)
		if q.nextGrant.IsZero() {
			q.nextGrant = now.Add(time.Duration(phase * float64(q.interval)))
		}
		return changed
	case d.Kind == Unlimited && q.limited && sent.After(q.declaredAt):
		*q = Quota{Storage: q.Storage}
		return true
	default:
		return false
	}
}

// Learn is Observe for what another VM was told at a time.
func (q *Quota) Learn(now, at time.Time, d Declaration, vms int, phase float64) bool {
	changed := q.Observe(now, at, d, vms, phase)
	if d.Kind == Limited {
		q.declaredAt = at
	}
	return changed
}

// Share sets the number of VMs that share the rate.
func (q *Quota) Share(now time.Time, vms int) {
	if !q.limited {
		return
	}
	perSecond := max(q.rate, minTrialRate) / float64(max(1, vms))
	interval := max(1, time.Duration(float64(time.Second)/perSecond))
	if interval == q.interval {
		return
	}
	if wait := q.nextGrant.Sub(now); q.interval > 0 && wait > 0 {
		q.nextGrant = now.Add(time.Duration(float64(wait) * float64(interval) / float64(q.interval)))
	}
	q.interval = interval
}

// Rate returns the declared rate in requests per second, and whether there is one.
func (q *Quota) Rate() (float64, bool) { return q.rate, q.limited }

// GrantsPerSecond returns this VM's share of the rate, 0 without a limit.
func (q *Quota) GrantsPerSecond() float64 {
	if !q.limited {
		return 0
	}
	return float64(time.Second) / float64(q.interval)
}

// NextGrant returns when a request may be sent, which is not after now if it may be sent at once.
func (q *Quota) NextGrant(now time.Time) time.Time {
	if !q.limited {
		return now
	}
	if late := now.Sub(q.nextGrant) - q.lifetime(); late > 0 {
		expired := (late + q.interval - 1) / q.interval
		q.nextGrant = q.nextGrant.Add(expired * q.interval)
	}
	return q.nextGrant
}

// lifetime returns how long a grant may be used.
func (q *Quota) lifetime() time.Duration {
	s := q.Storage
	if s == (Storage{}) {
		s = Storage{Lifetime: minGrantLifetime, Grants: storedGrants}
	}
	return s.Lifetime + time.Duration(s.Grants/max(q.rate, minTrialRate)*float64(time.Second))
}

// Use uses the next grant for a request that is sent now.
func (q *Quota) Use(now time.Time) {
	if q.limited {
		q.nextGrant = q.NextGrant(now).Add(q.interval)
	}
}

// Return gives back the grant of a request that did not reach the upstream.
func (q *Quota) Return() {
	if q.limited {
		q.nextGrant = q.nextGrant.Add(-q.interval)
	}
}
