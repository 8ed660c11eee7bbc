package forwarder

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"comfreyroute/core/coordination/navigator"
)

// listPeers tells a machine of n peers.
func (h *harness) listPeers(n int) {
	var all []navigator.Peer
	for k := range n {
		all = append(all, navigator.Peer{Name: fmt.Sprintf("vm%d", k), FailureDomain: "d0", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(k)}), 7742)})
	}
	h.step(PeersListed{Peers: all})
}

// strand makes the machine lose all upstreams: a request to all shards gets no reply. The request is answered before strand returns.
func (h *harness) strand() {
	h.t.Helper()
	id := h.request("/all/x", 0)
	h.advance(300 * time.Millisecond)
	if h.machine.UpstreamsLost() != 1 {
		h.t.Fatal("the loss of all upstreams is not noticed")
	}
	if s, ok := h.takeDetour(); ok {
		h.endAttempt(s, PeerAnswered{Outcome: Gathered{Signatures: shardNames(4)}})
	}
	if _, ok := h.answers[id]; !ok {
		h.t.Fatal("the request in progress at the loss is not moved to a peer")
	}
	for len(h.pending) > 0 {
		s := h.pending[0]
		h.pending = h.pending[1:]
		h.endAttempt(s, Failed{Failure: Cancelled, Written: true})
	}
}

// takeDetour removes and returns the oldest pending send to a peer.
func (h *harness) takeDetour() (Send, bool) {
	i := slices.IndexFunc(h.pending, func(s Send) bool { return s.Detour != nil })
	if i < 0 {
		return Send{}, false
	}
	s := h.pending[i]
	h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
	return s, true
}

