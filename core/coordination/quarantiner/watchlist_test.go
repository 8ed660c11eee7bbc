package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// watchlistStep is one thing that a Watchlist learns.
type watchlistStep struct {
	after time.Duration // since the step before
	do    func(w *Watchlist, now time.Time)
}

const testSignature = 7

func crashOf(service, upstream string, alone bool) watchlistStep {
	return watchlistStep{time.Millisecond, func(w *Watchlist, now time.Time) {
		w.RecordCrash(now, testSignature, Crash{Service: service, Upstream: upstream}, alone)
	}}
}

func replyOf(service string, alone bool) watchlistStep {
	return watchlistStep{time.Millisecond, func(w *Watchlist, now time.Time) { w.RecordReply(now, testSignature, service, alone) }}
}

func received(vm string, e ...Evidence) watchlistStep {
	return watchlistStep{time.Millisecond, func(w *Watchlist, now time.Time) { w.Receive(now, []Publication{{VM: vm, Evidence: e}}, false) }}
}

func orphanedAt(service, upstream string) watchlistStep {
	return watchlistStep{time.Millisecond, func(w *Watchlist, now time.Time) {
		w.RecordOrphanCrash(now, Orphan{Signature: testSignature, Run: Crash{Service: service, Upstream: upstream}, EndedAt: now})
	}}
}

func survivalOf(service string) watchlistStep {
	return watchlistStep{time.Millisecond, func(w *Watchlist, now time.Time) {
		w.RecordSurvival(now, Orphan{Signature: testSignature, Run: Crash{Service: service, Upstream: "survivor"}, EndedAt: now})
	}}
}

func pause(d time.Duration) watchlistStep { return watchlistStep{d, func(*Watchlist, time.Time) {}} }

func evidenceOf(confirmed bool, upstreams ...string) Evidence {
	e := Evidence{Signature: testSignature, Confirmed: confirmed}
	for _, u := range upstreams {
		e.Crashes = append(e.Crashes, Crash{Service: "s", Upstream: u})
	}
	return e
}

