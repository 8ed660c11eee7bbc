package reporter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife halves the weight of a report with its age. It is about as long as the shortest faults of upstreams.
	halfLife = 2 * time.Second
	// leastTries is the weight of reports below which nothing is said of an upstream.
	leastTries = 3
	// leastErrors is the share of failures from which an upstream is rated. Some lost replies are usual.
	leastErrors = 0.15
	// slowFactor is how much slower than its service an upstream is from which it is rated.
	slowFactor = 1.8
	// forgetTries is the weight below which the reports of an upstream are dropped.
	forgetTries = 0.05
)

// Rating says that an upstream fails or is slow. Upstreams without a rating are as usual, or nothing is known.
type Rating struct {
	Service  string
	Upstream string
	Errors   float64       // share of the tries, 0 to 1
	Latency  time.Duration // mean
}

// Aggregator merges the reports of several VMs. The zero value is empty.
type Aggregator struct {
	sums map[string]*sums
	at   time.Time // to which the sums have aged
}

// sums are weighted by the age of the reports.
type sums struct {
	service                  string
	tries, failures, latency float64 // latency in ns
}

// Merge adds reports.
func (p *Aggregator) Merge(now time.Time, reports []Report) {
	p.age(now)
	if p.sums == nil {
		p.sums = map[string]*sums{}
	}
	for _, r := range reports {
		if r.Tries <= 0 || r.Failures < 0 || r.Failures > r.Tries || r.Latency < 0 {
			continue // a report of another version of the program
		}
		s := p.sums[r.Upstream]
		if s == nil {
			s = &sums{}
			p.sums[r.Upstream] = s
		}
		s.service = r.Service
		s.tries += float64(r.Tries)
		s.failures += float64(r.Failures)
		s.latency += float64(r.Latency)
	}
}

// age lowers the weight of what was reported.
func (p *Aggregator) age(now time.Time) {
	weight := math.Exp2(-float64(max(0, now.Sub(p.at))) / float64(halfLife))
	p.at = now
	for upstream, s := range p.sums {
		s.tries *= weight
		s.failures *= weight
		s.latency *= weight
		if s.tries < forgetTries {
			delete(p.sums, upstream)
		}
	}
}

// Ratings returns the upstreams that fail or are slow, by name.
func (p *Aggregator) Ratings(now time.Time) []Rating {
	p.age(now)
	usual := map[string]sums{}
	for _, s := range p.sums {
		u := usual[s.service]
		u.tries += s.tries - s.failures
		u.latency += s.latency
		usual[s.service] = u
	}
	var all []Rating
	for upstream, s := range p.sums {
		if s.tries < leastTries {
			continue
		}
		r := Rating{Service: s.service, Upstream: upstream, Errors: s.failures / s.tries}
		u := usual[s.service]
		isSlow := false
		if good := s.tries - s.failures; good >= 1 && u.tries > 0 {
			r.Latency = time.Duration(s.latency / good)
			isSlow = s.latency/good >= slowFactor*u.latency/u.tries
		}
		if r.Errors >= leastErrors || isSlow {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(x, y Rating) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return all
}