// TestStrandedVMUsesPeers guards against callers of a VM without upstreams that get no answer although a peer can serve them, and against
// outcomes that promise more than is known.
func TestStrandedVMUsesPeers(t *testing.T) {
	refused := func(reason Reason) PeerAnswered { return PeerAnswered{Outcome: Refused{Reason: reason}} }
	reply := &Reply{Status: 200, Signature: "stamp"}
	cases := []struct {
		name   string
		path   string
		ends   []Result // of the sends to peers, in turn
		want   Outcome
		unsent int // ends that are not used
	}{
		{"served", "/once/x", []Result{PeerAnswered{Outcome: Relayed{Reply: reply}}}, Relayed{Reply: reply}, 0},
		{"error of the upstream", "/once/x", []Result{PeerAnswered{Outcome: Relayed{Reply: &Reply{Status: 500}}}}, Relayed{Reply: &Reply{Status: 500}}, 0},
		{"the first peer is stranded too", "/one/x", []Result{refused(OutOfReach), PeerAnswered{Outcome: Relayed{Reply: reply}}}, Relayed{Reply: reply}, 0},
		{"the first peer is gone", "/once/x", []Result{Failed{Failure: Unreachable}, PeerAnswered{Outcome: Relayed{Reply: reply}}}, Relayed{Reply: reply}, 0},
		{"all peers are stranded", "/once/x", []Result{refused(OutOfReach), refused(OutOfReach), refused(OutOfReach)}, Refused{Reason: OutOfReach}, 0},
		{"all peers are busy", "/all/x", []Result{refused(Busy), refused(Busy), refused(Busy)}, Refused{Reason: OutOfReach}, 0},
		{"broken after it was written", "/once/x", []Result{Failed{Failure: Reset, Written: true}, Failed{}}, Unknown{Reason: Lost}, 1},
		{"broken, may be repeated", "/one/x", []Result{Failed{Failure: Reset, Written: true}, Failed{}}, Unknown{Reason: Lost}, 1},
		{"unknown at the peer", "/once/x", []Result{PeerAnswered{Outcome: Unknown{Reason: Lost}, Runs: 1}, Failed{}}, Unknown{Reason: Lost}, 1},
		{"unknown, may be repeated", "/one/x", []Result{PeerAnswered{Outcome: Unknown{Reason: OutOfReach}, Runs: 1}, PeerAnswered{Outcome: Relayed{Reply: reply}}}, Relayed{Reply: reply}, 0},
		{"unknown, refused then", "/one/x", []Result{PeerAnswered{Outcome: Unknown{Reason: OutOfReach}, Runs: 1}, refused(Busy), refused(Busy)}, Unknown{Reason: Busy}, 0},
		{"unknown, all attempts used", "/one/x", []Result{PeerAnswered{Outcome: Unknown{Reason: Lost}, Runs: 2}, Failed{}}, Unknown{Reason: Lost}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 4)
			h.listPeers(5)
			h.strand()
			id := h.request(c.path, 0)
			used := 0
			for _, end := range c.ends {
				s, ok := h.takeDetour()
				if !ok {
					break
				}
				used++
				h.endAttempt(s, end)
			}
			if len(c.ends)-used != c.unsent {
				t.Errorf("%d sends to peers, want %d", used, len(c.ends)-c.unsent)
			}
			got := h.answers[id].Outcome
			if r, ok := got.(Refused); ok {
				if r.RetryAfter <= 0 {
					t.Error("the refusal does not say when to come back")
				}
				got = Refused{Reason: r.Reason}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStrandedVMWithoutPeersRefusesAtOnce guards against callers that wait for upstreams which certainly do not answer.
func TestStrandedVMWithoutPeersRefusesAtOnce(t *testing.T) {
	h := newReadyHarness(t, 4)
	h.request("/all/x", 0)
	h.advance(300 * time.Millisecond)
	id := h.request("/once/x", 0)
	if o, ok := h.answers[id].Outcome.(Refused); !ok || o.Reason != OutOfReach {
		t.Errorf("the outcome is %#v, want a refusal at once", h.answers[id].Outcome)
	}
}

// TestBusyPeersAreAskedAgain guards against callers that are refused for long because one request of a VM without upstreams met busy peers, or a
// peer that has lost its upstreams too.
func TestBusyPeersAreAskedAgain(t *testing.T) {
	for _, reason := range []Reason{Busy, OutOfReach} {
		t.Run(reason.String(), func(t *testing.T) {
			h := newReadyHarness(t, 4)
			h.listPeers(9)
			h.strand()
			h.advance(3 * time.Second) // the evidence is old
			h.request("/one/x", 0)
			s, _ := h.takeDetour()
			h.endAttempt(s, PeerAnswered{Outcome: Refused{Reason: reason}})
			for range 5 {
				id := h.request("/one/x", 0)
				if a, ok := h.answers[id]; ok {
					t.Fatalf("a further request is answered at once: %#v", a.Outcome)
				}
			}
		})
	}
}

// hosted submits a request of another VM.
func (h *harness) hosted(path string, d Detour) RequestID {
	h.lastRequest++
	if d.Route == 0 {
		d.Route = h.machine.manifest.fingerprints[h.machine.manifest.Match("h.example", path)]
	}
	h.step(RequestArrived{Request: h.lastRequest, Message: &Message{RequestID: "hosted", Host: "h.example", Path: path, Target: path, Method: "GET"}, Detour: &d})
	return h.lastRequest
}

// TestHostedRequestIsNotSentOn guards against requests that go from VM to VM, and against a VM that takes requests which it cannot serve.
func TestHostedRequestIsNotSentOn(t *testing.T) {
	h := newReadyHarness(t, 4)
	h.listPeers(5)
	running := h.hosted("/one/x", Detour{Attempts: 2})
	h.strand()
	if o, ok := h.answers[running].Outcome.(Unknown); !ok || o.Reason != OutOfReach {
		t.Errorf("a hosted request in progress at the loss: %#v, want an unknown outcome at once", h.answers[running].Outcome)
	}
	id := h.hosted("/one/x", Detour{Attempts: 2})
	if o, ok := h.answers[id].Outcome.(Refused); !ok || o.Reason != OutOfReach {
		t.Errorf("a hosted request after the loss: %#v, want a refusal", h.answers[id].Outcome)
	}
	if s, ok := h.takeDetour(); ok {
		t.Errorf("a hosted request is sent on to %s", s.Upstream)
	}
}

// TestHostKeepsTheLimitsOfBothVMs guards against a peer that routes a request differently, or sends it to more upstreams than are left.
func TestHostKeepsTheLimitsOfBothVMs(t *testing.T) {
	h := newReadyHarness(t, 4)
	id := h.hosted("/one/x", Detour{Route: 1, Attempts: 2})
	if o, ok := h.answers[id].Outcome.(Refused); !ok || o.Reason != OtherManifest {
		t.Errorf("the outcome on another route is %#v, want a refusal", h.answers[id].Outcome)
	}
	id = h.hosted("/one/x", Detour{Attempts: 1})
	s := h.takeSend("point")
	h.advance(100 * time.Millisecond)
	if len(h.pending) > 0 {
		t.Error("a request with one attempt left is hedged")
	}
	h.endAttempt(s, Failed{Failure: Reset, Written: true})
	if a := h.answers[id]; len(h.pending) > 0 || a.Runs != 1 {
		t.Errorf("%d further sends and %d runs reported, want 0 and 1", len(h.pending), a.Runs)
	}
}

// TestHostedRequestsComeAfterOwnOnes guards against the callers of a VM that wait behind requests of other VMs.
func TestHostedRequestsComeAfterOwnOnes(t *testing.T) {
	own, hosted := &request{route: &Route{Priority: 2}}, &request{route: &Route{Priority: 0}, detoured: &Detour{}}
	s := &service{}
	s.enqueue(hosted, 0)
	s.enqueue(own, 0)
	if s.waiting[0].request != own {
		t.Error("a request of another VM waits before one of the VM's own callers")
	}
	h := newReadyHarness(t, 4)
	for len(h.answers) == 0 && len(h.sent) < 100 {
		h.request("/one/x", 0)
		if len(h.machine.serviceFor("point").waiting) > 0 {
			break
		}
	}
	id := h.hosted("/one/x", Detour{Attempts: 2})
	if o, ok := h.answers[id].Outcome.(Refused); !ok || o.Reason != Busy {
		t.Errorf("the outcome beside waiting requests is %#v, want a refusal", h.answers[id].Outcome)
	}
}

// TestReturnOfUpstreams guards against a VM that stays with its peers after the upstreams are back, and against callers who pay for the trial.
func TestReturnOfUpstreams(t *testing.T) {
	h := newReadyHarness(t, 4)
	h.listPeers(5)
	h.strand()
	h.step(ProbeEnded{Service: "shard0", Upstream: "shard0-0", Connected: true})
	if h.machine.UpstreamsLost() != 1 {
		t.Fatal("an open connection is taken for a reply")
	}
	trial := h.request("/one/x", 0)
	s := h.takeSend("point")
	h.request("/one/x", 0)
	if _, ok := h.takeDetour(); !ok {
		t.Error("a second request is tried beside the first one")
	}
	h.advance(100 * time.Millisecond)
	moved, ok := h.takeDetour()
	if !ok || !moved.Detour.Counted || !moved.Detour.Paid || moved.Detour.Attempts != 1 {
		t.Fatalf("a trial without a reply goes to a peer with %+v, want one attempt, counted and paid", moved.Detour)
	}
	h.endAttempt(moved, PeerAnswered{Outcome: Relayed{Reply: successReply(s)}})
	if _, ok := h.answers[trial]; !ok {
		t.Error("the caller of the trial has no answer")
	}
	h.step(ProbeEnded{Service: "shard0", Upstream: "shard0-0", Connected: true})
	h.request("/one/x", 0)
	h.reply("point")
	if h.machine.UpstreamsLost() != 0 {
		t.Error("a reply does not end the loss")
	}
	h.request("/one/x", 0)
	h.takeSend("point")
}

// TestReturnWithoutTokens guards against a VM that stays without upstreams after they are back, because no request is fit for a trial: all peers have
// lost them too or are busy and the retry budget is used up, the only requests must not run twice, there are no peers, or
// only the upstreams of other services are down.
func TestReturnWithoutTokens(t *testing.T) {
	cases := []struct {
		name  string
		path  string
		peers int
		end   PeerAnswered // of requests to peers
		after time.Duration
		quiet bool // no probe is accepted
	}{
		{"peers are lost too", "/one/x", 5, PeerAnswered{Outcome: Refused{Reason: OutOfReach}}, 4 * time.Second, false},
		{"peers have no room", "/all/x", 5, PeerAnswered{Outcome: Refused{Reason: Busy}}, 200 * time.Millisecond, false},
		{"upstreams of other services are down", "/one/x", 5, PeerAnswered{Outcome: Refused{Reason: OutOfReach}}, 100 * time.Millisecond, true},
		{"peers serve", "/one/x", 5, PeerAnswered{Outcome: Relayed{Reply: &Reply{Status: 200, Signature: "s"}}}, 4 * time.Second, false},
		{"must not run twice", "/once/x", 5, PeerAnswered{Outcome: Relayed{Reply: &Reply{Status: 200, Signature: "s"}}}, 4 * time.Second, false},
		{"no peers", "/once/x", 0, PeerAnswered{}, 4 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 4)
			h.machine.Config.ExtraSendRatio, h.machine.Config.ExtraSendSlack = 0, 0
			h.step(FleetResized{VMs: 3}) // no service has a token
			h.listPeers(c.peers)
			h.request("/all/x", 0)
			h.advance(2 * time.Second)
			h.pending = nil
			if h.machine.UpstreamsLost() != 1 {
				t.Fatal("the loss of all upstreams is not noticed")
			}
			for end := h.now.Add(c.after); h.now.Before(end) && h.machine.UpstreamsLost() == 1; h.advance(100 * time.Millisecond) {
				if !c.quiet {
					h.step(ProbeEnded{Service: "shard0", Upstream: "shard0-0", Connected: true})
				}
				h.request(c.path, 0)
				for len(h.pending) > 0 {
					s := h.pending[0]
					h.pending = h.pending[1:]
					if s.Detour != nil {
						h.endAttempt(s, c.end)
					} else {
						h.endAttempt(s, Replied{Reply: successReply(s)})
					}
				}
			}
			if h.machine.UpstreamsLost() != 0 {
				t.Errorf("the VM is still without upstreams %v after they are back", c.after)
			}
		})
	}
}

// TestLostServiceUsesPeers guards against callers of a VM that has lost the upstreams of one service only, and against detours of all requests to a
// service that is down for all VMs.
func TestLostServiceUsesPeers(t *testing.T) {
	loseService := func(h *harness) {
		for range 4 {
			h.request("/one/x", 0)
			for range 3 {
				if s, ok := h.takeDetour(); ok {
					h.endAttempt(s, PeerAnswered{Outcome: Refused{Reason: OutOfReach}})
				}
				if i := slices.IndexFunc(h.pending, func(s Send) bool { return s.Service == "point" && s.Detour == nil }); i >= 0 {
					h.endAttempt(h.takeSend("point"), Failed{Failure: Unreachable})
				}
			}
			h.request("/all/x", 0)
			for _, name := range shardNames(4) {
				h.reply(name)
			}
			h.advance(time.Millisecond)
		}
	}
	h := newReadyHarness(t, 4)
	h.listPeers(5)
	loseService(h)
	h.advance(2 * time.Second)
	h.pending = nil
	detours := 0
	for range 10 {
		h.request("/one/x", 0)
		if s, ok := h.takeDetour(); ok {
			detours++
			h.endAttempt(s, PeerAnswered{Outcome: Relayed{Reply: &Reply{Status: 200, Signature: "stamp"}}})
		}
	}
	if detours != 10 {
		t.Errorf("%d of 10 requests to the lost service go through a peer that reaches it", detours)
	}
	h.request("/all/x", 0)
	if _, ok := h.takeDetour(); ok {
		t.Error("a request to other services goes through a peer")
	}
}

// TestRefusingUpstreamsKeepTheBudget guards against a request that is offered to one upstream after the other while all of them reset it, with or
// without peers that reach them.
func TestRefusingUpstreamsKeepTheBudget(t *testing.T) {
	for _, peers := range []int{0, 5} {
		t.Run(fmt.Sprint(peers, " peers"), func(t *testing.T) {
			h := newReadyHarness(t, 1)
			h.listPeers(peers)
			var many []Upstream
			for k := range 40 {
				many = append(many, Upstream{
					Name: fmt.Sprintf("point-%d", k), Service: "point", FailureDomain: "d0", Slots: 2,
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(k)}), 80),
				})
			}
			h.step(UpstreamsListed{Upstreams: append(many, upstreams("shard0")...)})
			const noticed, requests = 10, 100 // the VM has 0.1 s to notice
			arrivals, served := 0, 0
			for k := range noticed + requests {
				if k == noticed {
					arrivals, served = 0, 0
				}
				h.request("/all/x", 0)
				h.reply("shard0")
				id := h.request("/one/x", 0)
				for len(h.pending) > 0 {
					s := h.pending[0]
					h.pending = h.pending[1:]
					if s.Detour != nil {
						served++
						h.endAttempt(s, PeerAnswered{Outcome: Relayed{Reply: successReply(s)}})
						continue
					}
					arrivals++
					h.endAttempt(s, Failed{Failure: ConnectionRejected, Written: true})
				}
				if _, ok := h.answers[id]; !ok {
					t.Fatalf("request %d has no answer", id)
				}
				h.advance(10 * time.Millisecond)
			}
			if extra := arrivals - requests; extra > requests/5+maxSlackPerVM {
				t.Errorf("%d arrivals of %d requests", arrivals, requests)
			}
			if peers > 0 && served < requests-requests/20 {
				t.Errorf("peers serve %d of %d requests", served, requests)
			}
		})
	}
}

