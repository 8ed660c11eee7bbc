// Package registrar maintains the membership of the fleet and exchanges news with the other entry VMs.
//
// One goroutine owns the tracker machine. Heartbeats between the VMs carry the membership, the table revisions and news about
// upstreams.
package registrar

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/coordination/tracker"
	"comfreyroute/core/protocol/exchanger"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/core/transport/messenger"
)

const (
	eventCapacity   = 256
	exchangeTimeout = 400 * time.Millisecond // below the heartbeat interval
	farFuture       = time.Hour              // beyond tracker.IsolationTimeout
	viewInterval    = time.Second            // longest age of the members in the view; readiness and addresses change without an event
	maxRevisions    = 16                     // in one message, so that its size does not grow with the number of services
)

// Registrar runs the tracker machine. Its exported fields must be set before Start.
type Registrar struct {
	Machine       tracker.Machine
	Messenger     *messenger.Messenger
	KVClient      *kvclient.Client
	Log           *zap.Logger
	Revisions     func() []synchronizer.Revision // returns the revisions of this VM's table
	LastContact   func() time.Time               // returns the time of the latest platform contact that this VM knows of
	IsWatcher     func() bool                    // reports whether this VM is a watcher of its failure domain
	PostToUpdater func(synchronizer.Event)       // posts an event to the updater; never blocks
	PostToRouter  func(router.Event)             // posts an event to the routing loop; may block while the loop is busy
	FindUpstreams func(name string) []Upstream   // returns the upstreams with a name, in all services
	IsReady       func() bool                    // reports whether the load balancer should send requests to this VM
	OnAdmitted    func()                         // is called on admission to the fleet; may block while the loop is busy

	events        chan tracker.Event
	commands      chan func()
	news          news
	view          atomic.Pointer[View]
	lastContact   time.Time
	membersCopied time.Time // time when the members in the view were copied from the machine
	messageCount  int
	lastListRead  time.Time // time of the last read of the VM list
	skippedVMs    int       // entries of the last VM list that name no VM
	readingList   bool
	leaving       map[Upstream]bool // upstreams that the VM list shows as leaving
	context       context.Context
	stop          context.CancelFunc
	workers       sync.WaitGroup
	done          chan struct{}
}

// Upstream identifies an upstream of a service.
type Upstream struct{ Service, Name string }

// View is the state of the membership that other components read. It is immutable and is replaced as a whole.
type View struct {
	Members     []tracker.Member
	Admitted    bool
	lastContact time.Time
	knowsPeers  bool // whether this VM knows peers that have not left
}

// Isolated reports whether the VM knows peers but had no contact with the platform or a peer for tracker.IsolationTimeout. It is
// computed from the time of the last contact, so that a VM resumed after a pause notices before its first tick.
func (v *View) Isolated(now time.Time) bool {
	return v.knowsPeers && now.Sub(v.lastContact) > tracker.IsolationTimeout
}

// Init creates the channels, so that other components can use the registrar before Start.
func (r *Registrar) Init() {
	r.events = make(chan tracker.Event, eventCapacity)
	r.commands = make(chan func(), eventCapacity)
	r.leaving = map[Upstream]bool{}
	r.news.vm = r.Machine.Self.ID
	r.view.Store(&View{})
	r.context, r.stop = context.WithCancel(context.Background())
	r.done = make(chan struct{})
}

// Start starts the goroutine. Init must be called first.
func (r *Registrar) Start() { go r.run() }

// Stop stops the registrar and cancels its calls.
func (r *Registrar) Stop() { r.stop() }

// Done returns a channel that is closed when all goroutines of the registrar have ended.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// View returns the current view.
func (r *Registrar) View() *View { return r.view.Load() }

// PostEvent posts an event. It blocks while the queue is full.
func (r *Registrar) PostEvent(ev tracker.Event) {
	select {
	case r.events <- ev:
	case <-r.context.Done():
	}
}

// Peer returns a client for a VM, or nil when its address is unknown.
func (r *Registrar) Peer(vm string) exchanger.DRPCPeersClient {
	for _, m := range r.View().Members {
		if m.Record.ID == vm && m.Record.PeerAddress.IsValid() {
			return r.Messenger.Peer(m.Record.PeerAddress)
		}
	}
	return nil
}

func (r *Registrar) run() {
	defer close(r.done)
	defer r.workers.Wait()
	t := time.NewTicker(tracker.TickInterval)
	defer t.Stop()
	for {
		select {
		case ev := <-r.events:
			r.step(ev)
		case f := <-r.commands:
			f()
		case <-t.C:
			if ready := r.IsReady(); ready != r.Machine.Self.Ready {
				r.step(tracker.ReadyChanged{Ready: ready})
			}
			r.step(tracker.Ticked{})
			r.readVMList(time.Now())
		case <-r.context.Done():
			return
		}
	}
}

func (r *Registrar) step(ev tracker.Event) {
	now := time.Now()
	switch e := ev.(type) {
	case tracker.ExchangeAnswered:
		r.recordContact(e.Sent)
	case tracker.PlatformContacted:
		r.recordContact(e.Sent)
	case tracker.VMsListed:
		r.recordContact(e.Sent)
	}
	before := r.view.Load()
	members := before.Members
	if now.Sub(r.membersCopied) >= viewInterval {
		members, r.membersCopied = r.Machine.Members(), now
	}
	for _, a := range r.Machine.Step(now, ev) {
		switch a := a.(type) {
		case tracker.StartExchange:
			r.startExchange(a.To)
		case tracker.ViewChanged:
			members = a.Members
			r.publishMembers(a.Members)
		case tracker.Superseded:
			r.Log.Error("registrar: another process uses the ID of this VM", zap.Uint64("incarnation", a.Record.Incarnation))
		}
	}
	// In the far future the VM is isolated exactly if it knows peers that have not left.
	r.view.Store(&View{
		Members: members, Admitted: r.Machine.Admitted(), lastContact: r.lastContact, knowsPeers: r.Machine.Isolated(now.Add(farFuture)),
	})
	if !before.Admitted && r.Machine.Admitted() {
		r.OnAdmitted()
	}
}

