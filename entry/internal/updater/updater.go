// Package updater keeps the table of this VM up to date with the platform and its peers.
//
// One goroutine owns the synchronizer machine. Calls to the platform and to peers run in goroutines of their own, and their results
// return as events. There are at most as many calls as the machine has started and not yet given up.
package updater

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/protocol/exchanger"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/measurer"
)

const eventCapacity = 256

// Updater runs the synchronizer machine. Its exported fields must be set before Start.
type Updater struct {
	Machine  synchronizer.Machine
	KVClient *kvclient.Client
	Log      *zap.Logger
	// Peer returns a client for a VM, or nil when its address is unknown.
	Peer func(vm string) exchanger.DRPCPeersClient
	// ApplyTable makes a table the current one.
	ApplyTable func(*tabler.Snapshot)
	// PushRevisions notifies peers of new revisions.
	PushRevisions func(to []string, revisions []synchronizer.Revision)
	// RecordContact reports that the platform answered a call sent at the given time.
	RecordContact func(sent time.Time)

	events  chan synchronizer.Event
	inspect chan func(*synchronizer.Machine)
	view    atomic.Pointer[View]
	context context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	done    chan struct{}
}

// View is the state of the synchronizer machine that other components read. It is immutable and is replaced as a whole.
type View struct {
	Complete    bool // whether this VM has received a whole table
	IsWatcher   bool
	LastContact time.Time               // latest platform contact that this VM knows of, or zero
	Revisions   []synchronizer.Revision // revisions in effect
}

// Init creates the channels, so that other components can use the updater before Start.
func (u *Updater) Init() {
	u.events = make(chan synchronizer.Event, eventCapacity)
	u.inspect = make(chan func(*synchronizer.Machine), 8)
	u.view.Store(&View{})
	u.context, u.stop = context.WithCancel(context.Background())
	u.done = make(chan struct{})
}

// Start starts the goroutine. Init must be called first.
func (u *Updater) Start() { go u.run() }

// Stop stops the updater and cancels its calls.
func (u *Updater) Stop() { u.stop() }

// Done returns a channel that is closed when all goroutines of the updater have ended.
func (u *Updater) Done() <-chan struct{} { return u.done }

// View returns the current view.
func (u *Updater) View() *View { return u.view.Load() }

// PostEvent posts an event. It drops the event when the queue is full, because peers repeat their news with the next heartbeat.
func (u *Updater) PostEvent(ev synchronizer.Event) {
	select {
	case u.events <- ev:
	default:
	}
}

// Values returns the stored values of the given services, or the whole table if no service is given. It returns false when the
// whole table is requested but incomplete, the context ends or the updater stops.
func (u *Updater) Values(ctx context.Context, services []string) (values []synchronizer.StoredValue, complete bool) {
	answered := make(chan struct{})
	query := func(m *synchronizer.Machine) {
		values, complete = m.Values(services)
		close(answered)
	}
	select {
	case u.inspect <- query:
	case <-ctx.Done():
		return nil, false
	case <-u.context.Done():
		return nil, false
	}
	select {
	case <-answered:
		return values, complete
	case <-u.done:
		return nil, false
	}
}

func (u *Updater) run() {
	defer close(u.done)
	defer u.workers.Wait()
	t := time.NewTicker(synchronizer.TickInterval)
	defer t.Stop()
	u.step(synchronizer.Ticked{})
	for {
		select {
		case ev := <-u.events:
			u.step(ev)
		case <-t.C:
			u.step(synchronizer.Ticked{})
		case f := <-u.inspect:
			f(&u.Machine)
		case <-u.context.Done():
			return
		}
	}
}

func (u *Updater) step(ev synchronizer.Event) {
	for _, a := range u.Machine.Step(time.Now(), ev) {
		u.execute(a)
	}
	u.view.Store(&View{
		Complete: u.Machine.Complete(), IsWatcher: u.Machine.IsWatcher(), LastContact: u.Machine.LastContact(), Revisions: u.Machine.Revisions(),
	})
}

