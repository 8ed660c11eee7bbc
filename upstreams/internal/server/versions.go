package server

import (
	"cmp"
	"slices"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/indexer"
)

// addVersion adds an index version, or replaces the layout of a version that the upstream already holds.
func (u *upstream) addVersion(version uint64, layout string, shards int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := u.versionsExcept(version)
	held = append(held, encoder.HeldVersion{
		Version:     version,
		Layout:      layout,
		ShardsTotal: shards,
		Shards:      indexer.ShardsOfGroup(layout, u.server.Group, u.server.Service.Groups, shards),
	})
	slices.SortFunc(held, func(a, b encoder.HeldVersion) int { return cmp.Compare(a.Version, b.Version) })
	u.heldVersions = held
}

// dropVersion removes an index version.
func (u *upstream) dropVersion(version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heldVersions = u.versionsExcept(version)
}

// versionsExcept returns a copy of the held versions without the given one. It doesn't modify the current list, because replies
// that are being encoded read it.
func (u *upstream) versionsExcept(version uint64) []encoder.HeldVersion {
	held := make([]encoder.HeldVersion, 0, len(u.heldVersions)+1)
	for _, v := range u.heldVersions {
		if v.Version != version {
			held = append(held, v)
		}
	}
	return held
}

// findVersion returns a held version, or the newest one if version is 0. The result reports whether there is one.
func (u *upstream) findVersion(version uint64) (encoder.HeldVersion, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.heldVersions) - 1; i >= 0; i-- {
		if version == 0 || u.heldVersions[i].Version == version {
			return u.heldVersions[i], true
		}
	}
	return encoder.HeldVersion{}, false
}
