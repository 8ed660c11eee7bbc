// Package watcher keeps the manifest and the upstreams in step with the platform's store.
//
// Each call to the store is priced. The manifest is watched, which costs a call for each change and each waiting time. The
// upstreams are listed instead of watched: every heartbeat of a server is a change, so that a watch would cost a call for each.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

// Times of the calls to the store.
const (
	// watchWait is how long a watch waits. A silent connection is noticed after it, early enough for a manifest that is written
	// one stable window (4 s) after the connection went silent and is due 3 s later.
	watchWait = 4 * time.Second
	// callTimeout bounds a call beyond its waiting time. The store answers in milliseconds, and in 0.3 s when it is slow.
	callTimeout = time.Second
	// listShare is the part of the drain time between two listings: a draining upstream gets nothing after the drain time.
	listShare = 0.4
	// firstPause and lastPause bound the pause after a failed call; it doubles with each failure. Jitter keeps the VMs apart.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// Store is the platform's store.
type Store interface {
	Manifest(ctx context.Context) (*forwarder.Manifest, uint64, error)
	WatchManifest(ctx context.Context, after uint64, wait time.Duration) (*forwarder.Manifest, uint64, error)
	Upstreams(ctx context.Context) ([]forwarder.Upstream, int, error)
	Reconnect()
}

// Watcher follows the store until its context ends. Its exported fields are set before Run.
type Watcher struct {
	Store    Store
	Drain    time.Duration // after it a draining upstream may be gone
	Settle   time.Duration // time in which lapsed entries are back after an outage of the store
	Manifest func(*forwarder.Manifest)
	List     func([]forwarder.Upstream)
	Log      *logger.Logger

	listed    []forwarder.Upstream
	lastList  time.Time
	restored  time.Time // when the store answered again after an outage
	unusables int
}

// RunManifest follows the manifest.
func (w *Watcher) RunManifest(ctx context.Context) {
	var revision, version uint64
	var l link
	for ctx.Err() == nil {
		var m *forwarder.Manifest
		var err error
		if revision == 0 {
			m, revision, err = call(ctx, callTimeout, w.Store.Manifest)
		} else {
			m, revision, err = call(ctx, watchWait+callTimeout, func(ctx context.Context) (*forwarder.Manifest, uint64, error) {
				return w.Store.WatchManifest(ctx, revision, watchWait)
			})
		}
		if errors.Is(err, translator.ErrHistoryGone) {
			w.Log.Info("watcher: history dropped, reading the manifest again", zap.Uint64("revision", revision))
			revision = 0
			continue
		}
		if pause := l.result(w.Log, "manifest", err); pause > 0 {
			if errors.Is(err, context.DeadlineExceeded) {
				w.Store.Reconnect()
			}
			sleep(ctx, pause)
			continue
		}
		if m != nil && m.Version > version {
			version = m.Version
			w.Log.Info("watcher: manifest adopted", zap.Uint64("manifest", version), zap.Uint64("revision", revision),
				zap.Int("routes", len(m.Routes)), zap.Int("services", len(m.Services)))
			w.Manifest(m)
		}
	}
}

// RunUpstreams follows the upstreams.
func (w *Watcher) RunUpstreams(ctx context.Context) {
	interval := time.Duration(float64(w.Drain) * listShare)
	var l link
	for ctx.Err() == nil {
		began := time.Now()
		all, unusable, err := call(ctx, callTimeout, w.Store.Upstreams)
		pause := l.result(w.Log, "upstreams", err)
		if pause > 0 {
			if errors.Is(err, context.DeadlineExceeded) {
				w.Store.Reconnect()
			}
			sleep(ctx, pause)
			continue
		}
		w.take(began, all, unusable)
		sleep(ctx, interval-time.Since(began))
	}
}

// take passes a listing on.
func (w *Watcher) take(now time.Time, all []forwarder.Upstream, unusable int) {
	if unusable != w.unusables {
		w.unusables = unusable
		w.Log.Info("watcher: unusable server entries", zap.Int("entries", unusable))
	}
	outage := !w.lastList.IsZero() && now.Sub(w.lastList) > w.Settle
	w.lastList = now
	if outage {
		w.restored = now
	}
	if !w.restored.IsZero() && now.Sub(w.restored) < w.Settle {
		all = withLapsed(all, w.listed)
	} else {
		w.restored = time.Time{}
	}
	if change := difference(w.listed, all); change != "" {
		w.Log.Info("watcher: upstreams changed", zap.Int("upstreams", len(all)), zap.String("change", change))
	}
	w.listed = all
	w.List(all)
}

// withLapsed keeps the upstreams that a listing lacks: entries lapse while the store is down, and the servers that live write
// them again.
func withLapsed(now, before []forwarder.Upstream) []forwarder.Upstream {
	present := make(map[string]bool, len(now))
	addresses := make(map[string]bool, len(now))
	for _, u := range now {
		present[u.Name] = true
		addresses[u.Address.String()] = true
	}
	for _, u := range before {
		if !present[u.Name] && !addresses[u.Address.String()] {
			now = append(now, u)
		}
	}
	return now
}

// difference describes up to a few changes between two listings; "" for none.
func difference(before, after []forwarder.Upstream) string {
	const most = 12
	old := make(map[string]forwarder.Upstream, len(before))
	for _, u := range before {
		old[u.Name] = u
	}
	out, n := "", 0
	add := func(text string) {
		if n++; n <= most {
			out += text + " "
		}
	}
	for _, u := range after {
		o, ok := old[u.Name]
		delete(old, u.Name)
		switch {
		case !ok:
			add("+" + u.Service + "/" + u.Name)
		case u.Draining && !o.Draining:
			add("draining:" + u.Service + "/" + u.Name)
		case o != u:
			add("~" + u.Service + "/" + u.Name)
		}
	}
	for _, u := range before {
		if _, gone := old[u.Name]; gone {
			add("-" + u.Service + "/" + u.Name)
		}
	}
	if n > most {
		out += "..."
	}
	return out
}

// link tells when a dependency is lost and regained, and how long to pause after a failure.
type link struct {
	lost  bool
	since time.Time
	pause time.Duration
}

// result returns the pause before the next call, 0 after a call that worked.
func (l *link) result(log *logger.Logger, what string, err error) time.Duration {
	if err == nil {
		if l.lost {
			log.Info("watcher: store regained", zap.String("call", what), zap.Duration("after", time.Since(l.since)))
		}
		*l = link{}
		return 0
	}
	if !l.lost {
		l.lost, l.since = true, time.Now()
		log.Warn("watcher: store lost", zap.String("call", what), zap.String("error", err.Error()))
	}
	l.pause = min(max(firstPause, 2*l.pause), lastPause)
	return l.pause/2 + rand.N(l.pause)
}

func call[A, B any](ctx context.Context, timeout time.Duration, f func(context.Context) (A, B, error)) (A, B, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