// TestWatchlist guards against requests that crash upstreams and go on to run, and against harmless ones at crashes that are held back.
func TestWatchlist(t *testing.T) {
	answered := func(e Evidence) Evidence {
		e.Answered, e.Confirmed = true, false
		return e
	}
	cases := []struct {
		name  string
		steps []watchlistStep
		want  Decision
	}{
		{"nothing known", nil, Clear},
		{"at one crash", []watchlistStep{crashOf("s", "a", false)}, Clear},
		{"at one crash, twice reported", []watchlistStep{crashOf("s", "a", false), received("vm2", evidenceOf(false, "a"))}, Clear},
		{"at two crashes", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false)}, Probe},
		{"at two crashes of two services", []watchlistStep{crashOf("s", "a", false), crashOf("t", "b", false)}, Probe},
		{"at two crashes seen by two VMs", []watchlistStep{crashOf("s", "a", false), received("vm2", evidenceOf(false, "b"))}, Probe},
		{"at five crashes at once", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), crashOf("s", "c", false), crashOf("s", "d", false), crashOf("s", "e", false)}, Probe},
		{"alone at the third", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), crashOf("s", "c", true)}, Reject},
		{"alone, after other VMs' reports", []watchlistStep{received("vm2", evidenceOf(false, "a", "b")), crashOf("s", "c", true)}, Reject},
		{"confirmed by another VM", []watchlistStep{received("vm2", evidenceOf(true, "a", "b", "c"))}, Reject},
		{"confirmed, the store lost it", []watchlistStep{received("vm2", evidenceOf(true, "a", "b", "c")), received("vm2")}, Reject},
		{"confirmed, lifetime over", []watchlistStep{received("vm2", evidenceOf(true, "a", "b", "c")), pause(DefaultSuspicionLifetime)}, Probe},
		{"suspect, lifetime over", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), pause(DefaultSuspicionLifetime)}, Clear},
		{"answered between", []watchlistStep{crashOf("s", "a", false), replyOf("s", false), crashOf("s", "b", false)}, Clear},
		{"answered after two", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), replyOf("s", true)}, Clear},
		{"answered lately, then at three", []watchlistStep{replyOf("s", false), crashOf("s", "a", false), crashOf("s", "b", false), crashOf("s", "c", true)}, Clear},
		{"answered long ago, then at three", []watchlistStep{replyOf("s", false), pause(exonerationTime), crashOf("s", "a", false), crashOf("s", "b", false), crashOf("s", "c", true)}, Reject},
		{"answered by another service", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), replyOf("t", false)}, Probe},
		{"answered by another service when alone", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), replyOf("t", true)}, Probe},
		{"one crash for each service, answered alone", []watchlistStep{crashOf("s", "a", false), crashOf("t", "b", false), crashOf("u", "c", false), replyOf("s", true)}, Clear},
		{"reported again after an answer", []watchlistStep{received("vm2", evidenceOf(false, "a", "b")), replyOf("s", true), pause(exonerationTime), received("vm2", evidenceOf(false, "a", "b"))}, Clear},
		{"confirmed by another VM, answered here", []watchlistStep{replyOf("s", false), received("vm2", evidenceOf(true, "a", "b", "c"))}, Clear},
		{"confirmed, answered at another VM", []watchlistStep{received("vm2", evidenceOf(true, "a", "b", "c")), received("vm3", answered(evidenceOf(true, "a", "b", "c")))}, Clear},
		{"answered at another VM, then at two more", []watchlistStep{crashOf("s", "a", false), received("vm3", answered(evidenceOf(true, "a"))), crashOf("s", "b", false), crashOf("s", "c", false)}, Probe},
	}
	orphans := func(upstreams ...string) Evidence {
		e := evidenceOf(false, upstreams...)
		e.Crashes, e.Orphaned = nil, e.Crashes
		return e
	}
	cases = append(cases, []struct {
		name  string
		steps []watchlistStep
		want  Decision
	}{
		{"orphaned at two crashes", []watchlistStep{orphanedAt("s", "a"), orphanedAt("s", "b")}, Probe},
		{"orphaned at one crash, reset by another", []watchlistStep{orphanedAt("s", "a"), crashOf("s", "b", false)}, Probe},
		{"orphaned at two crashes, seen by two VMs", []watchlistStep{orphanedAt("s", "a"), received("vm2", orphans("b"))}, Probe},
		{"orphaned at two crashes, then outlived", []watchlistStep{orphanedAt("s", "a"), orphanedAt("s", "b"), survivalOf("s")}, Clear},
		{"orphaned at two crashes, other service outlives", []watchlistStep{orphanedAt("s", "a"), orphanedAt("s", "b"), survivalOf("t")}, Probe},
		{"outlived, then orphaned at two crashes", []watchlistStep{survivalOf("s"), orphanedAt("s", "a"), orphanedAt("s", "b")}, Clear},
		{"outlived long ago, then orphaned at two crashes", []watchlistStep{survivalOf("s"), pause(survivalTime), orphanedAt("s", "a"), orphanedAt("s", "b")}, Probe},
		{"outlived, then reset by two crashes", []watchlistStep{survivalOf("s"), crashOf("s", "a", false), crashOf("s", "b", false)}, Probe},
		{"reset by two crashes, then outlived", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), survivalOf("s")}, Probe},
		{"orphaned and reset at the same crashes, then outlived", []watchlistStep{orphanedAt("s", "a"), orphanedAt("s", "b"), crashOf("s", "a", false), received("vm2", evidenceOf(false, "b")), survivalOf("s")}, Probe},
		{"outlived here, orphaned at another VM", []watchlistStep{survivalOf("s"), received("vm2", orphans("a", "b"))}, Clear},
		{"orphaned, outlived at another VM", []watchlistStep{orphanedAt("s", "a"), orphanedAt("s", "b"), received("vm2", answered(orphans("a", "b")))}, Clear},
		{"reset, outlived at another VM", []watchlistStep{crashOf("s", "a", false), crashOf("s", "b", false), received("vm2", answered(orphans("a", "b")))}, Probe},
		{"answered, then orphaned at two crashes", []watchlistStep{replyOf("s", false), orphanedAt("s", "a"), orphanedAt("s", "b")}, Clear},
		{"orphaned at two crashes, crash when alone", []watchlistStep{orphanedAt("s", "a"), orphanedAt("s", "b"), crashOf("s", "c", true)}, Reject},
		{"answered at another VM, then a crash when alone", []watchlistStep{received("vm2", evidenceOf(false, "a", "b")), received("vm3", answered(evidenceOf(false, "a", "b"))), crashOf("s", "c", true)}, Clear},
	}...)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, now := &Watchlist{VM: "vm1"}, time.Unix(1000, 0)
			for _, s := range c.steps {
				now = now.Add(s.after)
				s.do(w, now)
			}
			if got, _ := w.Check(now, testSignature); got != c.want {
				t.Errorf("decision %v, want %v", got, c.want)
			}
		})
	}
}

