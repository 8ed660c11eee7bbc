package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLoansStayWithinLimit guards against a fleet that uses more than its limit. Messages are randomly delayed, lost, duplicated
// and reordered, VMs are paused and replaced, clocks differ and run up to 0.1 % apart, and views name VMs that no longer exist.
func TestLoansStayWithinLimit(t *testing.T) {
	const fleetMax, share = 4, 10.0
	type vm struct {
		Lender
		name   string
		offset time.Duration
		rate   float64
		paused time.Time
	}
	type message struct {
		at      time.Time
		to      string
		from    string
		request LoanRequest
		grant   LoanGrant
	}
	borrowed := false
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now, created := epoch, 0
		clock := func(v *vm) time.Time {
			return now.Add(v.offset + time.Duration(v.rate*float64(now.Sub(epoch))))
		}
		start := func() *vm {
			created++
			v := &vm{name: fmt.Sprint("vm", created), offset: time.Duration(r.IntN(int(time.Hour))), rate: (r.Float64() - 0.5) / 1000}
			v.Configure(clock(v), share)
			return v
		}
		var fleet []*vm
		for range fleetMax {
			fleet = append(fleet, start())
		}
		var queue []message
		send := func(m message) {
			for range r.IntN(3) { // lost, or delivered once or twice
				m.at = now.Add(time.Duration(r.Float64() * r.Float64() * float64(4*time.Second)))
				queue = append(queue, m)
			}
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			v := fleet[r.IntN(fleetMax)]
			switch r.IntN(20) {
			case 0:
				v.paused = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			case 1:
				*v = *start()
			default:
				if now.Before(v.paused) {
					break
				}
				peers := []string{fmt.Sprint("vm", 1+r.IntN(created)), fleet[r.IntN(fleetMax)].name}
				if q, to, ok := v.RequestLoan(clock(v), r, peers, 8*r.Float64()); ok {
					send(message{to: to, from: v.name, request: q})
				}
			}
			rest := queue
			queue = nil
			for _, m := range rest {
				i := slices.IndexFunc(fleet, func(v *vm) bool { return v.name == m.to })
				if i < 0 {
					continue // that VM was replaced
				}
				w := fleet[i]
				switch {
				case m.at.After(now) || now.Before(w.paused):
					queue = append(queue, m)
				case m.request.ID != 0:
					if g, ok := w.HandleRequest(clock(w), m.from, m.request, 2); ok {
						send(message{to: m.from, from: w.name, grant: g})
					}
				default:
					w.HandleGrant(clock(w), m.grant)
				}
			}
			sum := 0.0
			for _, v := range fleet {
				sum += v.Share(clock(v))
				borrowed = borrowed || len(v.borrowed) > 0
			}
			if sum > fleetMax*share+1e-6 {
				t.Fatalf("the fleet uses %v of %v", sum, fleetMax*share)
			}
		}
	})
	if !borrowed {
		t.Error("no loan was ever granted")
	}
}

// TestLoan guards against loans without effect: a VM that needs more must get what its peer does not use, for a bounded time.
func TestLoan(t *testing.T) {
	var a, b Lender
	a.Configure(epoch, 10)
	b.Configure(epoch, 10)
	r := rand.New(rand.NewPCG(1, 1))
	now := epoch.Add(loanDuration)
	q, _, ok := a.RequestLoan(now, r, []string{"b"}, 4)
	if !ok {
		t.Fatal("no request")
	}
	g, ok := b.HandleRequest(now, "a", q, 3)
	if !ok {
		t.Fatal("no grant")
	}
	a.HandleGrant(now, g)
	if x, y := a.Share(now), b.Share(now); x != 14 || y != 6 {
		t.Errorf("shares %v and %v, want 14 and 6", x, y)
	}
	end, _ := a.NextChange(now)
	if x, y := a.Share(end), b.Share(now.Add(loanDuration)); x != 10 || y != 10 {
		t.Errorf("shares after the loan %v and %v, want 10 and 10", x, y)
	}
	if _, ok := b.HandleRequest(now.Add(loanDuration), "a", q, 3); ok {
		t.Error("a repeated request is granted again")
	}
}
