package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/coordination/pacer"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/router/tracer"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/coordination/tracker"
	"comfreyroute/core/state/configloader"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/connector"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/core/transport/messenger"
	"comfreyroute/entry/internal/claimrunner"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/looper"
	"comfreyroute/entry/internal/measurer"
	"comfreyroute/entry/internal/receiver"
	"comfreyroute/entry/internal/registrar"
	"comfreyroute/entry/internal/updater"
)

// maxConnectWait bounds how long the readiness of a starting VM waits for connections.
const maxConnectWait = 2 * time.Second

// daemon is one running entry daemon.
type daemon struct {
	settings        *configloader.Settings
	log             *zap.Logger
	incarnation     uint64
	table           atomic.Pointer[tabler.Snapshot]
	leaving         atomic.Bool // readiness is off
	admissionClosed atomic.Bool // no new work
	machine         router.Machine
	kvClient        kvclient.Client
	connector       *connector.Connector
	messenger       *messenger.Messenger
	loop            looper.Loop
	updater         updater.Updater
	registrar       registrar.Registrar
	claimRunner     claimrunner.Runner
	collector       measurer.Collector
	receiver        receiver.Receiver
	server          http.Server
	listener        *net.TCPListener
	callerAddress   netip.AddrPort // that the HTTP listener has
	actionCounter   measurer.ActionCounter
	routerTable     atomic.Pointer[tabler.Snapshot] // given to the router
	connectDeadline atomic.Int64                    // Unix ms until which readiness waits for connections, 0 before the first table
}

// start starts all parts. The VM becomes ready when it has the table and has passed the start gate.
func (d *daemon) start() error {
	s := d.settings
	debug.SetMemoryLimit(s.Limits.Memory)
	d.incarnation = uint64(time.Now().UnixMicro())
	d.kvClient = kvclient.Client{Address: s.Platform.Address, Timeout: s.Platform.Timeout}
	d.startRouting()
	d.collector.VM = s.VM.ID
	d.collector.Start()
	d.prepareUpdater()
	d.prepareRegistrar()
	d.prepareBooker()
	// The concerns call each other, so all channels exist before the first of them starts to work.
	d.updater.Init()
	d.registrar.Init()
	d.claimRunner.Init()
	m, err := messenger.Listen(s.VM.PeerAddress, func(err error) {
		d.log.Debug("messenger: a peer connection failed", logger.Cause(err))
	})
	if err != nil {
		return err
	}
	d.messenger, d.registrar.Messenger = m, m
	d.registrar.Machine.Self.PeerAddress = m.Address() // differs from the setting when that has port 0
	d.updater.Start()
	d.registrar.Start()
	d.claimRunner.Start()
	if err := m.Serve(&peerServer{daemon: d}); err != nil {
		return err
	}
	d.registerGauges()
	return d.listen()
}

func (d *daemon) startRouting() {
	s := d.settings
	events := make(chan router.Event, looper.EventCapacity)
	d.connector = connector.New(connector.Options{
		VM: s.VM.ID, Incarnation: d.incarnation, FailureDomain: s.VM.FailureDomain, LocalAddress: s.VM.ConnectAddress, Events: events,
	})
	h := d.traceHeader()
	d.machine.Configure(h.Config())
	d.loop = looper.Loop{
		Machine: &d.machine, Transport: d.connector, Spreader: &d.registrar, Observe: d.actionCounter.Count, Events: events,
	}
	if s.Limits.TraceRecords > 0 {
		d.loop.Trace = &tracer.Recorder{Header: h, Limit: s.Limits.TraceRecords}
	}
	d.loop.Start()
}

// traceHeader returns the configuration of the machine in the form that a replay of its trace needs.
func (d *daemon) traceHeader() tracer.Header {
	s := d.settings
	return tracer.Header{
		FailureDomain: s.VM.FailureDomain, VM: s.VM.ID, Selection: selectionPolicy(s.Policy.Selection),
		HedgeOff: !s.Policy.Hedge, AdaptiveOff: !s.Policy.Adaptive, Seed: [2]uint64{s.Policy.Seed + 1, d.incarnation},
	}
}

