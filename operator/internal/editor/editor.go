// Package editor carries out edits of the table: it drives the edit decisions of core/coordination/synchronizer against the platform's
// key-value service.
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

// Store is the part of the key-value service that an edit uses.
type Store interface {
	Get(ctx context.Context, key string) kvclient.ReadResult
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) kvclient.WriteResult
	Range(ctx context.Context, prefix string, page int) kvclient.RangeResult
}

// Editor edits the table in a store. Now and Sleep may be replaced in tests; nil takes those of package time.
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

// Table reads the whole table. It returns an error when the store gives no answer or holds a value that is not valid.
func (e *Editor) Table(ctx context.Context) (*tabler.Snapshot, error) {
	l := e.Store.Range(ctx, tabler.KeyPrefix, 0)
	if l.Status != kvclient.OK {
		return nil, eris.Errorf("table: the key-value service answered %s: %v", l.Status, l.Err)
	}
	t := new(tabler.Snapshot)
	for _, x := range l.Items {
		service, ok := tabler.ServiceOf(x.Key)
		if !ok {
			continue
		}
		v, err := tabler.Decode(service, x.Revision, x.Value)
		if err != nil {
			return nil, eris.Wrapf(err, "table: value %q", x.Key)
		}
		t = t.WithValue(v)
	}
	return t, nil
}

// Edit carries out one edit of one service and returns how it ended. Base is the value that the operator saw.
func (e *Editor) Edit(ctx context.Context, edit tabler.Edit, service string, base *tabler.Value, changes []tabler.Change) synchronizer.EditFinished {
	d := &synchronizer.Editor{
		Edit: edit, Service: service, Changes: changes, Base: base,
		Random: rand.New(rand.NewPCG(uint64(e.now().UnixNano()), 0)), //nolint:gosec // spreads retries only
	}
	queue := d.Step(e.now(), synchronizer.EditTicked{})
	for {
		for len(queue) > 0 {
			a := queue[0]
			queue = queue[1:]
			if f, ok := a.(synchronizer.EditFinished); ok {
				return f
			}
			queue = append(queue, d.Step(e.now(), e.carry(ctx, a))...)
		}
		if ctx.Err() != nil {
			return synchronizer.EditFinished{Verdict: synchronizer.Unknown, Err: ctx.Err()}
		}
		e.sleep(synchronizer.TickInterval)
		queue = d.Step(e.now(), synchronizer.EditTicked{})
	}
}

// carry makes the call that an action asks for.
func (e *Editor) carry(ctx context.Context, a synchronizer.EditAction) synchronizer.EditEvent {
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
		panic(eris.Errorf("editor: unknown action %T", a))
	}
}

// Plan returns the changes that turn the table into the wanted values, by service. Services that only the table has are removed
// when prune is set.
func Plan(table *tabler.Snapshot, wanted []*tabler.Value, prune bool) map[string][]tabler.Change {
	plan := map[string][]tabler.Change{}
	for _, v := range wanted {
		if c := tabler.Diff(Find(table.AllValues(), v.Service.Service), v); len(c) > 0 {
			plan[v.Service.Service] = c
		}
	}
	if !prune {
		return plan
	}
	for _, v := range table.AllValues() {
		name := v.Service.Service
		if name != tabler.FleetService && !v.Removed && Find(wanted, name) == nil {
			plan[name] = tabler.Diff(v, nil)
		}
	}
	return plan
}

// Find returns the value of a service or of the fleet row, also when it was removed, or nil.
func Find(values []*tabler.Value, service string) *tabler.Value {
	for _, v := range values {
		if v.Service.Service == service {
			return v
		}
	}
	return nil
}

// Summary describes changes in one line of bounded length for the history.
func Summary(changes []tabler.Change) string {
	const maxChanges = 3
	var parts []string
	for _, c := range changes[:min(len(changes), maxChanges)] {
		parts = append(parts, c.String())
	}
	if n := len(changes) - maxChanges; n > 0 {
		parts = append(parts, "and more")
	}
	s := strings.Join(parts, "; ")
	const maxBytes = 200
	return string([]rune(s)[:min(len([]rune(s)), maxBytes)])
}

// Services returns the services of a plan in order.
func Services(plan map[string][]tabler.Change) []string {
	var names []string
	for n := range plan {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
