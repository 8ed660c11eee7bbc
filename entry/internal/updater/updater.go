// Package updater runs the table concern: the one goroutine that owns the synchronizer machine.
//
// Platform calls and fetches from peers run on goroutines of their own, at most as many as the machine has asked for and
// not yet given up, and come back as events.
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

// Updater is the table concern. The exported fields are set before Start.
type Updater struct {
	Machine  synchronizer.Machine
	KVClient *kvclient.Client
	Log      *zap.Logger
	// Peer returns a client of a VM, or nil when its address is not known.
	Peer func(vm string) exchanger.DRPCPeersClient
	// ApplyTable puts a table into effect.
	ApplyTable func(*tabler.Snapshot)
	// PushRevisions tells peers about revisions.
	PushRevisions func(to []string, revisions []synchronizer.Revision)
	// RecordContact tells that the platform answered a call that was sent at a time.
	RecordContact func(sent time.Time)

	events  chan synchronizer.Event
	inspect chan func(*synchronizer.Machine)
	view    atomic.Pointer[View]
	context context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	done    chan struct{}
}

// View is what other concerns see of the table concern. It is replaced as a whole.
type View struct {
	Complete  bool
	Watching  bool
	Contact   time.Time
	Revisions []synchronizer.Revision
}

// Init makes the channels, so that other concerns may use this one before it starts.
func (u *Updater) Init() {
	u.events = make(chan synchronizer.Event, eventCapacity)
	u.inspect = make(chan func(*synchronizer.Machine), 8)
	u.view.Store(&View{})
	u.context, u.stop = context.WithCancel(context.Background())
	u.done = make(chan struct{})
}

// Start starts the concern after Prepare.
func (u *Updater) Start() { go u.run() }

// Stop ends the concern.
func (u *Updater) Stop() { u.stop() }

// Done is closed when the concern and its workers have ended.
func (u *Updater) Done() <-chan struct{} { return u.done }

// View returns the current view.
func (u *Updater) View() *View { return u.view.Load() }

// Post hands in an event and drops it when the concern is busy: news of peers comes again with the next heartbeat.
func (u *Updater) Post(ev synchronizer.Event) {
	select {
	case u.events <- ev:
	default:
	}
}

// Values returns the stored values of some services, or the whole table. It returns false when the table is not complete.
func (u *Updater) Values(ctx context.Context, services []string) (values []synchronizer.StoredValue, complete bool) {
	answered := make(chan struct{})
	ask := func(m *synchronizer.Machine) {
		values, complete = m.Values(services)
		close(answered)
	}
	select {
	case u.inspect <- ask:
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
		Complete: u.Machine.Complete(), Watching: u.Machine.IsWatcher(), Contact: u.Machine.LastContact(), Revisions: u.Machine.Revisions(),
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
		u.Log.Error("updater: a table value is not valid and is not adopted",
			zap.String("service", a.Service), zap.Uint64("revision", a.Revision), logger.Cause(a.Err))
	}
}

// runAsync runs a call and posts its result. Unlike news, a result is never dropped.
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
		u.logFailure("read", r.Err)
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
		u.logFailure("watch", r.Err)
		return synchronizer.PlatformCallFailed{Call: a.Call}
	}
	u.RecordContact(sent)
	return synchronizer.WatchAnswered{Call: a.Call, Items: storedValues(r.Items), Revision: r.Revision, Compacted: r.Compacted}
}

func (u *Updater) logFailure(call string, err error) {
	if u.context.Err() == nil {
		u.Log.Warn("updater: the platform does not answer", zap.String("call", call), logger.Cause(err))
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

// storedValues converts keys of the platform. Keys that are none of the table are dropped.
func storedValues(items []encoder.KeyValue) []synchronizer.StoredValue {
	list := make([]synchronizer.StoredValue, 0, len(items))
	for _, kv := range items {
		if service, ok := tabler.ServiceOf(kv.Key); ok {
			list = append(list, synchronizer.StoredValue{Service: service, Revision: kv.Revision, Data: kv.Value, Deleted: kv.Deleted})
		}
	}
	return list
}
