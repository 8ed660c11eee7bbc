package prover

import (
	"context"
	"syscall"
	"time"

	"comfreyroute/bench/internal/controller"
)

// The services of the deployment that the proofs use.
const (
	ledger   = "ledger"
	matching = "matching"
)

// timedStep is a function that runSteps runs at an offset from its start.
type timedStep struct {
	offset time.Duration
	run    func() error
}

// runSteps runs each step at its offset from now, in order, and stops at the first error.
func runSteps(ctx context.Context, steps []timedStep) error {
	start := time.Now()
	for _, s := range steps {
		if err := sleep(ctx, time.Until(start.Add(s.offset))); err != nil {
			return err
		}
		if err := s.run(); err != nil {
			return err
		}
	}
	return nil
}

// proveKilledEntries kills two entry VMs and freezes a third one while calls are sent and resent through random VMs.
func proveKilledEntries(ctx context.Context, t *trial) error {
	kill := func(vm int) func() error {
		return func() error {
			err := t.testbed.SignalEntry(vm, syscall.SIGKILL)
			_ = t.testbed.WaitForExit(ctx, vm) // the exit error is expected: the VM was killed
			return err
		}
	}
	calls := t.newCallLoad(ledger)
	done := make(chan error, 1)
	go func() {
		done <- runSteps(ctx, []timedStep{
			{1500 * time.Millisecond, kill(0)},
			{2000 * time.Millisecond, func() error { return t.testbed.SignalEntry(1, syscall.SIGSTOP) }},
			{3000 * time.Millisecond, kill(2)},
			{4500 * time.Millisecond, func() error { return t.testbed.SignalEntry(1, syscall.SIGCONT) }},
		})
	}()
	calls.run(ctx, 6*time.Second, nil)
	if err := <-done; err != nil {
		return err
	}
	return calls.reportAndCheck(ctx)
}

// provePlatformFaults slows the platform, makes it lose answers and shuts it down while calls with keys and searches are sent.
// Calls with tickets, which were issued before, are sent during the outage.
func provePlatformFaults(ctx context.Context, t *trial) error {
	c := t.testbed.PlatformControl()
	sendCommand := func(p controller.PlatformCommand) func() error {
		return func() error { return c.SendPlatformCommand(ctx, p) }
	}
	slowMS, noDelayMS, lostAnswers, downMode, upMode := int64(30), int64(0), int64(30), "close", ""
	var tickets []string
	for _, e := range t.testbed.EntryAddresses() {
		some, err := t.caller.tickets(ctx, e, ledger, 40)
		if err != nil {
			return err
		}
		tickets = append(tickets, some...)
	}
	keyed, ticketed, s := t.newCallLoad(ledger), t.newCallLoad(ledger), t.newSearchLoad(matching)
	done := make(chan error, 1)
	go func() {
		done <- runSteps(ctx, []timedStep{
			{1000 * time.Millisecond, sendCommand(controller.PlatformCommand{SlowMS: &slowMS})},
			{2000 * time.Millisecond, sendCommand(controller.PlatformCommand{SlowMS: &noDelayMS, LoseAnswers: &lostAnswers})},
			{3000 * time.Millisecond, sendCommand(controller.PlatformCommand{Down: &downMode})},
			{4000 * time.Millisecond, func() error {
				ticketed.run(ctx, time.Second, func(n int) string {
					if n >= len(tickets) {
						return ""
					}
					return tickets[n]
				})
				return nil
			}},
			{5500 * time.Millisecond, sendCommand(controller.PlatformCommand{Down: &upMode})},
		})
	}()
	err := s.runDuring(ctx, func() error {
		keyed.run(ctx, 7*time.Second, nil)
		return <-done
	})
	if err != nil {
		return err
	}
	s.reportAndCheck()
	t.reportf("calls with tickets during the platform outage:")
	if err := ticketed.reportAndCheck(ctx); err != nil {
		return err
	}
	if n := len(ticketed.outcomes); ticketed.counts["done"] < n {
		t.faultf("%d of %d calls with tickets were not done", n-ticketed.counts["done"], n)
	}
	if s.noAnswer > 0 || s.notRun > 0 {
		t.faultf("%d searches had no answer and %d were rejected during the platform faults", s.noAnswer, s.notRun)
	}
	return keyed.reportAndCheck(ctx)
}
