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

// TestAbsent guards against a search that waits for its deadline on a silent connection although its upstream never got it,
// and against an early end of a slow request or of a call, which may still be on its way.
func TestAbsent(t *testing.T) {
	cases := []struct {
		name  string
		kind  encoder.SubKind
		asked encoder.SubPresence
		early bool
	}{
		{"search that the upstream does not have", encoder.SubSearch, encoder.SubAbsent, true},
		{"search that the upstream has", encoder.SubSearch, encoder.SubPresent, false},
		{"search at an upstream that does not say", encoder.SubSearch, "", false},
		{"call that the upstream does not have", encoder.SubCall, encoder.SubAbsent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start(t, &fake{asked: c.asked}, 2, func(t *testing.T, b *bench) {
				b.fake.mu.Lock()
				b.fake.mute = func(n int) bool { return n == 1 }
				b.fake.mu.Unlock()
				const allowed = 72 * time.Millisecond
				b.Do(router.Send{Attempt: 1, Service: "s", Upstream: "u", Address: address, Kind: c.kind, Body: []byte("1"), Deadline: time.Now().Add(allowed)})
				time.Sleep(allowed / 2)
				var failures []router.Failure
				for _, ev := range b.drain() {
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

// TestAbsentAfterBusy guards against a late request that is never asked about because every other connection was busy.
func TestAbsentAfterBusy(t *testing.T) {
	f := &fake{asked: encoder.SubAbsent, sub: func(nc net.Conn, r *http.Request) bool {
		time.Sleep(30 * time.Millisecond)
		return reply(nc, r.Header.Get(encoder.HeaderRequestID))
	}}
	start(t, f, 2, func(t *testing.T, b *bench) {
		f.mu.Lock()
		f.mute = func(n int) bool { return n == 1 }
		f.mu.Unlock()
		b.Do(send(1, 72*time.Millisecond))
		b.Do(send(2, 72*time.Millisecond))
		time.Sleep(50 * time.Millisecond)
		want := []any{arrived{2, encoder.StatusOK}, failed(1, router.FailureUnresponsive, true)}
		if diff := cmp.Diff(want, b.ends()); diff != "" {
			t.Errorf("ends within 50ms (-want +got):\n%s", diff)
		}
	})
}

// TestAbsentAllSilent guards against a search that waits for its deadline because no old connection can ask about it.
func TestAbsentAllSilent(t *testing.T) {
	f := &fake{asked: encoder.SubAbsent}
	start(t, f, 2, func(t *testing.T, b *bench) {
		f.mu.Lock()
		f.mute = func(n int) bool { return n < 2 }
		f.mu.Unlock()
		b.Do(send(1, 72*time.Millisecond))
		time.Sleep(50 * time.Millisecond)
		if diff := cmp.Diff([]any{failed(1, router.FailureUnresponsive, true)}, b.ends()); diff != "" {
			t.Errorf("ends within 50ms (-want +got):\n%s", diff)
		}
		if f.most > 2 {
			t.Errorf("%d connections were open at once, the bound is 2", f.most)
		}
	})
}
