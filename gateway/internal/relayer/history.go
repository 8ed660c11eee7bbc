// Package relayer passes what one VM has read from the store on to the VMs that follow it.
package relayer

import (
	"context"
	"sync"
	"time"

	"comfreyroute/core/coordination/reporter"
	"comfreyroute/platform/translator"
)

const (
	// mostItems bounds the history. A follower that is further behind reads the store itself.
	mostItems = 512
	// askedTime is how long after its last question a follower counts.
	askedTime = 5 * time.Second
)

// History is what was written last, as far as this VM has heard. The zero value has no followers and knows nothing.
type History struct {
	mu        sync.Mutex
	items     []translator.Item // in the order of the writes
	base      uint64            // revision after which items has every change
	revision  uint64
	confirmed time.Time // at that time nothing newer was in the store; zero while nothing is known
	changed   chan struct{}
	asked     time.Time
	pool      reporter.Aggregator
}

// Reset begins a new history after everything was read.
func (h *History) Reset(confirmed time.Time, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items, h.base, h.revision, h.confirmed = nil, revision, revision, confirmed
	h.wake()
}

// AddChanges adds changes. Confirmed is when there was nothing newer in the store.
func (h *History) AddChanges(confirmed time.Time, items []translator.Item, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items = append(h.items, items...)
	if n := len(h.items) - mostItems; n > 0 {
		h.base = h.items[n-1].Revision
		h.items = append([]translator.Item(nil), h.items[n:]...)
	}
	h.confirmed = confirmed
	if revision > h.revision {
		h.revision = revision
		h.wake()
	}
}

// wake lets the followers look again. The lock is held.
func (h *History) wake() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// HasFollowers tells whether another VM asked lately.
func (h *History) HasFollowers(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.asked.IsZero() && now.Sub(h.asked) < askedTime
}

// MergeReports merges what this VM saw of upstreams with what its followers report, and returns the ratings.
func (h *History) MergeReports(now time.Time, reports []reporter.Report) []reporter.Rating {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.Merge(now, reports)
	return h.pool.Ratings(now)
}

// ChangesSince returns what was written after a revision. It waits until there is something, the wait is over, or what this VM knows is older
// than most.
func (h *History) ChangesSince(ctx context.Context, q ChangesRequest) ChangesResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked = time.Now()
	end := h.asked.Add(q.Wait)
	h.pool.Merge(h.asked, q.Reports)
	for {
		now := time.Now()
		if h.confirmed.IsZero() || q.After < h.base {
			return ChangesResponse{Incomplete: true}
		}
		until := min(end.Sub(now), h.confirmed.Add(q.MaxAge).Sub(now))
		if h.revision > q.After || until <= 0 || ctx.Err() != nil {
			return h.answer(now, q.After)
		}
		if h.changed == nil {
			h.changed = make(chan struct{})
		}
		h.await(ctx, h.changed, until)
	}
}

// await waits without the lock, which is held before and after.
func (h *History) await(ctx context.Context, changed <-chan struct{}, until time.Duration) {
	h.mu.Unlock()
	defer h.mu.Lock()
	t := time.NewTimer(until)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (h *History) answer(now time.Time, after uint64) ChangesResponse {
	a := ChangesResponse{Revision: max(after, h.revision), Age: now.Sub(h.confirmed), Ratings: h.pool.Ratings(now)}
	for _, i := range h.items {
		if i.Revision > after {
			a.Records = append(a.Records, Record{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
		}
	}
	return a
}
