package runner

import (
	"context"
	"math/rand/v2"
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
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
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

// daemon holds the components and the state of an entry daemon.
type daemon struct {
	settings        *configloader.Settings
	log             *zap.Logger
	incarnation     uint64
	table           atomic.Pointer[tabler.Snapshot]
	leaving         atomic.Bool // the readiness probe fails
	admissionClosed atomic.Bool // new requests are refused
	routerMachine   router.Machine
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
	memory          bounder.Memory // of callers' heads and bodies and the answers to them, and of upstreams' replies while they are read
	callers         *acceptor.Listener
	callerAddress   netip.AddrPort // bound by the HTTP listener; differs from the setting when that has port 0
	actionCounter   measurer.ActionCounter
	routerTable     atomic.Pointer[tabler.Snapshot] // last table posted to the router
	connectDeadline atomic.Int64                    // Unix time in ms until which readiness waits for connections, or 0 before the first table
}

// start starts all components. The VM becomes ready once it has the table and has been admitted to the fleet. It returns an
// error when it cannot listen on an address.
func (d *daemon) start() error {
	s := d.settings
	debug.SetMemoryLimit(int64(float64(s.Limits.Memory) * softMemoryRatio))
	d.memory.Limit = int64(float64(s.Limits.Memory) * bodyMemoryRatio)
	d.memory.MakeRoom = func(size int64) bool { return d.callers.MakeRoom(size) }
	d.incarnation = uint64(time.Now().UnixMicro())
	d.kvClient = kvclient.Client{Address: s.Platform.Address, Timeout: s.Platform.Timeout}
	d.startRouting()
	d.collector.VM = s.VM.ID
	d.collector.Start()
	d.prepareUpdater()
	d.prepareRegistrar()
	d.prepareClaimRunner()
	// The components call each other, so all channels are created before the first component starts.
	d.updater.Init()
	d.registrar.Init()
	d.claimRunner.Init()
	m, err := messenger.Listen(s.VM.PeerAddress, func(err error) {
		d.log.Debug("messenger: peer connection failed", logger.ErrorField(err))
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
		Memory: &d.memory,
	})
	h := d.traceHeader()
	d.routerMachine.Configure(h.Config())
	d.loop = looper.Loop{
		Machine: &d.routerMachine, Transport: d.connector, Spreader: &d.registrar, ObserveAction: d.actionCounter.CountAction, Events: events,
	}
	if s.Limits.TraceRecords > 0 {
		d.loop.Trace = &tracer.Recorder{Header: h, Limit: s.Limits.TraceRecords}
	}
	d.loop.Start()
}

// traceHeader returns the configuration of the router machine as a replay of its trace needs it.
func (d *daemon) traceHeader() tracer.Header {
	s := d.settings
	return tracer.Header{
		FailureDomain: s.VM.FailureDomain, VM: s.VM.ID, Selection: selectionPolicy(s.Policy.Selection),
		HedgeOff: !s.Policy.Hedge, AdaptiveOff: !s.Policy.Adaptive, Seed: [2]uint64{s.Policy.Seed + 1, d.incarnation},
	}
}

// selectionPolicy returns the selection policy named by a validated setting.
func selectionPolicy(name string) selector.Policy {
	for _, p := range []selector.Policy{selector.Score, selector.P2C, selector.Least, selector.Random} {
		if p.String() == name {
			return p
		}
	}
	return selector.Score
}

// newRandom returns a random number generator for one component. Each component has its own, because a generator is not safe for
// concurrent use. The number of the component distinguishes its seed; traceHeader uses 1 for the router.
func (d *daemon) newRandom(component uint64) *rand.Rand {
	return rand.New(rand.NewPCG(d.settings.Policy.Seed+component, d.incarnation))
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
		KVClient: &d.kvClient, Log: d.log, PostToUpdater: d.updater.PostEvent, PostToRouter: d.loop.PostEvent, FindUpstreams: d.findUpstreams,
		Revisions:   func() []synchronizer.Revision { return d.updater.View().Revisions },
		LastContact: func() time.Time { return d.updater.View().LastContact },
		IsWatcher:   func() bool { return d.updater.View().IsWatcher },
		OnAdmitted:  d.updateRouter,
		IsReady:     func() bool { ok, _ := d.ready(); return ok },
	}
}