// TestLostServiceWithoutUpstreams guards against a VM that stops working because all upstreams of a service that it avoids were removed, and
// against a loss that is remembered although no request could have noticed its end.
func TestLostServiceWithoutUpstreams(t *testing.T) {
	h := newReadyHarness(t, 1)
	h.listPeers(5)
	lose := func() {
		for range 3 {
			h.request("/all/x", 0)
			h.reply("shard0")
			h.request("/one/x", 0)
			for len(h.pending) > 0 {
				s := h.pending[0]
				h.pending = h.pending[1:]
				if s.Detour != nil {
					h.endAttempt(s, PeerAnswered{Outcome: Relayed{Reply: successReply(s)}})
				} else {
					h.endAttempt(s, Failed{Failure: Unreachable})
				}
			}
			h.advance(40 * time.Millisecond)
		}
	}
	lose()
	if len(h.machine.avoidedServices) != 1 {
		t.Fatalf("%d services are avoided, want 1", len(h.machine.avoidedServices))
	}
	h.step(UpstreamsListed{Upstreams: upstreams("shard0")})
	h.advance(time.Second)
	h.step(UpstreamsListed{Upstreams: upstreams("shard0", "point")})
	h.advance(6 * time.Second)
	id := h.hosted("/one/x", Detour{Attempts: 2})
	if a, ok := h.answers[id]; ok {
		t.Errorf("a request to a service that was lost long ago is answered at once: %#v", a.Outcome)
	}
}

