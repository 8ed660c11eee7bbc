package watcher

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/gateway/internal/relayer"
	"comfreyroute/platform/translator"
)

const (
	// maxAgeRatio sets the maximum age of a peer's data, as a fraction of the shortest bound. Within this
	// age, or within the wait plus peerTimeoutMargin, a follower notices that its peer has lost the store, and turns to the store.
	maxAgeRatio = 0.35
	// waitRatio sets the wait of a request to a peer, and of the watch of a VM with followers, as a fraction of the maximum age. The
	// rest is for the pause and for network delay.
	waitRatio = 0.5
	// pauseRatio sets the pause after changes of a VM with followers, as a fraction of the maximum age. The sum with waitRatio is
	// below 1.
	pauseRatio = 0.25
	// peerTimeoutMargin bounds a request to a peer, in addition to its wait.
	peerTimeoutMargin = 500 * time.Millisecond
	// peerChangePause is the pause after changes from a peer: changes come in bursts, and each request costs both VMs some work.
	peerChangePause = 100 * time.Millisecond
)

// maxAge returns a fraction of the age from which a peer's data is too old.
func (w *Watcher) maxAge(fraction float64) time.Duration {
	return time.Duration(float64(w.shortestBound()) * maxAgeRatio * fraction)
}

// shortestBound returns the shortest time within which a change must be in force.
func (w *Watcher) shortestBound() time.Duration {
	bound := min(w.DrainTime, w.ApplyTime)
	if w.EvacuationTime > 0 {
		bound = min(bound, w.EvacuationTime)
	}
	return bound
}

// watchStore waits for changes of the store and applies them. It returns the pause before the next call.
func (w *Watcher) watchStore(ctx context.Context, wait time.Duration) (time.Duration, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	c, err := w.Store.Watch(callCtx, w.revision, wait)
	if errors.Is(err, translator.ErrCompacted) {
		w.recordStoreAnswer()
		w.Log.Info("watcher: the store has compacted its history, reading all keys", zap.Uint64("revision", w.revision))
		w.revision = 0
		return 0, nil
	}
	if errors.Is(err, translator.ErrTooLong) { // a listing has the last write of each key only, and comes in pages
		w.recordStoreAnswer()
		w.Log.Info("watcher: too many changes for one response, reading all keys", zap.Uint64("revision", w.revision))
		w.revision = 0
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	w.recordStoreAnswer()
	if w.restored(c) {
		w.revision = 0
		return 0, nil
	}
	now := time.Now()
	w.applyChanges(now, now, c)
	if len(c.Items) < backlogThreshold && len(c.Items) > 0 {
		if w.History.HasFollowers(now) {
			return w.maxAge(pauseRatio), nil
		}
		return time.Duration(float64(w.shortestBound()) * burstPauseRatio), nil
	}
	return 0, nil
}

// restored reports whether an answer of the store is of another era than the known state. The revisions of an era that has ended were given
// out again for other writes.
func (w *Watcher) restored(c *translator.Changes) bool {
	return c.Era != 0 && w.era != 0 && c.Era != w.era
}

// recordStoreAnswer resets the failure state after an answer of the store.
func (w *Watcher) recordStoreAnswer() {
	w.Elector.StoreAnswered()
	w.backoff.recordSuccess(w.Log)
}

// followPeer waits for changes from a peer and applies them. It returns the pause before the next call. A peer that fails, or whose
// data is incomplete or too old, is avoided for a while.
func (w *Watcher) followPeer(ctx context.Context, peer elector.Member, wait time.Duration) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeoutMargin)
	defer cancel()
	q := relayer.ChangesRequest{After: w.revision, Era: w.era, Wait: min(wait, relayer.ReportInterval), MaxAge: w.maxAge(1)}
	carries := w.Exchange == nil || w.Exchange.Carry(time.Now(), peer.Name)
	if carries {
		q.Reports = w.TakeReports()
	}
	r, err := w.Peers.ChangesSince(callCtx, peer.Address, q)
	now := time.Now()
	var c *translator.Changes
	if err == nil {
		c, err = decodeResponse(r)
	}
	abandon := func(reason string) time.Duration {
		w.Log.Warn("watcher: no longer following the peer", zap.String("peer", peer.Name), zap.Uint64("revision", w.revision), zap.String("reason", reason))
		return 0
	}
	switch {
	case err != nil:
		w.Elector.PeerFailed(now, peer.Name)
		return abandon(err.Error())
	case r.Era > w.era:
		w.revision = 0
		return abandon("it follows a later era of the store, reading all keys")
	case r.Era < w.era:
		w.Elector.PeerStale(now, peer.Name)
		return abandon("it follows an earlier era of the store")
	case r.Incomplete:
		w.Elector.PeerFailed(now, peer.Name)
		return abandon("its history does not reach back to this revision")
	case r.Age >= w.maxAge(1):
		w.Elector.PeerStale(now, peer.Name)
		return abandon("its last contact with the store was " + r.Age.String() + " ago")
	}
	if carries {
		if w.Exchange != nil {
			w.Exchange.SetRatings(r.Ratings)
		}
		w.OnRatings(r.Ratings)
	}
	w.applyChanges(now, now.Add(-r.Age), c)
	if len(c.Items) > 0 {
		return peerChangePause
	}
	return 0
}

// decodeResponse decodes the changes in the response of a peer.
func decodeResponse(r *relayer.ChangesResponse) (*translator.Changes, error) {
	items, err := r.Items()
	if err != nil {
		return nil, err
	}
	return translator.DecodeChanges(items, r.Revision)
}

// sourceName returns the name of a source for the log.
func sourceName(s elector.Source) string {
	if p, ok := s.(elector.Peer); ok {
		return p.Member.Name
	}
	return "store"
}
