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
	// survivalTime is how long after an upstream has outlived an orphan crashes do not count against other orphans of the same request.
	survivalTime = 30 * time.Second
	// watchlistSurvivals is the number of entries of the table of outlived orphans.
	watchlistSurvivals = 1 << 10
	// turnCrashes is the number of crashes from which the VMs take turns with a suspect: each run alone costs the service one more upstream.
	turnCrashes = 3
	// turnLength is how long a turn lasts. A crash is usually known to the other VMs by then: they learn of it within about a second.
	turnLength = 2 * time.Second
	// maxTurns bounds the turns of a round. In large fleets, several VMs share one.
	maxTurns = 12
	// rivalTime is how long after its confirmation a signature is rejected for a moment only. By then the other VMs have published the crashes that they
	// saw, which may show that another request was present at all of them.
	rivalTime = 2 * time.Second
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
// other causes hold back no request that upstreams answer. Crashes under orphans make a suspect too, unless upstreams outlive other orphans of the
// request, and confirm nothing. The zero value is usable. It is not safe for concurrent use.
type Watchlist struct {
	VM       string // name of this VM; must not change after the first call of another method
	Settings Settings
	Random   *rand.Rand // for the delay of publications that several VMs may make; nil for none

	entries     map[uint64]*watched
	replies     replyTable
	survivals   replyTable // upstreams that have outlived orphans
	members     []string   // all VMs
	publishAt   time.Time  // when what this VM knows is due for publication; zero for never
	publishedAt time.Time  // last publication; one publishInterval after the one before if it was published ahead
}

// watched is what a VM knows about one signature.
type watched struct {
	signature   uint64
	crashes     []Crash // that no reply explains
	orphaned    []Crash // those of them at which the signature was present as an orphan only
	explained   []Crash // which were followed by a reply
	outlived    []Crash // under orphans, while other upstreams outlived orphans of the same request
	confirmed   bool
	confirmedAt time.Time
	expires     time.Time
	evidenceAt  time.Time           // when this VM learned of the last crash
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
		if settled := e.confirmedAt.Add(rivalTime); now.Before(settled) {
			return Reject, settled
		}
		return Reject, e.expires
	case e.confirmed, len(e.crashes) >= suspectCrashes:
		return Probe, time.Time{}
	default:
		return Clear, time.Time{}
	}
}

// SetMembers sets the names of all VMs, which take turns with suspects.
func (w *Watchlist) SetMembers(names []string) { w.members = slices.Clone(names) }

// Turn returns when this VM may run a suspect that comes in, zero for now. From the third crash on, the VMs take turns in an order that differs from
// signature to signature: they hear of a crash only seconds later, and by then each of them would have run the request alone.
func (w *Watchlist) Turn(now time.Time, signature uint64) time.Time {
	e := w.find(now, signature)
	if e == nil || len(e.crashes) < turnCrashes {
		return time.Time{}
	}
	own, rank, count := turnOrder(signature, w.VM), 0, 1
	for _, name := range w.members {
		if name == w.VM {
			continue
		}
		count++
		if o := turnOrder(signature, name); o < own || o == own && name < w.VM {
			rank++
		}
	}
	turns := min(count, maxTurns)
	wait := (time.Duration(rank*turns/count)*turnLength - now.Sub(e.evidenceAt)) % (time.Duration(turns) * turnLength)
	switch {
	case wait > 0:
		return now.Add(wait)
	case wait > -turnLength:
		return time.Time{}
	default:
		return now.Add(wait + time.Duration(turns)*turnLength)
	}
}

// turnOrder returns the place of a VM in the order of turns for a signature.
func turnOrder(signature uint64, vm string) uint64 { return mix(signature ^ xxhash.Sum64String(vm)) }

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

// RecordCrash records that an upstream crashed while it ran a request. Alone is set if the request was run as a probe, which confirms it unless another
// VM has had a reply to it lately.
func (w *Watchlist) RecordCrash(now time.Time, signature uint64, c Crash, alone bool) {
	if w.Exonerated(now, signature, c.Service) {
		return
	}
	e := w.add(now, signature)
	w.addCrash(now, e, c, false)
	e.own, e.substitute = true, false
	if alone && !w.answeredElsewhere(now, signature, c.Service) {
		if !e.confirmed {
			w.publishAhead(now) // each other VM would run it in its turn
		}
		e.confirm(now)
		w.publishBy(now)
		return
	}
	w.publishBy(now.Add(publishDelay))
}

