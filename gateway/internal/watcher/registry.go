package watcher

import (
	"maps"
	"slices"
	"strings"
	"time"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/platform/translator"
)

// registry holds the entries of the upstreams. An entry that disappears is kept for the retention time: leases expire while the store
// is down, and the running upstreams write their entries again afterwards. The zero value is empty.
type registry struct {
	retention      time.Duration // how long a missing entry is kept
	entryLifetime  time.Duration // after which the store drops the entry of a silent upstream
	reregisterTime time.Duration // in which upstreams write their entries again after an outage of the store
	entries        map[string]*registration
	dropped        map[string]droppedEntry // by upstream
	pendingChanges []string                // since the last call of takeChanges
}

// registration is the entry of one upstream.
type registration struct {
	entry     translator.UpstreamEntry
	expiresAt time.Time // when a missing entry is dropped; zero while it is in the store
	heldUntil time.Time // until when an entry of a restored store that may be outdated is not used; zero otherwise
}

// droppedEntry is the last known entry of an upstream that is gone.
type droppedEntry struct {
	entry translator.UpstreamEntry
	at    time.Time
}

const (
	// droppedLifetime is how long an upstream that is gone is remembered. The copy from which a store is restored is some seconds old.
	droppedLifetime = time.Minute
	// holdMargin is how long after its expiry the removal of an entry is known at the latest. It covers a pause of the watcher.
	holdMargin = time.Second
)

// replace applies a listing of all entries. Known entries that it lacks are missing from now on.
func (r *registry) replace(now time.Time, all []translator.UpstreamEntry) {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Name] = true
		r.apply(now, e)
	}
	for name, reg := range r.entries {
		if !present[name] && reg.expiresAt.IsZero() {
			reg.expiresAt = now.Add(r.retention)
			r.recordChange("missing:", &reg.entry)
		}
	}
}

// restore applies a listing of all entries of a store that was restored from a copy. The copy lacks the last writes before, and revisions of
// different eras do not compare:
//
//   - An entry that was written before the known one does not replace it: an upstream that drains does not take requests again.
//   - The entry of an upstream that is gone is used only if it outlives the time after which the store drops it.
//   - A known entry that the copy lacks is kept for the time in which its upstream writes it again.
func (r *registry) restore(now time.Time, all []translator.UpstreamEntry) {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Name] = true
		reg := r.entries[e.Name]
		if last := r.lastUnused(e.Name); last != nil && !last.Precedes(&e) {
			r.hold(now, e)
			continue
		}
		if reg != nil && e.Usable && e.Precedes(&reg.entry) {
			reg.entry.Revision = e.Revision
			continue
		}
		if reg != nil {
			reg.entry.Revision = 0 // the listed entry is newer, whatever its revision
		}
		r.apply(now, e)
	}
	for name, reg := range r.entries {
		if !present[name] && reg.expiresAt.IsZero() {
			reg.expiresAt = now.Add(max(r.retention, r.reregisterTime))
			r.recordChange("missing:", &reg.entry)
		}
	}
}

// lastUnused returns the last entry of an upstream that was gone, missing or held before the restore, nil for one that is in use or unknown.
func (r *registry) lastUnused(name string) *translator.UpstreamEntry {
	if reg := r.entries[name]; reg != nil {
		if reg.expiresAt.IsZero() && reg.heldUntil.IsZero() {
			return nil
		}
		return &reg.entry
	}
	if gone, ok := r.dropped[name]; ok {
		return &gone.entry
	}
	return nil
}

// hold keeps an entry that may be outdated out of use until the store would have dropped it.
func (r *registry) hold(now time.Time, e translator.UpstreamEntry) {
	if r.entries == nil {
		r.entries = map[string]*registration{}
	}
	r.entries[e.Name] = &registration{entry: e, heldUntil: now.Add(r.entryLifetime + holdMargin)}
	r.recordChange("held:", &e)
}

