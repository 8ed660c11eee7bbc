package prober

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRecordReply guards against a connection that is reported as unresponsive without a later proof that its upstream replies,
// and against an unresponsive connection that is not reported.
func TestRecordReply(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name string
		run  func(p *Prober) []Connection
		want []Connection
	}{
		{"sent after the other connection was late", func(p *Prober) []Connection {
			p.RecordLate(at(40), 1)
			return p.RecordReply(at(45), 2, at(41))
		}, []Connection{1}},
		{"sent before the other connection was late", func(p *Prober) []Connection {
			p.RecordLate(at(40), 1)
			return p.RecordReply(at(45), 2, at(39))
		}, nil},
		{"late connection replied meanwhile", func(p *Prober) []Connection {
			p.RecordLate(at(40), 1)
			p.RecordReply(at(42), 1, at(0))
			return p.RecordReply(at(45), 2, at(41))
		}, nil},
		{"two late connections", func(p *Prober) []Connection {
			p.RecordLate(at(40), 1)
			p.RecordLate(at(41), 3)
			return p.RecordReply(at(45), 2, at(42))
		}, []Connection{1, 3}},
		{"late connection closed meanwhile", func(p *Prober) []Connection {
			p.RecordLate(at(40), 1)
			p.Forget(1)
			return p.RecordReply(at(45), 2, at(41))
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.run(&Prober{})); diff != "" {
				t.Errorf("unresponsive (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateAt guards against a slow upstream whose requests count as late too early, and against a check after the deadline.
func TestLateAt(t *testing.T) {
	sent := time.Unix(100, 0)
	cases := []struct {
		name    string
		mean    time.Duration
		allowed time.Duration
		want    time.Duration
	}{
		{"a third of the time", 5 * time.Millisecond, 72 * time.Millisecond, 24 * time.Millisecond},
		{"slow upstream", 15 * time.Millisecond, 72 * time.Millisecond, 30 * time.Millisecond},
		{"very slow upstream", 50 * time.Millisecond, 72 * time.Millisecond, 72 * time.Millisecond},
		{"short deadline", time.Millisecond, 30 * time.Millisecond, MinLateDelay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := Prober{meanReplyTime: c.mean}
			if diff := cmp.Diff(c.want, p.LateAt(sent, sent.Add(c.allowed)).Sub(sent)); diff != "" {
				t.Errorf("late after (-want +got):\n%s", diff)
			}
		})
	}
}
