package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// atSecond returns the time s seconds after testStart.
func atSecond(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }

// crashUpstream resets signature 42 on an upstream, which then refuses connections.
func crashUpstream(m *Machine, at float64, group int, upstream string) {
	id := uint64(at*1000) + uint64(group)
	m.RecordAttempt(atSecond(at), 42, "booth", group, upstream, "d-"+upstream, 1, id)
	m.RecordAttemptEnd(atSecond(at+0.001), id, EndReset)
	m.RecordRefusedConnection(atSecond(at+0.002), "booth", upstream)
}

// answerRequest lets an upstream answer signature 42.
func answerRequest(m *Machine, at float64, group int, upstream string) {
	m.RecordAttempt(atSecond(at), 42, "booth", group, upstream, "d-"+upstream, 1, 1<<40)
	m.RecordAttemptEnd(atSecond(at), 1<<40, EndReplied)
}

// TestEvidence guards against wrong conclusions from a sequence of events: a request that crashes upstreams but is let through,
// or one that is blocked although something else explains its reset.
func TestEvidence(t *testing.T) {
	onlySelf := []string{"vm0"}
	cases := []struct {
		name   string
		events func(m *Machine)
		at     float64
		want   Decision
	}{
		{"no evidence", func(*Machine) {}, 1, Clear},
		{"reset without explanation", func(m *Machine) {
			m.RecordAttempt(atSecond(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(atSecond(0), 1, EndReset)
		}, 0.5, Reject},
		{"reset without explanation, hold time passed", func(m *Machine) {
			m.RecordAttempt(atSecond(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(atSecond(0), 1, EndReset)
		}, 1.5, Clear},
		{"reset, upstream works", func(m *Machine) {
			m.RecordAttempt(atSecond(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(atSecond(0), 1, EndReset)
			m.RecordIncarnation(atSecond(0.1), "booth", "a", 1)
		}, 0.2, Clear},
		{"reset, then refused", func(m *Machine) { crashUpstream(m, 0, 0, "a") }, 1, Reject},
		{"refused, then reset", func(m *Machine) {
			m.RecordAttempt(atSecond(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordRefusedConnection(atSecond(0.1), "booth", "a")
			m.RecordAttemptEnd(atSecond(0.2), 1, EndReset)
		}, 2, Reject},
		{"reset, then new incarnation", func(m *Machine) {
			m.RecordAttempt(atSecond(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordAttemptEnd(atSecond(0), 1, EndReset)
			m.RecordIncarnation(atSecond(3), "booth", "a", 2)
		}, 4, Reject},
		{"refused, attempt not reset", func(m *Machine) {
			m.RecordAttempt(atSecond(0), 42, "booth", 0, "a", "d0", 1, 1)
			m.RecordRefusedConnection(atSecond(0.1), "booth", "a")
			m.RecordAttemptEnd(atSecond(0.2), 1, EndOther)
		}, 0.3, Clear},
		{"answered by another group", func(m *Machine) { crashUpstream(m, 0, 0, "a"); answerRequest(m, 0.1, 1, "b") }, 1, Clear},
		{"second crash in one group", func(m *Machine) {
			crashUpstream(m, 0, 0, "a")
			answerRequest(m, 0.1, 1, "b")
			crashUpstream(m, 200, 0, "c")
			answerRequest(m, 200.1, 1, "b")
		}, 201, Reject},
		{"second crash in one group, answered by that group in between", func(m *Machine) {
			crashUpstream(m, 0, 0, "a")
			answerRequest(m, 0.1, 0, "b")
			crashUpstream(m, 200, 0, "c")
			answerRequest(m, 200.1, 1, "d")
		}, 201, Clear},
		{"answered long before it first crashed", func(m *Machine) {
			answerRequest(m, -20, 0, "a")
			crashUpstream(m, 0, 0, "a")
			crashUpstream(m, 0, 1, "b")
		}, 2, Reject},
		{"explained by a peer's suspect", func(m *Machine) {
			crashUpstream(m, 0, 0, "a")
			m.ReceiveSuspicion(atSecond(0.1), Suspicion{Signature: 7, Service: "booth", Crashes: 10, Expires: atSecond(600), NextProbe: atSecond(30)})
		}, 1, Clear},
		{"cleared by a peer before the suspicion arrives", func(m *Machine) {
			m.ReceiveSuspicion(atSecond(0.2), Suspicion{Signature: 42, Service: "booth", Expires: atSecond(0.2)})
			m.ReceiveSuspicion(atSecond(0.3), Suspicion{Signature: 42, Service: "booth", Crashes: 1, Expires: atSecond(600.1), NextProbe: atSecond(30)})
		}, 1, Clear},
		{"interval passed", func(m *Machine) { crashUpstream(m, 0, 0, "a"); m.RecordIncarnation(atSecond(5), "booth", "a", 2) }, 31, Probe},
		{"interval passed, replica still down", func(m *Machine) { crashUpstream(m, 0, 0, "a") }, 31, Reject},
		{"interval passed, other VM is the owner", func(m *Machine) {
			m.SetMembers([]string{"vm1"})
			crashUpstream(m, 0, 0, "a")
			m.RecordIncarnation(atSecond(5), "booth", "a", 2)
		}, 31, Reject},
		{"interval passed, just became the owner", func(m *Machine) {
			m.SetMembers([]string{"vm1"})
			crashUpstream(m, 0, 0, "a")
			m.RecordIncarnation(atSecond(5), "booth", "a", 2)
			m.SetMembers(onlySelf)
		}, 31, Reject},
		{"expired", func(m *Machine) { crashUpstream(m, 0, 0, "a") }, 601, Clear},
		{"confirmed", func(m *Machine) { crashUpstream(m, 0, 0, "a"); m.RecordProbeResult(atSecond(1), 42, true) }, 590, Reject},
		{"confirmed and expired", func(m *Machine) { crashUpstream(m, 0, 0, "a"); m.RecordProbeResult(atSecond(1), 42, true) }, 602, Probe},
		{"probe succeeded", func(m *Machine) { crashUpstream(m, 0, 0, "a"); m.RecordProbeResult(atSecond(1), 42, false) }, 2, Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &Machine{}
			m.Configure("vm0", Settings{})
			m.SetMembers(onlySelf)
			c.events(m)
			got := m.CheckRequest(atSecond(c.at), "booth", 42)
			if diff := cmp.Diff(c.want, got.Decision); diff != "" {
				t.Errorf("decision (-want +got):\n%s\nverdict: %+v", diff, got)
			}
			if got.Decision == Reject && (got.Reason == "" || got.RetryAfter <= 0) {
				t.Errorf("rejection without reason or retry hint: %+v", got)
			}
		})
	}
}

// TestMaxSuspects guards against memory that grows with the number of suspects, and against evicting a confirmed one first.
func TestMaxSuspects(t *testing.T) {
	m := &Machine{}
	m.Configure("vm0", Settings{MaxSuspects: 10})
	for i := range uint64(100) {
		m.ReceiveSuspicion(atSecond(0), Suspicion{Signature: i, Service: "booth", Confirmed: i == 3, Crashes: 1, Expires: atSecond(60 + float64(i))})
	}
	if got := m.CheckRequest(atSecond(1), "booth", 3); len(m.Suspicions()) > 10 || got.Reason != ReasonConfirmed {
		t.Errorf("%d suspects are tracked; verdict on the confirmed one: %+v", len(m.Suspicions()), got)
	}
}

// TestProbeInterval guards against two probes of one signature within the probe interval when messages and the results of probes
// are lost. The VMs have the same view.
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
		now, last, probes := testStart, time.Time{}, 0
		crashUpstream(vms[0], 0, 0, "a")
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "pause")) * time.Millisecond)
			v := rapid.IntRange(0, 2).Draw(t, "vm")
			vms[0].RecordIncarnation(now, "booth", "a", uint64(i+2))
			if vms[v].CheckRequest(now, "booth", 42).Decision == Probe {
				probes++
				if probes > 1 && now.Sub(last) < DefaultProbeInterval {
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

// BenchmarkCheck measures a check without suspects, and with suspects one of an unknown signature and one of a suspect.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []uint64{0, 1000} {
		for _, signature := range []uint64{1 << 40, 5} {
			m := &Machine{}
			for i := range n {
				m.ReceiveSuspicion(testStart, Suspicion{Signature: i, Service: "booth", Crashes: 1, Expires: atSecond(600), NextProbe: atSecond(30)})
			}
			b.Run(fmt.Sprintf("%d/%d", n, signature), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m.CheckRequest(atSecond(1), "booth", signature)
				}
			})
		}
	}
}

// BenchmarkAttempt measures what RecordAttempt and RecordAttemptEnd add to a sub-request.
func BenchmarkAttempt(b *testing.B) {
	m := &Machine{}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		m.RecordAttempt(testStart, i%1000, "booth", 0, "a", "d0", 1, i)
		m.RecordAttemptEnd(testStart, i, EndReplied)
	}
}