func (u *Updater) execute(a synchronizer.Action) {
	switch a := a.(type) {
	case synchronizer.ReadTable:
		u.runAsync(func(ctx context.Context) synchronizer.Event { return u.readTable(ctx, a) })
	case synchronizer.WatchTable:
		u.runAsync(func(ctx context.Context) synchronizer.Event { return u.watchTable(ctx, a) })
	case synchronizer.FetchValues:
		u.runAsync(func(ctx context.Context) synchronizer.Event { return u.fetchValues(ctx, a) })
	case synchronizer.ApplyTable:
		u.ApplyTable(a.Table)
	case synchronizer.PushRevisions:
		u.PushRevisions(a.To, a.Revisions)
	case synchronizer.RejectValue:
		u.Log.Error("updater: rejected an invalid table value",
			zap.String("service", a.Service), zap.Uint64("revision", a.Revision), logger.ErrorField(a.Err))
	}
}

// runAsync runs a call in a goroutine and posts its result. Unlike news, a result is dropped only when the updater stops.
func (u *Updater) runAsync(call func(context.Context) synchronizer.Event) {
	u.workers.Go(func() {
		ev := call(u.context)
		select {
		case u.events <- ev:
		case <-u.context.Done():
		}
	})
}

func (u *Updater) readTable(ctx context.Context, a synchronizer.ReadTable) synchronizer.Event {
	sent := time.Now()
	r := u.KVClient.Range(ctx, tabler.KeyPrefix, 0)
	measurer.CountPlatformCalls("read", len(r.Items)/kvclient.DefaultPageSize+1)
	if r.Status != kvclient.OK {
		u.logCallFailure("read", r.Err)
		return synchronizer.PlatformCallFailed(a)
	}
	u.RecordContact(sent)
	return synchronizer.TableRead{Call: a.Call, Items: storedValues(r.Items), Revision: r.Revision}
}

func (u *Updater) watchTable(ctx context.Context, a synchronizer.WatchTable) synchronizer.Event {
	sent := time.Now()
	measurer.CountPlatformCalls("watch", 1)
	r := u.KVClient.Watch(ctx, tabler.KeyPrefix, a.After, a.Wait)
	if r.Status != kvclient.OK {
		u.logCallFailure("watch", r.Err)
		return synchronizer.PlatformCallFailed{Call: a.Call}
	}
	u.RecordContact(sent)
	return synchronizer.WatchAnswered{Call: a.Call, Items: storedValues(r.Items), Revision: r.Revision, Compacted: r.Compacted}
}

func (u *Updater) logCallFailure(call string, err error) {
	if u.context.Err() == nil {
		u.Log.Warn("updater: platform call failed", zap.String("call", call), logger.ErrorField(err))
	}
}

func (u *Updater) fetchValues(ctx context.Context, a synchronizer.FetchValues) synchronizer.Event {
	peer := u.Peer(a.From)
	if peer == nil {
		return synchronizer.FetchFailed{Call: a.Call}
	}
	ctx, cancel := context.WithTimeout(ctx, synchronizer.FetchTimeout)
	defer cancel()
	reply, err := peer.FetchTable(ctx, &exchanger.FetchTableRequest{Services: a.Services})
	if err != nil {
		return synchronizer.FetchFailed{Call: a.Call}
	}
	items := make([]synchronizer.StoredValue, 0, len(reply.GetValues()))
	for _, v := range reply.GetValues() {
		if _, ok := tabler.ServiceOf(tabler.Key(v.GetService())); ok {
			items = append(items, synchronizer.StoredValue{Service: v.GetService(), Revision: v.GetRevision(), Data: v.GetValue()})
		}
	}
	return synchronizer.ValuesFetched{Call: a.Call, Items: items}
}

// storedValues converts key-value pairs of the platform to table values. It drops keys that do not belong to the table.
func storedValues(items []encoder.KeyValue) []synchronizer.StoredValue {
	list := make([]synchronizer.StoredValue, 0, len(items))
	for _, kv := range items {
		if service, ok := tabler.ServiceOf(kv.Key); ok {
			list = append(list, synchronizer.StoredValue{Service: service, Revision: kv.Revision, Data: kv.Value, Deleted: kv.Deleted})
		}
	}
	return list
}