func (d *daemon) prepareClaimRunner() {
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

// hasLowestID reports whether this VM has the lowest ID of the live VMs that it knows.
func (d *daemon) hasLowestID() bool {
	for _, m := range d.registrar.View().Members {
		if m.State == tracker.Live && m.Record.ID < d.settings.VM.ID {
			return false
		}
	}
	return true
}

// applyTable makes t the current table.
func (d *daemon) applyTable(t *tabler.Snapshot) {
	if old := d.table.Swap(t); old == nil {
		d.log.Info("entry: applied the first table", zap.Int("services", len(t.Values)))
	}
	measurer.SetTableRevisions(t)
	d.registrar.PostEvent(tracker.FleetMaxChanged{FleetMax: t.FleetMax()})
	d.updateRouter()
}

// updateRouter posts the current table to the router. It does nothing before the VM is admitted to the fleet, because the router
// would open connections to upstreams.
func (d *daemon) updateRouter() {
	t := d.table.Load()
	if t == nil || !d.registrar.View().Admitted || d.routerTable.Swap(t) == t {
		return
	}
	d.connectDeadline.CompareAndSwap(0, time.Now().Add(maxConnectWait).UnixMilli())
	d.loop.PostEvent(router.TableAdopted{Table: t})
}

// connectionsAttempted reports whether the connections to upstreams were attempted or maxConnectWait has passed. The VM becomes ready
// only then, so that the first requests do not wait for connections; an unreachable upstream delays readiness only for a short time.
func (d *daemon) connectionsAttempted() bool {
	deadline := d.connectDeadline.Load()
	return deadline != 0 && (d.connector.ConnectionsAttempted() || time.Now().UnixMilli() > deadline)
}

// recordContact reports to the registrar that the platform answered a call sent at the given time.
func (d *daemon) recordContact(sent time.Time) {
	d.registrar.PostEvent(tracker.PlatformContacted{Sent: sent})
}

// findUpstreams returns the upstreams with a name. A name is unique only within a service.
func (d *daemon) findUpstreams(name string) []registrar.Upstream {
	var list []registrar.Upstream
	for _, v := range d.table.Load().AllValues() {
		if slices.ContainsFunc(v.Upstreams, func(u tabler.UpstreamRow) bool { return u.Upstream == name }) {
			list = append(list, registrar.Upstream{Service: v.Service.Service, Name: name})
		}
	}
	return list
}

// acceptsRequests reports whether new requests are accepted, and the reason if not.
func (d *daemon) acceptsRequests() (bool, string) {
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

// ready reports whether the load balancer should send requests, and the reason if not.
func (d *daemon) ready() (bool, string) {
	if d.leaving.Load() {
		return false, "leaving"
	}
	if ok, reason := d.acceptsRequests(); !ok {
		return false, reason
	}
	if !d.connectionsAttempted() {
		return false, "connecting"
	}
	return true, ""
}

func (d *daemon) requestIDPrefix() string {
	return d.settings.VM.ID + "-" + strconv.FormatUint(d.incarnation, 36) + "-r"
}

// stopComponents stops all components. A component stops before those that it uses.
func (d *daemon) stopComponents() {
	if !d.callers.Drain() {
		d.log.Warn("entry: callers kept connecting until the listener was closed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
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
	for _, stopped := range []<-chan struct{}{
		d.messenger.Done(), d.claimRunner.Done(), d.updater.Done(), d.registrar.Done(), d.connector.Done(), d.loop.Done(), d.collector.Done(),
	} {
		select {
		case <-stopped:
		case <-ctx.Done():
			d.log.Warn("entry: a component did not stop in time", zap.Duration("limit", stopTimeout))
			return
		}
	}
	d.kvClient.Close()
}
