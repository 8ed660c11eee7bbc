// Package editor reads and edits the table: it performs the actions of synchronizer.Editor, which makes the decisions of an edit, on
// the platform's key-value service.
package editor

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/kvclient"
)

// Store is the subset of the key-value client that Editor uses.
type Store interface {
	Get(ctx context.Context, key string) kvclient.ReadResult
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) kvclient.WriteResult
	Range(ctx context.Context, prefix string, page int) kvclient.RangeResult
}

// Editor edits the table in a store. Now and Sleep can be replaced in tests; nil means time.Now and time.Sleep.
type Editor struct {
	Store Store
	Now   func() time.Time
	Sleep func(time.Duration)
}

func (e *Editor) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

func (e *Editor) sleep(d time.Duration) {
	if e.Sleep != nil {
		e.Sleep(d)
		return
	}
	time.Sleep(d)
}

// ReadTable reads the whole table. It returns an error if the read fails or the store holds an invalid value.
func (e *Editor) ReadTable(ctx context.Context) (*tabler.Snapshot, error) {
	l := e.Store.Range(ctx, tabler.KeyPrefix, 0)
	if l.Status != kvclient.OK {
		return nil, eris.Errorf("read table: status %s from the key-value service: %v", l.Status, l.Err)
	}
	t := new(tabler.Snapshot)
	for _, x := range l.Items {
		service, ok := tabler.ServiceOf(x.Key)
		if !ok {
			continue
		}
		v, err := tabler.Decode(service, x.Revision, x.Value)
		if err != nil {
			return nil, eris.Wrapf(err, "read table: invalid value of key %q", x.Key)
		}
		t = t.WithValue(v)
	}
	return t, nil
}

// EditService performs one edit of one service and returns its result. base is the value that the operator saw. EditService blocks
// until the edit has finished or ctx is done.
func (e *Editor) EditService(ctx context.Context, edit tabler.Edit, service string, base *tabler.Value, changes []tabler.Change) synchronizer.EditFinished {
	stateMachine := &synchronizer.Editor{
		Edit: edit, Service: service, Changes: changes, Base: base,
		Random: rand.New(rand.NewPCG(uint64(e.now().UnixNano()), 0)), //nolint:gosec // spreads retries only
	}
	actions := stateMachine.Step(e.now(), synchronizer.EditTicked{})
	for {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if finished, ok := a.(synchronizer.EditFinished); ok {
				return finished
			}
			actions = append(actions, stateMachine.Step(e.now(), e.perform(ctx, a))...)
		}
		if ctx.Err() != nil {
			return synchronizer.EditFinished{Verdict: synchronizer.Unknown, Err: ctx.Err()}
		}
		e.sleep(synchronizer.TickInterval)
		actions = stateMachine.Step(e.now(), synchronizer.EditTicked{})
	}
}

// perform makes the store call of an action and returns its result as an event.
func (e *Editor) perform(ctx context.Context, a synchronizer.EditAction) synchronizer.EditEvent {
	switch a := a.(type) {
	case synchronizer.ReadValue:
		r := e.Store.Get(ctx, tabler.Key(a.Service))
		if r.Status != kvclient.OK {
			return synchronizer.ReadFailed{Call: a.Call}
		}
		return synchronizer.ValueRead{Call: a.Call, Item: synchronizer.StoredValue{Service: a.Service, Revision: r.Item.Revision, Data: r.Item.Value}}
	case synchronizer.WriteValue:
		w := e.Store.Put(ctx, tabler.Key(a.Service), a.Data, a.Expect, 0)
		switch w.Status {
		case kvclient.OK:
			return synchronizer.WriteDone{Call: a.Call, Revision: w.Revision}
		case kvclient.Conflict:
			return synchronizer.WriteConflicted{Call: a.Call}
		default:
			return synchronizer.WriteUncertain{Call: a.Call}
		}
	default:
		panic(eris.Errorf("editor: unknown action type %T", a))
	}
}

// PlanChanges returns, by service, the changes that turn the table into the wanted values. If prune is set, services that are only in
// the table are removed, except the fleet row.
func PlanChanges(table *tabler.Snapshot, wanted []*tabler.Value, prune bool) map[string][]tabler.Change {
	plan := map[string][]tabler.Change{}
	for _, v := range wanted {
		if c := tabler.Diff(FindValue(table.AllValues(), v.Service.Service), v); len(c) > 0 {
			plan[v.Service.Service] = c
		}
	}
	if !prune {
		return plan
	}
	for _, v := range table.AllValues() {
		name := v.Service.Service
		if name != tabler.FleetService && !v.Removed && FindValue(wanted, name) == nil {
			plan[name] = tabler.Diff(v, nil)
		}
	}
	return plan
}

// FindValue returns the value of a service or of the fleet row, or nil if there is none. It also returns removed values.
func FindValue(values []*tabler.Value, service string) *tabler.Value {
	for _, v := range values {
		if v.Service.Service == service {
			return v
		}
	}
	return nil
}

// SummarizeChanges returns a one-line summary of changes for the edit history: at most 3 changes and 200 characters.
func SummarizeChanges(changes []tabler.Change) string {
	const maxChanges = 3
	var parts []string
	for _, c := range changes[:min(len(changes), maxChanges)] {
		parts = append(parts, c.String())
	}
	if n := len(changes) - maxChanges; n > 0 {
		parts = append(parts, "and more")
	}
	s := strings.Join(parts, "; ")
	const maxRunes = 200
	return string([]rune(s)[:min(len([]rune(s)), maxRunes)])
}

// SortedServices returns the names of the services in a plan in ascending order.
func SortedServices(plan map[string][]tabler.Change) []string {
	var names []string
	for n := range plan {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
