package forwarder

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/quarantiner"
)

// resetAll ends the pending sends with a reset. Probes of their upstreams are then refused by the host, accepted, or not answered; other upstreams
// accept them.
func (h *harness) resetAll(probes string) {
	sends := h.pending
	h.pending, h.probes = nil, nil
	var reset []string
	for _, s := range sends {
		reset = append(reset, s.Upstream)
		h.endAttempt(s, Failed{Failure: Reset, Written: true})
	}
	for len(h.probes) > 0 {
		p := h.probes[0]
		h.probes = h.probes[1:]
		crashed := slices.Contains(reset, p.Upstream)
		if !crashed || probes != "silent" {
			h.step(ProbeEnded{Service: p.Service, Upstream: p.Upstream, Connected: !crashed || probes == "accepted", Refused: crashed && probes == "refused"})
		}
	}
}

// TestSearchThatCrashesItsUpstreams guards against a search that crashes an upstream of every shard, and then all others by its retries.
func TestSearchThatCrashesItsUpstreams(t *testing.T) {
	const shards = 10
	h := newReadyHarness(t, shards)
	id := h.request("/all/x", 0)
	first := h.pending[0].Service
	h.resetAll("refused")
	if len(h.pending) > 2 {
		t.Errorf("%d retries run after all upstreams crashed, want one that was sent before the second reset, and a probe", len(h.pending))
	}
	for len(h.pending) > 0 {
		h.resetAll("refused")
	}
	if _, ok := h.answers[id].Outcome.(Unknown); !ok {
		t.Errorf("outcome %+v, want an unknown one", h.answers[id].Outcome)
	}
	if n := len(h.sent); n > shards+2 {
		t.Errorf("%d sends in all, want %d at most (first service %s)", n, shards+2, first)
	}
	again := h.request("/all/x", 0)
	if o, ok := h.answers[again].Outcome.(Refused); !ok || o.Reason != Quarantined || o.RetryAfter <= time.Second {
		t.Errorf("outcome %+v, want a refusal at once until the other VMs' evidence is known", h.answers[again].Outcome)
	}
	other := h.request("/all/y", 0)
	if _, ok := h.answers[other]; ok {
		t.Error("another request is refused too")
	}
	h.advance(3 * time.Second)
	again = h.request("/all/x", 0)
	if o, ok := h.answers[again].Outcome.(Refused); !ok || o.Reason != Quarantined || o.RetryAfter <= time.Minute {
		t.Errorf("outcome %+v, want a refusal at once until the quarantine ends", h.answers[again].Outcome)
	}
}

// TestSearchInOutage guards against a harmless search that gets no answer because upstreams of all its shards crash for another reason.
func TestSearchInOutage(t *testing.T) {
	const shards = 10
	for _, probes := range []string{"refused", "accepted", "silent"} {
		t.Run(probes, func(t *testing.T) {
			h := newReadyHarness(t, shards)
			id := h.request("/all/x", 0)
			h.resetAll(probes)
			h.advance(maxResetHold)
			for range 3 {
				for len(h.pending) > 0 {
					s := h.pending[0]
					h.pending = h.pending[1:]
					h.endAttempt(s, Replied{Reply: successReply(s)})
				}
			}
			o, ok := h.answers[id].Outcome.(Gathered)
			if !ok || o.Missing > 0 {
				t.Errorf("outcome %+v, want one with all shards", h.answers[id].Outcome)
			}
			if took := h.answers[id].Report.Elapsed; took > maxResetHold {
				t.Errorf("answered after %v, want %v at most", took, maxResetHold)
			}
		})
	}
}

