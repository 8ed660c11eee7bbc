package prover

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// searchLoad sends searches at a constant rate and verifies every answer against the content of the fake index.
type searchLoad struct {
	trial       *trial
	service     string
	interval    time.Duration
	entry       func(n int) netip.AddrPort // returns the VM for search n; nil takes the VMs in turn
	mu          sync.Mutex
	sent        int
	whole       int
	partial     int
	notRun      int
	noAnswer    int
	interrupted int // those of noAnswer whose connection was not refused, so that the request may have been in flight
	wrong       []string
	reasons     reasonCounts // for missing shards and rejections
	pending     sync.WaitGroup
}

func (t *trial) newSearchLoad(service string) *searchLoad {
	return &searchLoad{trial: t, service: service, interval: 10 * time.Millisecond, reasons: reasonCounts{}}
}

// run sends searches until stop ends, and waits for all answers. Requests in flight end with ctx.
func (s *searchLoad) run(ctx, stop context.Context) {
	defer s.pending.Wait()
	for n := 0; ; n++ {
		entry := s.trial.testbed.EntryAddresses()[n%len(s.trial.testbed.EntryAddresses())]
		if s.entry != nil {
			entry = s.entry(n)
		}
		s.pending.Go(func() { s.send(ctx, entry, fmt.Sprintf("query %d", n)) })
		if sleep(stop, s.interval) != nil {
			return
		}
	}
}

func (s *searchLoad) send(ctx context.Context, entry netip.AddrPort, query string) {
	a, err := s.trial.caller.search(ctx, entry, s.service, query)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case err != nil:
		s.noAnswer++
		if !errors.Is(err, syscall.ECONNREFUSED) {
			s.interrupted++
		}
		return
	case a.Outcome == encoder.OutcomeNotRun:
		s.notRun++
		s.reasons.add("not run", a.Reason)
		return
	case a.Outcome == encoder.OutcomeDone:
		s.whole++
	default:
		s.partial++
		for _, m := range a.Missing {
			s.reasons.add("shard", m.Reason)
		}
	}
	if fault := s.trial.testbed.Checker().CheckSearch(s.service, query, &a); fault != "" {
		s.wrong = append(s.wrong, fault)
	}
}

// reportAndCheck adds the counts to the result and reports every wrong answer as a fault.
func (s *searchLoad) reportAndCheck() {
	s.trial.reportf("%d searches of %s: whole %d, partial %d, not run %d, no answer %d, wrong %d", s.sent, s.service, s.whole, s.partial, s.notRun, s.noAnswer, len(s.wrong))
	if len(s.reasons) > 0 {
		s.trial.reportf("  reasons: %s", s.reasons)
	}
	for _, w := range s.wrong {
		s.trial.faultf("wrong answer to a search: %s", w)
	}
}

// runDuring sends searches while f runs, and returns the error of f.
func (s *searchLoad) runDuring(ctx context.Context, f func() error) error {
	stop, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx, stop)
	}()
	err := f()
	cancel()
	<-done
	return err
}
