package storer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// VMList is the platform's VM list, whose changes become visible late: after the lag that was set when the change was made. The zero
// value is an empty list without lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]encoder.ListedVM
	pending []pendingChange
}

type pendingChange struct {
	visibleAt time.Time
	vm        encoder.ListedVM
	isRemoval bool
}

// SetLag sets the lag of later changes.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetVM adds or replaces a VM by its name.
func (l *VMList) SetVM(now time.Time, vm encoder.ListedVM) { l.addChange(now, vm, false) }

// RemoveVM removes a VM by its name.
func (l *VMList) RemoveVM(now time.Time, name string) {
	l.addChange(now, encoder.ListedVM{Name: name}, true)
}

func (l *VMList) addChange(now time.Time, vm encoder.ListedVM, remove bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{visibleAt: now.Add(l.lag), vm: vm, isRemoval: remove})
	l.applyPending(now)
}

// VisibleVMs returns the VMs that are visible at now, sorted by name.
func (l *VMList) VisibleVMs(now time.Time) encoder.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending(now)
	list := encoder.VMList{VMs: make([]encoder.ListedVM, 0, len(l.visible))}
	for _, k := range slices.Sorted(maps.Keys(l.visible)) {
		list.VMs = append(list.VMs, l.visible[k])
	}
	return list
}

// applyPending makes the changes visible that are due. A change waits for all earlier changes, even if the lag was lowered in between,
// so that changes become visible in order.
func (l *VMList) applyPending(now time.Time) {
	if l.visible == nil {
		l.visible = make(map[string]encoder.ListedVM)
	}
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		p := l.pending[0]
		l.pending = l.pending[1:]
		if p.isRemoval {
			delete(l.visible, p.vm.Name)
		} else {
			l.visible[p.vm.Name] = p.vm
		}
	}
}
