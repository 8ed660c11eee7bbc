package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/navigator"
	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/rationer"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/core/transport/requester"
	"comfreyroute/core/transport/spooler"
	"comfreyroute/gateway/internal/detourer"
	"comfreyroute/gateway/internal/driver"
	"comfreyroute/gateway/internal/granter"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/gateway/internal/publisher"
	"comfreyroute/gateway/internal/receiver"
	"comfreyroute/gateway/internal/registrar"
	"comfreyroute/gateway/internal/relayer"
	"comfreyroute/gateway/internal/watcher"
	"comfreyroute/platform/translator"
)

const (
	// maxHeaderTimeout and maxIdleTimeout are upper bounds for callers' connections. The receiver enforces the limits of the manifest,
	// which are in the range of seconds.
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = 10 * time.Minute
	maxHeaderBytes   = 64 << 10
	// maxDetourHeaderBytes leaves room for what the VMs add to the header of a caller.
	maxDetourHeaderBytes = 2 * maxHeaderBytes
	// settingsPollInterval is how often the settings file is checked for changes, which may come without a signal.
	settingsPollInterval = 2 * time.Second
	// softMemoryRatio is the fraction of the allowed memory that is set as the soft limit of the garbage collector.
	softMemoryRatio = 0.6
	// bodyMemoryRatio is the fraction of the allowed memory for the bodies of all requests and replies at once. The buffers of a growing
	// body and what the garbage collector has not freed yet may take as much again.
	bodyMemoryRatio = 0.2
	// maxLoggedTarget bounds the path and query of a request in the log, in bytes.
	maxLoggedTarget = 100
)

// Gateway is the daemon. Its exported fields must be set before Run.
type Gateway struct {
	Settings        *translator.Settings
	SettingsPath    string
	FollowThreshold int // smallest failure domain, in VMs, in which VMs follow a peer instead of the store; 0 selects the default

	driver       driver.Driver
	client       requester.Client // to upstreams
	peers        requester.Client // to other VMs
	host         detourer.Host
	memory       bounder.Memory
	store        translator.Store
	receiver     receiver.Receiver
	log          *logger.Logger
	metrics      *metrics.Set
	callers      *acceptor.Listener
	probes       *acceptor.Listener
	internal     internalPorts
	callerServer http.Server
	readyServer  http.Server
	adminServer  http.Server
	detourServer http.Server
	history      relayer.History
	publisher    publisher.Publisher
	granter      granter.Granter
	asks         *granter.Client
	entryRemoved chan struct{} // receives a value when the entry of this VM is gone from the store
	watcherDone  chan struct{}

	stopServingPeers context.CancelFunc // ends what startPeering serves
}

// Run serves callers until SIGTERM or SIGINT. It returns an error when it cannot listen on an address.
func (g *Gateway) Run(ctx context.Context) error {
	start := time.Now()
	s := g.Settings
	if s.MemoryBytes > 0 { // with a limit of zero the garbage collector would run continuously
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * softMemoryRatio))
	}
	g.log = logger.New(os.Stdout, s.VM)
	defer func() { _ = g.log.Close() }() // fails when the log is not read; there is nowhere else to say so
	g.connectComponents()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := g.startServers(); err != nil {
		return err
	}
	g.startWatcher(ctx)
	peeringCtx, stopPeering := context.WithCancel(ctx)
	defer stopPeering()
	servingCtx, stopServingPeers := context.WithCancel(ctx)
	defer stopServingPeers()
	g.stopServingPeers = stopServingPeers
	unregistered, err := g.startPeering(peeringCtx, servingCtx)
	if err != nil {
		return err
	}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	modified := modificationTime(g.SettingsPath)
	g.log.Info("runner: started", zap.Stringer("callers", s.CallerAddress), zap.Stringer("store", s.StoreAddress),
		zap.String("domain", s.FailureDomain), zap.Int("cores", runtime.GOMAXPROCS(0)), zap.Duration("took", time.Since(start)))
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				g.reloadSettings()
				continue
			}
			stopPeering()
			g.shutDown(signals)
			<-unregistered
			cancel()
			<-g.watcherDone
			return nil
		case <-poll.C:
			if t := modificationTime(g.SettingsPath); !t.IsZero() && !t.Equal(modified) {
				modified = t
				g.reloadSettings()
			}
		case <-ctx.Done():
			g.shutDown(signals)
			return nil
		}
	}
}

