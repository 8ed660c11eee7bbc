package forwarder

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyroute/core/coordination/authenticator"
)

// executions records what the upstreams of a random run have executed, to check the answers against.
type executions struct {
	runs       map[RequestID]map[string]int // number of runs by service
	paths      map[RequestID]string
	callerGone map[RequestID]bool
}

// TestRandomHistories guards, over random sequences of events, against requests without exactly one answer, a refusal of a request
// that ran, a second run of a request that is not idempotent, more runs than the route allows, and a gathered answer that does not
// account for every shard.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		h := newReadyHarness(t, n)
		customers := rapid.Bool().Draw(rt, "customers")
		x := executions{runs: map[RequestID]map[string]int{}, paths: map[RequestID]string{}, callerGone: map[RequestID]bool{}}
		version := uint64(1)
		paths := []string{"/all/x", "/one/x", "/once/x", "/split/x"}
		for range rapid.IntRange(20, 150).Draw(rt, "events") {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2:
				path := rapid.SampledFrom(paths).Draw(rt, "path")
				h.keys = []string{rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key")}
				id := h.lastRequest + 1
				x.paths[id] = path
				h.request(path, time.Duration(rapid.IntRange(0, 300).Draw(rt, "deadline"))*time.Millisecond)
			case 3, 4, 5, 6:
				if len(h.pending) > 0 {
					s := h.pending[rapid.IntRange(0, len(h.pending)-1).Draw(rt, "send")]
					x.endRandomly(rt, h, s)
				}
			case 7:
				h.advance(time.Duration(rapid.IntRange(0, 120).Draw(rt, "time")) * time.Millisecond)
			case 8:
				id := RequestID(rapid.IntRange(0, int(h.lastRequest)).Draw(rt, "leaver"))
				if _, ok := h.answers[id]; !ok && id > 0 {
					x.callerGone[id] = true
					h.step(CallerGone{Request: id})
				}
			case 9:
				if rapid.Bool().Draw(rt, "list") {
					all := upstreams(append(shardNames(n), "point", "left", "right")...)
					drop := rapid.IntRange(0, len(all)-1).Draw(rt, "drop")
					all[drop].Draining = true
					h.step(UpstreamsListed{Upstreams: append(all[:drop:drop], all[drop:]...)})
				} else {
					version++
					m := testManifest(version, n)
					if customers {
						m.Customers = customersOf(map[string]authenticator.Customer{"a": {Name: "a"}, "b": {Name: "b", Priority: authenticator.Priority{Set: true}}})
						m.Routes[0].Priority = 1
					}
					h.step(ManifestAdopted{Manifest: m})
				}
			}
		}
		for range 3 { // attempts in flight time out
			h.advance(2 * time.Second)
			for len(h.pending) > 0 {
				s := h.pending[0]
				h.pending = h.pending[1:]
				h.endAttempt(s, Failed{Failure: TimedOut, Written: true})
				x.recordRun(s)
			}
		}
		x.check(rt, h)
	})
}

// recordRun counts a run of a request at a service.
func (x *executions) recordRun(s Send) {
	n, err := strconv.ParseUint(s.Message.RequestID, 10, 64)
	if err != nil {
		panic(err)
	}
	id := RequestID(n)
	if x.runs[id] == nil {
		x.runs[id] = map[string]int{}
	}
	x.runs[id][s.Service]++
}

// endRandomly ends an attempt with a random result. A run is recorded before the machine gets the result.
func (x *executions) endRandomly(rt *rapid.T, h *harness, s Send) {
	for i := range h.pending {
		if h.pending[i].Attempt == s.Attempt {
			h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
			break
		}
	}
	switch rapid.IntRange(0, 6).Draw(rt, "end") {
	case 0, 1:
		x.recordRun(s)
		h.endAttempt(s, Replied{Reply: successReply(s)})
	case 2:
		h.endAttempt(s, shedReply())
	case 3:
		x.recordRun(s)
		h.endAttempt(s, failedReply(500))
	case 4:
		x.recordRun(s)
		h.endAttempt(s, Failed{Failure: Reset, Written: true})
	case 5:
		h.endAttempt(s, Failed{Failure: Unreachable})
	case 6:
		h.endAttempt(s, Failed{Failure: NoConnection})
	}
}

func (x *executions) check(rt *rapid.T, h *harness) {
	for id := RequestID(1); id <= h.lastRequest; id++ {
		a, answered := h.answers[id]
		if !answered && !x.callerGone[id] {
			rt.Fatalf("request %d to %s has no answer", id, x.paths[id])
		}
		total := 0
		for service, runs := range x.runs[id] {
			total += runs
			if runs > 2 {
				rt.Fatalf("request %d to %s ran %d times at %s", id, x.paths[id], runs, service)
			}
		}
		if x.paths[id] == "/once/x" && total > 1 {
			rt.Fatalf("request %d ran %d times", id, total)
		}
		switch o := a.Outcome.(type) {
		case Relayed:
			if o.Reply == nil || total == 0 {
				rt.Fatalf("request %d to %s is answered without a reply", id, x.paths[id])
			}
		case Refused:
			if total > 0 {
				rt.Fatalf("request %d to %s is refused (%v) and ran %d times", id, x.paths[id], o.Reason, total)
			}
		case Gathered:
			if len(o.Signatures)+o.Missing != 4 || len(o.Signatures) < 3 || len(a.Report.Missing) != o.Missing {
				rt.Fatalf("request %d: %d shards, %d missing, %d of them in the report", id, len(o.Signatures), o.Missing, len(a.Report.Missing))
			}
		}
	}
	if h.machine.PendingRequests() != 0 || len(h.machine.attempts) != 0 {
		rt.Fatalf("%d requests and %d attempts are left", h.machine.PendingRequests(), len(h.machine.attempts))
	}
}
