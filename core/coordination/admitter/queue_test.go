package admitter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"comfreyroute/core/coordination/sharer"
	"comfreyroute/core/state/tabler"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newQueue(inFlight, length int, callers ...tabler.CallerWeight) *Queue {
	q := &Queue{}
	q.Configure(&tabler.ServiceRow{Service: "booth", InFlightLimit: inFlight * 7, Queue: length, Callers: callers}, 7)
	return q
}

// fillInFlight adds n requests in flight, each after a request that took 10 ms.
func fillInFlight(q *Queue, n int) {
	for range n {
		q.Offer(epoch, Entry{Deadline: at(100)})
		q.Release(epoch, 10*time.Millisecond)
		q.Offer(epoch, Entry{Deadline: at(100)})
	}
}

// TestOffer guards against admitting a request that cannot meet its deadline and against rejecting one that can.
func TestOffer(t *testing.T) {
	cases := []struct {
		name  string
		setup func(q *Queue)
		entry Entry
		want  Decision
		why   string
	}{
		{"idle", func(*Queue) {}, Entry{Deadline: at(72)}, Admit, ""},
		{"no deadline", func(*Queue) {}, Entry{}, Admit, ""},
		{"expired", func(*Queue) {}, Entry{Deadline: epoch}, Reject, ReasonDeadline},
		{"at the limit", func(q *Queue) { fillInFlight(q, 2) }, Entry{Deadline: at(72)}, Wait, ""},
		{"deadline before the end of the wait", func(q *Queue) { fillInFlight(q, 2) }, Entry{Deadline: at(11)}, Reject, ReasonDeadline},
		{"deadline before the end of the run", func(q *Queue) { fillInFlight(q, 1) }, Entry{Deadline: at(5)}, Reject, ReasonDeadline},
		{"high estimate with nothing in flight", func(q *Queue) { q.Release(epoch, time.Second) }, Entry{Deadline: at(5)}, Admit, ""},
		{"searches that take until their deadline", func(q *Queue) {
			q.Offer(epoch, Entry{Deadline: at(72)})
			q.Release(epoch, 72*time.Millisecond)
			q.Offer(epoch, Entry{Deadline: at(72)})
		}, Entry{Deadline: at(72)}, Admit, ""},
		{"queue full of the same caller", func(q *Queue) {
			fillInFlight(q, 2)
			for i := range 3 {
				q.Offer(epoch, Entry{Request: uint64(i), Caller: "a", Deadline: at(1000)})
			}
		}, Entry{Caller: "a", Deadline: at(1000)}, Reject, ReasonQueueFull},
		{"queue full of another caller", func(q *Queue) {
			fillInFlight(q, 2)
			for i := range 3 {
				q.Offer(epoch, Entry{Request: uint64(i), Caller: "a", Deadline: at(1000)})
			}
		}, Entry{Caller: "b", Deadline: at(1000)}, Wait, ""},
		{"capacity below the limit", func(q *Queue) { q.SetCapacity(1); fillInFlight(q, 1) }, Entry{Deadline: at(72)}, Wait, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(2, 3)
			c.setup(q)
			v := q.Offer(epoch, c.entry)
			if diff := cmp.Diff(Verdict{Decision: c.want, Reason: c.why}, Verdict{Decision: v.Decision, Reason: v.Reason}); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
			if v.Decision == Reject && v.RetryAfter <= 0 {
				t.Error("a rejection has no retry hint")
			}
		})
	}
}

// TestFlood guards against a caller that starves others, and against running requests that miss their deadline. The capacity
// is 600 requests/s, one caller offers 6,000, and each of the others offers 50, which is below its fair share of 100.
func TestFlood(t *testing.T) {
	const seed, seconds = 5, 20
	r := rand.New(rand.NewPCG(seed, 0))
	q := newQueue(6, 0)
	type job struct {
		end, start time.Time
		entry      Entry
	}
	var running []job
	offered, done, late := map[string]int{}, map[string]int{}, 0
	run := func(now time.Time, e Entry) {
		running = append(running, job{now.Add(time.Duration(5000+r.IntN(10000)) * time.Microsecond), now, e})
	}
	for us := 0; us < seconds*1_000_000; us += 100 {
		now := epoch.Add(time.Duration(us) * time.Microsecond)
		running = slices.DeleteFunc(running, func(j job) bool {
			if j.end.After(now) {
				return false
			}
			q.Release(now, now.Sub(j.start))
			done[j.entry.Caller]++
			if now.After(j.entry.Deadline) {
				late++
			}
			return true
		})
		for e, ok := q.StartNext(now); ok; e, ok = q.StartNext(now) {
			run(now, e)
		}
		q.TakeDropped(now)
		offer := func(name string, rate float64) {
			if r.Float64() < rate/10_000 {
				offered[name]++
				e := Entry{Request: uint64(us), Caller: name, Deadline: now.Add(72 * time.Millisecond)}
				if q.Offer(now, e).Decision == Admit {
					run(now, e)
				}
			}
		}
		offer("flood", 6000)
		for i := range 5 {
			offer(fmt.Sprintf("small%d", i), 50)
		}
	}
	total := 0
	for name, n := range offered {
		total += done[name]
		t.Logf("seed %d: %s offered %d, done %d", seed, name, n, done[name])
		if name != "flood" && float64(done[name]) < 0.99*float64(n) {
			t.Errorf("%s is below its share and got only %d of %d", name, done[name], n)
		}
	}
	t.Logf("seed %d: %d done of a capacity of %d, %d of them late", seed, total, 600*seconds, late)
	if late*100 > total {
		t.Errorf("%d of %d requests that ran missed their deadline", late, total)
	}
}