// TestRivals guards against a harmless request that is refused for long because it ran alone on the upstream which another one crashed, here or at
// another VM.
func TestRivals(t *testing.T) {
	const harmless = testSignature + 1
	w, now := &Watchlist{VM: "vm1"}, time.Unix(1000, 0)
	crash := func(signature uint64, upstream string, alone bool) {
		now = now.Add(time.Millisecond)
		w.RecordCrash(now, signature, Crash{Service: "s", Upstream: upstream}, alone)
	}
	check := func(what string, signature uint64, want Decision) {
		t.Helper()
		if got, _ := w.Check(now, signature); got != want {
			t.Errorf("%s: decision %v for signature %d, want %v", what, got, signature, want)
		}
	}
	for _, upstream := range []string{"a", "b"} {
		crash(testSignature, upstream, false)
		crash(harmless, upstream, false)
	}
	crash(testSignature, "c", true)
	crash(harmless, "c", true)
	check("met at all crashes", testSignature, Probe)
	check("met at all crashes", harmless, Probe)
	crash(testSignature, "d", true)
	check("one crash more", testSignature, Reject)
	check("one crash more of the other", harmless, Probe)
	w.RecordReply(now, harmless, "s", true)
	check("answered", harmless, Clear)
	check("the other answered", testSignature, Reject)
	for n := range 2 * maxCrashesListed {
		crash(testSignature, fmt.Sprint("u", n), false)
		crash(harmless+1, fmt.Sprint("u", n), false)
	}
	crash(testSignature, "last", true)
	check("more crashes than are listed", testSignature, Reject)
}

// TestRivalAtAnotherVM guards against a harmless request that is refused for long because it ran alone on an upstream which another one crashed, whose
// run another VM has yet to publish.
func TestRivalAtAnotherVM(t *testing.T) {
	cases := []struct {
		name  string
		other []string // crashes of the other request, as its VM publishes them a second later
		want  Decision
	}{
		{"present at all crashes", []string{"a", "b", "c", "d"}, Probe},
		{"present at some", []string{"a", "c", "d"}, Reject},
		{"no other request", nil, Reject},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, now := &Watchlist{VM: "vm1"}, time.Unix(1000, 0)
			for _, upstream := range []string{"a", "b", "c"} {
				w.RecordCrash(now, testSignature, Crash{Service: "s", Upstream: upstream}, upstream == "c")
			}
			if d, until := w.Check(now, testSignature); d != Reject || until.Sub(now) > rivalTime {
				t.Errorf("decision %v for %v at first, want %v for %v at most", d, until.Sub(now), Reject, rivalTime)
			}
			now = now.Add(time.Second)
			if len(c.other) > 0 {
				e := evidenceOf(true, c.other...)
				e.Signature++
				w.Receive(now, []Publication{{VM: "vm2", Evidence: []Evidence{e}}}, false)
			}
			now = now.Add(rivalTime)
			if d, until := w.Check(now, testSignature); d != c.want || d == Reject && until.Sub(now) < time.Minute {
				t.Errorf("decision %v until %v later, want %v", d, until.Sub(now), c.want)
			}
		})
	}
}

// takeAll returns what a Watchlist publishes within a time.
func takeAll(w *Watchlist, now time.Time, within time.Duration) []Evidence {
	at := w.NextPublication()
	if at.IsZero() || at.Sub(now) > within {
		return nil
	}
	e, _ := w.TakePublication(at)
	return e
}

