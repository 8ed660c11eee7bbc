package server

import (
	"cmp"
	"slices"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/indexer"
)

// hold adds an index version, or replaces the layout of one.
func (h *host) hold(version uint64, layout string, shards int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.without(version)
	held = append(held, encoder.HeldVersion{
		Version:     version,
		Layout:      layout,
		ShardsTotal: shards,
		Shards:      indexer.ShardsOfGroup(layout, h.server.Group, h.server.Service.Groups, shards),
	})
	slices.SortFunc(held, func(a, b encoder.HeldVersion) int { return cmp.Compare(a.Version, b.Version) })
	h.held = held
}

// drop removes an index version.
func (h *host) drop(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = h.without(version)
}

// without returns a new list, because replies that are being encoded read the current one.
func (h *host) without(version uint64) []encoder.HeldVersion {
	held := make([]encoder.HeldVersion, 0, len(h.held)+1)
	for _, v := range h.held {
		if v.Version != version {
			held = append(held, v)
		}
	}
	return held
}

// version finds a held version, or the newest one for 0.
func (h *host) version(version uint64) (encoder.HeldVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.held) - 1; i >= 0; i-- {
		if version == 0 || h.held[i].Version == version {
			return h.held[i], true
		}
	}
	return encoder.HeldVersion{}, false
}
