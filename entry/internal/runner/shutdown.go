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

// workPollInterval is the time between two counts of the work in flight during shutdown.
const workPollInterval = 20 * time.Millisecond

// run runs a daemon until a signal stops it. It returns an error when the daemon cannot start or lost work.
func run(s *configloader.Settings) error {
	log, err := logger.New(s)
	if err != nil {
		return eris.Wrap(err, "create logger")
	}
	defer func() { _ = log.Sync() }() // fails when the log is not read; there is nowhere else to say so
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	d := &daemon{settings: s, log: log}
	if err := d.start(); err != nil {
		return err
	}
	return d.awaitShutdown(signals)
}

// awaitShutdown waits for a signal and then executes the shutdown steps that the drainer decides. It returns an error when work
// was lost.
func (d *daemon) awaitShutdown(signals <-chan os.Signal) error {
	delay := d.settings.Shutdown.BalancerWait
	if delay == 0 {
		// The drainer takes 0 for its default and a negative delay for none.
		delay = -1
	}
	m := drainer.Machine{LoadBalancerDelay: delay, HardLimit: d.settings.Shutdown.HardLimit}
	events := make(chan drainer.Event, 4)
	var ticks <-chan time.Time
	for {
		var ev drainer.Event
		select {
		case s := <-signals:
			d.log.Info("entry: received a stop signal", zap.Stringer("signal", s))
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
		d.registrar.PostEvent(tracker.ShutdownStarted{})
	case drainer.CloseAdmission:
		d.admissionClosed.Store(true)
		d.receiver.CloseAdmission()
		go d.closeAdmission(events)
	case drainer.NotifyPeers:
		notified := d.registrar.NotifyAllPeers()
		go func() {
			<-notified
			events <- drainer.PeersNotified{}
		}()
	}
}

// closeAdmission waits for the calls of this VM's own callers before the claimer stops dispatching: an accepted call is in flight
// even while it waits for its claim.
func (d *daemon) closeAdmission(events chan<- drainer.Event) {
	for len(d.receiver.RunningRequests()) > 0 {
		time.Sleep(workPollInterval)
	}
	d.claimRunner.StartShutdown()
	events <- drainer.AdmissionClosed{}
}

// workInFlight lists the requests, tickets and claims in flight.
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
	if e.Reason != "" {
		d.log.Error("entry: stopping with unfinished work", zap.String("reason", e.Reason),
			zap.Strings("requests", e.Unfinished.Requests), zap.Strings("tickets", e.Unfinished.Tickets), zap.Strings("claims", e.Unfinished.Claims))
	}
	d.stopComponents()
	if e.Reason != "" {
		return eris.Errorf("shutdown with unfinished work: %s", e.Reason)
	}
	d.log.Info("entry: stopped")
	return nil
}