// vmFleet joins machines whose sends to each other are delivered, over random histories.
type vmFleet struct {
	rt    *rapid.T
	vms   []*harness
	x     executions
	hosts map[hop]RequestID // at the peer, by the attempt of the first VM
	back  map[hostedRequest]hop
}

type hop struct {
	vm      int
	attempt AttemptID
}

type hostedRequest struct {
	vm      int
	request RequestID
}

// TestFleetKeepsPromisesOverTwoVMs guards, over random losses of upstreams and of connections between VMs, against requests that run more often
// than their route allows over all VMs, a refusal of a request that ran at a peer, a second hop, and requests or attempts that are never ended.
func TestFleetKeepsPromisesOverTwoVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &vmFleet{rt: rt, hosts: map[hop]RequestID{}, back: map[hostedRequest]hop{}, x: executions{
			runs: map[RequestID]map[string]int{}, paths: map[RequestID]string{}, callerGone: map[RequestID]bool{},
		}}
		for range 3 {
			h := newReadyHarness(t, 4)
			h.listPeers(3)
			f.vms = append(f.vms, h)
		}
		origins, next := map[RequestID]hostedRequest{}, RequestID(0)
		for range rapid.IntRange(20, 120).Draw(rt, "events") {
			vm := rapid.IntRange(0, 2).Draw(rt, "vm")
			h := f.vms[vm]
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2:
				next++
				f.x.paths[next] = rapid.SampledFrom([]string{"/all/x", "/one/x", "/once/x"}).Draw(rt, "path")
				h.lastRequest++
				origins[next] = hostedRequest{vm, h.lastRequest}
				h.step(RequestArrived{Request: h.lastRequest, Message: &Message{RequestID: fmt.Sprint(next), Host: "h.example", Path: f.x.paths[next], Method: "GET"}})
			case 3, 4, 5:
				if len(h.pending) > 0 {
					f.end(vm, h.pending[rapid.IntRange(0, len(h.pending)-1).Draw(rt, "send")])
				}
			case 6: // the VM loses all of its upstreams
				for _, s := range slices.Clone(h.pending) {
					if s.Detour == nil {
						f.x.endWith(h, s, Failed{Failure: Unreachable})
					}
				}
			case 7:
				if rapid.Bool().Draw(rt, "connected") {
					h.step(ProbeEnded{Service: "point", Upstream: "point-0", Connected: true})
				}
			default:
				d := time.Duration(rapid.IntRange(0, 150).Draw(rt, "time")) * time.Millisecond
				for n := range f.vms {
					f.vms[n].advance(d)
				}
			}
			f.deliver()
		}
		for range 6 {
			for vm, h := range f.vms {
				h.advance(2 * time.Second)
				for _, s := range slices.Clone(h.pending) {
					if s.Detour == nil {
						f.x.recordRun(s)
					}
					f.x.endWith(h, s, Failed{Failure: TimedOut, Written: true})
					if id, ok := f.hosts[hop{vm, s.Attempt}]; ok {
						f.vms[f.peerOf(s)].step(CallerGone{Request: id})
					}
				}
			}
			f.deliver()
		}
		f.check(origins)
	})
}