// connectComponents sets the dependencies and settings of the components and exports their metrics.
func (g *Gateway) connectComponents() {
	s := g.Settings
	g.watcherDone, g.entryRemoved = make(chan struct{}), make(chan struct{}, 1)
	g.metrics = metrics.NewSet()
	g.store.SetAddress(s.StoreAddress)
	g.memory.Limit = int64(float64(s.MemoryBytes) * bodyMemoryRatio)
	g.memory.MakeRoom = g.makeRoom
	g.client.Memory, g.client.Protocol = &g.memory, translator.UpstreamProtocol{Memory: &g.memory}
	report := func(send *forwarder.Send, r forwarder.Result) {
		g.logAttempt(send, r)
		g.driver.HandleEvent(forwarder.AttemptEnded{Attempt: send.Attempt, Result: r})
	}
	g.client.Report, g.peers.Report = report, report
	g.client.ReportProbe = func(e forwarder.ProbeEnded) { g.driver.HandleEvent(e) }
	g.peers.Memory, g.peers.Protocol = &g.memory, detourer.Protocol{Memory: &g.memory}
	g.host.Dispatcher, g.host.Memory, g.host.Log = &g.driver, &g.memory, g.log
	g.driver.Memory = &g.memory
	g.driver.Transport = &transport{upstreams: &g.client, peers: &g.peers}
	g.driver.OnRateChanged, g.driver.OnReachChanged, g.driver.OnNotice = g.logRateChange, g.logReachChange, g.logNotice
	g.publisher.Store, g.publisher.VM, g.publisher.Log = &g.store, s.VM, g.log
	g.driver.OnQuarantine = g.logQuarantineChange
	g.driver.OnEvidence = func(e forwarder.PublishEvidence) { g.publisher.Publish(e.Evidence) }
	g.driver.Machine.Config = forwarder.Config{
		VM: s.VM, FailureDomain: s.FailureDomain, ExtraSendRatio: s.RetryBudgetRatio, ExtraSendSlack: s.RetryBudgetSlack,
		BudgetWindow: s.BudgetWindow, RateTerms: s.RateTerms, ReplyBytes: g.memory.Limit, Seed: uint64(time.Now().UnixNano()),
	}
	g.granter.Log = g.log
	g.granter.Configure(s.RateTerms)
	g.asks = granter.NewClient(g.self().Address, &g.granter, g.driver.HandleEvent)
	g.driver.OnAsk, g.driver.OnGranterChanged = g.asks.Ask, g.logGranterChange
	g.receiver.Memory = &g.memory
	g.receiver.Dispatcher, g.receiver.Log, g.receiver.Metrics = &g.driver, g.log, receiver.NewMetrics(g.metrics)
	g.registerMetrics()
}

// startServers starts the HTTP servers for callers, readiness probes, and metrics and profiles.
func (g *Gateway) startServers() error {
	s := g.Settings
	errorLog := zap.NewStdLog(g.log.Logger)
	// Without DisableGeneralOptionsHandler, net/http answers OPTIONS * itself, with a 200 that no upstream gave.
	g.callerServer = http.Server{
		Handler: &g.receiver, ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
		ConnState: g.receiver.ObserveConnection, ConnContext: acceptor.WithConn, DisableGeneralOptionsHandler: true,
	}
	readiness := http.NewServeMux()
	readiness.HandleFunc("/ready", g.receiver.ServeReady)
	g.readyServer = http.Server{
		Handler: readiness, ReadTimeout: maxProbeTime, WriteTimeout: maxProbeTime, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxProbeHeaderBytes,
		ErrorLog: errorLog, ConnState: acceptor.Observe, DisableGeneralOptionsHandler: true,
	}
	admin := http.NewServeMux()
	admin.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { g.metrics.WritePrometheus(w) })
	admin.HandleFunc("/profile", pprof.Profile)
	g.adminServer = http.Server{
		Handler: admin, ReadHeaderTimeout: maxProbeTime, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxProbeHeaderBytes, ErrorLog: errorLog,
		ConnState: acceptor.Observe, DisableGeneralOptionsHandler: true,
	}
	var err error
	if g.callers, err = acceptor.Listen(s.CallerAddress); err != nil {
		return err
	}
	if g.probes, err = acceptor.Listen(s.ReadinessAddress); err != nil {
		return err
	}
	g.boundListeners()
	serveOn(&g.callerServer, g.callers)
	serveOn(&g.readyServer, g.probes)
	if len(s.InternalPorts) == 0 {
		return nil
	}
	return g.serveInternal(&g.adminServer, netip.AddrPortFrom(s.CallerAddress.Addr(), s.InternalPorts[0]), maxProbeConns)
}

