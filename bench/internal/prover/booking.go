package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"comfreyroute/core/protocol/encoder"
)

// bookings sends calls that must run at most once, each again and again through changing VMs until its outcome is known.
type bookings struct {
	t        *trial
	service  string
	pause    time.Duration // between new bookings
	attempts int           // of one booking, at most
	mu       sync.Mutex
	counts   map[encoder.Outcome]int
	outcomes map[string][]encoder.Outcome // by body, in the order of the answers
	none     int                          // attempts without an answer
	reasons  reasons
	wait     sync.WaitGroup
}

// bookingPause makes 40 calls a second. With 7 VMs, the default budget of 20 platform calls a second and VM carries 70.
const bookingPause = 25 * time.Millisecond

func (t *trial) bookings(service string) *bookings {
	return &bookings{
		t: t, service: service, pause: bookingPause, attempts: 12,
		counts: map[encoder.Outcome]int{}, outcomes: map[string][]encoder.Outcome{}, reasons: reasons{},
	}
}

// run sends new bookings for a time and waits until each has an outcome or has used up its attempts.
func (b *bookings) run(ctx context.Context, d time.Duration, ticket func(n int) string) {
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		r := encoder.CallRequest{Service: b.service, Body: json.RawMessage(fmt.Sprintf(`{"booking":"%s-%d"}`, b.service, n))}
		if ticket != nil {
			r.Body = json.RawMessage(fmt.Sprintf(`{"booking":"ticket-%d"}`, n))
			if r.Ticket = ticket(n); r.Ticket == "" {
				break
			}
		} else {
			key, err := uuid.NewV7()
			if err != nil {
				panic(err)
			}
			r.Key = key.String()
		}
		route := make([]netip.AddrPort, b.attempts)
		for i := range route {
			route[i] = b.t.entry()
		}
		b.wait.Go(func() { b.send(ctx, r, route) })
		if sleep(ctx, b.pause) != nil {
			break
		}
	}
	b.wait.Wait()
}

func (b *bookings) send(ctx context.Context, r encoder.CallRequest, route []netip.AddrPort) {
	for _, entry := range route {
		a, err := b.t.caller.call(ctx, entry, r)
		b.mu.Lock()
		if err != nil {
			b.none++
		} else {
			b.counts[a.Outcome]++
			b.reasons.add(string(a.Outcome), a.Reason)
			b.outcomes[string(r.Body)] = append(b.outcomes[string(r.Body)], a.Outcome)
		}
		b.mu.Unlock()
		if err == nil && (a.Outcome == encoder.OutcomeDone || a.Outcome == encoder.OutcomeNotRun) {
			return
		}
		if sleep(ctx, 150*time.Millisecond) != nil {
			return
		}
	}
}

// check compares the answers with what the upstreams ran.
func (b *bookings) check(ctx context.Context) error {
	all, err := b.t.set.UpstreamsControl().ExecutedCalls(ctx)
	if err != nil {
		return err
	}
	ran, twice, open := 0, 0, 0
	for body, n := range all[b.service] {
		ran += n
		if n > 1 {
			twice++
			b.t.fault("call %s ran %d times", body, n)
		}
	}
	for body, outcomes := range b.outcomes {
		last := outcomes[len(outcomes)-1]
		switch n := all[b.service][body]; {
		case last == encoder.OutcomeDone && n == 0:
			b.t.fault("call %s is said to be done and did not run", body)
		case last == encoder.OutcomeNotRun && n > 0:
			b.t.fault("call %s is said to be not run and ran", body)
		case last == encoder.OutcomeUnknown:
			open++
		}
	}
	b.t.figure("%d calls to %s: answers done %d, not run %d, unknown %d, none %d; %d ran, %d of them more than once; %d calls ended as unknown",
		len(b.outcomes), b.service, b.counts[encoder.OutcomeDone], b.counts[encoder.OutcomeNotRun], b.counts[encoder.OutcomeUnknown], b.none, ran, twice, open)
	b.t.figure("  reasons: %s", b.reasons)
	return nil
}
