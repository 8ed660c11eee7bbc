package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// publishDelay is how long unconfirmed evidence waits for a reply that makes its publication needless. Most requests that are reset in a
	// crash are answered at once by another upstream.
	publishDelay = 250 * time.Millisecond
	// publishInterval is the minimum time between two publications of a VM, on average if a confirmation is published ahead. Each one is a write to the
	// store.
	publishInterval = 500 * time.Millisecond
	// republishSpread is the time over which the VMs publish again what the store has lost. The first one saves the others the write.
	republishSpread = 1500 * time.Millisecond
	// maxPublished bounds the signatures in a publication.
	maxPublished = 64
)

// Evidence is what a VM publishes about a signature.
type Evidence struct {
	Signature uint64
	Crashes   []Crash // upstreams that crashed under it
	Orphaned  []Crash // upstreams that crashed after an attempt had timed out or was cancelled there, and may still have been running it
	Confirmed bool    // an upstream crashed under it when it was run alone
	Answered  bool    // it was answered after these crashes, or other upstreams outlived its orphans; they therefore have another cause
}

// Publication is all that one VM has published. It replaces what the VM published before.
type Publication struct {
	VM       string
	Evidence []Evidence // empty if the VM has withdrawn it, or the store has lost it
}

// publishBy makes a publication due at a time, if none is due earlier.
func (w *Watchlist) publishBy(at time.Time) {
	if earliest := w.publishedAt.Add(publishInterval); at.Before(earliest) {
		at = earliest
	}
	if w.publishAt.IsZero() || at.Before(w.publishAt) {
		w.publishAt = at
	}
}

// publishAhead makes a publication due now, if the last one was not published ahead too. The next one is due later instead.
func (w *Watchlist) publishAhead(now time.Time) {
	if now.Before(w.publishedAt) {
		now = w.publishedAt
	}
	if w.publishAt.IsZero() || now.Before(w.publishAt) {
		w.publishAt = now
	}
}

// NextPublication returns when TakePublication has something to publish, zero for never.
func (w *Watchlist) NextPublication() time.Time { return w.publishAt }

// TakePublication returns what this VM publishes now, and false if nothing is due. Signatures that are confirmed go first.
func (w *Watchlist) TakePublication(now time.Time) ([]Evidence, bool) {
	if w.publishAt.IsZero() || now.Before(w.publishAt) {
		return nil, false
	}
	w.publishAt = time.Time{}
	if w.publishedAt = w.publishedAt.Add(publishInterval); w.publishedAt.Before(now) {
		w.publishedAt = now
	}
	var own []*watched
	for signature := range w.entries {
		if e := w.find(now, signature); e != nil && e.own {
			own = append(own, e)
		}
	}
	slices.SortFunc(own, func(a, b *watched) int { return b.compare(a) })
	if len(own) == 0 {
		return nil, false
	}
	out := make([]Evidence, 0, min(len(own), maxPublished))
	for _, e := range own[:min(len(own), maxPublished)] {
		e.published = true
		if len(e.crashes) == 0 {
			out = append(out, Evidence{Signature: e.signature, Crashes: slices.Clone(e.explained), Orphaned: slices.Clone(e.outlived), Answered: true})
			continue
		}
		seen := slices.DeleteFunc(slices.Clone(e.crashes), func(c Crash) bool { return slices.Contains(e.orphaned, c) })
		out = append(out, Evidence{Signature: e.signature, Crashes: seen, Orphaned: slices.Clone(e.orphaned), Confirmed: e.confirmed})
	}
	return out, true
}

// compare orders entries by how useful they are, so that the replay of a trace gives the same order.
func (e *watched) compare(o *watched) int {
	rank := func(e *watched) int {
		if e.confirmed {
			return maxCrashesListed + 1
		}
		return len(e.crashes)
	}
	return cmp.Or(cmp.Compare(rank(e), rank(o)), e.expires.Compare(o.expires), cmp.Compare(e.signature, o.signature))
}

// Receive handles publications of VMs, this one included: it may have started again since. Complete is set if these are all that the store has.
func (w *Watchlist) Receive(now time.Time, all []Publication, complete bool) {
	if complete {
		for _, e := range w.entries {
			e.confirmedBy = nil
		}
	}
	withdrawn := complete
	for _, p := range all {
		withdrawn = withdrawn || len(p.Evidence) == 0
		for _, e := range w.entries {
			delete(e.confirmedBy, p.VM)
		}
		for _, v := range p.Evidence {
			w.receiveEvidence(now, p.VM, v)
		}
	}
	if withdrawn {
		w.republish(now, all, complete)
	}
}

