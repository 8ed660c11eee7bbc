package connector

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// TestAbsent guards against a search that waits for its deadline on a silent connection although its upstream never received
// it, and against giving up a slow request too early, or a call, which may still be on its way.
func TestAbsent(t *testing.T) {
	cases := []struct {
		name     string
		kind     encoder.SubKind
		presence encoder.SubPresence
		early    bool
	}{
		{"search that the upstream does not have", encoder.SubSearch, encoder.SubAbsent, true},
		{"search that the upstream has", encoder.SubSearch, encoder.SubPresent, false},
		{"search at an upstream that does not say", encoder.SubSearch, "", false},
		{"call that the upstream does not have", encoder.SubCall, encoder.SubAbsent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithPool(t, &fakeUpstream{presence: c.presence}, 2, func(t *testing.T, b *fixture) {
				b.fake.mu.Lock()
				b.fake.silent = func(n int) bool { return n == 1 }
				b.fake.mu.Unlock()
				const allowed = 72 * time.Millisecond
				b.Do(router.Send{Attempt: 1, Service: "s", Upstream: "u", Address: address, Kind: c.kind, Body: []byte("1"), Deadline: time.Now().Add(allowed)})
				time.Sleep(allowed / 2)
				var failures []router.Failure
				for _, ev := range b.drainEvents() {
					if e, ok := ev.(router.AttemptFailed); ok {
						failures = append(failures, e.Failure)
					}
				}
				var want []router.Failure
				if c.early {
					want = []router.Failure{router.FailureUnresponsive}
				}
				if diff := cmp.Diff(want, failures); diff != "" {
					t.Errorf("failures at half of the allowed time (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestAbsentAfterBusy guards against a late request about which the upstream is never asked, because all other connections were
// busy when it became late.
func TestAbsentAfterBusy(t *testing.T) {
	f := &fakeUpstream{presence: encoder.SubAbsent, handleSub: func(nc net.Conn, r *http.Request) bool {
		time.Sleep(30 * time.Millisecond)
		return writeReply(nc, r.Header.Get(encoder.HeaderRequestID))
	}}
	runWithPool(t, f, 2, func(t *testing.T, b *fixture) {
		f.mu.Lock()
		f.silent = func(n int) bool { return n == 1 }
		f.mu.Unlock()
		b.Do(newSend(1, 72*time.Millisecond))
		b.Do(newSend(2, 72*time.Millisecond))
		time.Sleep(50 * time.Millisecond)
		want := []any{reducedReply{2, encoder.StatusOK}, newFailure(1, router.FailureUnresponsive, true)}
		if diff := cmp.Diff(want, b.attemptEnds()); diff != "" {
			t.Errorf("ends within 50ms (-want +got):\n%s", diff)
		}
	})
}

// TestAbsentAllSilent guards against a search that waits for its deadline because all connections are silent: a new connection
// has to send the inquiry, within the limit of the pool.
func TestAbsentAllSilent(t *testing.T) {
	f := &fakeUpstream{presence: encoder.SubAbsent}
	runWithPool(t, f, 2, func(t *testing.T, b *fixture) {
		f.mu.Lock()
		f.silent = func(n int) bool { return n < 2 }
		f.mu.Unlock()
		b.Do(newSend(1, 72*time.Millisecond))
		time.Sleep(50 * time.Millisecond)
		if diff := cmp.Diff([]any{newFailure(1, router.FailureUnresponsive, true)}, b.attemptEnds()); diff != "" {
			t.Errorf("ends within 50ms (-want +got):\n%s", diff)
		}
		if f.maxOpen > 2 {
			t.Errorf("%d connections were open at once, the limit is 2", f.maxOpen)
		}
	})
}