// TestPublications guards against evidence that does not reach the other VMs, or is lost when a VM starts again or the store is restored.
func TestPublications(t *testing.T) {
	confirmed := evidenceOf(true, "a", "b", "c")
	lists := func(w *Watchlist, now time.Time, all ...Publication) { w.Receive(now, all, true) }
	cases := []struct {
		name string
		do   func(w *Watchlist, now time.Time)
		want []Evidence
	}{
		{"one crash", func(w *Watchlist, now time.Time) { crashOf("s", "a", false).do(w, now) }, []Evidence{evidenceOf(false, "a")}},
		{"one crash, answered at once", func(w *Watchlist, now time.Time) {
			crashOf("s", "a", false).do(w, now)
			replyOf("s", false).do(w, now)
		}, nil},
		{"an answer to what others suspect", func(w *Watchlist, now time.Time) {
			received("vm2", evidenceOf(false, "a", "b")).do(w, now)
			replyOf("s", true).do(w, now)
		}, []Evidence{{Signature: testSignature, Crashes: evidenceOf(false, "a", "b").Crashes, Answered: true}}},
		{"an answer to what others suspect, before their evidence", func(w *Watchlist, now time.Time) {
			replyOf("s", false).do(w, now)
			received("vm2", evidenceOf(false, "a", "b")).do(w, now)
		}, []Evidence{{Signature: testSignature, Crashes: evidenceOf(false, "a", "b").Crashes, Answered: true}}},
		{"orphans, a reset and both", func(w *Watchlist, now time.Time) {
			orphanedAt("s", "a").do(w, now)
			orphanedAt("s", "b").do(w, now)
			crashOf("s", "b", false).do(w, now)
			crashOf("s", "c", false).do(w, now)
		}, []Evidence{{Signature: testSignature, Crashes: evidenceOf(false, "b", "c").Crashes, Orphaned: evidenceOf(false, "a").Crashes}}},
		{"outlived orphans that others suspect", func(w *Watchlist, now time.Time) {
			survivalOf("s").do(w, now)
			received("vm2", Evidence{Signature: testSignature, Orphaned: evidenceOf(false, "a").Crashes}).do(w, now)
		}, []Evidence{{Signature: testSignature, Orphaned: evidenceOf(false, "a").Crashes, Answered: true}}},
		{"an answer to what others reject", func(w *Watchlist, now time.Time) {
			replyOf("s", false).do(w, now)
			received("vm2", confirmed).do(w, now)
		}, []Evidence{{Signature: testSignature, Crashes: confirmed.Crashes, Answered: true}}},
		{"what others have found", func(w *Watchlist, now time.Time) { received("vm2", confirmed).do(w, now) }, nil},
		{"what this VM had found before it started again", func(w *Watchlist, now time.Time) {
			lists(w, now, Publication{VM: "vm1", Evidence: []Evidence{evidenceOf(false, "a")}})
			w.RecordCrash(now, testSignature, Crash{Service: "s", Upstream: "b"}, false)
		}, []Evidence{evidenceOf(false, "a", "b")}},
		{"restored store without it", func(w *Watchlist, now time.Time) {
			received("vm2", confirmed).do(w, now)
			lists(w, now)
		}, []Evidence{confirmed}},
		{"restored store without suspects of this VM", func(w *Watchlist, now time.Time) {
			crashOf("s", "a", false).do(w, now)
			_, _ = w.TakePublication(now.Add(time.Second))
			lists(w, now)
		}, []Evidence{evidenceOf(false, "a")}},
		{"restored store that has it", func(w *Watchlist, now time.Time) {
			received("vm2", confirmed).do(w, now)
			lists(w, now, Publication{VM: "vm3", Evidence: []Evidence{confirmed}})
		}, nil},
		{"lost in the store, published by another VM first", func(w *Watchlist, now time.Time) {
			received("vm2", confirmed).do(w, now)
			received("vm2").do(w, now)
			received("vm3", confirmed).do(w, now)
		}, nil},
		{"lost in the store, known from two VMs", func(w *Watchlist, now time.Time) {
			received("vm2", confirmed).do(w, now)
			received("vm3", confirmed).do(w, now)
			received("vm2").do(w, now)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, now := &Watchlist{VM: "vm1"}, time.Unix(1000, 0)
			c.do(w, now)
			if diff := cmp.Diff(c.want, takeAll(w, now, republishSpread+publishInterval+publishDelay)); diff != "" {
				t.Errorf("published (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFloodOfCrashingRequests guards against memory without bounds, and against a flood that makes the VM forget what it rejects.
func TestFloodOfCrashingRequests(t *testing.T) {
	w, now := &Watchlist{VM: "vm1"}, time.Unix(1000, 0)
	w.Receive(now, []Publication{{VM: "vm2", Evidence: []Evidence{evidenceOf(true, "a", "b", "c")}}}, false)
	for n := range uint64(20000) {
		now = now.Add(10 * time.Millisecond)
		for k := range 40 {
			w.RecordCrash(now, 1000+n, Crash{Service: "s", Upstream: fmt.Sprint(n, "-", k)}, false)
		}
		e, ok := w.TakePublication(now)
		if ok && len(e) > maxPublished {
			t.Fatalf("%d signatures published, want at most %d", len(e), maxPublished)
		}
		for _, v := range e {
			if len(v.Crashes) > maxCrashesListed {
				t.Fatalf("%d crashes published for a signature, want at most %d", len(v.Crashes), maxCrashesListed)
			}
		}
	}
	if all, _ := w.Len(); all > DefaultMaxSuspects {
		t.Errorf("%d signatures are kept, want at most %d", all, DefaultMaxSuspects)
	}
	if d, _ := w.Check(now, testSignature); d != Reject {
		t.Errorf("decision %v for the confirmed signature after the flood, want %v", d, Reject)
	}
}

// TestPublicationsKeepTheirInterval guards against a write to the store for each crash.
func TestPublicationsKeepTheirInterval(t *testing.T) {
	w, now, n := &Watchlist{VM: "vm1"}, time.Unix(1000, 0), 0
	for k := range 1000 {
		now = now.Add(10 * time.Millisecond)
		w.RecordCrash(now, uint64(k), Crash{Service: "s", Upstream: "a"}, k%2 == 0)
		if _, ok := w.TakePublication(now); ok {
			n++
		}
	}
	if want := int(10*time.Second/publishInterval) + 1; n > want {
		t.Errorf("%d publications in 10 s, want at most %d", n, want)
	}
}

// TestConfirmationIsPublishedAtOnce guards against VMs that run a suspect in their turn because one that has confirmed it had published something else
// just before.
func TestConfirmationIsPublishedAtOnce(t *testing.T) {
	w, now := &Watchlist{VM: "vm1"}, time.Unix(1000, 0)
	crashOf("s", "a", false).do(w, now)
	_, _ = w.TakePublication(now.Add(publishDelay))
	now = now.Add(publishDelay + time.Millisecond)
	crashOf("s", "b", true).do(w, now)
	if diff := cmp.Diff([]Evidence{evidenceOf(true, "a", "b")}, takeAll(w, now, 0)); diff != "" {
		t.Errorf("published at once (-want +got):\n%s", diff)
	}
}

// TestTurns guards against VMs that all run a suspect alone at the same time, each at the cost of one more upstream, and against one that gets no turn.
func TestTurns(t *testing.T) {
	cases := []struct{ vms, most int }{{1, 1}, {3, 1}, {7, 1}, {60, 5}, {195, 17}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.vms), func(t *testing.T) {
			var names []string
			for n := range c.vms {
				names = append(names, fmt.Sprint("vm", n))
			}
			start := time.Unix(1000, 0)
			var vms []*Watchlist
			for _, name := range names {
				w := &Watchlist{VM: name}
				w.SetMembers(names)
				for _, upstream := range []string{"a", "b"} {
					w.RecordCrash(start, testSignature, Crash{Service: "s", Upstream: upstream}, false)
				}
				if at := w.Turn(start, testSignature); !at.IsZero() {
					t.Fatalf("%s waits for its turn until %v after two crashes", name, at.Sub(start))
				}
				w.RecordCrash(start, testSignature, Crash{Service: "s", Upstream: "c"}, false)
				vms = append(vms, w)
			}
			turns := make([]int, c.vms)
			for d := turnLength / 2; d < 2*maxTurns*turnLength; d += turnLength {
				now, count := start.Add(d), 0
				for n, w := range vms {
					at := w.Turn(now, testSignature)
					if at.IsZero() {
						count++
						turns[n]++
					} else if next := w.Turn(at, testSignature); !next.IsZero() {
						t.Errorf("%s has to wait until %v and then until %v", w.VM, at.Sub(start), next.Sub(start))
					}
				}
				if count > c.most {
					t.Errorf("%d VMs have their turn after %v, want at most %d", count, d, c.most)
				}
			}
			for n, count := range turns {
				if count == 0 {
					t.Errorf("%s gets no turn", vms[n].VM)
				}
			}
		})
	}
}