func (w *Watchlist) receiveEvidence(now time.Time, vm string, v Evidence) {
	if v.Answered {
		w.receiveAnswer(now, vm, v)
		return
	}
	known := w.find(now, v.Signature)
	var crashes, orphaned, answered, outlived []Crash
	for _, c := range v.Crashes {
		switch {
		case known != nil && slices.Contains(known.explained, c):
		case w.Exonerated(now, v.Signature, c.Service):
			answered = append(answered, c)
		default:
			crashes = append(crashes, c)
		}
	}
	for _, c := range v.Orphaned {
		switch {
		case known != nil && (slices.Contains(known.explained, c) || slices.Contains(known.outlived, c)):
		case w.Exonerated(now, v.Signature, c.Service), w.outlives(now, v.Signature, c.Service):
			outlived = append(outlived, c)
		default:
			orphaned = append(orphaned, c)
		}
	}
	if vm != w.VM && len(answered)+len(outlived) > 0 {
		w.rebut(now, v.Signature, answered, outlived)
	}
	if len(crashes)+len(orphaned) == 0 {
		return
	}
	e := w.add(now, v.Signature)
	e.published, e.own = true, e.own || vm == w.VM
	for _, c := range crashes {
		w.receiveCrash(now, e, c, false)
	}
	for _, c := range orphaned {
		w.receiveCrash(now, e, c, true)
	}
	if !v.Confirmed {
		return
	}
	if !e.confirmed {
		e.confirm(now)
		e.expires = now.Add(w.Settings.suspicionLifetime())
	}
	if e.substitute && vm != w.VM {
		e.own, e.substitute = false, false // another VM was first
	}
	if e.confirmedBy == nil {
		e.confirmedBy = map[string]struct{}{}
	}
	e.confirmedBy[vm] = struct{}{}
}

// receiveCrash adds a crash that another VM has seen. One that is known already does not prolong the suspicion.
func (w *Watchlist) receiveCrash(now time.Time, e *watched, c Crash, orphaned bool) {
	if slices.Contains(e.crashes, c) && (orphaned || !slices.Contains(e.orphaned, c)) || !slices.Contains(e.crashes, c) && len(e.crashes) >= maxCrashesListed {
		return
	}
	w.addCrash(now, e, c, orphaned)
}

// receiveAnswer drops the crashes for which another VM knows another cause. Those to come under orphans do not count either; a publication that is
// received again tells nothing new.
func (w *Watchlist) receiveAnswer(now time.Time, vm string, v Evidence) {
	e := w.find(now, v.Signature)
	if e == nil {
		return
	}
	for _, c := range e.crashes {
		k := v.Signature ^ uint64(HashService(c.Service))
		answered := slices.Contains(v.Crashes, c)
		if answered {
			w.replies.record(now, k, otherVMs, watchlistReplies)
		}
		if answered || slices.Contains(v.Orphaned, c) {
			w.survivals.record(now, k, anyGroup, watchlistSurvivals)
		}
	}
	e.explain(func(c Crash) bool { return slices.Contains(v.Crashes, c) })
	e.outlive(func(c Crash) bool { return slices.Contains(v.Orphaned, c) })
	if len(e.crashes) == 0 {
		e.confirmed, e.own = false, e.own && vm == w.VM
	}
}

// rebut publishes that this VM gets answers to a request which another VM suspects, or that upstreams outlive its orphans.
func (w *Watchlist) rebut(now time.Time, signature uint64, answered, outlived []Crash) {
	e := w.add(now, signature)
	e.explained = appendNew(e.explained, answered)
	e.outlived = appendNew(e.outlived, outlived)
	if len(e.crashes) == 0 {
		e.own, e.published = true, true
		w.publishBy(now.Add(publishDelay))
	}
}

// appendNew appends the crashes that a list lacks, as far as it has room.
func appendNew(list, crashes []Crash) []Crash {
	for _, c := range crashes {
		if !slices.Contains(list, c) && len(list) < maxCrashesListed {
			list = append(list, c)
		}
	}
	return list
}

// republish makes this VM publish what the store no longer has: confirmed signatures of any VM, and all that it has found itself.
func (w *Watchlist) republish(now time.Time, all []Publication, complete bool) {
	mine := slices.IndexFunc(all, func(p Publication) bool { return p.VM == w.VM })
	lostOwn := complete && mine < 0 || mine >= 0 && len(all[mine].Evidence) == 0
	due := false
	for _, e := range w.entries {
		if e.confirmed && len(e.confirmedBy) == 0 {
			e.own, e.substitute = true, e.substitute || !e.own
			due = true
		}
		due = due || e.own && e.published && lostOwn
	}
	if !due {
		return
	}
	delay := republishSpread / 2
	if w.Random != nil {
		delay = time.Duration(w.Random.Int64N(int64(republishSpread)))
	}
	w.publishBy(now.Add(delay))
}