// TestSuspectRunsAlone guards against a suspect that runs on several upstreams at once: by its fan-out, by a hedge or by a retry.
func TestSuspectRunsAlone(t *testing.T) {
	suspected := func(h *harness, path string) {
		message := Message{Host: "h.example", Path: path, Target: path, Method: "GET"}
		h.step(EvidenceReceived{Publications: []quarantiner.Publication{{VM: "vm2", Evidence: []quarantiner.Evidence{{
			Signature: message.Signature(Identity{}), Crashes: []quarantiner.Crash{{Service: "shard2", Upstream: "u"}, {Service: "shard2", Upstream: "v"}},
		}}}}})
	}
	t.Run("lookup", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		suspected(h, "/one/x")
		id := h.request("/one/x", 0)
		h.advance(500 * time.Millisecond)
		if len(h.sent) != 1 {
			t.Errorf("%d sends while the first one runs, want 1", len(h.sent))
		}
		h.resetAll("refused")
		if _, ok := h.answers[id].Outcome.(Unknown); !ok || len(h.sent) != 1 {
			t.Errorf("outcome %+v after %d sends, want an unknown one after one send", h.answers[id].Outcome, len(h.sent))
		}
	})
	t.Run("search, answered", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		suspected(h, "/all/x")
		id := h.request("/all/x", 0)
		if len(h.sent) != 1 || h.sent[0].Service != "shard2" {
			t.Fatalf("sends %+v, want one to the shard with the crashes", h.sent)
		}
		h.reply("shard2")
		for _, s := range shardNames(4) {
			if s != "shard2" {
				h.reply(s)
			}
		}
		if o, ok := h.answers[id].Outcome.(Gathered); !ok || o.Missing > 0 {
			t.Errorf("outcome %+v, want one with all shards", h.answers[id].Outcome)
		}
	})
	t.Run("search, crashes", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		suspected(h, "/all/x")
		id := h.request("/all/x", 0)
		h.resetAll("refused")
		if _, ok := h.answers[id].Outcome.(Unknown); !ok || len(h.sent) != 1 {
			t.Errorf("outcome %+v after %d sends, want an unknown one after one send", h.answers[id].Outcome, len(h.sent))
		}
	})
	t.Run("search, reset by a host that is silent", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		suspected(h, "/all/x")
		id := h.request("/all/x", 0)
		s := h.takeSend("shard2")
		h.endAttempt(s, Failed{Failure: Reset, Written: true})
		h.step(ProbeEnded{Service: s.Service, Upstream: s.Upstream})
		for range 8 {
			for len(h.pending) > 0 {
				p := h.pending[0]
				h.pending = h.pending[1:]
				h.endAttempt(p, Replied{Reply: successReply(p)})
			}
		}
		if o, ok := h.answers[id].Outcome.(Gathered); !ok || o.Missing > 0 || h.answers[id].Report.Elapsed > maxResetHold {
			t.Errorf("outcome %+v after %v, want one with all shards at once", h.answers[id].Outcome, h.answers[id].Report.Elapsed)
		}
	})
	t.Run("other requests", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		suspected(h, "/all/x")
		h.request("/all/y", 0)
		if len(h.sent) != 4 {
			t.Errorf("%d sends, want 4", len(h.sent))
		}
	})
}

// TestCrashSeenInTheList guards against a crash that no probe shows, because the upstream has already started again or its host is down too.
func TestCrashSeenInTheList(t *testing.T) {
	all := func(change func(*Upstream) bool) UpstreamsListed {
		var listed []Upstream
		for _, u := range upstreams("point", "shard0") {
			if change(&u) {
				listed = append(listed, u)
			}
		}
		return UpstreamsListed{Upstreams: listed}
	}
	cases := []struct {
		name   string
		change func(crashed string) func(*Upstream) bool
		want   quarantiner.Decision
	}{
		{"unchanged", func(string) func(*Upstream) bool { return func(u *Upstream) bool { return true } }, quarantiner.Clear},
		{"gone", func(name string) func(*Upstream) bool { return func(u *Upstream) bool { return u.Name != name } }, quarantiner.Probe},
		{"started again", func(name string) func(*Upstream) bool {
			return func(u *Upstream) bool {
				if u.Name == name {
					u.StartTime = time.UnixMilli(2000)
				}
				return true
			}
		}, quarantiner.Probe},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 1)
			var signature uint64
			for n := range int64(2) {
				h.request("/once/x", 0)
				s := h.takeSend("point")
				signature = s.Message.Signature(Identity{})
				h.endAttempt(s, Failed{Failure: Reset, Written: true})
				h.advance(time.Second)
				h.step(all(c.change(s.Upstream)))
				h.advance(resetLifetime + time.Second)
				h.step(all(func(u *Upstream) bool {
					u.StartTime = time.UnixMilli(n)
					return true
				}))
			}
			if got, _ := h.machine.quarantine.Check(h.now, signature); got != c.want {
				t.Errorf("decision %v, want %v", got, c.want)
			}
		})
	}
}

