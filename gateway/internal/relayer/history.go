// Package relayer serves the changes that one VM has read from the store to the VMs that follow it, which saves their calls to the
// store.
package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyroute/core/coordination/reporter"
	"comfreyroute/platform/translator"
)

const (
	// maxItems bounds the history. A follower that is further behind must read the store itself.
	maxItems = 512
	// maxBytes bounds the history too. In base64 it fits into a response, and it takes a small part of the memory of the smallest VMs.
	maxBytes = maxMessageBytes / 2
	// recordBytes is what a record takes beside its key and its value.
	recordBytes = 128
	// followerTimeout is how long after its last request a VM counts as a follower.
	followerTimeout = 5 * time.Second
	// alertInterval is the shortest time between two checks for new ratings. It is below the time that a slow upstream takes for a reply, and
	// bounds what the reports of many VMs cost.
	alertInterval = 50 * time.Millisecond
)

// storedRecord is a record of the history.
type storedRecord struct {
	Record
	final bool // Value is in the form in which it is sent
}

// History holds the latest changes of the store that this VM knows. The zero value is empty and has no followers.
type History struct {
	mu            sync.Mutex
	records       []storedRecord // in the order of the writes
	bytes         int            // of the records
	era           uint64         // of the store's history to which the revisions belong
	startRevision uint64         // records has the last write of each key after this revision
	revision      uint64
	confirmedAt   time.Time // when revision was last known to be the newest; zero before the first Reset
	changed       chan struct{}
	lastRequest   time.Time
	board         reporter.Board
	rated         []reporter.Rating // of the board at ratedAt; shared by responses, which do not change it
	ratedAt       time.Time
	alerts        int // how often an upstream that had no rating got one
	checkedAt     time.Time
	checkPending  bool // a check for new ratings is due at the end of alertInterval
}

// Reset starts a new history after a full read of the store in an era.
func (h *History) Reset(confirmed time.Time, era, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era = era
	h.records, h.bytes, h.startRevision, h.revision, h.confirmedAt = nil, 0, revision, revision, confirmed
	h.notifyFollowers()
}

// AddChanges appends changes. Revision was the newest one of the store at the time confirmed.
func (h *History) AddChanges(confirmed time.Time, items []translator.Item, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range items {
		h.dropReplaced(i)
		s := storedRecord{Record: Record{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed}}
		h.records, h.bytes = append(h.records, s), h.bytes+s.size()
	}
	h.dropOldest()
	h.confirmedAt = confirmed
	if revision > h.revision {
		h.revision = revision
		h.notifyFollowers()
	}
}

// size returns the bytes that the record takes.
func (s *storedRecord) size() int { return recordBytes + len(s.Key) + len(s.Value) }

// dropReplaced drops earlier writes of the key of an item if they are large, as those of the manifest: a follower needs the last one only. The caller
// holds h.mu.
func (h *History) dropReplaced(i translator.Item) {
	if len(i.Value) < minPackedBytes {
		return
	}
	h.records = slices.DeleteFunc(h.records, func(s storedRecord) bool {
		replaced := s.Key == i.Key
		if replaced {
			h.bytes -= s.size()
		}
		return replaced
	})
}

// dropOldest drops the oldest records until the history is within its bounds. The caller holds h.mu.
func (h *History) dropOldest() {
	n := 0
	for ; n < len(h.records) && (len(h.records)-n > maxItems || h.bytes > maxBytes); n++ {
		h.startRevision = h.records[n].Revision
		h.bytes -= h.records[n].size()
	}
	if n > 0 {
		h.records = append([]storedRecord(nil), h.records[n:]...)
	}
}

// notifyFollowers wakes the waiting followers. The caller holds h.mu.
func (h *History) notifyFollowers() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// HasFollowers reports whether another VM sent a request recently.
func (h *History) HasFollowers(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastRequest.IsZero() && now.Sub(h.lastRequest) < followerTimeout
}

// MergeReports merges this VM's reports about upstreams with those of others, and returns the ratings.
func (h *History) MergeReports(now time.Time, reports []reporter.Report) []reporter.Rating {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.board.MergeReports(now, reports)
	h.alert(now)
	return h.rate(now)
}

// ratings returns the ratings of at most alertInterval ago. Many followers ask at the same moment. The caller holds h.mu.
func (h *History) ratings(now time.Time) []reporter.Rating {
	if now.Sub(h.ratedAt) < alertInterval {
		return h.rated
	}
	return h.rate(now)
}

// rate returns the ratings of now. The caller holds h.mu.
func (h *History) rate(now time.Time) []reporter.Rating {
	h.rated, h.ratedAt = h.board.Ratings(now), now
	return h.rated
}

// alert wakes the waiting followers if an upstream has become slow or begun to fail, now or at the end of alertInterval. The caller holds h.mu.
func (h *History) alert(now time.Time) {
	switch left := alertInterval - now.Sub(h.checkedAt); {
	case h.checkPending:
	case left > 0:
		h.checkPending = true
		time.AfterFunc(left, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.checkPending = false
			h.alert(time.Now())
		})
	default:
		h.checkedAt = now
		if h.board.Alert(now) {
			h.alerts++
			h.rate(now)
			h.notifyFollowers()
		}
	}
}

// UrgentRatings returns the urgent ratings by the reports of this failure domain.
func (h *History) UrgentRatings(now time.Time) []reporter.Rating {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.board.Urgent(now)
}

// ChangesSince returns the changes after a revision. It waits until there are some, an upstream gets an urgent rating, q.Wait is over, or the
// history is older than q.MaxAge. Without every change after the revision, or when the revision is of another era, it returns an incomplete response immediately.
func (h *History) ChangesSince(ctx context.Context, q ChangesRequest) ChangesResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	received, alerts := time.Now(), h.alerts
	h.board.MergeReports(received, q.Reports)
	if q.Domain != "" {
		h.board.MergeRatings(received, q.Domain, q.Ratings)
	}
	h.alert(received)
	if q.Exchange {
		return ChangesResponse{Ratings: h.ratings(received)}
	}
	h.lastRequest = received
	end := received.Add(q.Wait)
	for {
		now := time.Now()
		if h.confirmedAt.IsZero() || q.Era != h.era || q.After < h.startRevision {
			return ChangesResponse{Incomplete: true, Era: h.era}
		}
		timeout := min(end.Sub(now), h.confirmedAt.Add(q.MaxAge).Sub(now))
		if h.revision > q.After || h.alerts > alerts || timeout <= 0 || ctx.Err() != nil {
			return h.response(now, q.After)
		}
		if h.changed == nil {
			h.changed = make(chan struct{})
		}
		h.awaitChange(ctx, h.changed, timeout)
	}
}

// awaitChange waits for a change, a timeout or the end of the context. It releases h.mu, which the caller holds, while it waits.
func (h *History) awaitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	h.mu.Unlock()
	defer h.mu.Lock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (h *History) response(now time.Time, after uint64) ChangesResponse {
	r := ChangesResponse{Era: h.era, Revision: max(after, h.revision), Age: now.Sub(h.confirmedAt), Ratings: h.ratings(now)}
	for i := range h.records {
		s := &h.records[i]
		if s.Revision <= after {
			continue
		}
		if !s.final {
			// All followers get the same bytes. A VM without followers never compresses a value.
			if packed, ok := pack(s.Value); ok {
				h.bytes += len(packed) - len(s.Value)
				s.Value, s.Packed = packed, true
			}
			s.final = true
		}
		r.Records = append(r.Records, s.Record)
	}
	return r
}
