package synchronizer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyroute/core/coordination/pacer"
)

// Retry spacing of fetches.
const (
	fetchSpacing    = 100 * time.Millisecond // doubles with each failure
	fetchSpacingCap = time.Second
	maxNamers       = 8 // peers remembered for one revision
)

// wanted is a revision that a peer named and that this VM does not have.
type wanted struct {
	revision uint64
	namers   []string // peers that named it, the first one first
	attempts int
	next     time.Time
	call     CallID // fetch in progress, or 0
}

// fetch is one request to a peer in progress.
type fetch struct {
	services []string // empty for the whole table
	deadline time.Time
}

// fetcher gets missing revisions and, on a starting VM, the whole table from peers.
type fetcher struct {
	wants    map[string]*wanted
	fetches  map[CallID]fetch
	whole    bool // a peer gave its whole table
	failures int  // of fetches of the whole table
	next     time.Time
	pending  CallID // fetch of the whole table in progress, or 0
}

func (f *fetcher) want(now time.Time, r Revision, from string) {
	if f.wants == nil {
		f.wants = make(map[string]*wanted)
	}
	w := f.wants[r.Service]
	switch {
	case w == nil:
		w = &wanted{next: now}
		f.wants[r.Service] = w
		fallthrough
	case r.Revision > w.revision:
		// A fetch in progress stays: its peer may answer with the newer value.
		w.revision, w.namers, w.attempts = r.Revision, nil, 0
	case r.Revision < w.revision:
		return
	}
	if len(w.namers) < maxNamers && !slices.Contains(w.namers, from) {
		w.namers = append(w.namers, from)
	}
}

// have drops a wanted revision that is now in effect or refused.
func (f *fetcher) have(service string, revision uint64) {
	if w := f.wants[service]; w != nil && w.revision <= revision {
		delete(f.wants, service)
	}
}

// answered ends a fetch. Services whose wanted revision the answer did not bring are tried again.
func (f *fetcher) answered(now time.Time, id CallID, m *Machine) {
	if id == f.pending && id != 0 {
		f.whole = true
	}
	f.failed(now, id, m.Random)
}

// failed ends a fetch. A service that is still wanted counts it as failed.
func (f *fetcher) failed(now time.Time, id CallID, random *rand.Rand) {
	x, ok := f.fetches[id]
	if !ok {
		return
	}
	delete(f.fetches, id)
	if id == f.pending {
		f.pending = 0
		f.failures++
		f.next = now.Add(spacing(f.failures, random))
	}
	for _, s := range x.services {
		if w := f.wants[s]; w != nil && w.call == id {
			w.call = 0
			w.attempts++
			w.next = now.Add(spacing(w.attempts, random))
		}
	}
}

func (f *fetcher) expire(now time.Time, random *rand.Rand) {
	for _, id := range slices.Sorted(maps.Keys(f.fetches)) {
		if now.After(f.fetches[id].deadline) {
			f.failed(now, id, random)
		}
	}
}

// start asks peers for what is wanted and due, with one request to each peer.
func (f *fetcher) start(now time.Time, m *Machine) []Action {
	var out []Action
	if !m.Complete() && !f.whole && f.pending == 0 && !now.Before(f.next) {
		if to := m.choosePeers(1); len(to) > 0 {
			f.pending = m.nextCall()
			out = append(out, f.send(now, f.pending, to[0], nil))
		}
	}
	byPeer := make(map[string][]string)
	for _, s := range slices.Sorted(maps.Keys(f.wants)) {
		if w := f.wants[s]; w.call == 0 && !now.Before(w.next) {
			if p := f.source(now, w, m); p != "" {
				byPeer[p] = append(byPeer[p], s)
			}
		}
	}
	for _, p := range slices.Sorted(maps.Keys(byPeer)) {
		id := m.nextCall()
		for _, s := range byPeer[p] {
			f.wants[s].call = id
		}
		out = append(out, f.send(now, id, p, byPeer[p]))
	}
	return out
}

func (f *fetcher) send(now time.Time, id CallID, to string, services []string) FetchValues {
	if f.fetches == nil {
		f.fetches = make(map[CallID]fetch)
	}
	f.fetches[id] = fetch{services: services, deadline: now.Add(FetchTimeout)}
	return FetchValues{id, to, services}
}

// source chooses where to get a wanted value: the peers that named it in turn, then any peer, then the platform, and again.
// The machine asks the platform within its budget, and that answer brings every change, so no peer is returned for it.
func (f *fetcher) source(now time.Time, w *wanted, m *Machine) string {
	n := w.attempts % (len(w.namers) + 2)
	if n < len(w.namers) {
		return w.namers[n]
	}
	if n == len(w.namers) {
		if to := m.choosePeers(1); len(to) > 0 {
			return to[0]
		}
	}
	m.probe = true
	w.attempts++
	w.next = now.Add(spacing(w.attempts, m.Random))
	return ""
}

func spacing(failures int, random *rand.Rand) time.Duration {
	d := fetchSpacingCap
	if n := max(0, failures-1); n < 10 {
		d = min(d, fetchSpacing<<n)
	}
	return pacer.Jitter(random, d)
}
