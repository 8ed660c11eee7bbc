package reporter

import (
	"maps"
	"math"
	"time"
)

// rateLifetime is how long a declaration is passed on after the reply that named it. While an upstream declares a rate, replies renew it.
const rateLifetime = 10 * time.Second

// Rate is what an upstream declares about the rate of requests that it takes from all VMs together.
type Rate struct {
	Incarnation uint64        `json:",omitempty"` // of the upstream
	Limited     bool          `json:",omitempty"` // false if the upstream has withdrawn its limit
	PerSecond   float64       `json:",omitempty"`
	Age         time.Duration // since the reply that named the limit arrived, or since the request was sent whose reply named none
}

// Valid reports whether the values of a rate from another VM are possible.
func (r *Rate) Valid() bool {
	return r.Age >= 0 && r.PerSecond >= 0 && !math.IsNaN(r.PerSecond) && !math.IsInf(r.PerSecond, 0)
}

// declaration is the latest Rate of an upstream that a Board knows.
type declaration struct {
	service string
	rate    Rate
	at      time.Time
	remote  bool // from another failure domain
}

// addRate adds what an upstream has declared to a VM, nil for nothing. The latest declaration counts.
func (b *Board) addRate(now time.Time, service, upstream string, r *Rate, remote bool) {
	if r == nil || !r.Valid() {
		return
	}
	d := declaration{service: service, rate: *r, at: now.Add(-r.Age), remote: remote}
	if known, ok := b.rates[upstream]; ok && !d.at.After(known.at) {
		return
	}
	if b.rates == nil {
		b.rates = map[string]declaration{}
	}
	b.rates[upstream] = d
}

// appendRates adds the declared rates to ratings, with or without those from other failure domains.
func (b *Board) appendRates(now time.Time, ratings []Rating, remote bool) []Rating {
	maps.DeleteFunc(b.rates, func(_ string, d declaration) bool { return now.Sub(d.at) > rateLifetime })
	if len(b.rates) == 0 {
		return ratings
	}
	missing := maps.Clone(b.rates)
	maps.DeleteFunc(missing, func(_ string, d declaration) bool { return d.remote && !remote })
	for i := range ratings {
		if d, ok := missing[ratings[i].Upstream]; ok {
			ratings[i].Rate = d.passedOn(now)
			delete(missing, ratings[i].Upstream)
		}
	}
	for upstream, d := range missing {
		ratings = append(ratings, Rating{Service: d.service, Upstream: upstream, Rate: d.passedOn(now)})
	}
	sortRatings(ratings)
	return ratings
}

// passedOn returns the rate with its present age.
func (d *declaration) passedOn(now time.Time) *Rate {
	r := d.rate
	r.Age = now.Sub(d.at)
	return &r
}
