package runner

import (
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/drainer"
	"comfreyroute/core/coordination/tracker"
	"comfreyroute/core/state/configloader"
	"comfreyroute/entry/internal/logger"
)

const workPollInterval = 20 * time.Millisecond

// run runs a daemon until signals end it.
func run(s *configloader.Settings) error {
	log, err := logger.New(s)
	if err != nil {
		return eris.Wrap(err, "make logger")
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	d := &daemon{settings: s, log: log}
	if err := d.start(); err != nil {
		return err
	}
	return d.awaitShutdown(signals)
}

// awaitShutdown carries out the shutdown that the drainer decides after a signal. It returns an error when work was lost.
func (d *daemon) awaitShutdown(signals <-chan os.Signal) error {
	wait := d.settings.Shutdown.BalancerWait
	if wait == 0 {
		wait = -1
	}
	m := drainer.Machine{LoadBalancerDelay: wait, HardLimit: d.settings.Shutdown.HardLimit}
	events := make(chan drainer.Event, 4)
	var ticks <-chan time.Time
	for {
		var ev drainer.Event
		select {
		case s := <-signals:
			d.log.Info("entry: stops", zap.Stringer("signal", s))
			if ticks == nil {
				t := time.NewTicker(workPollInterval)
				defer t.Stop()
				ticks = t.C
			}
			ev = drainer.Signalled{}
		case ev = <-events:
		case <-ticks:
			ev = drainer.WorkCounted{Work: d.workInFlight()}
		}
		for _, a := range m.Step(time.Now(), ev) {
			if exit, ok := a.(drainer.Exit); ok {
				return d.finishShutdown(exit)
			}
			d.execute(a, events)
		}
	}
}

func (d *daemon) execute(a drainer.Action, events chan<- drainer.Event) {
	switch a.(type) {
	case drainer.MarkUnready:
		d.leaving.Store(true)
		d.registrar.Post(tracker.ShutdownStarted{})
	case drainer.CloseAdmission:
		d.admissionClosed.Store(true)
		d.receiver.CloseAdmission()
		go d.closeAdmission(events)
	case drainer.NotifyPeers:
		told := d.registrar.NotifyAll()
		go func() {
			<-told
			events <- drainer.PeersNotified{}
		}()
	}
}

// closeAdmission lets the calls of this VM's own callers finish before the claimer refuses to dispatch: a call that was taken is
// in flight although it still waits for its claim.
func (d *daemon) closeAdmission(events chan<- drainer.Event) {
	for len(d.receiver.RunningRequests()) > 0 {
		time.Sleep(workPollInterval)
	}
	d.claimRunner.StartShutdown()
	events <- drainer.AdmissionClosed{}
}

// workInFlight lists what is in flight.
func (d *daemon) workInFlight() drainer.Work {
	w := drainer.Work{Requests: d.receiver.RunningRequests()}
	if n := d.claimRunner.InFlight(); n > 0 {
		w.Claims = []string{strconv.Itoa(n) + " calls"}
	}
	if n := d.loop.InFlight(); n > len(w.Requests) {
		w.Tickets = []string{strconv.Itoa(n-len(w.Requests)) + " dispatched calls"}
	}
	return w
}

func (d *daemon) finishShutdown(e drainer.Exit) error {
	defer func() { _ = d.log.Sync() }()
	if e.Reason != "" {
		d.log.Error("entry: ends before its work is finished", zap.String("reason", e.Reason),
			zap.Strings("requests", e.Unfinished.Requests), zap.Strings("tickets", e.Unfinished.Tickets), zap.Strings("claims", e.Unfinished.Claims))
	}
	d.stopComponents()
	if e.Reason != "" {
		return eris.Errorf("ended by %s", e.Reason)
	}
	d.log.Info("entry: ended")
	return nil
}
