package reporter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// remoteLifetime is how long the ratings of another failure domain count. They come each half second while there are any.
const remoteLifetime = 1500 * time.Millisecond

// newsTime is how long a rating is urgent. Upstreams often become slow together, and the reports of the next ones follow in that time.
const newsTime = 400 * time.Millisecond

// Board combines the reports of the VMs of one failure domain with the ratings of others. Most requests to an upstream come from the VMs of
// its own failure domain, which notice first that it is slow; the others need to know before they send a second attempt there. The zero value
// is empty.
type Board struct {
	own    Aggregator
	remote map[string]remoteRatings // by failure domain

	alertedAt map[string]time.Time   // when the upstreams with an urgent rating got it
	rates     map[string]declaration // by upstream
}

type remoteRatings struct {
	ratings    []Rating
	receivedAt time.Time
}

// MergeReports adds reports of VMs of this failure domain.
func (b *Board) MergeReports(now time.Time, reports []Report) {
	b.own.Merge(now, reports)
	for i := range reports {
		b.addRate(now, reports[i].Service, reports[i].Upstream, reports[i].Rate, false)
	}
}

// MergeRatings replaces the ratings of another failure domain.
func (b *Board) MergeRatings(now time.Time, domain string, ratings []Rating) {
	if b.remote == nil {
		b.remote = map[string]remoteRatings{}
	}
	for i := range ratings {
		b.addRate(now, ratings[i].Service, ratings[i].Upstream, ratings[i].Rate, true)
	}
	rated := slices.DeleteFunc(slices.Clone(ratings), func(r Rating) bool { return !r.Urgent })
	b.remote[domain] = remoteRatings{ratings: rated, receivedAt: now}
}

// Urgent returns the urgent ratings, and the declared rates, by the reports of this failure domain.
func (b *Board) Urgent(now time.Time) []Rating {
	urgent := slices.DeleteFunc(b.own.Ratings(now), func(r Rating) bool { return !r.Urgent })
	return b.appendRates(now, urgent, false)
}

// Ratings returns the ratings of all failure domains, sorted by upstream. Of several for one upstream the worst latency and errors count. They
// are urgent for newsTime. Upstreams that declare a rate, or have withdrawn one lately, are among them.
func (b *Board) Ratings(now time.Time) []Rating {
	ratings := b.merge(now)
	for i := range ratings {
		if at, ok := b.alertedAt[ratings[i].Upstream]; ok && now.Sub(at) >= newsTime {
			ratings[i].Urgent = false
		}
	}
	return b.appendRates(now, ratings, true)
}

func (b *Board) merge(now time.Time) []Rating {
	own := b.own.Ratings(now)
	maps.DeleteFunc(b.remote, func(_ string, r remoteRatings) bool { return now.Sub(r.receivedAt) > remoteLifetime })
	if len(b.remote) == 0 {
		return own
	}
	merged := map[string]Rating{}
	add := func(ratings []Rating) {
		for _, r := range ratings {
			if known, ok := merged[r.Upstream]; ok {
				r.Errors, r.Latency, r.Urgent = max(r.Errors, known.Errors), max(r.Latency, known.Latency), r.Urgent || known.Urgent
			}
			merged[r.Upstream] = r
		}
	}
	add(own)
	for _, r := range b.remote {
		add(r.ratings)
	}
	return slices.SortedFunc(maps.Values(merged), func(x, y Rating) int { return cmp.Compare(x.Upstream, y.Upstream) })
}

// Alert reports whether an upstream has an urgent rating that had none at the last check, so that the other VMs should know at once.
func (b *Board) Alert(now time.Time) bool {
	ratings := b.merge(now)
	isNew := false
	alertedAt := make(map[string]time.Time, len(ratings))
	for _, r := range ratings {
		if !r.Urgent {
			continue
		}
		at, known := b.alertedAt[r.Upstream]
		if !known {
			at, isNew = now, true
		}
		alertedAt[r.Upstream] = at
	}
	b.alertedAt = alertedAt
	return isNew
}
