package claimer

import (
	"flag"
	"os"
	"testing"
	"time"
)

// TestMain raises the number of random histories: a wrong expected revision after a failed question to a holder showed up only
// after several hundred of them.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set("3000")
	}
	os.Exit(m.Run())
}

// TestDoubleDispatch shows what the compare-and-swap and the missing lease prevent: a store that ignores the expected revision, or
// that drops the claim of a paused holder, lets two VMs dispatch the same key.
func TestDoubleDispatch(t *testing.T) {
	cases := []struct {
		name       string
		second     WriteResult // what the store tells the second VM
		dispatches int
	}{
		{"claim of the paused holder dropped, as with an expired lease", WriteDone, 2},
		{"claim kept", WriteConflict, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			key := testKey(testStart, 1)
			first, second := newMachine("vm-a", 1), newMachine("vm-b", 1)
			var actions []Action
			var stored []byte
			for _, a := range first.Step(testStart, call(1, key, "n1")) {
				if a, ok := a.(CreateClaim); ok {
					stored = a.Value
				}
			}
			now := testStart.Add(time.Millisecond)
			actions = append(actions, second.Step(now, call(2, key, "n2"))...)
			actions = append(actions, second.Step(now, ClaimWritten{Key: key, Nonce: "n2", Result: c.second, Revision: 5, Current: stored})...)
			actions = append(actions, first.Step(now, ClaimWritten{Key: key, Nonce: "n1", Result: WriteDone, Revision: 5})...)
			dispatches := 0
			for _, a := range actions {
				if _, ok := a.(DispatchCall); ok {
					dispatches++
				}
			}
			if dispatches != c.dispatches {
				t.Errorf("%d dispatches, want %d", dispatches, c.dispatches)
			}
		})
	}
}

// TestSweeper guards against the deletion of a claim whose key some VM still accepts.
func TestSweeper(t *testing.T) {
	old, edge, young := testKey(testStart.Add(-63*time.Minute), 1), testKey(testStart.Add(-62*time.Minute), 2), testKey(testStart, 3)
	cases := []struct {
		name   string
		listed []string
		want   int
		more   bool
	}{
		{"none", nil, 0, false},
		{"old before young", []string{old, edge, young}, 1, false},
		{"all old", []string{old, old}, 2, true},
		{"not a key", []string{"stray", young}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var listed []ListedClaim
			for _, k := range c.listed {
				listed = append(listed, ListedClaim{Key: k})
			}
			got, more := Sweeper{}.Expired(testStart, listed)
			if len(got) != c.want || more != c.more {
				t.Errorf("%d expired, more %v; want %d, %v", len(got), more, c.want, c.more)
			}
		})
	}
}