// confirm marks a signature as one that crashes upstreams.
func (e *watched) confirm(now time.Time) {
	if !e.confirmed {
		e.confirmed, e.confirmedAt = true, now
	}
}

// addCrash adds a crash to those of an entry. Orphaned is set if the signature was present at it as an orphan only.
func (w *Watchlist) addCrash(now time.Time, e *watched, c Crash, orphaned bool) {
	e.expires = now.Add(w.Settings.suspicionLifetime())
	if slices.Contains(e.crashes, c) {
		if !orphaned {
			e.orphaned = slices.DeleteFunc(e.orphaned, func(o Crash) bool { return o == c })
		}
		return
	}
	if len(e.crashes) >= maxCrashesListed { // the latest ones tell it apart from other signatures
		first := e.crashes[0]
		e.crashes = slices.Delete(e.crashes, 0, 1)
		e.orphaned = slices.DeleteFunc(e.orphaned, func(o Crash) bool { return o == first })
	}
	e.crashes, e.evidenceAt = append(e.crashes, c), now
	if orphaned {
		e.orphaned = append(e.orphaned, c)
	}
}

// RecordOrphanCrash records that an upstream crashed that may still have been running an orphan. It counts only if no upstream has outlived another
// orphan of the same request lately: harmless requests time out too, and upstreams crash for other reasons.
func (w *Watchlist) RecordOrphanCrash(now time.Time, o Orphan) {
	if w.outlives(now, o.Signature, o.Run.Service) || w.Exonerated(now, o.Signature, o.Run.Service) {
		return
	}
	e := w.add(now, o.Signature)
	w.addCrash(now, e, o.Run, true)
	e.own, e.substitute = true, false
	w.publishBy(now.Add(publishDelay))
}

// RecordSurvival records that an upstream has outlived an orphan. It explains the crashes of the service under other orphans of the request, but not
// those that have reset it: an upstream may drop a request whose caller has left, and crash under one whose caller waits.
func (w *Watchlist) RecordSurvival(now time.Time, o Orphan) {
	w.survivals.record(now, o.Signature^uint64(HashService(o.Run.Service)), anyGroup, watchlistSurvivals)
	if e := w.find(now, o.Signature); e != nil && len(e.orphaned) > 0 {
		e.outlive(func(c Crash) bool { return c.Service == o.Run.Service })
		w.settle(now, e)
	}
}

// outlives reports whether an upstream of a service has outlived an orphan of a signature lately.
func (w *Watchlist) outlives(now time.Time, signature uint64, service string) bool {
	at, ok := w.survivals.last(signature^uint64(HashService(service)), anyGroup)
	return ok && now.Sub(at) < survivalTime
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
func (e *watched) explain(selected func(Crash) bool) { e.explained = e.move(e.explained, selected) }

// outlive marks the selected crashes under orphans as explained by upstreams that outlived other orphans.
func (e *watched) outlive(selected func(Crash) bool) {
	e.outlived = e.move(e.outlived, func(c Crash) bool { return slices.Contains(e.orphaned, c) && selected(c) })
}

// move removes the selected crashes and appends them to a list of explained ones.
func (e *watched) move(to []Crash, selected func(Crash) bool) []Crash {
	var kept []Crash
	for _, c := range e.crashes {
		if !selected(c) {
			kept = append(kept, c)
		} else if len(to) < maxCrashesListed {
			to = append(to, c)
		}
	}
	e.crashes = kept
	e.orphaned = slices.DeleteFunc(e.orphaned, func(c Crash) bool { return !slices.Contains(kept, c) })
	return to
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

// Exonerated reports whether an upstream of a service has answered a signature lately.
func (w *Watchlist) Exonerated(now time.Time, signature uint64, service string) bool {
	at, ok := w.replies.last(signature^uint64(HashService(service)), anyGroup)
	return ok && now.Sub(at) < exonerationTime
}

// otherVMs is the group of the reply table for replies that other VMs got to suspects.
const otherVMs = anyGroup - 1

// answeredElsewhere reports whether another VM has got a reply to a suspect from a service lately.
func (w *Watchlist) answeredElsewhere(now time.Time, signature uint64, service string) bool {
	at, ok := w.replies.last(signature^uint64(HashService(service)), otherVMs)
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
	e.confirmed, e.expires, e.evidenceAt = false, now.Add(w.Settings.suspicionLifetime()), now
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