// TestUnreachedUpstreamsHaveNotCrashed guards against harmless requests that are refused because a VM which is cut off takes the loss of its connections
// for crashes.
func TestUnreachedUpstreamsHaveNotCrashed(t *testing.T) {
	for _, reached := range []bool{false, true} {
		h := newReadyHarness(t, 4)
		for range 3 {
			h.request("/once/x", 0)
			s := h.takeSend("point")
			h.probes = nil
			h.endAttempt(s, Failed{Failure: Reset, Written: true})
			for len(h.probes) > 0 {
				p := h.probes[0]
				h.probes = h.probes[1:]
				refused := !reached || p.Upstream == s.Upstream
				h.step(ProbeEnded{Service: p.Service, Upstream: p.Upstream, Connected: !refused, Refused: refused})
			}
			h.advance(10 * time.Millisecond) // an upstream that was reset is avoided for longer
		}
		last := h.request("/once/x", 0)
		o, refused := h.answers[last].Outcome.(Refused)
		if quarantined := refused && o.Reason == Quarantined; quarantined != reached {
			t.Errorf("other upstreams reached %t: outcome %+v", reached, h.answers[last].Outcome)
		}
	}
}

// TestSuspectAtPeers guards against a request that crashes upstreams and then those of a peer, because its VM takes the crashes for the loss of
// its own connections.
func TestSuspectAtPeers(t *testing.T) {
	t.Run("the peer is told", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		h.listPeers(2)
		h.request("/all/x", 0)
		h.resetAll("refused")
		h.resetAll("refused")
		h.advance(time.Millisecond)
		if s, ok := h.takeDetour(); ok && !s.Detour.Suspect {
			t.Error("a peer gets the request as one that has crashed nothing")
		}
		h.request("/all/z", 0)
		if s, ok := h.takeDetour(); ok && s.Detour.Suspect {
			t.Error("a peer gets a harmless request as a suspect")
		}
	})
	t.Run("the peer runs it alone", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		manifest := testManifest(1, 4)
		route := manifest.Match("h.example", "/all/x")
		h.lastRequest++
		h.step(RequestArrived{Request: h.lastRequest, Message: &Message{RequestID: "1", Host: "h.example", Path: "/all/x", Target: "/all/x", Method: "GET"},
			Detour: &Detour{Route: manifest.fingerprints[route], Attempts: 2, Suspect: true}})
		if len(h.sent) != 1 {
			t.Fatalf("%d sends, want 1", len(h.sent))
		}
		h.resetAll("refused")
		again := h.request("/all/x", 0)
		if o, ok := h.answers[again].Outcome.(Refused); !ok || o.Reason != Quarantined {
			t.Errorf("outcome %+v, want a refusal", h.answers[again].Outcome)
		}
	})
	t.Run("refused by the peer", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		h.listPeers(5)
		h.strand()
		id := h.request("/once/x", 0)
		s, ok := h.takeDetour()
		if !ok {
			t.Fatal("the request does not go through a peer")
		}
		h.endAttempt(s, PeerAnswered{Outcome: Refused{Reason: Quarantined, RetryAfter: time.Minute}})
		if diff := cmp.Diff(Outcome(Refused{Reason: Quarantined, RetryAfter: time.Minute}), h.answers[id].Outcome); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if _, ok := h.takeDetour(); ok {
			t.Error("a second peer is asked")
		}
	})
}