func (r *Registrar) recordContact(at time.Time) {
	if at.After(r.lastContact) {
		r.lastContact = at
	}
}

// publishMembers posts changed members to the updater and the router, and logs them.
func (r *Registrar) publishMembers(members []tracker.Member) {
	list := make([]synchronizer.Member, 0, len(members))
	var states []string
	fleet := router.FleetSeen{VMs: []string{r.Machine.Self.ID}}
	for _, m := range members {
		if m.State == tracker.Live {
			fleet.VMs = append(fleet.VMs, m.Record.ID)
		}
		list = append(list, synchronizer.Member{ID: m.Record.ID, FailureDomain: m.Record.FailureDomain})
		states = append(states, m.Record.ID+"="+m.State.String())
	}
	slices.Sort(fleet.VMs)
	r.PostToUpdater(synchronizer.MembersChanged{Members: list})
	r.PostToRouter(fleet)
	r.Log.Info("registrar: membership changed", zap.Strings("vms", states))
}

// startExchange sends a heartbeat to a peer in a goroutine.
func (r *Registrar) startExchange(to tracker.Record) {
	message := r.buildMessage(time.Now())
	r.workers.Go(func() {
		ctx, cancel := context.WithTimeout(r.context, exchangeTimeout)
		defer cancel()
		sent := time.Now()
		reply, err := r.Messenger.Peer(to.PeerAddress).Exchange(ctx, message)
		if err != nil {
			r.PostEvent(tracker.ExchangeFailed{Peer: to.ID})
			return
		}
		r.receiveMessage(reply)
		r.PostEvent(tracker.ExchangeAnswered{Peer: to.ID, Sent: sent})
		if age := reply.GetPlatformContactAgeMs(); age >= 0 {
			r.PostToUpdater(synchronizer.ContactAgeReceived{Sent: sent, Age: time.Duration(age) * time.Millisecond})
		}
	})
}

// buildMessage returns the message that this VM sends to its peers. Only the goroutine that owns the machine may call it.
func (r *Registrar) buildMessage(now time.Time) *exchanger.News {
	n := &exchanger.News{PlatformContactAgeMs: -1}
	for i, x := range r.Machine.SelectRecords(0) {
		if i == 0 {
			n.Sender = x.Message()
			continue
		}
		n.Members = append(n.Members, x.Message())
	}
	r.messageCount++
	for _, x := range synchronizer.SelectRevisions(r.Revisions(), maxRevisions, r.messageCount) {
		n.Revisions = append(n.Revisions, &exchanger.Revision{Service: x.Service, Revision: x.Revision})
	}
	if c := r.LastContact(); !c.IsZero() {
		n.PlatformContactAgeMs = max(0, now.Sub(c).Milliseconds())
	}
	r.news.addToMessage(now, n)
	return n
}

// receiveMessage posts the contents of a peer's message to the components that they concern.
func (r *Registrar) receiveMessage(n *exchanger.News) {
	var records []tracker.Record
	for _, vm := range append([]*exchanger.VM{n.GetSender()}, n.GetMembers()...) {
		if x, ok := tracker.RecordFromMessage(vm); ok {
			records = append(records, x)
		}
	}
	if len(records) > 0 {
		r.PostEvent(tracker.RecordsReceived{Records: records})
	}
	if len(n.GetRevisions()) > 0 {
		received := synchronizer.RevisionsReceived{From: n.GetSender().GetId()}
		for _, x := range n.GetRevisions() {
			received.Revisions = append(received.Revisions, synchronizer.Revision{Service: x.GetService(), Revision: x.GetRevision()})
		}
		r.PostToUpdater(received)
	}
	now := time.Now()
	for _, ev := range routerEvents(now, n) {
		r.PostToRouter(ev)
	}
}

// HandleMessage handles the message of an Exchange or Notify RPC and returns the reply. It returns an error when the context ends or
// the registrar stops.
func (r *Registrar) HandleMessage(ctx context.Context, n *exchanger.News) (*exchanger.News, error) {
	r.receiveMessage(n)
	reply := make(chan *exchanger.News, 1)
	select {
	case r.commands <- func() { reply <- r.buildMessage(time.Now()) }:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.context.Done():
		return nil, r.context.Err()
	}
	select {
	case m := <-reply:
		return m, nil
	case <-r.done:
		return nil, context.Canceled
	}
}

// peerAddresses returns the addresses of at most limit live or leaving members. If ids is not nil, it returns only those members;
// otherwise it chooses them at random when there are more than limit.
func (r *Registrar) peerAddresses(limit int, ids []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range r.View().Members {
		if m.State != tracker.Live && m.State != tracker.Leaving || !m.Record.PeerAddress.IsValid() {
			continue
		}
		if ids != nil && !slices.Contains(ids, m.Record.ID) {
			continue
		}
		list = append(list, m.Record.PeerAddress)
	}
	if x := r.Machine.Random; ids == nil && x != nil && len(list) > limit {
		x.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return list[:min(limit, len(list))]
}
