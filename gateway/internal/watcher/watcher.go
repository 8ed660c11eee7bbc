// Package watcher keeps the manifest, the upstreams and the list of VMs in step with the platform's store.
//
// Each call to the store is priced, a waiting watch as one. One watch over everything costs a VM one call for each waiting time
// and, because changes come in series, one for each series of changes. In a larger fleet most VMs ask a peer instead.
package watcher

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/gateway/internal/relayer"
	"comfreyroute/platform/translator"
)

const (
	// callTimeout bounds a call beyond its waiting time. The store answers in milliseconds, and in 0.3 s when it is slow.
	callTimeout = 700 * time.Millisecond
	// readAllTimeout bounds a reading of everything, which takes several calls.
	readAllTimeout = 2 * time.Second
	// watchMargin is what remains of the stable window after a watch that was lost has timed out, for a reading of everything.
	watchMargin = 300 * time.Millisecond
	// minWatchWait is the least wait of a watch, for stable windows that leave none.
	minWatchWait = time.Second
	// burstPauseRatio is the part of the shorter one of the times to apply a manifest and to drain an upstream for which the watcher
	// pauses after changes: they come in series, and each call is priced. Together with holdShare it stays below 1.
	burstPauseRatio = 0.25
	// backlogThreshold is the number of changes from which a response may be a page of a longer history. The store's pages have 500 items.
	backlogThreshold = 100
	// retentionRatio is the part of the drain time for which a missing entry is kept. A server whose entry is removed serves for the
	// drain time, and must get nothing after it.
	retentionRatio = 0.55
)

// Store is the platform's store.
type Store interface {
	ReadAll(ctx context.Context) (*translator.Changes, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (*translator.Changes, error)
	Reconnect()
}

// Peers asks other VMs for what they have read from the store.
type Peers interface {
	ChangesSince(ctx context.Context, address netip.AddrPort, q relayer.ChangesRequest) (*relayer.ChangesResponse, error)
}

// Watcher follows the store. Its exported fields are set before Run.
type Watcher struct {
	Store          Store
	Peers          Peers // nil while Elector knows no peers
	Elector        elector.Elector
	History        *relayer.History // what this VM tells the others; nil when they do not ask
	DrainTime      time.Duration    // after it a draining upstream may be gone
	ReregisterTime time.Duration    // time in which lapsed entries are back after an outage of the store
	StableWindow   time.Duration    // after a fault of the store has passed for so long, the bounds hold again
	ApplyTime      time.Duration    // within it a manifest is in force
	OnManifest     func(*forwarder.Manifest)
	OnUpstreams    func([]forwarder.Upstream)
	OnFleetSize    func(size int)           // of the fleet; not called while no VM is registered
	TakeReports    func() []reporter.Report // what this VM saw of upstreams since the last call; nil for nothing
	OnRatings      func([]reporter.Rating)
	OnRemoved      func() // tells that the entry of this VM is gone; not called before it was seen
	Log            *logger.Logger

	registered      bool // this VM is registered
	published       bool // the upstreams were passed on once
	registry        registry
	fleet           fleet
	backoff         storeBackoff
	source          elector.Source
	manifestVersion uint64 // of the newest manifest
	revision        uint64 // after which the watch continues; 0 reads everything
}

// Run follows the store until its context ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.History == nil {
		w.History = &relayer.History{}
	}
	if w.TakeReports == nil {
		w.TakeReports = func() []reporter.Report { return nil }
	}
	w.registry.retention = min(w.ReregisterTime, time.Duration(float64(w.DrainTime)*retentionRatio))
	for ctx.Err() == nil {
		pause, err := w.step(ctx)
		if err != nil {
			if errors.Is(err, context.DeadlineExceeded) {
				w.Store.Reconnect() // the connection may be silent for good
			}
			w.Elector.StoreFailed(time.Now())
			pause = w.backoff.recordFailure(w.Log, err, w.manifestVersion == 0)
		}
		sleep(ctx, pause)
	}
}

// step makes the next call and passes on what it brings. It returns how long to pause before the one after. An error is one of the store.
func (w *Watcher) step(ctx context.Context) (time.Duration, error) {
	now := time.Now()
	w.reportFleetSize(now)
	if w.revision == 0 {
		return 0, w.readAll(ctx)
	}
	wait := max(minWatchWait, w.StableWindow-callTimeout-watchMargin)
	if w.History.HasFollowers(now) {
		wait = min(wait, w.maxAge(waitRatio))
	}
	if due := w.publishUpstreams(now); !due.IsZero() {
		wait = min(wait, max(time.Until(due), time.Millisecond))
	}
	source := w.Elector.Source(now)
	if source != w.source {
		w.Log.Info("watcher: source changed", zap.String("source", sourceName(source)), zap.Uint64("revision", w.revision))
		w.source = source
	}
	if peer, ok := source.(elector.Peer); ok {
		return w.followPeer(ctx, peer.Member, min(wait, w.maxAge(waitRatio))), nil
	}
	if reports := w.TakeReports(); w.History.HasFollowers(now) { // taken even if nobody asks, because they pile up otherwise
		w.OnRatings(w.History.MergeReports(now, reports))
	}
	return w.watchStore(ctx, wait)
}

// applyChanges passes changes on. Confirmed is when nothing newer was in the store.
func (w *Watcher) applyChanges(now, confirmed time.Time, c *translator.Changes) {
	w.revision = c.Revision
	for _, e := range c.Upstreams {
		w.registry.apply(now, e)
	}
	w.publishUpstreams(now)
	w.adoptManifest(c.Manifest)
	if w.fleet.apply(c.VMs) {
		w.updateMembers(now)
	}
	w.History.AddChanges(confirmed, c.Items, c.Revision)
}

// readAll reads everything.
func (w *Watcher) readAll(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	c, err := w.Store.ReadAll(bounded)
	if err != nil {
		return err
	}
	w.recordStoreAnswer()
	now := time.Now()
	w.registry.replace(now, c.Upstreams)
	w.publishUpstreams(now)
	if c.Manifest == nil {
		w.Log.Info("watcher: the store has no manifest yet", zap.Uint64("revision", c.Revision))
	}
	w.revision = c.Revision
	w.adoptManifest(c.Manifest)
	w.fleet.replace(c.VMs)
	w.updateMembers(now)
	w.History.Reset(now, c.Revision)
	return nil
}

// adoptManifest passes a manifest on that is newer than the present one.
func (w *Watcher) adoptManifest(m *forwarder.Manifest) {
	if m == nil || m.Version <= w.manifestVersion {
		return
	}
	w.manifestVersion = m.Version
	w.Log.Info("watcher: manifest adopted", zap.Uint64("manifest", m.Version), zap.Uint64("revision", w.revision),
		zap.Int("routes", len(m.Routes)), zap.Int("services", len(m.Services)))
	w.OnManifest(m)
}

// publishUpstreams passes the upstreams on if they have changed, without the entries that were missing for too long. It returns when the next
// one of these is due, zero for none.
func (w *Watcher) publishUpstreams(now time.Time) time.Time {
	due := w.registry.expire(now)
	text := w.registry.takeChanges()
	if text == "" && w.published {
		return due
	}
	w.published = true
	all := w.registry.upstreams()
	if text != "" {
		w.Log.Info("watcher: upstreams changed", zap.Int("upstreams", len(all)), zap.Uint64("revision", w.revision), zap.String("changes", text))
	}
	w.OnUpstreams(all)
	return due
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
