package quarantiner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspectCrashes is the number of crashes from which a signature is a suspect. A harmless request may be at one crash of another cause, and
	// its retry is not to pay for it.
	suspectCrashes = 2
	// exonerationTime is how long after a reply crashes do not count against a signature: a request that crashes each upstream has no replies,
	// while one that comes often is present at crashes which others cause.
	exonerationTime = 30 * time.Second
	// watchlistReplies is the number of entries of the reply table of a Watchlist.
	watchlistReplies = 4 << 10
	// maxCrashesListed bounds the crashes that are kept and published for a signature.
	maxCrashesListed = 16
)

// Crash names an upstream that crashed. An upstream that has started again is another one, also under the same name.
type Crash struct {
	Service  string
	Upstream string
	Started  time.Time // start of the incarnation that crashed, as returned by time.UnixMilli; zero if unknown
}

// Watchlist finds requests that crash upstreams for VMs that hear of each other seconds late, through a store.
//
// Unlike a Machine, whose VMs exchange each suspicion within milliseconds, it holds nothing back on the first evidence: a signature that was
// present at two crashes and not answered since is a suspect and runs alone, without retries and hedges, at any VM. A crash under a run alone
// confirms it, unless another signature was present at all of its crashes, and it is rejected from then on. A reply clears it, so that crashes of
// other causes hold back no request that upstreams answer. The zero value is usable. It is not safe for concurrent use.
type Watchlist struct {
	VM       string // name of this VM; must not change after the first call of another method
	Settings Settings
	Random   *rand.Rand // for the delay of publications that several VMs may make; nil for none

	entries     map[uint64]*watched
	replies     replyTable
	publishAt   time.Time // when what this VM knows is due for publication; zero for never
	publishedAt time.Time // last publication
}

// watched is what a VM knows about one signature.
type watched struct {
	signature   uint64
	crashes     []Crash // that no reply explains
	explained   []Crash // which were followed by a reply
	confirmed   bool
	expires     time.Time
	own         bool                // published by this VM
	substitute  bool                // only because the store has lost what other VMs published
	published   bool                // was published by any VM
	confirmedBy map[string]struct{} // VMs in whose published evidence it is confirmed
}

// Check returns how a request may run, and until when a rejected one is rejected.
func (w *Watchlist) Check(now time.Time, signature uint64) (Decision, time.Time) {
	e := w.find(now, signature)
	switch {
	case e == nil:
		return Clear, time.Time{}
	case e.confirmed && !w.hasRival(e):
		return Reject, e.expires
	case e.confirmed, len(e.crashes) >= suspectCrashes:
		return Probe, time.Time{}
	default:
		return Clear, time.Time{}
	}
}

// hasRival reports whether another signature was present at all crashes of a confirmed one. Each of the two may be the cause: two requests that ran
// alone may have met at one upstream, also from two VMs. The next run of either tells them apart.
func (w *Watchlist) hasRival(e *watched) bool {
	for _, o := range w.entries {
		if o != e && len(o.crashes) >= len(e.crashes) && o.coversCrashesOf(e) {
			return true
		}
	}
	return false
}

func (e *watched) coversCrashesOf(o *watched) bool {
	for _, c := range o.crashes {
		if !slices.Contains(e.crashes, c) {
			return false
		}
	}
	return true
}

// HasCrashes reports whether a signature was present at a crash that no reply explains.
func (w *Watchlist) HasCrashes(now time.Time, signature uint64) bool {
	e := w.find(now, signature)
	return e != nil && len(e.crashes) > 0
}

// CrashesOf returns at how many unexplained crashes of a service's upstreams a signature was present.
func (w *Watchlist) CrashesOf(now time.Time, signature uint64, service string) int {
	e := w.find(now, signature)
	if e == nil {
		return 0
	}
	return e.crashesOf(service)
}

func (e *watched) crashesOf(service string) int {
	n := 0
	for _, c := range e.crashes {
		if c.Service == service {
			n++
		}
	}
	return n
}

// Len returns the number of signatures that are watched, and how many of them are rejected.
func (w *Watchlist) Len() (all, rejected int) {
	for _, e := range w.entries {
		if e.confirmed {
			rejected++
		}
	}
	return len(w.entries), rejected
}

