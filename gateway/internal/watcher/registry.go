package watcher

import (
	"slices"
	"strings"
	"time"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/platform/translator"
)

// registry holds the entries of the upstreams. An entry that disappears is kept for a while: entries lapse while the store is
// down, and the servers that live write them again when it is back. The zero value is empty.
type registry struct {
	retention      time.Duration // how long an entry that disappeared is kept
	entries        map[string]*registration
	pendingChanges []string // changes since the last call of changes
}

type registration struct {
	entry     translator.UpstreamEntry
	expiresAt time.Time // when the entry is dropped; zero while it is registered
}

// replace takes a listing of all entries.
func (r *registry) replace(now time.Time, all []translator.UpstreamEntry) {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Name] = true
		r.apply(now, e)
	}
	for name, h := range r.entries {
		if !present[name] && h.expiresAt.IsZero() {
			h.expiresAt = now.Add(r.retention)
			r.recordChange("missing:", &h.entry)
		}
	}
}

// apply takes one entry, unless a newer one is known.
func (r *registry) apply(now time.Time, e translator.UpstreamEntry) {
	if r.entries == nil {
		r.entries = map[string]*registration{}
	}
	h := r.entries[e.Name]
	if h != nil && e.Revision < h.entry.Revision {
		return
	}
	switch {
	case e.Removed:
		if h != nil && h.expiresAt.IsZero() {
			h.expiresAt = now.Add(r.retention)
			r.recordChange("missing:", &h.entry)
		}
	case h == nil:
		r.entries[e.Name] = &registration{entry: e}
		r.recordChange("+", &e)
	default:
		if h.entry.Upstream != e.Upstream || h.entry.Usable != e.Usable || !h.expiresAt.IsZero() {
			r.recordChange("~", &e)
		}
		*h = registration{entry: e}
	}
}

// expire drops the entries that were missing for too long. It returns when the next one is due, zero for none.
func (r *registry) expire(now time.Time) time.Time {
	var next time.Time
	for name, h := range r.entries {
		switch {
		case h.expiresAt.IsZero():
		case !now.Before(h.expiresAt):
			r.recordChange("-", &h.entry)
			delete(r.entries, name)
		case next.IsZero() || h.expiresAt.Before(next):
			next = h.expiresAt
		}
	}
	return next
}

// upstreams returns the upstreams that can be used, by name. An address that another server has registered since belongs to it.
func (r *registry) upstreams() []forwarder.Upstream {
	owner := map[string]bool{}
	for _, h := range r.entries {
		if h.expiresAt.IsZero() && h.entry.Usable {
			owner[h.entry.Upstream.Address.String()] = true
		}
	}
	var all []forwarder.Upstream
	for _, h := range r.entries {
		if h.entry.Usable && (h.expiresAt.IsZero() || !owner[h.entry.Upstream.Address.String()]) {
			all = append(all, h.entry.Upstream)
		}
	}
	slices.SortFunc(all, func(a, b forwarder.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// recordChange remembers a change for the log.
func (r *registry) recordChange(what string, e *translator.UpstreamEntry) {
	text := what + e.Upstream.Service + "/" + e.Name
	if !e.Usable {
		text += "(unusable)"
	} else if e.Upstream.Draining {
		text += "(draining)"
	}
	r.pendingChanges = append(r.pendingChanges, text)
}

// takeChanges describes what changed since the last call, "" for nothing.
func (r *registry) takeChanges() string {
	const most = 12 // keeps the line short when all servers change at once
	out := r.pendingChanges
	r.pendingChanges = nil
	if len(out) > most {
		out = append(out[:most:most], "...")
	}
	return strings.Join(out, " ")
}
