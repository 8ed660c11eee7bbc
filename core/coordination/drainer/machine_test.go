package drainer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestShutdown guards against a shutdown that interrupts work in flight, rejects requests before the load balancer noticed that
// the VM is not ready, or never ends.
func TestShutdown(t *testing.T) {
	busy := Work{Requests: []string{"r1"}, Tickets: []string{"t1"}, Claims: []string{"c1"}}
	claims := Work{Claims: []string{"c1"}}
	type step struct {
		at   time.Duration
		ev   Event
		want []Action
	}
	signal := step{0, Signalled{}, []Action{MarkUnready{}}}
	refuse := step{5 * time.Second, Ticked{}, []Action{CloseAdmission{}}}
	notify := step{6 * time.Second, WorkCounted{}, []Action{NotifyPeers{}}}
	cases := []struct {
		name  string
		steps []step
	}{
		{"clean", []step{{-time.Hour, Ticked{}, nil}, signal, {4 * time.Second, WorkCounted{}, nil}, refuse, {5 * time.Second, AdmissionClosed{}, nil},
			{5 * time.Second, WorkCounted{busy}, nil}, {5 * time.Second, WorkCounted{claims}, nil}, notify,
			{6 * time.Second, PeersNotified{}, []Action{Exit{}}}, {7 * time.Second, Signalled{}, nil}}},
		{"a count before admission is closed", []step{signal, refuse, {5 * time.Second, WorkCounted{}, nil}, {5 * time.Second, AdmissionClosed{}, nil}, notify}},
		{"peers do not answer", []step{signal, refuse, {5 * time.Second, AdmissionClosed{}, nil}, notify, {6400 * time.Millisecond, Ticked{}, nil},
			{6500 * time.Millisecond, Ticked{}, []Action{Exit{}}}}},
		{"second signal", []step{signal, {time.Second, WorkCounted{busy}, nil}, {2 * time.Second, Signalled{}, []Action{Exit{"second signal", busy}}}}},
		{"hard limit", []step{signal, refuse, {5 * time.Second, AdmissionClosed{}, nil}, {59 * time.Second, WorkCounted{claims}, nil},
			{60 * time.Second, Ticked{}, []Action{Exit{"hard limit", claims}}}}},
		{"paused past the hard limit", []step{signal, {time.Hour, Ticked{}, []Action{Exit{Reason: "hard limit"}}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m Machine
			for i, s := range c.steps {
				if diff := cmp.Diff(s.want, m.Step(time.Unix(1e9, 0).Add(s.at), s.ev)); diff != "" {
					t.Fatalf("step %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}
