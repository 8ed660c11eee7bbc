// Package watcher keeps the manifest, the upstreams and the list of VMs in sync with the platform's store.
//
// The platform prices each call to the store, and a long-polling watch counts as one call. A VM therefore keeps a single watch over
// all keys and pauses after changes, because changes come in bursts. In a larger fleet most VMs get the changes from a peer instead.
package watcher

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/gateway/internal/relayer"
	"comfreyroute/platform/translator"
)

const (
	// callTimeout bounds a call, in addition to the wait of a watch. The store answers in milliseconds, and in 0.3 s when it is slow.
	callTimeout = 700 * time.Millisecond
	// readAllTimeout bounds a full read, which takes several calls.
	readAllTimeout = 2 * time.Second
	// watchMargin is the part of the stable window that is left for a full read after a lost watch has timed out.
	watchMargin = 300 * time.Millisecond
	// minWatchWait is the minimum wait of a watch. It applies to stable windows that are too short for a longer one.
	minWatchWait = time.Second
	// firstWait is the wait of the first watch after a failed call. Its answer tells at once whether the store was restored meanwhile.
	firstWait = time.Millisecond
	// burstPauseRatio sets the pause after changes, as a fraction of the shortest bound. Changes come in
	// bursts, and each call is priced. The sum with retentionRatio is below 1, so that a removed upstream is dropped within its drain
	// time.
	burstPauseRatio = 0.25
	// backlogThreshold is the number of changes from which a response may be one page of a longer history. The store's pages have 500
	// items.
	backlogThreshold = 100
	// retentionRatio limits how long a missing entry is kept, as a fraction of DrainTime. An upstream whose entry was removed serves
	// requests for the drain time and must get none after it.
	retentionRatio = 0.55
)

// Store is the platform's store.
type Store interface {
	ReadAll(ctx context.Context) (*translator.Changes, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (*translator.Changes, error)
	Reconnect()
}

// Peers requests the changes that other VMs have read from the store.
type Peers interface {
	ChangesSince(ctx context.Context, address netip.AddrPort, q relayer.ChangesRequest) (*relayer.ChangesResponse, error)
}

// Watcher follows the changes of the store. Its exported fields must be set before Run.
type Watcher struct {
	Store          Store
	Peers          Peers // nil while Elector knows no peers
	Elector        elector.Elector
	History        *relayer.History // changes served to other VMs; nil when there are no followers
	DrainTime      time.Duration    // how long a draining upstream serves requests; it may be gone afterwards
	EntryLifetime  time.Duration    // time after which the store drops the entry of a silent upstream
	ReregisterTime time.Duration    // time in which upstreams write expired entries again after an outage of the store
	StableWindow   time.Duration    // time after a fault of the store from which the platform's bounds apply again
	ApplyTime      time.Duration    // time within which a new manifest must be in force
	EvacuationTime time.Duration    // time within which an evacuation must be in force; 0 if there is no bound
	OnManifest     func(*forwarder.Manifest)
	OnUpstreams    func([]forwarder.Upstream)
	OnEvacuations  func(failureDomains []string)                      // called with all evacuated failure domains when they have changed; nil ignores them
	OnFleetSize    func(size int)                                     // not called while no VM is registered
	OnMembers      func([]elector.Member)                             // called with all registered VMs when one of them has changed; nil ignores them
	OnEvidence     func(all []quarantiner.Publication, complete bool) // called with what VMs have published about crashes; nil ignores it
	TakeReports    func() []reporter.Report                           // returns and clears this VM's reports about upstreams; nil for no reports
	OnRatings      func([]reporter.Rating)
	Exchange       *relayer.Exchange // takes the reports while no request for changes carries them; nil for none
	OnRemoved      func()            // called when the entry of this VM disappears from the store; not before the entry was seen there
	Log            *logger.Logger

	registered      bool // the entry of this VM is in the store
	published       bool // OnUpstreams was called at least once
	registry        registry
	evacuations     evacuations
	fleet           fleet
	backoff         storeBackoff
	source          elector.Source
	manifestVersion uint64 // of the newest manifest
	era             uint64 // of the store's history to which revision belongs; 0 if the store names none
	revision        uint64 // where the next watch continues; 0 requests a full read
}

// Run follows the store until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	if w.History == nil {
		w.History = &relayer.History{}
	}
	if w.TakeReports == nil {
		w.TakeReports = func() []reporter.Report { return nil }
	}
	if w.OnEvidence == nil {
		w.OnEvidence = func([]quarantiner.Publication, bool) {}
	}
	if w.OnEvacuations == nil {
		w.OnEvacuations = func([]string) {}
	}
	w.registry.entryLifetime, w.registry.reregisterTime = w.EntryLifetime, w.ReregisterTime
	w.registry.retention = min(w.ReregisterTime, time.Duration(float64(w.DrainTime)*retentionRatio))
	for ctx.Err() == nil {
		pause, err := w.step(ctx)
		if err != nil {
			if errors.Is(err, context.DeadlineExceeded) {
				w.Store.Reconnect() // the connection may never carry a response again
			}
			w.Elector.StoreFailed(time.Now())
			pause = w.backoff.recordFailure(w.Log, err, w.manifestVersion == 0)
		}
		w.pause(ctx, pause)
	}
}

