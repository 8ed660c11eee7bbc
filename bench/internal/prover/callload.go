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

// callLoad sends calls that must run at most once. It resends each call through random VMs until the answer is done or not run,
// or until its attempts are used up.
type callLoad struct {
	trial       *trial
	service     string
	interval    time.Duration // between new calls
	maxAttempts int           // for each call
	mu          sync.Mutex
	counts      map[encoder.Outcome]int
	outcomes    map[string][]encoder.Outcome // by call body, in the order of the answers
	noAnswer    int                          // attempts without an answer
	reasons     reasonCounts
	pending     sync.WaitGroup
}

// callInterval gives 40 calls per second. The default budget of 20 platform calls per second and VM allows 70 with 7 VMs.
const callInterval = 25 * time.Millisecond

func (t *trial) newCallLoad(service string) *callLoad {
	return &callLoad{
		trial: t, service: service, interval: callInterval, maxAttempts: 12,
		counts: map[encoder.Outcome]int{}, outcomes: map[string][]encoder.Outcome{}, reasons: reasonCounts{},
	}
}

// run sends new calls for a duration and waits until each has an outcome or has used up its attempts. A nil ticket func sends each
// call with a new key; otherwise the func returns the ticket of call n, and an empty one ends the run.
func (l *callLoad) run(ctx context.Context, d time.Duration, ticket func(n int) string) {
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		r := encoder.CallRequest{Service: l.service, Body: json.RawMessage(fmt.Sprintf(`{"booking":"%s-%d"}`, l.service, n))}
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
		route := make([]netip.AddrPort, l.maxAttempts)
		for i := range route {
			route[i] = l.trial.randomEntry()
		}
		l.pending.Go(func() { l.send(ctx, r, route) })
		if sleep(ctx, l.interval) != nil {
			break
		}
	}
	l.pending.Wait()
}

// send sends a call to the given entry VMs, one after the other, until its outcome is known.
func (l *callLoad) send(ctx context.Context, r encoder.CallRequest, route []netip.AddrPort) {
	for _, entry := range route {
		a, err := l.trial.caller.call(ctx, entry, r)
		l.mu.Lock()
		if err != nil {
			l.noAnswer++
		} else {
			l.counts[a.Outcome]++
			l.reasons.add(string(a.Outcome), a.Reason)
			l.outcomes[string(r.Body)] = append(l.outcomes[string(r.Body)], a.Outcome)
		}
		l.mu.Unlock()
		if err == nil && (a.Outcome == encoder.OutcomeDone || a.Outcome == encoder.OutcomeNotRun) {
			return
		}
		if sleep(ctx, 150*time.Millisecond) != nil {
			return
		}
	}
}

// reportAndCheck compares the last answer to each call with the number of times the upstreams ran it, and reports violations of
// at-most-once execution and wrong outcomes.
func (l *callLoad) reportAndCheck(ctx context.Context) error {
	all, err := l.trial.testbed.UpstreamsControl().ExecutedCalls(ctx)
	if err != nil {
		return err
	}
	executions, repeated, unknown := 0, 0, 0
	for body, n := range all[l.service] {
		executions += n
		if n > 1 {
			repeated++
			l.trial.faultf("call %s ran %d times", body, n)
		}
	}
	for body, outcomes := range l.outcomes {
		last := outcomes[len(outcomes)-1]
		switch n := all[l.service][body]; {
		case last == encoder.OutcomeDone && n == 0:
			l.trial.faultf("call %s was answered as done but did not run", body)
		case last == encoder.OutcomeNotRun && n > 0:
			l.trial.faultf("call %s was answered as not run but ran", body)
		case last == encoder.OutcomeUnknown:
			unknown++
		}
	}
	l.trial.reportf("%d calls to %s: answers done %d, not run %d, unknown %d, no answer %d; %d executions, %d calls ran more than once; %d calls ended as unknown",
		len(l.outcomes), l.service, l.counts[encoder.OutcomeDone], l.counts[encoder.OutcomeNotRun], l.counts[encoder.OutcomeUnknown], l.noAnswer, executions, repeated, unknown)
	l.trial.reportf("  reasons: %s", l.reasons)
	return nil
}