// selectionPolicy returns the selection policy of a checked setting.
func selectionPolicy(name string) selector.Policy {
	for _, p := range []selector.Policy{selector.Score, selector.P2C, selector.Least, selector.Random} {
		if p.String() == name {
			return p
		}
	}
	return selector.Score
}

// newRandom returns a generator of its own for each concern, because a generator is not safe for concurrent use.
func (d *daemon) newRandom(concern uint64) *rand.Rand {
	return rand.New(rand.NewPCG(d.settings.Policy.Seed+concern, d.incarnation))
}

func (d *daemon) prepareUpdater() {
	s := d.settings
	d.updater = updater.Updater{
		Machine: synchronizer.Machine{
			Self: synchronizer.Member{ID: s.VM.ID, FailureDomain: s.VM.FailureDomain}, CallTimeout: s.Platform.Timeout, Random: d.newRandom(2),
		},
		KVClient: &d.kvClient, Log: d.log, Peer: d.registrar.Peer, ApplyTable: d.applyTable, PushRevisions: d.registrar.PushRevisions, RecordContact: d.recordContact,
	}
}

func (d *daemon) prepareRegistrar() {
	s := d.settings
	d.registrar = registrar.Registrar{
		Machine: tracker.Machine{
			Self: tracker.Record{
				ID: s.VM.ID, FailureDomain: s.VM.FailureDomain, PeerAddress: s.VM.PeerAddress, CallerAddress: s.VM.CallerAddress,
				Incarnation: d.incarnation,
			},
			Random: d.newRandom(3),
		},
		KVClient: &d.kvClient, Log: d.log, PostToUpdater: d.updater.Post, PostToRouter: d.loop.Post, FindUpstreams: d.findUpstreams,
		Revisions:   func() []synchronizer.Revision { return d.updater.View().Revisions },
		LastContact: func() time.Time { return d.updater.View().Contact },
		IsWatcher:   func() bool { return d.updater.View().Watching },
		OnAdmitted:  d.updateRouter,
		IsReady:     func() bool { ok, _ := d.ready(); return ok },
	}
}

func (d *daemon) prepareBooker() {
	s := d.settings
	d.claimRunner = claimrunner.Runner{
		KVClient: &d.kvClient, Loop: &d.loop, Log: d.log, Peer: d.registrar.Peer, RecordContact: d.recordContact,
		Pacer: pacer.Pacer{Rate: s.Platform.CallRate, Burst: max(1, int(s.Platform.CallRate)), Random: d.newRandom(4)},
		Sweep: claimrunner.Sweep{
			Sweeper: claimer.Sweeper{KeyRetention: s.Limits.Retention}, IsSweeper: d.hasLowestID,
			Pacer: pacer.Pacer{Rate: s.Platform.CallRate, Burst: max(1, int(s.Platform.CallRate)), Random: d.newRandom(5)},
		},
	}
	d.claimRunner.Machine.Configure(claimer.Config{
		VM: s.VM.ID, Incarnation: d.incarnation, KeyRetention: s.Limits.Retention, TicketLifetime: s.Limits.TicketLifetime,
		MaxRuns: s.Limits.Claims, MaxTickets: s.Limits.Tickets,
	})
}

// hasLowestID tells whether this VM has the lowest id of the live VMs in its view.
func (d *daemon) hasLowestID() bool {
	for _, m := range d.registrar.View().Members {
		if m.State == tracker.Live && m.Record.ID < d.settings.VM.ID {
			return false
		}
	}
	return true
}

// applyTable puts a table into effect.
func (d *daemon) applyTable(t *tabler.Snapshot) {
	if old := d.table.Swap(t); old == nil {
		d.log.Info("entry: the first table is in effect", zap.Int("services", len(t.Values)))
	}
	measurer.SetTableRevisions(t)
	d.registrar.Post(tracker.FleetMaxChanged{FleetMax: t.FleetMax()})
	d.updateRouter()
}

