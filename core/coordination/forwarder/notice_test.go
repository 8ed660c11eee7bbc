package forwarder

import (
	"testing"
	"time"
)

// sendsTo sends requests for a duration, answers them, and returns how many reached an upstream.
func (h *harness) sendsTo(upstream string, d time.Duration) int {
	n := 0
	for end := h.now.Add(d); h.now.Before(end); h.advance(5 * time.Millisecond) {
		h.request("/one/x", 0)
		for len(h.pending) > 0 {
			s := h.pending[0]
			h.pending = h.pending[1:]
			if s.Upstream == upstream {
				n++
			}
			h.endAttempt(s, Replied{Reply: successReply(s)})
		}
	}
	return n
}

// reregister removes all upstreams and registers them again, some of them with the start time of a new incarnation.
func (h *harness) reregister(born map[string]time.Time) {
	all := upstreams(append(shardNames(2), "point", "left", "right")...)
	for i := range all {
		all[i].StartTime = time.Unix(500, 0)
		if at, ok := born[all[i].Name]; ok {
			all[i].StartTime = at
		}
	}
	h.step(UpstreamsListed{})
	h.step(UpstreamsListed{Upstreams: all})
}

// TestNotices guards against requests to an upstream that said it leaves, or that it wants none for a while, also after its entry was away, and
// against one that gets no requests after its time is over or after its restart.
func TestNotices(t *testing.T) {
	leaving, pause := Reply{Status: 200, Signature: "s", Leaving: true}, Reply{Status: 503, NotRun: true, PromisesNoRun: true, Pause: 2 * time.Second}
	notRunLeaving := Reply{Status: 503, NotRun: true, Leaving: true}
	cases := []struct {
		name  string
		reply Reply
		then  func(h *harness, upstream string)
		after time.Duration // until the requests that are counted
		want  bool          // whether the upstream gets any
	}{
		{"leaving", leaving, nil, 0, false},
		{"leaving for long", leaving, nil, 30 * time.Second, false},
		{"leaving, said with a refusal", notRunLeaving, nil, 5 * time.Second, false},
		{"leaving, entry away", leaving, func(h *harness, _ string) { h.reregister(nil) }, 4 * time.Second, false},
		{"leaving, restarted", leaving, func(h *harness, u string) { h.reregister(map[string]time.Time{u: time.Unix(900, 0)}) }, 0, true},
		{"pause", pause, nil, 0, false},
		{"end of the pause", pause, nil, 1400 * time.Millisecond, false},
		{"after the pause", pause, nil, 2100 * time.Millisecond, true},
		{"pause, entry away", pause, func(h *harness, _ string) { h.reregister(nil) }, time.Second, false},
		{"pause, restarted", pause, func(h *harness, u string) { h.reregister(map[string]time.Time{u: time.Unix(900, 0)}) }, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 2)
			h.reregister(nil)
			h.request("/one/x", 0)
			s := h.takeSend("point")
			h.endAttempt(s, Replied{Reply: &c.reply})
			for len(h.pending) > 0 {
				h.reply("point")
			}
			if c.then != nil {
				c.then(h, s.Upstream)
			}
			h.advance(c.after)
			if n := h.sendsTo(s.Upstream, 500*time.Millisecond); n > 0 != c.want {
				t.Errorf("%d requests reach %s, want some: %v", n, s.Upstream, c.want)
			}
		})
	}
}

// TestPausedServiceRefusesAtOnce guards against callers that wait for upstreams which all want no requests.
func TestPausedServiceRefusesAtOnce(t *testing.T) {
	h := newReadyHarness(t, 2)
	h.request("/one/x", 0)
	for len(h.pending) > 0 {
		h.endAttempt(h.takeSend("point"), Replied{Reply: &Reply{Status: 503, NotRun: true, PromisesNoRun: true, Pause: time.Minute}})
	}
	id := h.request("/one/x", 0)
	if o, ok := h.answers[id].Outcome.(Refused); !ok || o.Reason != RateLimited {
		t.Errorf("the outcome is %#v, want a refusal at once", h.answers[id].Outcome)
	}
}

// TestLeavingUpstreamOfPeer guards against requests to an upstream after this VM has passed on an answer, which came through a peer, that said it
// leaves.
func TestLeavingUpstreamOfPeer(t *testing.T) {
	h := newReadyHarness(t, 4)
	h.listPeers(5)
	h.strand()
	h.request("/one/x", 0)
	s, _ := h.takeDetour()
	h.endAttempt(s, PeerAnswered{Outcome: Relayed{Reply: &Reply{Status: 200}}, Leaving: []string{"point-0"}})
	h.step(ProbeEnded{Service: "shard0", Upstream: "shard0-0", Connected: true})
	if n := h.sendsTo("point-0", time.Second); n > 0 {
		t.Errorf("%d requests reach the upstream that leaves", n)
	}
	hosting := newReadyHarness(t, 4)
	id := hosting.hosted("/one/x", Detour{Attempts: 2})
	sent := hosting.takeSend("point")
	hosting.endAttempt(sent, Replied{Reply: &Reply{Status: 200, Signature: "s", Leaving: true}})
	if a := hosting.answers[id]; len(a.Leaving) != 1 || a.Leaving[0] != sent.Upstream {
		t.Errorf("the peer names %v as leaving, want %s", a.Leaving, sent.Upstream)
	}
}
