package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var zero = time.Unix(1_800_000_000, 0)

func sec(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }

// crashAt lets signature 42 be reset on an upstream that then refuses connections.
func crashAt(m *Machine, at float64, group int, upstream string) {
	id := uint64(at*1000) + uint64(group)
	m.RecordAttempt(sec(at), 42, "booth", group, upstream, "d-"+upstream, 1, id)
	m.RecordAttemptEnd(sec(at+0.001), id, EndReset)
	m.RecordRefusedConnection(sec(at+0.002), "booth", upstream)
}

func answered(m *Machine, at float64, group int, upstream string) {
	m.RecordAttempt(sec(at), 42, "booth", group, upstream, "d-"+upstream, 1, 1<<40)
	m.RecordAttemptEnd(sec(at), 1<<40, EndReplied)
}

// TestEvidence guards against wrong conclusions from a single sequence of events: a request that is sent on although it
// crashes upstreams, or one that is held back although something else explains its reset.
func TestEvidence(t *testing.T) {
	own := []string{"vm0"}
	cases := []struct {
		name   string
		events func(m *Machine)
		at     float64
		want   Decision
	}{
		{"no evidence", func(*Machine) {}, 1, Clear},
		{"reset without explanation", func(m *Machine) {
			m.RecordAttempt(sec(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(sec(0), 1, EndReset)
		}, 0.5, Reject},
		{"reset never explained", func(m *Machine) {
			m.RecordAttempt(sec(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(sec(0), 1, EndReset)
		}, 1.5, Clear},
		{"reset, upstream works", func(m *Machine) {
			m.RecordAttempt(sec(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(sec(0), 1, EndReset)
			m.RecordIncarnation(sec(0.1), "booth", "a", 1)
		}, 0.2, Clear},
		{"reset, then refused", func(m *Machine) { crashAt(m, 0, 0, "a") }, 1, Reject},
		{"refused, then reset", func(m *Machine) {
			m.RecordAttempt(sec(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordRefusedConnection(sec(0.1), "booth", "a")
			m.RecordAttemptEnd(sec(0.2), 1, EndReset)
		}, 2, Reject},
		{"reset, then new incarnation", func(m *Machine) {
			m.RecordAttempt(sec(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(sec(0), 1, EndReset)
			m.RecordIncarnation(sec(3), "booth", "a", 2)
		}, 4, Reject},
		{"refused, nothing reset", func(m *Machine) {
			m.RecordAttempt(sec(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordRefusedConnection(sec(0.1), "booth", "a")
			m.RecordAttemptEnd(sec(0.2), 1, EndOther)
		}, 0.3, Clear},
		{"answered by another group", func(m *Machine) { crashAt(m, 0, 0, "a"); answered(m, 0.1, 1, "b") }, 1, Clear},
		{"second crash in one group", func(m *Machine) {
			crashAt(m, 0, 0, "a")
			answered(m, 0.1, 1, "b")
			crashAt(m, 200, 0, "c")
			answered(m, 200.1, 1, "b")
		}, 201, Reject},
		{"second crash in one group, answered by it meanwhile", func(m *Machine) {
			crashAt(m, 0, 0, "a")
			answered(m, 0.1, 0, "b")
			crashAt(m, 200, 0, "c")
			answered(m, 200.1, 1, "d")
		}, 201, Clear},
		{"began to crash after it was answered", func(m *Machine) {
			answered(m, -20, 0, "a")
			crashAt(m, 0, 0, "a")
			crashAt(m, 0, 1, "b")
		}, 2, Reject},
		{"explained by a peer's suspect", func(m *Machine) {
			crashAt(m, 0, 0, "a")
			m.ReceiveSuspicion(sec(0.1), Suspicion{Signature: 7, Service: "booth", Crashes: 10, Expires: sec(600), NextProbe: sec(30)})
		}, 1, Clear},
		{"cleared by a peer before the suspicion arrives", func(m *Machine) {
			m.ReceiveSuspicion(sec(0.2), Suspicion{Signature: 42, Service: "booth", Expires: sec(0.2)})
			m.ReceiveSuspicion(sec(0.3), Suspicion{Signature: 42, Service: "booth", Crashes: 1, Expires: sec(600.1), NextProbe: sec(30)})
		}, 1, Clear},
		{"interval passed", func(m *Machine) { crashAt(m, 0, 0, "a"); m.RecordIncarnation(sec(5), "booth", "a", 2) }, 31, Probe},
		{"interval passed, replica still down", func(m *Machine) { crashAt(m, 0, 0, "a") }, 31, Reject},
		{"interval passed, other VM is the owner", func(m *Machine) {
			m.SetMembers([]string{"vm1"})
			crashAt(m, 0, 0, "a")
			m.RecordIncarnation(sec(5), "booth", "a", 2)
		}, 31, Reject},
		{"owner since a moment", func(m *Machine) {
			m.SetMembers([]string{"vm1"})
			crashAt(m, 0, 0, "a")
			m.RecordIncarnation(sec(5), "booth", "a", 2)
			m.SetMembers(own)
		}, 31, Reject},
		{"expired", func(m *Machine) { crashAt(m, 0, 0, "a") }, 601, Clear},
		{"confirmed", func(m *Machine) { crashAt(m, 0, 0, "a"); m.RecordProbeResult(sec(1), 42, true) }, 590, Reject},
		{"confirmed and expired", func(m *Machine) { crashAt(m, 0, 0, "a"); m.RecordProbeResult(sec(1), 42, true) }, 602, Probe},
		{"probe succeeded", func(m *Machine) { crashAt(m, 0, 0, "a"); m.RecordProbeResult(sec(1), 42, false) }, 2, Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &Machine{}
			m.Configure("vm0", Settings{})
			m.SetMembers(own)
			c.events(m)
			got := m.CheckRequest(sec(c.at), "booth", 42)
			if diff := cmp.Diff(c.want, got.Decision); diff != "" {
				t.Errorf("decision (-want +got):\n%s\nverdict: %+v", diff, got)
			}
			if got.Decision == Reject && (got.Reason == "" || got.RetryAfter <= 0) {
				t.Errorf("a rejection lacks its reason or hint: %+v", got)
			}
		})
	}
}

// TestTrackedBound guards against memory that grows with the number of suspects, and against losing a confirmed one first.
func TestTrackedBound(t *testing.T) {
	m := &Machine{}
	m.Configure("vm0", Settings{Tracked: 10})
	for i := range uint64(100) {
		m.ReceiveSuspicion(sec(0), Suspicion{Signature: i, Service: "booth", Confirmed: i == 3, Crashes: 1, Expires: sec(60 + float64(i))})
	}
	if got := m.CheckRequest(sec(1), "booth", 3); len(m.Suspicions()) > 10 || got.Reason != ReasonConfirmed {
		t.Errorf("%d suspects are tracked; confirmed one: %+v", len(m.Suspicions()), got)
	}
}

// TestProbeInterval guards against two probes of one signature within the interval, whichever messages are lost, while the
// VMs have the same view. The result of a probe is lost, too.
func TestProbeInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []*Machine
		members := []string{"vm0", "vm1", "vm2"}
		for _, name := range members {
			m := &Machine{}
			m.Configure(name, Settings{})
			m.SetMembers(members)
			vms = append(vms, m)
		}
		now, last, probes := zero, time.Time{}, 0
		crashAt(vms[0], 0, 0, "a")
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "pause")) * time.Millisecond)
			v := rapid.IntRange(0, 2).Draw(t, "vm")
			vms[0].RecordIncarnation(now, "booth", "a", uint64(i+2))
			if vms[v].CheckRequest(now, "booth", 42).Decision == Probe {
				probes++
				if probes > 1 && now.Sub(last) < DefaultInterval {
					t.Fatalf("probes %v apart", now.Sub(last))
				}
				last = now
			}
			for _, s := range vms[v].TakeUpdates() {
				for w := range vms {
					if w != v && rapid.Bool().Draw(t, "arrives") {
						vms[w].ReceiveSuspicion(now, s)
					}
				}
			}
		}
	})
}

// BenchmarkCheck measures a check with no suspects, of a signature that is none, and of a suspect.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []uint64{0, 1000} {
		for _, signature := range []uint64{1 << 40, 5} {
			m := &Machine{}
			for i := range n {
				m.ReceiveSuspicion(zero, Suspicion{Signature: i, Service: "booth", Crashes: 1, Expires: sec(600), NextProbe: sec(30)})
			}
			b.Run(fmt.Sprintf("%d/%d", n, signature), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m.CheckRequest(sec(1), "booth", signature)
				}
			})
		}
	}
}

// BenchmarkAttempt measures what Sent and Ended add to a sub-request.
func BenchmarkAttempt(b *testing.B) {
	m := &Machine{}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		m.RecordAttempt(zero, i%1000, "booth", 0, "a", "d0", 1, i)
		m.RecordAttemptEnd(zero, i, EndReplied)
	}
}
