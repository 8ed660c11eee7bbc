package synchronizer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyroute/core/coordination/pacer"
)

// Limits of fetches.
const (
	minRetryDelay = 100 * time.Millisecond // doubles with each failure
	maxRetryDelay = time.Second
	maxSources    = 8 // peers recorded as sources of one revision
)

// missingRevision is a revision that a peer announced and that this VM does not have.
type missingRevision struct {
	revision    uint64
	sources     []string // peers that announced it, in order
	attempts    int
	nextAttempt time.Time
	call        CallID // fetch in progress, or 0
}

// fetch is one request to a peer in progress.
type fetch struct {
	services []string // empty for the whole table
	deadline time.Time
}

// fetcher fetches missing revisions from peers and, on a starting VM, the whole table.
type fetcher struct {
	missing            map[string]*missingRevision
	fetches            map[CallID]fetch
	hasWholeTable      bool      // a peer has sent its whole table
	wholeTableFailures int       // number of failed fetches of the whole table
	nextWholeTable     time.Time // earliest next fetch of the whole table
	wholeTableCall     CallID    // fetch of the whole table in progress, or 0
}

// addMissing records a revision that a peer announced and this VM lacks.
func (f *fetcher) addMissing(now time.Time, r Revision, from string) {
	if f.missing == nil {
		f.missing = make(map[string]*missingRevision)
	}
	w := f.missing[r.Service]
	switch {
	case w == nil:
		w = &missingRevision{nextAttempt: now}
		f.missing[r.Service] = w
		fallthrough
	case r.Revision > w.revision:
		// A fetch in progress goes on, because its peer may answer with the newer value.
		w.revision, w.sources, w.attempts = r.Revision, nil, 0
	case r.Revision < w.revision:
		return
	}
	if len(w.sources) < maxSources && !slices.Contains(w.sources, from) {
		w.sources = append(w.sources, from)
	}
}

// removeMissing drops a missing revision that is now in effect or rejected.
func (f *fetcher) removeMissing(service string, revision uint64) {
	if w := f.missing[service]; w != nil && w.revision <= revision {
		delete(f.missing, service)
	}
}

// fetchAnswered ends a fetch. A service whose missing revision was not in the answer is fetched again.
func (f *fetcher) fetchAnswered(now time.Time, id CallID, m *Machine) {
	if id == f.wholeTableCall && id != 0 {
		f.hasWholeTable = true
	}
	f.fetchFailed(now, id, m.Random)
}

// fetchFailed ends a fetch, which counts as failed for every service that is still missing.
func (f *fetcher) fetchFailed(now time.Time, id CallID, random *rand.Rand) {
	x, ok := f.fetches[id]
	if !ok {
		return
	}
	delete(f.fetches, id)
	if id == f.wholeTableCall {
		f.wholeTableCall = 0
		f.wholeTableFailures++
		f.nextWholeTable = now.Add(retryDelay(f.wholeTableFailures, random))
	}
	for _, s := range x.services {
		if w := f.missing[s]; w != nil && w.call == id {
			w.call = 0
			w.attempts++
			w.nextAttempt = now.Add(retryDelay(w.attempts, random))
		}
	}
}

func (f *fetcher) expireFetches(now time.Time, random *rand.Rand) {
	for _, id := range slices.Sorted(maps.Keys(f.fetches)) {
		if now.After(f.fetches[id].deadline) {
			f.fetchFailed(now, id, random)
		}
	}
}

// startFetches fetches the missing revisions that are due, with one request to each peer, and the whole table if it is due.
func (f *fetcher) startFetches(now time.Time, m *Machine) []Action {
	var out []Action
	if !m.Complete() && !f.hasWholeTable && f.wholeTableCall == 0 && !now.Before(f.nextWholeTable) {
		if to := m.choosePeers(1); len(to) > 0 {
			f.wholeTableCall = m.nextCall()
			out = append(out, f.sendFetch(now, f.wholeTableCall, to[0], nil))
		}
	}
	byPeer := make(map[string][]string)
	for _, s := range slices.Sorted(maps.Keys(f.missing)) {
		if w := f.missing[s]; w.call == 0 && !now.Before(w.nextAttempt) {
			if p := f.chooseSource(now, w, m); p != "" {
				byPeer[p] = append(byPeer[p], s)
			}
		}
	}
	for _, p := range slices.Sorted(maps.Keys(byPeer)) {
		id := m.nextCall()
		for _, s := range byPeer[p] {
			f.missing[s].call = id
		}
		out = append(out, f.sendFetch(now, id, p, byPeer[p]))
	}
	return out
}

func (f *fetcher) sendFetch(now time.Time, id CallID, to string, services []string) FetchValues {
	if f.fetches == nil {
		f.fetches = make(map[CallID]fetch)
	}
	f.fetches[id] = fetch{services: services, deadline: now.Add(FetchTimeout)}
	return FetchValues{id, to, services}
}

// chooseSource returns the peer from which to fetch a missing value. Successive attempts use the peers that announced it, then any
// peer, then the platform, and start over. For the platform it returns no peer: the machine calls the platform within its rate
// limit, and the answer holds every change.
func (f *fetcher) chooseSource(now time.Time, w *missingRevision, m *Machine) string {
	n := w.attempts % (len(w.sources) + 2)
	if n < len(w.sources) {
		return w.sources[n]
	}
	if n == len(w.sources) {
		if to := m.choosePeers(1); len(to) > 0 {
			return to[0]
		}
	}
	m.needsPlatform = true
	w.attempts++
	w.nextAttempt = now.Add(retryDelay(w.attempts, m.Random))
	return ""
}

// retryDelay returns the jittered delay before the next attempt, which grows exponentially with the failures.
func retryDelay(failures int, random *rand.Rand) time.Duration {
	d := maxRetryDelay
	if n := max(0, failures-1); n < 10 {
		d = min(d, minRetryDelay<<n)
	}
	return pacer.Jitter(random, d)
}
