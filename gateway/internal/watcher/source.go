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
	// maxAgeRatio is the part of the shorter one of these times for which what a peer knows may be unconfirmed. A follower notices within
	// it, or within the wait and followMargin, that its peer lost the store, and then asks the store.
	maxAgeRatio = 0.35
	// waitRatio is the part of that age for which a question to a peer, and the watch of a VM that is followed, wait. The rest is for a pause
	// and for the way.
	waitRatio = 0.5
	// pauseRatio is the part of that age for which a VM that is followed pauses after changes. With waitShare it stays below 1.
	pauseRatio = 0.25
	// peerTimeoutMargin is how long the response of a peer may take beyond its waiting time.
	peerTimeoutMargin = 500 * time.Millisecond
	// reportInterval is how often a follower tells what it saw of upstreams, and hears what others saw. Faults of upstreams last seconds.
	reportInterval = 500 * time.Millisecond
	// peerChangePause is the pause after changes from a peer: they come in series, and each question costs both VMs some work.
	peerChangePause = 100 * time.Millisecond
)

// maxAge returns a part of the age from which what a peer knows is of no use.
func (w *Watcher) maxAge(part float64) time.Duration {
	return time.Duration(float64(min(w.DrainTime, w.ApplyTime)) * maxAgeRatio * part)
}

// watchStore waits for changes in the store.
func (w *Watcher) watchStore(ctx context.Context, wait time.Duration) (time.Duration, error) {
	bounded, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	c, err := w.Store.Watch(bounded, w.revision, wait)
	if errors.Is(err, translator.ErrCompacted) {
		w.recordStoreAnswer()
		w.Log.Info("watcher: history dropped, reading everything", zap.Uint64("revision", w.revision))
		w.revision = 0
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	w.recordStoreAnswer()
	now := time.Now()
	w.applyChanges(now, now, c)
	if len(c.Items) < backlogThreshold && len(c.Items) > 0 {
		if w.History.HasFollowers(now) {
			return w.maxAge(pauseRatio), nil
		}
		return time.Duration(float64(min(w.DrainTime, w.ApplyTime)) * burstPauseRatio), nil
	}
	return 0, nil
}

// recordStoreAnswer records that the store answered.
func (w *Watcher) recordStoreAnswer() {
	w.Elector.StoreAnswered()
	w.backoff.recordSuccess(w.Log)
}

// followPeer waits for changes that a peer has read. It returns how long to pause. A peer that fails or knows too little is not asked again
// for a while.
func (w *Watcher) followPeer(ctx context.Context, peer elector.Member, wait time.Duration) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, wait+peerTimeoutMargin)
	defer cancel()
	a, err := w.Peers.ChangesSince(bounded, peer.Address, relayer.ChangesRequest{
		After: w.revision, Wait: min(wait, reportInterval), MaxAge: w.maxAge(1), Reports: w.TakeReports(),
	})
	now := time.Now()
	var c *translator.Changes
	if err == nil {
		c, err = translator.DecodeChanges(a.Items(), a.Revision)
	}
	lost := func(reason string) time.Duration {
		w.Log.Warn("watcher: peer lost", zap.String("peer", peer.Name), zap.Uint64("revision", w.revision), zap.String("reason", reason))
		return 0
	}
	switch {
	case err != nil:
		w.Elector.PeerFailed(now, peer.Name)
		return lost(err.Error())
	case a.Incomplete:
		w.Elector.PeerFailed(now, peer.Name)
		return lost("it does not know every change since then")
	case a.Age > w.maxAge(1):
		w.Elector.PeerStale(now, peer.Name)
		return lost("it last heard from the store " + a.Age.String() + " ago")
	}
	w.OnRatings(a.Ratings)
	w.applyChanges(now, now.Add(-a.Age), c)
	if len(c.Items) > 0 {
		return peerChangePause
	}
	return 0
}

func sourceName(s elector.Source) string {
	if p, ok := s.(elector.Peer); ok {
		return p.Member.Name
	}
	return "store"
}
