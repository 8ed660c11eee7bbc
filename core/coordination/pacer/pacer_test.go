package pacer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// platformWrites is the capacity of the platform in writes per second, "several hundred" in docs/design.md 1.4.
const platformWrites = 300

// TestReturnOfPlatform guards against a burst of calls when the platform recovers from an outage of an hour. Each VM always has
// more demand than its share of the platform's capacity. A call without an answer fails after 500 ms.
func TestReturnOfPlatform(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, n := range []int{7, 100} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			start := time.Unix(1_800_000_000, 0)
			returns := start.Add(time.Hour)
			vms := make([]*Pacer, n)
			pending := make([]time.Time, n) // when the call in progress fails
			for i := range vms {
				vms[i] = &Pacer{Rate: platformWrites / float64(n), Random: rand.New(rand.NewPCG(uint64(i), 1))}
			}
			during, after := 0, make([]int, 60)
			for now := start; now.Before(returns.Add(time.Minute)); now = now.Add(step) {
				up := !now.Before(returns)
				for i, p := range vms {
					if !pending[i].IsZero() && now.Before(pending[i]) {
						continue
					}
					if !pending[i].IsZero() {
						p.RecordFailure(now)
						pending[i] = time.Time{}
					}
					for p.Allow(now) {
						if !up {
							during++
							pending[i] = now.Add(500 * time.Millisecond)
							break
						}
						after[int(now.Sub(returns)/time.Second)]++
						p.RecordAnswer(now)
					}
				}
			}
			t.Logf("calls during the outage: %d; in each second after it: %v", during, after)
			for s, calls := range after {
				// The burst of each VM adds at most one call to a second.
				if calls > platformWrites+n {
					t.Errorf("second %d: %d calls", s, calls)
				}
			}
			// An hour has 120 back-off delays of 30 s; the shorter first delays add fewer than 20.
			if most := n * 140; during > most {
				t.Errorf("%d calls during the outage, at most %d are allowed", during, most)
			}
			if after[59] < platformWrites*9/10 {
				t.Errorf("a minute after the recovery only %d calls/s are made", after[59])
			}
		})
	}
}

// TestAllow guards against calls above the rate, against calls during the back-off delay, and against an unusable zero value.
func TestAllow(t *testing.T) {
	var p Pacer
	now := time.Unix(1_800_000_000, 0)
	taken := 0
	for range 10_000 {
		if p.Allow(now) {
			taken++
		}
		now = now.Add(time.Millisecond)
	}
	if most := DefaultBurst + 10*int(DefaultRate); taken > most || taken < most-1 {
		t.Errorf("%d calls in 10 s, %d are allowed", taken, most)
	}
	p.RecordFailure(now)
	if p.Allow(now.Add(DefaultBaseDelay-1)) || !p.Allow(now.Add(DefaultBaseDelay)) || p.Allow(now.Add(DefaultBaseDelay)) {
		t.Error("the back-off delay is not observed")
	}
}

// TestShortenDelay guards against a VM that waits for the end of a long delay although the platform has recovered, and against a
// delay that is postponed by each further message.
func TestShortenDelay(t *testing.T) {
	var p Pacer
	now := time.Unix(1_800_000_000, 0)
	for range 20 {
		p.RecordFailure(now)
	}
	for at := time.Duration(0); at < RecoveryDelay; at += 100 * time.Millisecond {
		p.ShortenDelay(now.Add(at))
		if p.Allow(now.Add(at)) {
			t.Fatalf("call allowed after %v", at)
		}
	}
	if !p.Allow(now.Add(RecoveryDelay)) {
		t.Error("no call allowed after the delay")
	}
}
