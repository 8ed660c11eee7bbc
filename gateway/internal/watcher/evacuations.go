package watcher

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"comfreyroute/platform/translator"
)

// evacuations holds the failure domains that the operator evacuates. None of them lapses: the store alone says that one has ended. The zero value
// is empty.
type evacuations struct {
	entries map[string]translator.Evacuation // by failure domain; those taken back stay until the next listing
}

// apply updates entries, unless newer ones are known. It reports whether the evacuated failure domains have changed.
func (e *evacuations) apply(all []translator.Evacuation) bool {
	if len(all) == 0 {
		return false
	}
	before := e.failureDomains()
	if e.entries == nil {
		e.entries = map[string]translator.Evacuation{}
	}
	for _, v := range all {
		if old, ok := e.entries[v.FailureDomain]; !ok || v.Revision > old.Revision {
			e.entries[v.FailureDomain] = v
		}
	}
	return !slices.Equal(before, e.failureDomains())
}

// replace applies a listing of all entries. A failure domain that it lacks is no longer evacuated.
func (e *evacuations) replace(all []translator.Evacuation) bool {
	before := e.failureDomains()
	e.entries = nil
	e.apply(all)
	return !slices.Equal(before, e.failureDomains())
}

// failureDomains returns the evacuated failure domains in order.
func (e *evacuations) failureDomains() []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(e.entries)) {
		if !e.entries[name].Removed {
			all = append(all, name)
		}
	}
	return all
}

// publishEvacuations passes on the evacuated failure domains.
func (w *Watcher) publishEvacuations(revision uint64) {
	all := w.evacuations.failureDomains()
	w.Log.Info("watcher: evacuated failure domains changed", zap.Strings("domains", all), zap.Uint64("revision", revision))
	w.OnEvacuations(all)
}