// apply updates one entry, unless a newer one is known.
func (r *registry) apply(now time.Time, e translator.UpstreamEntry) {
	if r.entries == nil {
		r.entries = map[string]*registration{}
	}
	reg := r.entries[e.Name]
	if reg != nil && e.Revision < reg.entry.Revision {
		return
	}
	switch {
	case e.Removed && reg != nil && !reg.heldUntil.IsZero():
		r.drop(e.Name, reg, now)
	case e.Removed:
		if reg != nil && reg.expiresAt.IsZero() {
			reg.expiresAt = now.Add(r.retention)
			reg.entry.Revision = e.Revision // an earlier write that arrives late must not bring the upstream back
			r.recordChange("missing:", &reg.entry)
		}
	case reg == nil:
		r.entries[e.Name] = &registration{entry: e}
		r.recordChange("+", &e)
	default:
		if differs(reg.entry.Upstream, e.Upstream) || reg.entry.Usable != e.Usable || !reg.expiresAt.IsZero() || !reg.heldUntil.IsZero() {
			r.recordChange("~", &e)
		}
		*reg = registration{entry: e}
	}
}

// differs reports whether an entry of an upstream says anything new. That it is cold for less time than before, as a cold one writes with each heartbeat,
// is not new.
func differs(before, after forwarder.Upstream) bool {
	after.ColdFor = max(after.ColdFor, before.ColdFor)
	return before != after
}

// expire drops the entries that were missing for the retention time, and puts the held ones into use whose time is over. It returns when it
// has to be called next, zero for never.
func (r *registry) expire(now time.Time) time.Time {
	var next time.Time
	for name, reg := range r.entries {
		due := reg.expiresAt
		if due.IsZero() {
			due = reg.heldUntil
		}
		switch {
		case due.IsZero():
		case now.Before(due):
			if next.IsZero() || due.Before(next) {
				next = due
			}
		case reg.expiresAt.IsZero():
			reg.heldUntil = time.Time{}
			r.recordChange("+", &reg.entry)
		default:
			r.drop(name, reg, now)
		}
	}
	return next
}

// drop removes an entry and remembers that its upstream is gone.
func (r *registry) drop(name string, reg *registration, now time.Time) {
	r.recordChange("-", &reg.entry)
	delete(r.entries, name)
	if r.dropped == nil {
		r.dropped = map[string]droppedEntry{}
	}
	maps.DeleteFunc(r.dropped, func(_ string, d droppedEntry) bool { return now.Sub(d.at) > droppedLifetime })
	r.dropped[name] = droppedEntry{entry: reg.entry, at: now}
}

// upstreams returns the usable upstreams, sorted by name. It leaves out a missing upstream whose address another one has registered.
func (r *registry) upstreams() []forwarder.Upstream {
	inUse := map[string]bool{}
	for _, reg := range r.entries {
		if reg.expiresAt.IsZero() && reg.heldUntil.IsZero() && reg.entry.Usable {
			inUse[reg.entry.Upstream.Address.String()] = true
		}
	}
	var all []forwarder.Upstream
	for _, reg := range r.entries {
		if reg.entry.Usable && reg.heldUntil.IsZero() && (reg.expiresAt.IsZero() || !inUse[reg.entry.Upstream.Address.String()]) {
			all = append(all, reg.entry.Upstream)
		}
	}
	slices.SortFunc(all, func(a, b forwarder.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// recordChange adds a change to pendingChanges.
func (r *registry) recordChange(kind string, e *translator.UpstreamEntry) {
	text := kind + e.Upstream.Service + "/" + e.Name
	if !e.Usable {
		text += "(unusable)"
	} else if e.Upstream.Draining {
		text += "(draining)"
	}
	r.pendingChanges = append(r.pendingChanges, text)
}

// takeChanges returns a description of the changes since the last call for the log, or "".
func (r *registry) takeChanges() string {
	const maxShown = 12 // keeps the line short when all upstreams change at once
	out := r.pendingChanges
	r.pendingChanges = nil
	if len(out) > maxShown {
		out = append(out[:maxShown:maxShown], "...")
	}
	return strings.Join(out, " ")
}