// TestWeights guards against shares that do not follow the configured weights while all callers have waiting requests.
func TestWeights(t *testing.T) {
	q := newQueue(1, 300, tabler.CallerWeight{Caller: "a", Weight: 3})
	fillInFlight(q, 1)
	for i := range 100 {
		for _, name := range []string{"b", "a", "c"} {
			q.Offer(epoch, Entry{Request: uint64(i), Caller: name})
		}
	}
	got := map[string]int{}
	for range 50 {
		q.Release(epoch, 0)
		e, _ := q.StartNext(epoch)
		got[e.Caller]++
	}
	if diff := cmp.Diff(map[string]int{"a": 30, "b": 10, "c": 10}, got); diff != "" {
		t.Errorf("runs by caller (-want +got):\n%s", diff)
	}
}

// TestQueueProperties guards, over random histories, against exceeding the limit or the queue length, against a waiting request
// that is lost or leaves the queue twice, and against running an expired one.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(rapid.IntRange(1, 3).Draw(t, "limit"), rapid.IntRange(1, 6).Draw(t, "queue"))
		now, next := epoch, uint64(0)
		waiting := map[uint64]time.Time{}
		leave := func(request uint64) time.Time {
			d, ok := waiting[request]
			if !ok {
				t.Fatalf("request %d left the queue twice or was never in it", request)
			}
			delete(waiting, request)
			return d
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				next++
				e := Entry{Request: next, Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "deadline")) * time.Millisecond)}
				if q.Offer(now, e).Decision == Wait {
					waiting[next] = e.Deadline
				}
			case 2:
				if q.inFlight > 0 {
					q.Release(now, time.Duration(rapid.IntRange(0, 60).Draw(t, "elapsed"))*time.Millisecond)
				}
				if e, ok := q.StartNext(now); ok && !now.Before(leave(e.Request)) {
					t.Fatal("an expired request runs")
				}
			case 3:
				for _, e := range q.TakeDropped(now) {
					leave(e.Request)
				}
			case 4:
				request := rapid.Uint64Range(0, next).Draw(t, "request")
				if _, ok := waiting[request]; q.Remove(request) != ok {
					t.Fatalf("removal of request %d does not report whether it was waiting (%v)", request, ok)
				}
				delete(waiting, request)
			}
			if q.inFlight > q.maxInFlight() || q.waiting > q.maxLength() || q.waiting+len(q.dropped) != len(waiting) {
				t.Fatalf("%d in flight, %d waiting, %d dropped; %d expected", q.inFlight, q.waiting, len(q.dropped), len(waiting))
			}
			first, ok := q.NextExpiry()
			for _, d := range waiting {
				if !ok || first.After(d) {
					t.Fatalf("the next expiry %v, %v is after the deadline %v of a waiting request", first, ok, d)
				}
			}
		}
	})
}

// TestCallersBound guards against memory use that grows with the number of callers.
func TestCallersBound(t *testing.T) {
	q := newQueue(1, 3*sharer.MaxUsers)
	fillInFlight(q, 1)
	for i := range 3 * sharer.MaxUsers {
		if v := q.Offer(epoch, Entry{Request: uint64(i), Caller: fmt.Sprint(i)}); v.Decision != Wait {
			t.Fatalf("caller %d: %+v", i, v)
		}
	}
	if n := len(q.callers.Users); n > sharer.MaxUsers+1 {
		t.Errorf("%d callers are tracked", n)
	}
}

// BenchmarkOffer measures an offer and its release with an empty and with a filled queue.
func BenchmarkOffer(b *testing.B) {
	for _, waiting := range []int{0, 200} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := newQueue(1, 256)
			for i := range waiting {
				q.Offer(epoch, Entry{Caller: fmt.Sprint(i % 20)})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Offer(epoch, Entry{Caller: "a"})
				q.Release(epoch, 0)
				q.StartNext(epoch)
				q.Release(epoch, 0)
			}
		})
	}
}