func (f *vmFleet) peerOf(s Send) int { return int(s.Upstream[len("vm")] - '0') }

// deliver passes new sends between VMs, and the answers to them back.
func (f *vmFleet) deliver() {
	for changed := true; changed; {
		changed = false
		for vm, h := range f.vms {
			for _, s := range slices.Clone(h.pending) {
				at := hop{vm, s.Attempt}
				if _, known := f.hosts[at]; s.Detour == nil || known {
					continue
				}
				peer := f.vms[f.peerOf(s)]
				if f.peerOf(s) == vm {
					f.x.endWith(h, s, Failed{Failure: Unreachable})
				} else {
					peer.lastRequest++
					f.hosts[at], f.back[hostedRequest{f.peerOf(s), peer.lastRequest}] = peer.lastRequest, at
					peer.step(RequestArrived{Request: peer.lastRequest, Message: s.Message, Deadline: s.Deadline, Detour: s.Detour})
				}
				changed = true
			}
		}
		for at, id := range f.hosts {
			h := f.vms[at.vm]
			i := slices.IndexFunc(h.pending, func(s Send) bool { return s.Attempt == at.attempt })
			if i < 0 {
				continue
			}
			if a, ok := f.vms[f.peerOf(h.pending[i])].answers[id]; ok {
				missing := make([]string, 0, len(a.Report.Missing))
				for _, m := range a.Report.Missing {
					missing = append(missing, m.Service)
				}
				f.x.endWith(h, h.pending[i], PeerAnswered{Outcome: a.Outcome, Missing: missing, Runs: a.Runs})
				changed = true
			}
		}
	}
}

