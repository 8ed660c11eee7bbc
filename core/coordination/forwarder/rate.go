package forwarder

import (
	"time"

	"comfreyroute/core/coordination/limiter"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/coordination/selector"
)

// add counts a send: a first one, or a hedge beside another attempt, or a retry after a failed one.
func (c *LimitedSends) add(sub *subRequest) {
	switch {
	case sub.inFlight.Count() > 0:
		c.Hedges++
	case len(sub.tried) > 0:
		c.Retries++
	default:
		c.First++
	}
}

// countLimitedSend counts a send to an upstream that declares a limit. The send is not recorded in the sub-request yet.
func (m *Machine) countLimitedSend(u *selector.Upstream, sub *subRequest) {
	if _, limited := u.DeclaredRate(); !limited {
		return
	}
	m.LimitedSends.add(sub)
	s := sub.service
	if s.limitedSends == nil {
		s.limitedSends = map[string]*LimitedSends{}
	}
	c := s.limitedSends[u.Row.Upstream]
	if c == nil {
		c = &LimitedSends{}
		s.limitedSends[u.Row.Upstream] = c
	}
	c.add(sub)
}

// reportRate reports the limit that the upstream at a position has declared.
func (m *Machine) reportRate(s *service, i int) {
	u := s.set.At(i)
	rate, limited := u.DeclaredRate()
	change := RateChanged{Service: s.name, Upstream: u.Row.Upstream, Limited: limited, Rate: rate}
	if c := s.limitedSends[u.Row.Upstream]; c != nil {
		change.Sends = *c
	}
	if !limited {
		delete(s.limitedSends, u.Row.Upstream)
	}
	m.emit(change)
}

// reportRates reports to other VMs what the upstreams of a service have declared.
func (m *Machine) reportRates(now time.Time, s *service) {
	for _, o := range s.set.TakeRates() {
		m.collector.RecordRate(s.name, o.Upstream, reporter.Rate{
			Incarnation: o.Incarnation, Limited: o.Declaration.Kind == limiter.Limited, PerSecond: o.Declaration.Rate, Age: max(0, now.Sub(o.At)),
		})
	}
}

// learnRate records what the upstream at a position has declared to other VMs.
func (m *Machine) learnRate(now time.Time, s *service, i int, r *reporter.Rate) {
	if !r.Valid() {
		return // from another version of the program
	}
	d := limiter.Declaration{}
	if r.Limited {
		d = limiter.Declaration{Kind: limiter.Limited, Rate: r.PerSecond}
	}
	if s.set.LearnRate(now, now.Add(-r.Age), m.random, i, r.Incarnation, d) {
		m.reportRate(s, i)
		m.dispatchWaiting(now, s)
	}
}

// ColdUpstreams returns how many upstreams limit their rate because they are cold.
func (m *Machine) ColdUpstreams(now time.Time) uint64 {
	return m.countUpstreams(func(u *selector.Upstream) bool { return u.IsCold(now) })
}

// LimitedUpstreams returns how many upstreams declare a limit on their rate.
func (m *Machine) LimitedUpstreams() uint64 {
	return m.countUpstreams(func(u *selector.Upstream) bool {
		_, limited := u.DeclaredRate()
		return limited
	})
}

// countUpstreams returns for how many upstreams a function is true.
func (m *Machine) countUpstreams(counts func(*selector.Upstream) bool) uint64 {
	n := uint64(0)
	for _, s := range m.services {
		for i := range s.set.Len() {
			if counts(s.set.At(i)) {
				n++
			}
		}
	}
	return n
}
