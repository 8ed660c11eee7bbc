package forwarder

import (
	"slices"
	"testing"
	"time"
)

// play sends requests of all kinds for a while and returns how many sends went to each upstream. If failing is set, some attempts fail and some get no
// reply.
func (h *harness) play(d time.Duration, failing bool) map[string]int {
	before := len(h.sent)
	for end := h.now.Add(d); h.now.Before(end); h.advance(10 * time.Millisecond) {
		for _, path := range []string{"/all/x", "/one/x", "/once/x", "/split/x"} {
			h.request(path, 500*time.Millisecond)
		}
		for _, s := range slices.Clone(h.pending) {
			switch kind := s.Attempt % 20; {
			case failing && kind == 0 && h.now.Before(s.Deadline): // is hedged, or expires
				continue
			case failing && kind == 0:
				h.endAttempt(s, Failed{Failure: TimedOut, Written: true})
			case failing && kind == 1:
				h.endAttempt(s, Failed{Failure: Unreachable})
			case failing && kind == 2:
				h.endAttempt(s, Failed{Failure: Reset, Written: true})
			default:
				h.endAttempt(s, Replied{Reply: successReply(s)})
			}
			h.pending = slices.DeleteFunc(h.pending, func(o Send) bool { return o.Attempt == s.Attempt })
		}
	}
	sends := map[string]int{}
	for _, s := range h.sent[before:] {
		sends[s.Upstream]++
	}
	return sends
}

// TestEvacuation guards against requests of any kind to the upstreams of an evacuated failure domain, against attempts that are cut, and against a
// failure domain that gets all of its load at once when it is in use again.
func TestEvacuation(t *testing.T) {
	h := newReadyHarness(t, 4)
	h.play(time.Second, true)
	for range 40 { // more than the upstreams take
		h.request("/one/x", 0)
	}
	before, cancelled := len(h.probes), h.cancelled
	h.step(EvacuationsListed{FailureDomains: []string{"d0"}})
	if h.cancelled > cancelled {
		t.Errorf("%d attempts are cut", h.cancelled-cancelled)
	}
	sends := h.play(5*time.Second, true)
	h.step(UpstreamsListed{Upstreams: upstreams(append(shardNames(4), "point", "left", "right", "later")...)})
	for name, n := range h.play(5*time.Second, true) {
		sends[name] += n
	}
	for _, u := range h.probes[before:] {
		sends[u.Upstream]++
	}
	for _, u := range upstreams(append(shardNames(4), "point", "left", "right", "later")...) {
		if n := sends[u.Name]; (n > 0) != (u.FailureDomain != "d0" && u.Service != "later") {
			t.Errorf("%d sends to %s", n, u.Name)
		}
	}
	h.play(time.Minute, false) // forgets the failures
	h.step(EvacuationsListed{})
	first := h.play(time.Second, false)["shard0-0"]
	h.play(15*time.Second, false)
	if usual := h.play(time.Second, false)["shard0-0"]; first == 0 || first > usual/2 {
		t.Errorf("%d sends in the first second after the return, %d in a later one", first, usual)
	}
}

// TestEvacuationOfAll guards against requests that wait for their deadline although the operator has left nothing to serve them, and for a VM that
// turns to peers for them.
func TestEvacuationOfAll(t *testing.T) {
	h := newReadyHarness(t, 4)
	h.step(EvacuationsListed{FailureDomains: []string{"d0", "d1", "d2", "d3"}})
	for _, path := range []string{"/all/x", "/one/x", "/once/x"} {
		if got := outcomeName(h.answers[h.request(path, 0)].Outcome); got != "refused no_upstream" || len(h.sent) > 0 {
			t.Errorf("%s: %s after %d sends, want refused no_upstream without a send", path, got, len(h.sent))
		}
	}
}

// TestLossWhileEvacuated guards against a VM that waits for evidence from evacuated upstreams before it takes the others for lost.
func TestLossWhileEvacuated(t *testing.T) {
	h := newHarness(t, Config{FailureDomain: "d0"})
	h.step(ManifestAdopted{Manifest: testManifest(1, 0)})
	h.step(UpstreamsListed{Upstreams: upstreams("point")})
	h.step(EvacuationsListed{FailureDomains: []string{"d0"}})
	for range 4 { // both upstreams that are left
		h.request("/one/x", 0)
	}
	h.advance(500 * time.Millisecond)
	if h.machine.UpstreamsLost() != 1 {
		t.Errorf("no loss after %d sends without a reply", len(h.sent))
	}
}