// startPeering serves the other VMs until servingCtx is done, and registers this VM, so that they find it. The returned channel is
// closed when the registrar has revoked the lease and stopped, or immediately when this VM has no address for peers.
func (g *Gateway) startPeering(ctx, servingCtx context.Context) (<-chan struct{}, error) {
	done := make(chan struct{})
	self := g.self()
	if !self.Address.IsValid() {
		close(done)
		return done, nil
	}
	l, err := g.listenInternal(self.Address, g.Settings.MaxSockets/followerShare)
	if err != nil {
		return nil, err
	}
	l.Bounds.Refusal = nil // the others do not speak HTTP here
	go func() {
		if err := relayer.Serve(servingCtx, l, &g.history, func(err error) {
			g.log.InfoLimited("relayer: connection of a peer failed", zap.String("error", err.Error()))
		}, g.granter.Method().Register); err != nil && servingCtx.Err() == nil {
			g.log.Warn("relayer: stopped serving peers", zap.String("error", err.Error()))
		}
	}()
	if self.DetourAddress.IsValid() {
		g.detourServer = http.Server{
			Handler: &g.host, ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxDetourHeaderBytes, ErrorLog: zap.NewStdLog(g.log.Logger),
			ConnState: acceptor.Observe, ConnContext: acceptor.WithConn, DisableGeneralOptionsHandler: true,
		}
		if err := g.serveInternal(&g.detourServer, self.DetourAddress, g.Settings.MaxSockets/peerShare); err != nil {
			return nil, err
		}
	}
	r := registrar.Registrar{Store: &g.store, Self: self, Removed: g.entryRemoved, Log: g.log}
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return done, nil
}

// self returns this VM as a member of the fleet. Its addresses are zero when the settings give it too few internal ports.
func (g *Gateway) self() elector.Member {
	s := g.Settings
	m := elector.Member{Name: s.VM, FailureDomain: s.FailureDomain, LinkMbps: s.LinkMbps}
	if len(s.InternalPorts) == 2 && s.InternalPorts[0] < s.InternalPorts[1] {
		m.Address = netip.AddrPortFrom(s.CallerAddress.Addr(), s.InternalPorts[0]+1)
		if s.InternalPorts[0]+1 < s.InternalPorts[1] {
			m.DetourAddress = netip.AddrPortFrom(s.CallerAddress.Addr(), s.InternalPorts[0]+2)
		}
	}
	return m
}

// serveOn serves requests on a listener in a goroutine.
func serveOn(h *http.Server, l net.Listener) {
	go func() {
		if err := h.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err) // a listener fails only when the process is out of file descriptors or in an undefined state
		}
	}()
}

