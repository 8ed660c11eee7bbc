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
	hold    time.Duration // how long an entry that disappeared is kept
	entries map[string]*held
	added   []string // changes since the last call of changes
}

type held struct {
	entry translator.UpstreamEntry
	ends  time.Time // when the entry is dropped; zero while it is registered
}

// replace takes a listing of all entries.
func (r *registry) replace(now time.Time, all []translator.UpstreamEntry) {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Name] = true
		r.apply(now, e)
	}
	for name, h := range r.entries {
		if !present[name] && h.ends.IsZero() {
			h.ends = now.Add(r.hold)
			r.note("missing:", &h.entry)
		}
	}
}

// apply takes one entry, unless a newer one is known.
func (r *registry) apply(now time.Time, e translator.UpstreamEntry) {
	if r.entries == nil {
		r.entries = map[string]*held{}
	}
	h := r.entries[e.Name]
	if h != nil && e.Revision < h.entry.Revision {
		return
	}
	switch {
	case e.Removed:
		if h != nil && h.ends.IsZero() {
			h.ends = now.Add(r.hold)
			r.note("missing:", &h.entry)
		}
	case h == nil:
		r.entries[e.Name] = &held{entry: e}
		r.note("+", &e)
	default:
		if h.entry.Upstream != e.Upstream || h.entry.Usable != e.Usable || !h.ends.IsZero() {
			r.note("~", &e)
		}
		*h = held{entry: e}
	}
}

// expire drops the entries that were missing for too long. It returns when the next one is due, zero for none.
func (r *registry) expire(now time.Time) time.Time {
	var next time.Time
	for name, h := range r.entries {
		switch {
		case h.ends.IsZero():
		case !now.Before(h.ends):
			r.note("-", &h.entry)
			delete(r.entries, name)
		case next.IsZero() || h.ends.Before(next):
			next = h.ends
		}
	}
	return next
}

// upstreams returns the upstreams that can be used, by name. An address that another server has registered since belongs to it.
func (r *registry) upstreams() []forwarder.Upstream {
	owner := map[string]bool{}
	for _, h := range r.entries {
		if h.ends.IsZero() && h.entry.Usable {
			owner[h.entry.Upstream.Address.String()] = true
		}
	}
	var all []forwarder.Upstream
	for _, h := range r.entries {
		if h.entry.Usable && (h.ends.IsZero() || !owner[h.entry.Upstream.Address.String()]) {
			all = append(all, h.entry.Upstream)
		}
	}
	slices.SortFunc(all, func(a, b forwarder.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// note remembers a change for the log.
func (r *registry) note(what string, e *translator.UpstreamEntry) {
	text := what + e.Upstream.Service + "/" + e.Name
	if !e.Usable {
		text += "(unusable)"
	} else if e.Upstream.Draining {
		text += "(draining)"
	}
	r.added = append(r.added, text)
}

// changes describes what changed since the last call, "" for nothing.
func (r *registry) changes() string {
	const most = 12 // keeps the line short when all servers change at once
	out := r.added
	r.added = nil
	if len(out) > most {
		out = append(out[:most:most], "...")
	}
	return strings.Join(out, " ")
}
