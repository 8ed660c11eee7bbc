package storer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// List is the VM list. A change becomes visible after the lag that was set when the change was made. The zero value is an
// empty list without lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]encoder.ListedVM
	pending []pendingChange
}

type pendingChange struct {
	at     time.Time
	vm     encoder.ListedVM
	remove bool
}

// SetLag sets the delay after which later changes become visible.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set adds or replaces a VM by its name.
func (l *List) Set(now time.Time, vm encoder.ListedVM) { l.change(now, vm, false) }

// Remove removes a VM by its name.
func (l *List) Remove(now time.Time, name string) {
	l.change(now, encoder.ListedVM{Name: name}, true)
}

func (l *List) change(now time.Time, vm encoder.ListedVM, remove bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{at: now.Add(l.lag), vm: vm, remove: remove})
	l.apply(now)
}

// Visible returns the VMs that are visible at a time, sorted by name.
func (l *List) Visible(now time.Time) encoder.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(now)
	list := encoder.VMList{VMs: make([]encoder.ListedVM, 0, len(l.visible))}
	for _, k := range slices.Sorted(maps.Keys(l.visible)) {
		list.VMs = append(list.VMs, l.visible[k])
	}
	return list
}

// apply keeps the order of the changes: a change waits for the changes before it, also after the lag was lowered.
func (l *List) apply(now time.Time) {
	if l.visible == nil {
		l.visible = make(map[string]encoder.ListedVM)
	}
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		p := l.pending[0]
		l.pending = l.pending[1:]
		if p.remove {
			delete(l.visible, p.vm.Name)
		} else {
			l.visible[p.vm.Name] = p.vm
		}
	}
}
