package selector

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"comfreyroute/core/coordination/limiter"
)

// quotaLifetime is how long the quota of an upstream without an entry is kept. Entries disappear during a fault of the store, and the
// upstreams that are alive write them again.
const quotaLifetime = time.Minute

const (
	// withdrawalNews is how long a withdrawn rate is news to other VMs.
	withdrawalNews = 10 * time.Second
	// hearsayMargin is how much later than a reply to this VM something must be that contradicts it and comes from another VM. It covers the time
	// that reports are under way.
	hearsayMargin = 500 * time.Millisecond
)

// quota is the quota of one incarnation of an upstream. Unlike Upstream it outlives the upstream's entry.
type quota struct {
	limiter.Quota
	address     string
	incarnation uint64 // 0 if unknown
	observedAt  time.Time
	limitedAt   time.Time // of the latest reply with a limit, to any VM
	unlimitedAt time.Time // when the latest request was sent whose reply had none, by this VM
	heard       bool      // this VM has had replies since the last TakeRates
}

// ObserveRate records the rate that the upstream at a position declared in a reply to a request sent at the given time. It reports whether
// the declared rate has changed.
func (s *Set) ObserveRate(now, sent time.Time, r *rand.Rand, i int, d limiter.Declaration) bool {
	u := &s.upstreams[i]
	if u.quota == nil {
		if d.Kind != limiter.Limited {
			return false
		}
		s.addQuota(u)
	}
	q := u.quota
	q.observedAt = now
	changed := q.Observe(now, sent, d, s.vms, r.Float64())
	_, limited := q.Rate()
	switch {
	case d.Kind == limiter.Limited:
		q.limitedAt, q.heard = now, true
	case d.Kind == limiter.Unlimited && !limited:
		q.unlimitedAt, q.heard = later(q.unlimitedAt, sent), true
	}
	return changed
}

// LearnRate records what the upstream at a position declared to another VM at a time, unless this VM knows better. It reports whether the declared
// rate has changed.
func (s *Set) LearnRate(now, at time.Time, r *rand.Rand, i int, incarnation uint64, d limiter.Declaration) bool {
	u := &s.upstreams[i]
	known := quota{}
	if u.quota != nil {
		known = *u.quota
	}
	switch {
	case incarnation != u.Incarnation:
		return false
	case d.Kind == limiter.Limited && at.After(known.limitedAt) && at.After(known.unlimitedAt.Add(hearsayMargin)):
		if u.quota == nil {
			s.addQuota(u)
		}
		u.quota.limitedAt = at
	case d.Kind == limiter.Unlimited && u.quota != nil && at.After(known.limitedAt.Add(hearsayMargin)):
	default:
		return false
	}
	u.quota.observedAt = now
	return u.quota.Learn(now, at, d, s.vms, r.Float64())
}

// addQuota gives an upstream a quota.
func (s *Set) addQuota(u *Upstream) {
	u.quota = &quota{address: u.Row.Address.String(), incarnation: u.Incarnation}
	if s.quotas == nil {
		s.quotas = map[string]*quota{}
	}
	s.quotas[u.Row.Upstream] = u.quota
}

// ObservedRate is what replies to this VM say about the rate that an upstream declares.
type ObservedRate struct {
	Upstream    string
	Incarnation uint64
	Declaration limiter.Declaration
	At          time.Time // when the latest reply with a limit arrived, or the latest request was sent whose reply had none
}

// TakeRates returns what replies have said since the last call about upstreams that declare a rate or have withdrawn one lately.
func (s *Set) TakeRates() []ObservedRate {
	var all []ObservedRate
	for name, q := range s.quotas {
		if !q.heard {
			continue
		}
		q.heard = false
		o := ObservedRate{Upstream: name, Incarnation: q.incarnation, At: q.unlimitedAt}
		if rate, limited := q.Rate(); limited {
			o.Declaration, o.At = limiter.Declaration{Kind: limiter.Limited, Rate: rate}, q.limitedAt
		} else if q.unlimitedAt.Sub(q.limitedAt) > withdrawalNews {
			continue
		}
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b ObservedRate) int { return strings.Compare(a.Upstream, b.Upstream) })
	return all
}

// ReturnGrant records that a request to the upstream at a position did not reach it.
func (s *Set) ReturnGrant(i int) {
	u := &s.upstreams[i]
	if u.quota != nil {
		u.quota.Return()
	}
	if u.warmup != nil {
		u.warmup.quota.Return()
	}
}

// SetVMs sets how many VMs share the rates that upstreams declare.
func (s *Set) SetVMs(now time.Time, vms int) {
	s.vms = vms
	for _, q := range s.quotas {
		q.Share(now, vms)
	}
	for i := range s.upstreams {
		if w := s.upstreams[i].warmup; w != nil {
			w.quota.Share(now, vms)
		}
	}
}

// NextGrant returns when an upstream that may get new work, and is not excluded, takes another request by the rate that it declares and the pause that it asked for. The
// time is not after now if one without a limit or with a grant does, and zero if there is no such upstream.
func (s *Set) NextGrant(now time.Time, exclude []int) time.Time {
	var next time.Time
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if !u.Eligible() || slices.Contains(exclude, i) {
			continue
		}
		if at := u.nextGrant(now); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// GrantSpacing returns the mean time between the requests that the rates of all upstreams, declared ones or those of cold ones, allow this VM, 0
// without such rates.
func (s *Set) GrantSpacing(now time.Time) time.Duration {
	perSecond := 0.0
	for i := range s.upstreams {
		u := &s.upstreams[i]
		switch {
		case !u.Eligible():
		case u.IsCold(now):
			perSecond += u.warmup.quota.GrantsPerSecond()
		case u.quota != nil:
			perSecond += u.quota.GrantsPerSecond()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// nextGrant returns when the upstream takes another request: after the pause that it asked for, if the rates that it declares and that it takes while it
// is cold allow one.
func (u *Upstream) nextGrant(now time.Time) time.Time {
	at := later(u.nextWarmupGrant(now), u.pausedUntil)
	if u.quota == nil {
		return at
	}
	return later(u.quota.NextGrant(now), at)
}

// hasRoom reports whether the upstream takes another request of this VM now.
func (u *Upstream) hasRoom(now time.Time) bool {
	return u.InFlight < u.Limit() && !u.nextGrant(now).After(now)
}

// DeclaredRate returns the rate of requests per second that the upstream declared for all VMs together, and whether it declared one.
func (u *Upstream) DeclaredRate() (float64, bool) {
	if u.quota == nil {
		return 0, false
	}
	return u.quota.Rate()
}

// attachQuota gives an upstream that was not known the quota that it had before its entry disappeared.
func (s *Set) attachQuota(u *Upstream) {
	if q := s.quotas[u.Row.Upstream]; q != nil && q.address == u.Row.Address.String() {
		u.quota = q
	}
}

// checkQuota drops the quota of an earlier incarnation.
func (s *Set) checkQuota(u *Upstream) {
	if u.quota == nil {
		return
	}
	if u.quota.incarnation != 0 && u.quota.incarnation != u.Incarnation {
		delete(s.quotas, u.Row.Upstream)
		u.quota = nil
		return
	}
	u.quota.incarnation = u.Incarnation
}

// pruneQuotas drops the quotas of upstreams whose entries disappeared long ago.
func (s *Set) pruneQuotas(now time.Time) {
	for name, q := range s.quotas {
		if _, ok := s.positionByName[name]; !ok && now.Sub(q.observedAt) > quotaLifetime {
			delete(s.quotas, name)
		}
	}
}
