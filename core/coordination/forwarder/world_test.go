package forwarder

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"
)

// world drives a machine in tests: it carries the clock, and it remembers what the machine asked for.
type world struct {
	t       testing.TB
	machine Machine
	now     time.Time
	sends   []Send // without a result
	sent    []Send // all
	answers map[RequestID]Answer
	cancels int
	retired []string
	wake    time.Time
	next    RequestID
}

func newWorld(t testing.TB, c Config) *world {
	return &world{t: t, machine: Machine{Config: c}, now: time.Unix(1000, 0), answers: map[RequestID]Answer{}}
}

func (w *world) step(ev Event) {
	for _, a := range w.machine.Step(w.now, ev) {
		switch a := a.(type) {
		case Send:
			w.sends = append(w.sends, a)
			w.sent = append(w.sent, a)
		case Answer:
			if _, twice := w.answers[a.Request]; twice {
				w.t.Fatalf("request %d is answered twice", a.Request)
			}
			w.answers[a.Request] = a
		case Cancel:
			w.cancels++
		case Retire:
			w.retired = append(w.retired, a.Upstream)
		case Wake:
			w.wake = a.At
		}
	}
}

// run lets time pass and fires the timers that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for !w.wake.IsZero() && !w.wake.After(end) {
		if w.wake.After(w.now) {
			w.now = w.wake
		}
		w.wake = time.Time{}
		w.step(TimerFired{})
	}
	w.now = end
}

// request hands in a request to a path with a deadline; 0 leaves it to the route.
func (w *world) request(path string, deadline time.Duration) RequestID {
	w.next++
	e := RequestArrived{Request: w.next, Message: &Message{RequestID: strconv.FormatUint(uint64(w.next), 10), Host: "h.example", Path: path, Target: path, Method: "GET"}}
	if deadline > 0 {
		e.Deadline = w.now.Add(deadline)
	}
	w.step(e)
	return w.next
}

// take removes the oldest send without a result to a service.
func (w *world) take(service string) Send {
	w.t.Helper()
	for i, s := range w.sends {
		if s.Service == service {
			w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
			return s
		}
	}
	w.t.Fatalf("no send to %s is without a result", service)
	return Send{}
}

func (w *world) end(s Send, r Result) { w.step(AttemptEnded{Attempt: s.Attempt, Result: r}) }

// reply answers the oldest send to a service with success.
func (w *world) reply(service string) Send {
	w.t.Helper()
	s := w.take(service)
	w.end(s, Replied{Reply: success(s)})
	return s
}

func success(s Send) *Reply {
	return &Reply{Status: 200, Signature: "stamp-" + s.Upstream, Body: []byte(fmt.Sprintf("%-16s", s.Service))}
}

func shed() Replied { return Replied{Reply: &Reply{Status: 503, NotRun: true}} }

func failure(status int) Replied { return Replied{Reply: &Reply{Status: status, Signature: "stamp"}} }

// shards returns the names of n shards.
func shards(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("shard%d", i))
	}
	return names
}

// upstreams returns three upstreams for each service, one in each failure domain.
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

// standard is a manifest with a gathering route (/all/), a route to one service (/one/), one that must not run twice (/once/)
// and a split one (/split/).
func standard(version uint64, n int) *Manifest {
	services := []Service{{Name: "point", MaxConnections: 100}, {Name: "left", MaxConnections: 100}, {Name: "right", MaxConnections: 100}}
	for _, s := range shards(n) {
		services = append(services, Service{Name: s, MaxConnections: 26})
	}
	point := Split{Services: []WeightedService{{Service: "point", Weight: 1}}}
	return NewManifest(version, []Route{
		{Name: "all", Host: "h.example", Prefix: "/all/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Destination: Gather{Shards: shards(n), TopK: 3, MinCoverage: 0.75}},
		{Name: "one", Host: "h.example", Prefix: "/one/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Destination: point},
		{Name: "once", Host: "h.example", Prefix: "/once/", Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2,
			Destination: point},
		{Name: "split", Host: "h.example", Prefix: "/split/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Destination: Split{Services: []WeightedService{{Service: "left", Weight: 3}, {Service: "right", Weight: 1}}}},
	}, services, Limits{})
}

// calm is a world with the standard manifest and all upstreams.
func calm(t testing.TB, n int) *world {
	w := newWorld(t, Config{FailureDomain: "d0", ExtraSendRatio: 0.2, ExtraSendSlack: 54})
	w.step(ManifestAdopted{Manifest: standard(1, n)})
	w.step(UpstreamsListed{Upstreams: upstreams(append(shards(n), "point", "left", "right")...)})
	return w
}