// end ends a send with a random result: at an upstream, or with a broken connection to a peer.
func (f *vmFleet) end(vm int, s Send) {
	h := f.vms[vm]
	if s.Detour == nil {
		f.x.endRandomly(f.rt, h, s)
		return
	}
	if !rapid.Bool().Draw(f.rt, "broken") {
		return
	}
	f.x.endWith(h, s, Failed{Failure: Reset, Written: true})
	f.vms[f.peerOf(s)].step(CallerGone{Request: f.hosts[hop{vm, s.Attempt}]})
}

// endWith ends a pending send with a result.
func (x *executions) endWith(h *harness, s Send, r Result) {
	h.pending = slices.DeleteFunc(h.pending, func(o Send) bool { return o.Attempt == s.Attempt })
	h.endAttempt(s, r)
}

func (f *vmFleet) check(origins map[RequestID]hostedRequest) {
	for id, at := range origins {
		a, answered := f.vms[at.vm].answers[at.request]
		if !answered {
			f.rt.Fatalf("request %d to %s has no answer", id, f.x.paths[id])
		}
		total := 0
		for service, runs := range f.x.runs[id] {
			total += runs
			if runs > 2 {
				f.rt.Fatalf("request %d to %s ran %d times at %s", id, f.x.paths[id], runs, service)
			}
		}
		if f.x.paths[id] == "/once/x" && total > 1 {
			f.rt.Fatalf("request %d ran %d times", id, total)
		}
		if _, refused := a.Outcome.(Refused); refused && total > 0 {
			f.rt.Fatalf("request %d to %s is refused and ran %d times", id, f.x.paths[id], total)
		}
	}
	for vm, h := range f.vms {
		if h.machine.PendingRequests() != 0 || len(h.machine.attempts) != 0 || h.machine.detoured != 0 {
			f.rt.Fatalf("VM %d keeps %d requests, %d of other VMs, and %d attempts", vm, h.machine.PendingRequests(), h.machine.detoured, len(h.machine.attempts))
		}
	}
}