// pause waits for a duration. Entries that expire meanwhile are dropped at once, because their upstreams may be gone soon after.
func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil; {
		now := time.Now()
		left := end.Sub(now)
		if left <= 0 {
			return
		}
		if w.published {
			if due := w.publishUpstreams(now); !due.IsZero() {
				left = min(left, max(due.Sub(now), time.Millisecond))
			}
		}
		sleep(ctx, left)
	}
}

// step makes one call to the store or to a peer and applies the result. It returns the pause before the next call. Only calls to the
// store return an error.
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
	if w.Exchange != nil && w.Exchange.Active(now) {
		w.Exchange.Carry(now, "")
	} else if reports := w.TakeReports(); w.History.HasFollowers(now) { // taken without followers too, because they would accumulate
		w.OnRatings(w.History.MergeReports(now, reports))
	}
	if w.backoff.unavailable {
		wait = firstWait
	}
	return w.watchStore(ctx, wait)
}

// applyChanges applies changes and passes them on. Their revision was the newest one of the store at the time confirmed.
func (w *Watcher) applyChanges(now, confirmed time.Time, c *translator.Changes) {
	for _, e := range c.Upstreams {
		if e.Revision > w.revision { // an entry that was dropped since must not come back with an old write
			w.registry.apply(now, e)
		}
	}
	w.revision = c.Revision
	if len(c.Evidence) > 0 {
		w.OnEvidence(c.Evidence, false)
	}
	if w.evacuations.apply(c.Evacuations) {
		w.publishEvacuations(c.Revision)
	}
	w.publishUpstreams(now)
	w.adoptManifest(c.Manifest)
	if w.fleet.apply(c.VMs) {
		w.updateMembers(now)
	}
	w.History.AddChanges(confirmed, c.Items, c.Revision)
}

// readAll reads all keys of the store and replaces the known entries.
func (w *Watcher) readAll(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	c, err := w.Store.ReadAll(callCtx)
	if err != nil {
		return err
	}
	w.recordStoreAnswer()
	now := time.Now()
	if w.restored(c) {
		w.Log.Warn("watcher: the store was restored from a copy", zap.Uint64("era", c.Era), zap.Uint64("before", w.era), zap.Uint64("revision", c.Revision))
		w.registered = true // its last write may be lost, whether or not this VM has seen it
		w.registry.restore(now, c.Upstreams)
	} else {
		w.registry.replace(now, c.Upstreams)
	}
	if c.Era != 0 {
		w.era = c.Era
	}
	w.OnEvidence(c.Evidence, true) // before the manifest, with which the first request is served
	if w.evacuations.replace(c.Evacuations) {
		w.publishEvacuations(c.Revision) // before the upstreams, the first of which get requests at once
	}
	w.publishUpstreams(now)
	if c.Manifest == nil {
		w.Log.Info("watcher: the store has no manifest yet", zap.Uint64("revision", c.Revision))
	}
	w.revision = c.Revision
	w.adoptManifest(c.Manifest)
	w.fleet.replace(c.VMs)
	w.updateMembers(now)
	w.History.Reset(now, w.era, c.Revision)
	return nil
}

// adoptManifest passes on a manifest that is newer than the current one.
func (w *Watcher) adoptManifest(m *forwarder.Manifest) {
	if m == nil || m.Version <= w.manifestVersion {
		return
	}
	w.manifestVersion = m.Version
	w.Log.Info("watcher: manifest adopted", zap.Uint64("manifest", m.Version), zap.Uint64("revision", w.revision),
		zap.Int("routes", len(m.Routes)), zap.Int("services", len(m.Services)))
	w.OnManifest(m)
}

// publishUpstreams drops expired entries and passes on the upstreams if they have changed. It returns when the next entry expires,
// zero for none.
func (w *Watcher) publishUpstreams(now time.Time) time.Time {
	due := w.registry.expire(now)
	changes := w.registry.takeChanges()
	if changes == "" && w.published {
		return due
	}
	w.published = true
	all := w.registry.upstreams()
	if changes != "" {
		w.Log.Info("watcher: upstreams changed", zap.Int("upstreams", len(all)), zap.Uint64("revision", w.revision), zap.String("changes", changes))
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