// updateRouter gives the table to the router. Before the VM has passed the start gate it does not, because the router would open
// connections to upstreams.
func (d *daemon) updateRouter() {
	t := d.table.Load()
	if t == nil || !d.registrar.View().Admitted || d.routerTable.Swap(t) == t {
		return
	}
	d.connectDeadline.CompareAndSwap(0, time.Now().Add(maxConnectWait).UnixMilli())
	d.loop.Post(router.TableAdopted{Table: t})
}

// connectionsTried tells whether connections to upstreams were tried, so that the first requests do not wait for them. An upstream
// that cannot be reached delays the readiness only for a short time.
func (d *daemon) connectionsTried() bool {
	by := d.connectDeadline.Load()
	return by != 0 && (d.connector.ConnectionsAttempted() || time.Now().UnixMilli() > by)
}

// recordContact tells the membership that the platform answered a call that was sent at a time.
func (d *daemon) recordContact(sent time.Time) {
	d.registrar.Post(tracker.PlatformContacted{Sent: sent})
}

// findUpstreams returns the upstreams of a name. Names are unique within a service only.
func (d *daemon) findUpstreams(name string) []registrar.Upstream {
	var list []registrar.Upstream
	for _, v := range d.table.Load().AllValues() {
		if slices.ContainsFunc(v.Upstreams, func(u tabler.UpstreamRow) bool { return u.Upstream == name }) {
			list = append(list, registrar.Upstream{Service: v.Service.Service, Name: name})
		}
	}
	return list
}

// accepts tells whether new requests are taken.
func (d *daemon) accepts() (bool, string) {
	switch v := d.registrar.View(); {
	case d.admissionClosed.Load():
		return false, "leaving"
	case d.table.Load() == nil || !d.updater.View().Complete:
		return false, "no_table"
	case !v.Admitted:
		return false, "fleet_full"
	case v.Isolated(time.Now()):
		return false, "isolated"
	}
	return true, ""
}

// ready tells whether the load balancer shall send requests.
func (d *daemon) ready() (bool, string) {
	if d.leaving.Load() {
		return false, "leaving"
	}
	if ok, reason := d.accepts(); !ok {
		return false, reason
	}
	if !d.connectionsTried() {
		return false, "connecting"
	}
	return true, ""
}

func (d *daemon) requestIDPrefix() string {
	return d.settings.VM.ID + "-" + strconv.FormatUint(d.incarnation, 36) + "-r"
}

// stopListening closes the caller address and gives the connections of its queue to the HTTP server.
func (d *daemon) stopListening() {
	conns, err := stopListening(d.listener)
	if err != nil {
		d.log.Warn("entry: the queue of the listener was not taken", logger.Cause(err))
	}
	q := newQueuedListener(d.listener, conns)
	go func() { _ = d.server.Serve(q) }()
	<-q.allAccepted
	time.Sleep(trackingDelay)
}

// stopComponents ends all parts, those first that use others.
func (d *daemon) stopComponents() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.stopListening()
	if err := d.server.Shutdown(ctx); err != nil {
		_ = d.server.Close()
	}
	d.messenger.Close()
	d.claimRunner.Stop()
	d.updater.Stop()
	d.registrar.Stop()
	d.connector.Close()
	d.loop.Stop()
	d.collector.Stop()
	for _, part := range []<-chan struct{}{
		d.messenger.Done(), d.claimRunner.Done(), d.updater.Done(), d.registrar.Done(), d.connector.Done(), d.loop.Done(), d.collector.Done(),
	} {
		select {
		case <-part:
		case <-ctx.Done():
			d.log.Warn("entry: a part did not end in time", zap.Duration("limit", stopTimeout))
			return
		}
	}
	d.kvClient.Close()
}
