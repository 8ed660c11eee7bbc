package watcher

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/platform/translator"
)

// fleet holds the entries of the fleet's VMs. The zero value is empty.
type fleet struct {
	entries      map[string]translator.VMEntry
	reportedSize int // last size passed to OnFleetSize
}

// replace drops the known entries and applies a listing of all entries.
func (f *fleet) replace(all []translator.VMEntry) {
	f.entries = nil
	f.apply(all)
}

// apply updates entries, unless newer ones are known. It reports whether a member has changed.
func (f *fleet) apply(all []translator.VMEntry) bool {
	if f.entries == nil {
		f.entries = map[string]translator.VMEntry{}
	}
	changed := false
	for _, v := range all {
		if old := f.entries[v.Member.Name]; v.Revision > old.Revision {
			f.entries[v.Member.Name] = v
			changed = changed || v.Member != old.Member || v.Removed != old.Removed
		}
	}
	return changed
}

// members returns the VMs that are registered now.
func (f *fleet) members() []elector.Member {
	all := make([]elector.Member, 0, len(f.entries))
	for _, v := range f.entries {
		if !v.Removed {
			all = append(all, v.Member)
		}
	}
	return all
}

// updateMembers passes the members of the fleet to the elector, and calls OnRemoved when this VM is no longer among them.
func (w *Watcher) updateMembers(now time.Time) {
	members := w.fleet.members()
	w.Elector.SetMembers(now, members)
	if w.Exchange != nil {
		w.Exchange.SetMembers(now, members)
	}
	if w.OnMembers != nil {
		w.OnMembers(members)
	}
	present := slices.ContainsFunc(members, func(m elector.Member) bool { return m.Name == w.Elector.Self.Name })
	if w.registered && !present {
		w.Log.Info("watcher: this VM is no longer registered", zap.Uint64("revision", w.revision))
		w.OnRemoved()
	}
	w.registered = present
}

// reportFleetSize passes on the number of VMs when it has changed.
func (w *Watcher) reportFleetSize(now time.Time) {
	if n := w.Elector.FleetSize(now); n != w.fleet.reportedSize {
		w.Log.Info("watcher: fleet size changed", zap.Int("vms", n), zap.Int("before", w.fleet.reportedSize))
		w.fleet.reportedSize = n
		w.OnFleetSize(n)
	}
}
