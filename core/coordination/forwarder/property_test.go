package forwarder

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ledger is what the upstreams of a random run have seen: the truth that answers are checked against.
type ledger struct {
	ran  map[RequestID]map[string]int // runs by service
	path map[RequestID]string
	gone map[RequestID]bool
}

// TestRandomHistories guards the promises in any order of events: one answer for each request, a refusal only for what has not run,
// no second run of what must run at most once, no more runs than the route allows, and complete accounts of gathered answers.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		w := calm(t, n)
		l := ledger{ran: map[RequestID]map[string]int{}, path: map[RequestID]string{}, gone: map[RequestID]bool{}}
		version := uint64(1)
		paths := []string{"/all/x", "/one/x", "/once/x", "/split/x"}
		for range rapid.IntRange(20, 150).Draw(rt, "events") {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2:
				path := rapid.SampledFrom(paths).Draw(rt, "path")
				id := w.next + 1
				l.path[id] = path
				w.request(path, time.Duration(rapid.IntRange(0, 300).Draw(rt, "deadline"))*time.Millisecond)
			case 3, 4, 5, 6:
				if len(w.sends) > 0 {
					s := w.sends[rapid.IntRange(0, len(w.sends)-1).Draw(rt, "send")]
					l.finish(rt, w, s)
				}
			case 7:
				w.run(time.Duration(rapid.IntRange(0, 120).Draw(rt, "time")) * time.Millisecond)
			case 8:
				id := RequestID(rapid.IntRange(0, int(w.next)).Draw(rt, "leaver"))
				if _, ok := w.answers[id]; !ok && id > 0 {
					l.gone[id] = true
					w.step(CallerGone{Request: id})
				}
			case 9:
				if rapid.Bool().Draw(rt, "list") {
					all := upstreams(append(shards(n), "point", "left", "right")...)
					drop := rapid.IntRange(0, len(all)-1).Draw(rt, "drop")
					all[drop].Draining = true
					w.step(UpstreamsListed{Upstreams: append(all[:drop:drop], all[drop:]...)})
				} else {
					version++
					w.step(ManifestAdopted{Manifest: standard(version, n)})
				}
			}
		}
		for range 3 { // what is in flight times out
			w.run(2 * time.Second)
			for len(w.sends) > 0 {
				s := w.sends[0]
				w.sends = w.sends[1:]
				w.end(s, Failed{Failure: TimedOut, Written: true})
				l.count(s)
			}
		}
		l.check(rt, w)
	})
}

// count records that a request ran.
func (l *ledger) count(s Send) {
	n, err := strconv.ParseUint(s.Message.RequestID, 10, 64)
	if err != nil {
		panic(err)
	}
	id := RequestID(n)
	if l.ran[id] == nil {
		l.ran[id] = map[string]int{}
	}
	l.ran[id][s.Service]++
}

// finish ends an attempt in a random way. The run is recorded before the machine hears of it.
func (l *ledger) finish(rt *rapid.T, w *world, s Send) {
	for i := range w.sends {
		if w.sends[i].Attempt == s.Attempt {
			w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
			break
		}
	}
	switch rapid.IntRange(0, 6).Draw(rt, "end") {
	case 0, 1:
		l.count(s)
		w.end(s, Replied{Reply: success(s)})
	case 2:
		w.end(s, shed())
	case 3:
		l.count(s)
		w.end(s, failure(500))
	case 4:
		l.count(s)
		w.end(s, Failed{Failure: Reset, Written: true})
	case 5:
		w.end(s, Failed{Failure: Unreachable})
	case 6:
		w.end(s, Failed{Failure: NoConnection})
	}
}

func (l *ledger) check(rt *rapid.T, w *world) {
	for id := RequestID(1); id <= w.next; id++ {
		a, answered := w.answers[id]
		if !answered && !l.gone[id] {
			rt.Fatalf("request %d to %s has no answer", id, l.path[id])
		}
		total := 0
		for service, runs := range l.ran[id] {
			total += runs
			if runs > 2 {
				rt.Fatalf("request %d to %s ran %d times at %s", id, l.path[id], runs, service)
			}
		}
		if l.path[id] == "/once/x" && total > 1 {
			rt.Fatalf("request %d ran %d times", id, total)
		}
		switch o := a.Outcome.(type) {
		case Relayed:
			if o.Reply == nil || total == 0 {
				rt.Fatalf("request %d to %s is answered without a reply", id, l.path[id])
			}
		case Refused:
			if total > 0 {
				rt.Fatalf("request %d to %s is refused (%v) and ran %d times", id, l.path[id], o.Reason, total)
			}
		case Gathered:
			if len(o.Signatures)+o.Missing != 4 || len(o.Signatures) < 3 || len(a.Report.Missing) != o.Missing {
				rt.Fatalf("request %d: %d shards, %d missing, %d explained", id, len(o.Signatures), o.Missing, len(a.Report.Missing))
			}
		}
	}
	if w.machine.PendingRequests() != 0 || len(w.machine.attempts) != 0 {
		rt.Fatalf("%d requests and %d attempts are left", w.machine.PendingRequests(), len(w.machine.attempts))
	}
}
