package reporter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of the weight of a report. It is about as long as the shortest faults of upstreams.
	halfLife = 2 * time.Second
	// minTries is the fewest weighted tries for which an upstream is rated.
	minTries = 3
	// minErrorShare is the share of failures from which an upstream is rated as failing. A few lost replies are normal.
	minErrorShare = 0.15
	// slowFactor is the multiple of its service's mean latency from which an upstream is rated as slow.
	slowFactor = 1.8
	// usualFactor is the multiple of what its requests usually take from which an upstream is rated as slow. A gathered request that is ten times
	// as patient as that has then lost half of its latency target there, and with it the time for a second attempt.
	usualFactor = 5
	// maxSlowShare is the share of the upstreams above which none is rated as slow. Requests are then too many for them, as after the return of
	// all VMs, and avoiding some would overload the others.
	maxSlowShare = 0.5
	// minKeptTries is the number of weighted tries below which the totals of an upstream are removed.
	minKeptTries = 0.05
)

// Rating describes an upstream that fails, is slow or declares a rate. An upstream without a rating works normally or has too few tries.
type Rating struct {
	Service  string
	Upstream string
	Errors   float64       // share of failed tries, 0 to 1
	Latency  time.Duration // mean of the successful tries
	Urgent   bool          `json:",omitempty"` // requests lose their latency target there; else it is only slower than others of its service
	Rate     *Rate         `json:",omitempty"` // nil if the upstream has declared none lately
}

// Aggregator combines the reports of several VMs into ratings. The zero value is empty.
type Aggregator struct {
	totals    map[string]*upstreamTotals
	decayedAt time.Time // time up to which the totals are decayed
}

// upstreamTotals holds the sums of an upstream's reports, weighted by age.
type upstreamTotals struct {
	service                  string
	tries, failures, latency float64 // latency in ns
	compared, usual          float64 // ns
}

// Merge adds reports. It ignores invalid ones.
func (a *Aggregator) Merge(now time.Time, reports []Report) {
	a.decay(now)
	if a.totals == nil {
		a.totals = map[string]*upstreamTotals{}
	}
	for _, r := range reports {
		if r.Tries < 0 || r.Failures < 0 || r.Latency < 0 || r.Usual < 0 || r.Compared < 0 {
			continue // from another version of the program
		}
		s := a.totals[r.Upstream]
		if s == nil {
			s = &upstreamTotals{}
			a.totals[r.Upstream] = s
		}
		s.service = r.Service
		s.tries += float64(r.Tries)
		s.failures = min(s.failures+float64(r.Failures), s.tries) // the try of a failure may have been reported before, and forgotten
		s.latency += float64(r.Latency)
		s.compared += float64(r.Compared)
		s.usual += float64(r.Usual)
	}
}

// decay reduces the totals by the time since the last decay.
func (a *Aggregator) decay(now time.Time) {
	weight := math.Exp2(-float64(max(0, now.Sub(a.decayedAt))) / float64(halfLife))
	a.decayedAt = now
	for upstream, s := range a.totals {
		s.tries *= weight
		s.failures *= weight
		s.latency *= weight
		s.compared *= weight
		s.usual *= weight
		if s.tries < minKeptTries {
			delete(a.totals, upstream)
		}
	}
}

// Ratings returns the ratings of the upstreams that fail or are slow, sorted by name.
func (a *Aggregator) Ratings(now time.Time) []Rating {
	a.decay(now)
	// The mean latency of a service is taken over the successful tries of all its upstreams.
	byService := map[string]upstreamTotals{}
	for _, s := range a.totals {
		u := byService[s.service]
		u.tries += s.tries - s.failures
		u.latency += s.latency
		byService[s.service] = u
	}
	var all []Rating
	var tried, slow float64
	for upstream, s := range a.totals {
		if s.tries < minTries {
			continue
		}
		r := Rating{Service: s.service, Upstream: upstream, Errors: s.failures / s.tries}
		u := byService[s.service]
		isSlow, isSlower := false, false
		if good := s.tries - s.failures; good >= 1 && u.tries > 0 {
			r.Latency = time.Duration(s.latency / good)
			// The VMs of a failure domain send most requests to one upstream of a service, so that the mean of the service follows that upstream.
			isSlow = s.usual > 0 && s.compared >= usualFactor*s.usual
			isSlower = s.usual == 0 && s.latency/good >= slowFactor*u.latency/u.tries
		}
		r.Urgent = r.Errors >= minErrorShare || isSlow
		tried++
		if isSlow {
			slow++
		}
		if r.Urgent || isSlower {
			all = append(all, r)
		}
	}
	if slow > maxSlowShare*tried {
		all = slices.DeleteFunc(all, func(r Rating) bool { return r.Urgent && r.Errors < minErrorShare })
	}
	if len(all) == 0 {
		return nil
	}
	sortRatings(all)
	return all
}

func sortRatings(all []Rating) {
	slices.SortFunc(all, func(x, y Rating) int { return cmp.Compare(x.Upstream, y.Upstream) })
}
