package prover

import (
	"context"
	"syscall"
	"time"

	"comfreyroute/bench/internal/controller"
)

// ledger and matching are the services of the deployment that the proofs use.
const (
	ledger   = "ledger"
	matching = "matching"
)

// at runs functions at times after now, one after the other.
type at struct {
	after time.Duration
	do    func() error
}

func schedule(ctx context.Context, steps []at) error {
	start := time.Now()
	for _, s := range steps {
		if err := sleep(ctx, time.Until(start.Add(s.after))); err != nil {
			return err
		}
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}

// killed kills two entry VMs and freezes a third one while calls are sent again through changing VMs.
func killed(ctx context.Context, t *trial) error {
	kill := func(vm int) func() error {
		return func() error {
			err := t.set.SignalEntry(vm, syscall.SIGKILL)
			_ = t.set.WaitForExit(ctx, vm) // it was killed
			return err
		}
	}
	b := t.bookings(ledger)
	done := make(chan error, 1)
	go func() {
		done <- schedule(ctx, []at{
			{1500 * time.Millisecond, kill(0)},
			{2000 * time.Millisecond, func() error { return t.set.SignalEntry(1, syscall.SIGSTOP) }},
			{3000 * time.Millisecond, kill(2)},
			{4500 * time.Millisecond, func() error { return t.set.SignalEntry(1, syscall.SIGCONT) }},
		})
	}()
	b.run(ctx, 6*time.Second, nil)
	if err := <-done; err != nil {
		return err
	}
	return b.check(ctx)
}

// platform disturbs the platform while calls with keys, calls with tickets and searches are sent.
func platform(ctx context.Context, t *trial) error {
	c := t.set.PlatformControl()
	disturb := func(p controller.PlatformCommand) func() error {
		return func() error { return c.SendPlatformCommand(ctx, p) }
	}
	slow, fast, lost, down, up := int64(30), int64(0), int64(30), "close", ""
	var tickets []string
	for _, e := range t.set.EntryAddresses() {
		some, err := t.caller.tickets(ctx, e, ledger, 40)
		if err != nil {
			return err
		}
		tickets = append(tickets, some...)
	}
	keyed, ticketed, s := t.bookings(ledger), t.bookings(ledger), t.searches(matching)
	done := make(chan error, 1)
	go func() {
		done <- schedule(ctx, []at{
			{1000 * time.Millisecond, disturb(controller.PlatformCommand{SlowMS: &slow})},
			{2000 * time.Millisecond, disturb(controller.PlatformCommand{SlowMS: &fast, LoseAnswers: &lost})},
			{3000 * time.Millisecond, disturb(controller.PlatformCommand{Down: &down})},
			{4000 * time.Millisecond, func() error {
				ticketed.run(ctx, time.Second, func(n int) string {
					if n >= len(tickets) {
						return ""
					}
					return tickets[n]
				})
				return nil
			}},
			{5500 * time.Millisecond, disturb(controller.PlatformCommand{Down: &up})},
		})
	}()
	err := s.during(ctx, func() error {
		keyed.run(ctx, 7*time.Second, nil)
		return <-done
	})
	if err != nil {
		return err
	}
	s.check()
	t.figure("during the outage of the platform, calls with tickets:")
	if err := ticketed.check(ctx); err != nil {
		return err
	}
	if n := len(ticketed.outcomes); ticketed.counts["done"] < n {
		t.fault("%d of %d calls with tickets were not done", n-ticketed.counts["done"], n)
	}
	if s.none > 0 || s.notRun > 0 {
		t.fault("%d searches had no answer and %d were refused while the platform was disturbed", s.none, s.notRun)
	}
	return keyed.check(ctx)
}
