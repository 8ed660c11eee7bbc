package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/state/settler"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/connector"
	"comfreyroute/entry/internal/loader"
	"comfreyroute/entry/internal/looper"
	"comfreyroute/entry/internal/measurer"
	"comfreyroute/entry/internal/receiver"
)

// Bounds of the HTTP listener.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	closeTimeout  = time.Second // for the last parts to end after the requests
	pollInterval  = 20 * time.Millisecond
)

// daemon is one running entry daemon.
type daemon struct {
	settings    *settler.Settings
	log         *zap.Logger
	incarnation uint64
	table       atomic.Pointer[tabler.Snapshot]
	leaving     atomic.Bool
	machine     router.Machine
	connector   *connector.Connector
	loop        looper.Loop
	receiver    receiver.Receiver
	server      http.Server
	counts      measurer.Actions
	stopLoader  context.CancelFunc
	loaderDone  chan struct{}
}

func run(ctx context.Context, s *settler.Settings) error {
	log, err := newLog(s)
	if err != nil {
		return eris.Wrap(err, "make logger")
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	d := &daemon{settings: s, log: log}
	if err := d.start(ctx); err != nil {
		return err
	}
	sig := <-signals
	log.Info("entry: stops", zap.Stringer("signal", sig))
	d.shutdown(signals)
	return nil
}

// start starts all parts. The table follows when the platform gives it.
func (d *daemon) start(ctx context.Context) error {
	s := d.settings
	debug.SetMemoryLimit(s.Limits.Memory)
	d.incarnation = uint64(time.Now().UnixMicro())
	events := make(chan router.Event, looper.EventCapacity)
	d.connector = connector.New(connector.Options{
		VM: s.VM.ID, Incarnation: d.incarnation, FailureDomain: s.VM.FailureDomain, Local: s.VM.ConnectAddress, Events: events,
	})
	d.machine.Configure(router.Config{
		FailureDomain: s.VM.FailureDomain, VM: s.VM.ID, HedgeOff: !s.Policy.Hedge, AdaptiveOff: !s.Policy.Adaptive,
		Random: rand.New(rand.NewPCG(s.Policy.Seed, d.incarnation)),
	})
	d.loop = looper.Loop{Machine: &d.machine, Transport: d.connector, Observe: d.counts.Count, Events: events}
	d.loop.Start()
	ctx, d.stopLoader = context.WithCancel(ctx)
	d.loaderDone = make(chan struct{})
	l := &loader.Loader{Address: s.Platform.Address, Timeout: s.Platform.Timeout, Adopt: d.adopt, Log: d.log}
	go func() {
		defer close(d.loaderDone)
		l.Run(ctx)
	}()
	return d.listen()
}

func (d *daemon) listen() error {
	d.receiver = receiver.Receiver{
		Loop: &d.loop, Table: d.table.Load, Ready: d.ready, BodyBytes: int64(d.settings.Limits.BodyBytes),
		IDPrefix: d.settings.VM.ID + "-" + strconv.FormatUint(d.incarnation, 36) + "-r",
		Requests: d.settings.Limits.Requests, Admin: d.admin(), Measure: measurer.Answered,
	}
	h, err := d.receiver.Handler()
	if err != nil {
		return eris.Wrap(err, "build HTTP routes")
	}
	address := d.settings.VM.CallerAddress.String()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", address)
	}
	d.server = http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	go func() {
		if err := d.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("entry: the HTTP listener failed", zap.Error(err))
		}
	}()
	d.log.Info("entry: started", zap.String("callers", address), zap.Uint64("incarnation", d.incarnation))
	return nil
}

// adopt puts a table in effect.
func (d *daemon) adopt(t *tabler.Snapshot) {
	if old := d.table.Swap(t); old == nil {
		d.log.Info("entry: the first table is in effect", zap.Int("services", len(t.Values)))
	}
	d.loop.Post(router.TableAdopted{Table: t})
}

func (d *daemon) ready() (bool, string) {
	switch {
	case d.leaving.Load():
		return false, "leaving"
	case d.table.Load() == nil:
		return false, "no_table"
	default:
		return true, ""
	}
}

// shutdown finishes what is in flight and then ends all parts. A second signal or the hard limit ends it at once.
func (d *daemon) shutdown(signals <-chan os.Signal) {
	limit := time.NewTimer(d.settings.Shutdown.HardLimit)
	defer limit.Stop()
	d.leaving.Store(true)
	if d.pause(time.After(d.settings.Shutdown.BalancerWait), limit.C, signals) {
		d.receiver.Refuse()
		d.drain(limit.C, signals)
	}
	if n := d.receiver.Running(); n > 0 {
		d.log.Error("entry: ends with requests in flight", zap.Int("requests", n))
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.server.Shutdown(ctx); err != nil {
		_ = d.server.Close()
	}
	d.stopLoader()
	<-d.loaderDone
	d.connector.Close()
	d.loop.Stop()
	<-d.loop.Done()
	select {
	case <-d.connector.Done():
	case <-ctx.Done():
	}
	d.log.Info("entry: ended")
}

// pause waits for a channel. It returns false when the shutdown must end at once.
func (d *daemon) pause(until <-chan time.Time, limit <-chan time.Time, signals <-chan os.Signal) bool {
	select {
	case <-until:
		return true
	case <-limit:
	case <-signals:
	}
	return false
}

func (d *daemon) drain(limit <-chan time.Time, signals <-chan os.Signal) {
	for d.receiver.Running() > 0 {
		if !d.pause(time.After(pollInterval), limit, signals) {
			return
		}
	}
}