// startWatcher starts the watcher of the store and passes its updates to the other components.
func (g *Gateway) startWatcher(ctx context.Context) {
	s := g.Settings
	onRatings := func(r []reporter.Rating) { g.driver.HandleEvent(forwarder.UpstreamsRated{Ratings: r}) }
	exchange := &relayer.Exchange{
		Collector: elector.Collector{Self: g.self(), MinDomainSize: g.FollowThreshold}, History: &g.history, TakeReports: g.takeReports, TakeNews: g.takeNews,
		OnRatings: onRatings, Log: g.log,
	}
	w := &watcher.Watcher{
		Store: &g.store, Peers: &relayer.Client{}, Elector: elector.Elector{Self: g.self(), MinDomainSize: g.FollowThreshold}, History: &g.history,
		OnFleetSize: func(n int) {
			g.granter.SetFleet(n)
			g.driver.HandleEvent(forwarder.FleetResized{VMs: n})
		},
		OnMembers: func(all []elector.Member) {
			g.driver.HandleEvent(forwarder.PeersListed{Peers: peersOf(all, s.VM)})
			g.driver.HandleEvent(forwarder.GrantersListed{Members: grantersOf(all)})
		},
		OnEvidence: func(all []quarantiner.Publication, complete bool) {
			g.driver.HandleEvent(forwarder.EvidenceReceived{Publications: all, Complete: complete})
		},
		TakeReports: g.takeReports, OnRatings: onRatings,
		Exchange: exchange,
		OnRemoved: func() {
			select {
			case g.entryRemoved <- struct{}{}:
			default: // a pending value makes the registrar register again
			}
		},
		DrainTime: s.DrainTime, EntryLifetime: s.EntryLifetime, ReregisterTime: s.ReregisterTime, StableWindow: s.StableWindow, ApplyTime: s.ApplyTime, EvacuationTime: s.EvacuationTime, Log: g.log,
		OnManifest: func(m *forwarder.Manifest) {
			g.granter.SetManifest(m)
			g.driver.HandleEvent(forwarder.ManifestAdopted{Manifest: m})
			g.receiver.SetManifest(m)
		},
		OnEvacuations: func(all []string) { g.driver.HandleEvent(forwarder.EvacuationsListed{FailureDomains: all}) },
		OnUpstreams: func(u []forwarder.Upstream) {
			g.driver.HandleEvent(forwarder.UpstreamsListed{Upstreams: u})
			g.receiver.SetUpstreamsKnown()
		},
	}
	go func() {
		defer close(g.watcherDone)
		var publishing sync.WaitGroup
		publishing.Go(func() { g.publisher.Run(ctx) })
		publishing.Go(func() { g.asks.Run(ctx) })
		publishing.Go(func() { exchange.Run(ctx) })
		w.Run(ctx)
		publishing.Wait()
	}()
}

// reloadSettings reads the settings file again. Only the address of the store can change in a running process.
func (g *Gateway) reloadSettings() {
	s, err := translator.LoadSettings(g.SettingsPath)
	if err != nil {
		g.log.Warn("runner: failed to reload the settings", zap.String("error", err.Error()))
		return
	}
	g.store.SetAddress(s.StoreAddress)
	g.log.Info("runner: settings reloaded", zap.Stringer("store", s.StoreAddress))
}

// modificationTime returns when a file was last written, or zero when it cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // the file may be in the middle of being replaced; the next poll finds it
	}
	return info.ModTime()
}

// logAttempt logs a failed attempt. It ignores successful ones.
func (g *Gateway) logAttempt(s *forwarder.Send, r forwarder.Result) {
	fields := []zap.Field{zap.String("request", s.Message.RequestID), zap.String("service", s.Service), zap.String("upstream", s.Upstream)}
	switch r := r.(type) {
	case forwarder.Replied:
		if r.Reply.Status < http.StatusBadRequest {
			return
		}
		fields = append(fields, zap.Int("status", r.Reply.Status), zap.Bool("ran", !r.Reply.NotRun))
	case forwarder.Failed:
		fields = append(fields, zap.Stringer("failure", r.Failure), zap.Bool("written", r.Written))
		if r.Detail != "" {
			fields = append(fields, zap.String("detail", r.Detail))
		}
	}
	fields = append(fields, formatSignature(s.Message.Signature(s.Identity)), zap.String("target", s.Message.Target[:min(len(s.Message.Target), maxLoggedTarget)]))
	g.log.InfoLimited("requester: attempt failed", fields...)
}

// formatSignature returns the log field by which lines about the same request are found when it comes again.
func formatSignature(signature uint64) zap.Field {
	return zap.String("signature", fmt.Sprintf("%016x", signature))
}

// logRateChange logs that an upstream has declared another limit on its rate, or none any more.
func (g *Gateway) logRateChange(c forwarder.RateChanged) {
	fields := []zap.Field{zap.String("service", c.Service), zap.String("upstream", c.Upstream)}
	if !c.Limited {
		g.log.InfoLimited("forwarder: upstream no longer limits its rate", append(fields, zap.Uint64("first", c.Sends.First),
			zap.Uint64("hedges", c.Sends.Hedges), zap.Uint64("retries", c.Sends.Retries))...)
		return
	}
	g.log.InfoLimited("forwarder: upstream limits its rate", append(fields, zap.Float64("rate", c.Rate))...)
}

