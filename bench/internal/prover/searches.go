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

// searches sends searches at a constant rate and checks every answer against the content of the fake index.
type searches struct {
	t       *trial
	service string
	pause   time.Duration
	entry   func(n int) netip.AddrPort // nil takes random ones
	mu      sync.Mutex
	sent    int
	whole   int
	partial int
	notRun  int
	none    int
	cut     int // of none: the connection was open, so the request was in flight
	wrong   []string
	reasons reasons // of missing shards and refusals
	wait    sync.WaitGroup
}

func (t *trial) searches(service string) *searches {
	return &searches{t: t, service: service, pause: 10 * time.Millisecond, reasons: reasons{}}
}

// run sends searches until the context ends, and waits for all answers.
func (s *searches) run(ctx, stop context.Context) {
	defer s.wait.Wait()
	for n := 0; ; n++ {
		entry := s.t.set.EntryAddresses()[n%len(s.t.set.EntryAddresses())]
		if s.entry != nil {
			entry = s.entry(n)
		}
		s.wait.Go(func() { s.send(ctx, entry, fmt.Sprintf("query %d", n)) })
		if sleep(stop, s.pause) != nil {
			return
		}
	}
}

func (s *searches) send(ctx context.Context, entry netip.AddrPort, query string) {
	a, err := s.t.caller.search(ctx, entry, s.service, query)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case err != nil:
		s.none++
		if !errors.Is(err, syscall.ECONNREFUSED) {
			s.cut++
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
	if fault := s.t.set.Checker().CheckSearch(s.service, query, &a); fault != "" {
		s.wrong = append(s.wrong, fault)
	}
}

// check reports the figures, and every wrong answer as a fault.
func (s *searches) check() {
	s.t.figure("%d searches of %s: whole %d, partial %d, not run %d, no answer %d, wrong %d", s.sent, s.service, s.whole, s.partial, s.notRun, s.none, len(s.wrong))
	if len(s.reasons) > 0 {
		s.t.figure("  reasons: %s", s.reasons)
	}
	for _, w := range s.wrong {
		s.t.fault("search answered wrongly: %s", w)
	}
}

// during runs searches while another function runs.
func (s *searches) during(ctx context.Context, f func() error) error {
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
