package forwarder

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"
)

// harness drives a Machine in tests: it holds the clock and records the machine's actions.
type harness struct {
	t           testing.TB
	machine     Machine
	now         time.Time
	pending     []Send // without a result yet
	sent        []Send // all
	answers     map[RequestID]Answer
	cancelled   int
	retired     []string
	probes      []Probe
	wake        time.Time
	lastRequest RequestID
	keys        []string                // of the callers
	sentAt      map[AttemptID]time.Time // used by rateFleet
}

func newHarness(t testing.TB, c Config) *harness {
	return &harness{t: t, machine: Machine{Config: c}, now: time.Unix(1000, 0), answers: map[RequestID]Answer{}, sentAt: map[AttemptID]time.Time{}}
}

func (h *harness) step(ev Event) {
	for _, a := range h.machine.Step(h.now, ev) {
		switch a := a.(type) {
		case Send:
			h.pending = append(h.pending, a)
			h.sent = append(h.sent, a)
		case Answer:
			if _, twice := h.answers[a.Request]; twice {
				h.t.Fatalf("request %d is answered twice", a.Request)
			}
			h.answers[a.Request] = a
		case Cancel:
			h.cancelled++
		case Retire:
			h.retired = append(h.retired, a.Upstream)
		case Probe:
			h.probes = append(h.probes, a)
		case Wake:
			h.wake = a.At
		}
	}
}

// advance moves the clock forward and fires the timers that become due.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for !h.wake.IsZero() && !h.wake.After(end) {
		if h.wake.After(h.now) {
			h.now = h.wake
		}
		h.wake = time.Time{}
		h.step(TimerFired{})
	}
	h.now = end
}

// request submits a request for a path. A deadline of 0 means the route's timeout.
func (h *harness) request(path string, deadline time.Duration) RequestID {
	h.lastRequest++
	e := RequestArrived{Request: h.lastRequest, Message: &Message{RequestID: strconv.FormatUint(uint64(h.lastRequest), 10), Host: "h.example", Path: path, Target: path, Method: "GET"}}
	e.Keys = h.keys
	if deadline > 0 {
		e.Deadline = h.now.Add(deadline)
	}
	h.step(e)
	return h.lastRequest
}

// takeSend removes and returns the oldest pending send to a service.
func (h *harness) takeSend(service string) Send {
	h.t.Helper()
	for i, s := range h.pending {
		if s.Service == service {
			h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
			return s
		}
	}
	h.t.Fatalf("no send to %s is pending", service)
	return Send{}
}

func (h *harness) endAttempt(s Send, r Result) { h.step(AttemptEnded{Attempt: s.Attempt, Result: r}) }

// reply ends the oldest pending send to a service with a successful reply.
func (h *harness) reply(service string) Send {
	h.t.Helper()
	s := h.takeSend(service)
	h.endAttempt(s, Replied{Reply: successReply(s)})
	return s
}

func successReply(s Send) *Reply {
	return &Reply{Status: 200, Signature: "stamp-" + s.Upstream, Body: []byte(fmt.Sprintf("%-16s", s.Service))}
}

func shedReply() Replied { return Replied{Reply: &Reply{Status: 503, NotRun: true}} }

func failedReply(status int) Replied {
	promise := status == 503 || status == 429 || status == 408
	return Replied{Reply: &Reply{Status: status, Signature: "stamp", PromisesNoRun: promise}}
}

// shardNames returns the service names of n shards.
func shardNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("shard%d", i))
	}
	return names
}

// upstreams returns three upstreams for each service, each in a failure domain of its own.
func upstreams(services ...string) []Upstream {
	var all []Upstream
	for i, s := range services {
		for k := range 3 {
			all = append(all, Upstream{
				Name: fmt.Sprintf("%s-%d", s, k), Service: s, FailureDomain: fmt.Sprintf("d%d", k), Slots: 2,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(k)}), 80),
			})
		}
	}
	return all
}

// testManifest returns a manifest with a route that gathers n shards (/all/), one to a single service (/one/), one that is not
// idempotent (/once/), and one that splits requests between two services (/split/).
func testManifest(version uint64, n int) *Manifest {
	services := []Service{{Name: "point", MaxConnections: 100}, {Name: "left", MaxConnections: 100}, {Name: "right", MaxConnections: 100}}
	for _, s := range shardNames(n) {
		services = append(services, Service{Name: s, MaxConnections: 26})
	}
	point := Split{Services: []WeightedService{{Service: "point", Weight: 1}}}
	return NewManifest(version, []Route{
		{Name: "all", Host: "h.example", Prefix: "/all/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Destination: Gather{Shards: shardNames(n), TopK: 3, MinCoverage: 0.75}},
		{Name: "one", Host: "h.example", Prefix: "/one/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Destination: point},
		{Name: "once", Host: "h.example", Prefix: "/once/", Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2,
			Destination: point},
		{Name: "split", Host: "h.example", Prefix: "/split/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Destination: Split{Services: []WeightedService{{Service: "left", Weight: 3}, {Service: "right", Weight: 1}}}},
	}, services, Limits{})
}

// newReadyHarness returns a harness with testManifest and all of its upstreams.
func newReadyHarness(t testing.TB, n int) *harness {
	h := newHarness(t, Config{FailureDomain: "d0", ExtraSendRatio: 0.2, ExtraSendSlack: 54, BudgetWindow: 10 * time.Second})
	h.step(ManifestAdopted{Manifest: testManifest(1, n)})
	h.step(UpstreamsListed{Upstreams: upstreams(append(shardNames(n), "point", "left", "right")...)})
	return h
}