// logReachChange logs that this VM has lost all upstreams, or reaches them again.
func (g *Gateway) logReachChange(c forwarder.ReachChanged) {
	if c.Lost {
		g.log.Warn("forwarder: no upstream answers, requests go through other VMs")
		return
	}
	g.log.Info("forwarder: upstreams answer again", zap.Duration("after", c.Age))
}

// logNotice logs that an upstream leaves or wants no requests for a while.
func (g *Gateway) logNotice(n forwarder.NoticeReceived) {
	fields := []zap.Field{zap.String("service", n.Service), zap.String("upstream", n.Upstream)}
	if n.Leaving {
		g.log.InfoLimited("forwarder: upstream is leaving", fields...)
		return
	}
	g.log.InfoLimited("forwarder: upstream wants no requests", append(fields, zap.Duration("pause", n.Pause))...)
}

// logQuarantineChange logs that the requests with a signature are run in another way from now on.
func (g *Gateway) logQuarantineChange(c forwarder.QuarantineChanged) {
	fields := []zap.Field{formatSignature(c.Signature), zap.String("service", c.Service), zap.String("upstream", c.Upstream)}
	switch c.Decision {
	case quarantiner.Reject:
		g.log.Warn("forwarder: request crashes upstreams, refusing it", fields...)
	case quarantiner.Probe:
		g.log.InfoLimited("forwarder: request may crash upstreams, running it alone", fields...)
	default:
		g.log.InfoLimited("forwarder: request was answered, running it as any other", fields...)
	}
}

// peersOf returns the VMs that take requests of this VM.
func peersOf(all []elector.Member, self string) []navigator.Peer {
	peers := make([]navigator.Peer, 0, len(all))
	for _, m := range all {
		if m.Name != self && m.DetourAddress.IsValid() {
			peers = append(peers, navigator.Peer{Name: m.Name, FailureDomain: m.FailureDomain, Address: m.DetourAddress})
		}
	}
	return peers
}

// grantersOf returns the VMs that can give out grants.
func grantersOf(all []elector.Member) []rationer.Member {
	granters := make([]rationer.Member, 0, len(all))
	for _, m := range all {
		granters = append(granters, rationer.Member{Name: m.Name, Address: m.Address, LinkMbps: m.LinkMbps})
	}
	return granters
}

// logGranterChange logs that another VM gives out the grants of the customers' rates.
func (g *Gateway) logGranterChange(c forwarder.GranterChanged) {
	if c.Granter == "" {
		g.log.Warn("granter: no VM gives out grants, using the share of this one", zap.String("before", c.Before))
		return
	}
	g.log.Info("granter: granter changed", zap.String("granter", c.Granter), zap.String("before", c.Before))
}

// takeReports returns and clears the reports about upstreams that were collected from attempts.
func (g *Gateway) takeReports() []reporter.Report {
	var all []reporter.Report
	g.driver.WithMachine(func(m *forwarder.Machine) { all = m.TakeReports(time.Now()) })
	return all
}

// takeNews is takeReports if one of them is of an upstream that fails or is slow.
func (g *Gateway) takeNews() []reporter.Report {
	var all []reporter.Report
	g.driver.WithMachine(func(m *forwarder.Machine) { all = m.TakeNews(time.Now()) })
	return all
}

