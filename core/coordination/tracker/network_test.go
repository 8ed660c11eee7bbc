package tracker

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// network runs trackers and passes their exchanges.
type network struct {
	now  time.Time
	ms   []*Machine
	lost func(from, to int) bool
}

// newNetwork returns n trackers that each know only the next one, from the VM list.
func newNetwork(n int, seed uint64) *network {
	w := &network{now: start, lost: func(int, int) bool { return false }}
	for i := range n {
		m := &Machine{Self: record(i, 9, 0), Random: rand.New(rand.NewPCG(uint64(i), seed))}
		next := record((i+1)%n, 1, 1)
		m.Step(start, VMsListed{Sent: start, VMs: []ListedVM{{ID: next.ID, PeerAddress: next.PeerAddress}}})
		w.ms = append(w.ms, m)
	}
	return w
}

func (w *network) run(d time.Duration, check func(m *Machine)) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(TickInterval) {
		for i, m := range w.ms {
			for _, a := range m.Step(w.now, Ticked{}) {
				if x, ok := a.(StartExchange); ok {
					w.exchange(i, x)
				}
			}
			check(m)
		}
	}
}

func (w *network) exchange(from int, x StartExchange) {
	to := slices.IndexFunc(w.ms, func(m *Machine) bool { return m.Self.ID == x.To.ID })
	m, peer := w.ms[from], w.ms[to]
	if w.lost(from, to) {
		m.Step(w.now, ExchangeFailed{x.To.ID})
		return
	}
	peer.Step(w.now, RecordsReceived{m.SelectRecords(0)})
	m.Step(w.now, RecordsReceived{peer.SelectRecords(0)})
	m.Step(w.now, ExchangeAnswered{x.To.ID, w.now})
}

// states counts the states of all VMs in all views.
func (w *network) states() map[State]int {
	counts := map[State]int{}
	for i, m := range w.ms {
		for j := range w.ms {
			if i != j {
				counts[state(m, j)]++
			}
		}
	}
	return counts
}

// TestViewsConverge guards against views that stay different, and against false suspicion or isolation while a fifth of the
// exchanges is lost.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 7
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newNetwork(n, r.Uint64())
		w.lost = func(int, int) bool { return r.IntN(5) == 0 }
		check := func(m *Machine) {
			if !slices.Equal(m.view, m.Members()) {
				t.Fatalf("%v: %s did not report its view", w.now, m.Self.ID)
			}
			if m.Isolated(w.now) {
				t.Fatalf("%v: %s counts as isolated", w.now, m.Self.ID)
			}
		}
		w.run(10*time.Second, check)
		w.ms[rapid.IntRange(0, n-1).Draw(t, "leaver")].Step(w.now, ShutdownStarted{})
		w.run(5*time.Second, check)
		if c := w.states(); c[Leaving] != n-1 || c[Live] != (n-1)*(n-1) {
			t.Fatalf("states %v", c)
		}
	})
}

// TestLargeFleet guards against false suspicion where one message carries only a small part of the view.
func TestLargeFleet(t *testing.T) {
	const n = 100
	w := newNetwork(n, 1)
	var list VMsListed
	for _, m := range w.ms {
		list.VMs = append(list.VMs, ListedVM{ID: m.Self.ID, PeerAddress: m.Self.PeerAddress})
	}
	for _, m := range w.ms {
		m.Step(w.now, list)
	}
	for range 6 {
		w.run(10*time.Second, func(m *Machine) {
			if m.Isolated(w.now) {
				t.Fatalf("%v: %s counts as isolated", w.now, m.Self.ID)
			}
		})
		if c := w.states(); c[Live] != n*(n-1) {
			t.Fatalf("%v: states %v", w.now, c)
		}
	}
}

// TestPartition guards against a cut-off VM that stays ready, against halves of a fleet that count as isolated, and against
// views that stay apart after the network has healed.
func TestPartition(t *testing.T) {
	const n = 7
	for _, cut := range []int{1, 3} {
		w := newNetwork(n, 1)
		w.run(10*time.Second, func(*Machine) {})
		w.lost = func(from, to int) bool { return (from < cut) != (to < cut) }
		begin := w.now
		w.run(time.Minute, func(m *Machine) {
			alone, since := cut == 1 && m == w.ms[0], w.now.Sub(begin)
			if got := m.Isolated(w.now); got && !alone || !got && alone && since > IsolationTimeout {
				t.Fatalf("%v after the cut: %s: isolated %v", since, m.Self.ID, got)
			}
		})
		if c := w.states(); c[Gone]+c[Suspect] != 2*cut*(n-cut) { // a VM in the last list stays suspect
			t.Errorf("cut %d: states %v", cut, c)
		}
		w.lost = func(int, int) bool { return false }
		w.run(20*time.Second, func(*Machine) {})
		if c := w.states(); c[Live] != n*(n-1) || w.ms[0].Isolated(w.now) {
			t.Errorf("cut %d: states %v after the network healed", cut, c)
		}
	}
}
