package selector

import (
	"math/rand/v2"
	"time"

	"comfreyroute/core/coordination/limiter"
)

const (
	// warmupUse is the part of the rate of a cold upstream that the fleet uses. The grants of the VMs lie at independent times, so that some seconds
	// have more of them than others.
	warmupUse = 0.5
	// warmupLifetime and warmupStored bound the grants that an idle fleet may store. An upstream tolerates its rate within a second, and half of it
	// and some requests more, but not what declared rates may add up to in several seconds.
	warmupLifetime = 200 * time.Millisecond
	warmupStored   = 0.5
)

// warmup limits the requests to an upstream while it is cold.
type warmup struct {
	quota     limiter.Quota
	coldUntil time.Time
}

// SetWarmup sets the rate that each cold upstream takes from all VMs together, in requests per second, and how long one is cold after its start. A rate
// of 0 means that there is no limit. It must be called after each Update.
func (s *Set) SetWarmup(now time.Time, r *rand.Rand, rate float64, coldTime time.Duration) {
	s.coldTime = coldTime
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if rate <= 0 {
			u.warmup = nil
			continue
		}
		if u.warmup == nil {
			u.warmup = &warmup{quota: limiter.Quota{Storage: limiter.Storage{Lifetime: warmupLifetime, Grants: warmupStored}}}
		}
		u.warmup.quota.Observe(now, now, limiter.Declaration{Kind: limiter.Limited, Rate: rate * warmupUse}, s.vms, r.Float64())
	}
}

// ExtendCold records that the upstream at a position is cold until a time, unless it is known to be cold for longer.
func (s *Set) ExtendCold(i int, until time.Time) { s.upstreams[i].extendCold(until) }

func (u *Upstream) extendCold(until time.Time) {
	if u.warmup != nil {
		u.warmup.coldUntil = later(u.warmup.coldUntil, until)
	}
}

// IsCold reports whether an upstream is cold and limits its rate therefore.
func (u *Upstream) IsCold(now time.Time) bool {
	return u.warmup != nil && now.Before(u.warmup.coldUntil)
}

// nextWarmupGrant returns when a cold upstream takes another request of this VM, which is not after now for one that is not cold.
func (u *Upstream) nextWarmupGrant(now time.Time) time.Time {
	if !u.IsCold(now) {
		return now
	}
	if at := u.warmup.quota.NextGrant(now); at.Before(u.warmup.coldUntil) {
		return at
	}
	return u.warmup.coldUntil
}