// registerMetrics exports the counters of the components.
func (g *Gateway) registerMetrics() {
	count := func(name string, f func() uint64) {
		g.metrics.NewGauge("comfreyroute_gateway_"+name, func() float64 { return float64(f()) })
	}
	c := &g.client.Counts
	count("connections_opened_total", c.Opened.Load)
	count("connections_failed_total", c.Unreachable.Load)
	count("connections_slow_total", c.SlowConnects.Load)
	count("attempts_reset_total", c.Reset.Load)
	count("attempts_timed_out_total", c.TimedOut.Load)
	count("attempts_mismatched_total", c.Mismatched.Load)
	count("attempts_oversized_total", c.Oversized.Load)
	count("body_bytes", func() uint64 { return uint64(max(0, g.memory.Held())) })
	count("attempts_cancelled_total", c.Cancelled.Load)
	count("attempts_sent_total", c.Sent.Load)
	machine := func(f func(*forwarder.Machine) uint64) func() uint64 {
		return func() (n uint64) {
			g.driver.WithMachine(func(m *forwarder.Machine) { n = f(m) })
			return n
		}
	}
	count("limited_upstreams", machine(func(m *forwarder.Machine) uint64 { return m.LimitedUpstreams() }))
	count(`limited_sends_total{kind="first"}`, machine(func(m *forwarder.Machine) uint64 { return m.LimitedSends.First }))
	count(`limited_sends_total{kind="hedge"}`, machine(func(m *forwarder.Machine) uint64 { return m.LimitedSends.Hedges }))
	count(`limited_sends_total{kind="retry"}`, machine(func(m *forwarder.Machine) uint64 { return m.LimitedSends.Retries }))
	detours := func(end string, f func(*forwarder.DetourCounts) uint64) {
		count(`detours_total{end="`+end+`"}`, machine(func(m *forwarder.Machine) uint64 { return f(&m.Detours) }))
	}
	detours("served", func(c *forwarder.DetourCounts) uint64 { return c.Served })
	detours("turned_away", func(c *forwarder.DetourCounts) uint64 { return c.TurnedAway })
	detours("broken", func(c *forwarder.DetourCounts) uint64 { return c.Broken })
	count("hosted_requests_total", machine(func(m *forwarder.Machine) uint64 { return m.Detours.Hosted }))
	count("hosted_requests_refused_total", machine(func(m *forwarder.Machine) uint64 { return m.Detours.Refused }))
	count("upstreams_lost", machine(func(m *forwarder.Machine) uint64 { return m.UpstreamsLost() }))
	count("evacuated_upstreams", machine(func(m *forwarder.Machine) uint64 { return m.EvacuatedUpstreams() }))
	count("cold_upstreams", machine(func(m *forwarder.Machine) uint64 { return m.ColdUpstreams(time.Now()) }))
	count("quarantine_refused_total", machine(func(m *forwarder.Machine) uint64 { return m.QuarantineRefused }))
	count("quarantined_signatures", machine(func(m *forwarder.Machine) uint64 { return m.QuarantinedSignatures() }))
	grants := func(end string, f func(*forwarder.GrantCounts) uint64) {
		count(`granted_requests_total{end="`+end+`"}`, machine(func(m *forwarder.Machine) uint64 { return f(&m.GrantCounts) }))
	}
	grants("granted", func(c *forwarder.GrantCounts) uint64 { return c.Granted })
	grants("alone", func(c *forwarder.GrantCounts) uint64 { return c.Alone })
	grants("over_rate", func(c *forwarder.GrantCounts) uint64 { return c.OverRate })
	grants("ungranted", func(c *forwarder.GrantCounts) uint64 { return c.Ungranted })
	count("grant_asks_total", machine(func(m *forwarder.Machine) uint64 { return m.GrantCounts.Asks }))
	count("grant_asks_failed_total", machine(func(m *forwarder.Machine) uint64 { return m.GrantCounts.Failed }))
	count("granter_contacts", g.granter.Contacts)
	order := func(decision string, f func(*forwarder.OrderCounts) uint64) {
		count(`order_total{decision="`+decision+`"}`, machine(func(m *forwarder.Machine) uint64 { return f(&m.Order) }))
	}
	order("hopeless", func(c *forwarder.OrderCounts) uint64 { return c.Hopeless })
	order("displaced", func(c *forwarder.OrderCounts) uint64 { return c.Displaced })
	order("withheld", func(c *forwarder.OrderCounts) uint64 { return c.Withheld })
	count("store_calls_total", g.store.Calls.Load)
	count("log_lines_dropped_total", g.log.DroppedLines.Load)
	for _, level := range []string{"info", "warn", "error", spooler.Unwritable} {
		count(`log_lines_lost_total{level="`+level+`"}`, func() uint64 { return g.log.Lines.Lost(level) })
	}
}