// RecordCrash records that an upstream crashed while it ran a request. Alone is set if the request was run as a probe.
func (w *Watchlist) RecordCrash(now time.Time, signature uint64, c Crash, alone bool) {
	if w.exonerated(now, signature, c.Service) {
		return
	}
	e := w.add(now, signature)
	if !slices.Contains(e.crashes, c) {
		if len(e.crashes) >= maxCrashesListed {
			e.crashes = slices.Delete(e.crashes, 0, 1) // the latest ones tell it apart from other signatures
		}
		e.crashes = append(e.crashes, c)
	}
	e.expires, e.own, e.substitute = now.Add(w.Settings.suspicionLifetime()), true, false
	if alone {
		e.confirmed = true
		w.publishBy(now)
		return
	}
	w.publishBy(now.Add(publishDelay))
}

// RecordReply records that an upstream has run a request and lives. A reply to a run alone explains all crashes but those of services that have
// several; any other reply explains those of its service.
func (w *Watchlist) RecordReply(now time.Time, signature uint64, service string, alone bool) {
	w.RecordLife(now, signature, HashService(service))
	e := w.find(now, signature)
	if e == nil || len(e.crashes) == 0 {
		return
	}
	e.explain(func(c Crash) bool { return c.Service == service || alone && e.crashesOf(c.Service) < suspectCrashes })
	w.settle(now, e)
}

// RecordLife records that an upstream of a service has run a request and lives, for crashes to come. It is all that has to be recorded of a reply
// while the Watchlist is empty.
func (w *Watchlist) RecordLife(now time.Time, signature uint64, service ServiceHash) {
	w.replies.record(now, signature^uint64(service), anyGroup, watchlistReplies)
}

// Empty reports whether no signature is watched.
func (w *Watchlist) Empty() bool { return len(w.entries) == 0 }

// RecordAnswer records that another VM has got an answer from the upstreams.
func (w *Watchlist) RecordAnswer(now time.Time, signature uint64) {
	if e := w.find(now, signature); e != nil && len(e.crashes) > 0 {
		e.explain(func(Crash) bool { return true })
		w.settle(now, e)
	}
}

// explain marks the selected crashes as explained by a reply.
func (e *watched) explain(selected func(Crash) bool) {
	var kept []Crash
	for _, c := range e.crashes {
		if !selected(c) {
			kept = append(kept, c)
		} else if len(e.explained) < maxCrashesListed {
			e.explained = append(e.explained, c)
		}
	}
	e.crashes = kept
}

// settle ends a suspicion without crashes. One that other VMs may have heard of is kept for its lifetime, so that they hear of the reply too.
func (w *Watchlist) settle(now time.Time, e *watched) {
	if len(e.crashes) > 0 {
		return
	}
	e.confirmed = false
	if !e.published {
		delete(w.entries, e.signature)
		return
	}
	e.own = true
	w.publishBy(now.Add(publishDelay))
}

// exonerated reports whether an upstream of a service has answered a signature lately.
func (w *Watchlist) exonerated(now time.Time, signature uint64, service string) bool {
	at, ok := w.replies.last(signature^uint64(HashService(service)), anyGroup)
	return ok && now.Sub(at) < exonerationTime
}

// ServiceHash tells the replies of one service to a signature from those of others. A request to many services may crash the upstreams of one.
type ServiceHash uint64

// HashService returns the hash of a service's name.
func HashService(name string) ServiceHash { return ServiceHash(xxhash.Sum64String(name)) }

// find returns the entry of a signature, nil for none. An entry that is rejected beyond its lifetime becomes a suspect, whose next run is a probe.
func (w *Watchlist) find(now time.Time, signature uint64) *watched {
	e := w.entries[signature]
	if e == nil || now.Before(e.expires) {
		return e
	}
	if !e.confirmed {
		delete(w.entries, signature)
		return nil
	}
	e.confirmed, e.expires = false, now.Add(w.Settings.suspicionLifetime())
	return e
}

// add returns the entry of a signature, a new one if it has none. The least useful entry makes room for it.
func (w *Watchlist) add(now time.Time, signature uint64) *watched {
	if e := w.find(now, signature); e != nil {
		return e
	}
	if w.entries == nil {
		w.entries = map[uint64]*watched{}
	}
	if len(w.entries) >= w.Settings.maxSuspects() {
		delete(w.entries, w.leastUseful().signature)
	}
	e := &watched{signature: signature, expires: now.Add(w.Settings.suspicionLifetime())}
	w.entries[signature] = e
	return e
}

// leastUseful returns the entry that is dropped first: one with fewer crashes and then one that expires sooner, and a confirmed one last.
func (w *Watchlist) leastUseful() *watched {
	var least *watched
	for _, e := range w.entries {
		if least == nil || e.compare(least) < 0 {
			least = e
		}
	}
	return least
}
