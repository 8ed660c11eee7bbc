package forwarder

import (
	"cmp"
	"slices"
	"strconv"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/authenticator"
)

// arrival is a request in a load that a test plays.
type arrival struct {
	at       time.Duration
	customer string // also its key
	path     string
}

// outcome is what became of a played request.
type outcome struct {
	arrival
	answer Answer
	age    time.Duration // of the request when it was answered
	sends  int
}

func (o *outcome) served() bool {
	_, refused := o.answer.Outcome.(Refused)
	_, unknown := o.answer.Outcome.(Unknown)
	return !refused && !unknown
}

// newCustomerHarness returns a harness whose manifest names customers. Its routes have the given priorities, 0 if there is none. Only so many
// upstreams of each service are left.
func newCustomerHarness(t testing.TB, priorities map[string]int, left int, names ...string) *harness {
	h := newReadyHarness(t, 4)
	m := testManifest(2, 4)
	for i := range m.Routes {
		m.Routes[i].Priority = priorities[m.Routes[i].Name]
	}
	m = NewManifest(2, m.Routes, m.Services, m.Limits)
	byKey := map[string]authenticator.Customer{}
	for _, n := range names {
		byKey[n] = authenticator.Customer{Name: n}
	}
	m.Customers = customersOf(byKey)
	h.step(ManifestAdopted{Manifest: m})
	var all []Upstream
	for i, u := range upstreams(append(shardNames(4), "point", "left", "right")...) {
		if i%3 < left {
			all = append(all, u)
		}
	}
	h.step(UpstreamsListed{Upstreams: all})
	return h
}

// playLoad sends requests at their times to upstreams that reply after a service time, and returns what became of them.
func (h *harness) playLoad(arrivals []arrival, service time.Duration) []outcome {
	start := h.now
	outcomes := make([]outcome, 0, len(arrivals))
	ids := map[string]int{}
	ends := map[AttemptID]time.Time{}
	freeAt := map[string]*[2]time.Time{} // of the slots of an upstream
	for h.now.Sub(start) < arrivals[len(arrivals)-1].at+2*time.Second {
		for _, s := range append([]Send(nil), h.pending...) {
			if _, known := ends[s.Attempt]; !known {
				slots := freeAt[s.Upstream]
				if slots == nil {
					slots = &[2]time.Time{}
					freeAt[s.Upstream] = slots
				}
				slot := &slots[0]
				if slots[1].Before(*slot) {
					slot = &slots[1]
				}
				if slot.Before(h.now) {
					*slot = h.now
				}
				*slot = slot.Add(service)
				ends[s.Attempt] = *slot
				outcomes[ids[s.Message.RequestID]].sends++
			}
			if !ends[s.Attempt].After(h.now) {
				for i := range h.pending {
					if h.pending[i].Attempt == s.Attempt {
						h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
						break
					}
				}
				h.endAttempt(s, Replied{Reply: successReply(s)})
			}
		}
		for len(outcomes) < len(arrivals) && arrivals[len(outcomes)].at <= h.now.Sub(start) {
			a := arrivals[len(outcomes)]
			h.lastRequest++
			id := strconv.FormatUint(uint64(h.lastRequest), 10)
			ids[id] = len(outcomes)
			outcomes = append(outcomes, outcome{arrival: a})
			h.step(RequestArrived{Request: h.lastRequest, Message: &Message{RequestID: id, Host: "h.example", Path: a.path, Target: a.path, Method: "GET"}, Keys: []string{a.customer}})
		}
		for id, at := range ids {
			n, _ := strconv.ParseUint(id, 10, 64)
			if a, ok := h.answers[RequestID(n)]; ok && outcomes[at].answer.Outcome == nil {
				outcomes[at].answer, outcomes[at].age = a, h.now.Sub(start)-outcomes[at].at
			}
		}
		h.advance(time.Millisecond)
	}
	return outcomes
}

// every returns arrivals of a customer at a path, one in each interval of a span.
func every(interval, from, to time.Duration, customer, path string) []arrival {
	var all []arrival
	for at := from; at < to; at += interval {
		all = append(all, arrival{at, customer, path})
	}
	return all
}

// TestShortage guards against callers who get less than is due to them when there is too little room: two upstreams with two slots each take 400
// requests per second.
func TestShortage(t *testing.T) {
	const second, service = time.Second, 10 * time.Millisecond
	patient := map[string]int{"once": 1}
	hot := every(time.Millisecond, 0, second, "hot", "/one/x")
	cases := []struct {
		name       string
		priorities map[string]int
		left       int // upstreams of the three
		load       [][]arrival
		whole      []string // customers of whose requests all are served
		least      int      // requests served in all
	}{
		{"hot customer beside others", nil, 2, [][]arrival{
			hot, every(20*time.Millisecond, 0, second, "a", "/one/x"), every(20*time.Millisecond, 0, second, "b", "/one/x"),
		}, []string{"a", "b"}, 400},
		{"patient burst beside urgent requests", patient, 2, [][]arrival{
			every(time.Millisecond, 0, second, "patient", "/once/x"), every(4*time.Millisecond, 0, second, "urgent", "/one/x"),
		}, []string{"urgent"}, 400},
		{"two thirds of the upstreams gone", nil, 1, [][]arrival{
			every(4*time.Millisecond, 0, second, "a", "/one/x"), every(4*time.Millisecond, 0, second, "b", "/one/x"),
		}, nil, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var load []arrival
			names := make([]string, 0, len(c.load))
			for _, l := range c.load {
				load, names = append(load, l...), append(names, l[0].customer)
			}
			slices.SortStableFunc(load, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
			h := newCustomerHarness(t, c.priorities, c.left, names...)
			served, atOnce, waited := map[string]int{}, 0, 0
			for _, o := range h.playLoad(load, service) {
				if o.served() {
					served[o.customer]++
					continue
				}
				if slices.Contains(c.whole, o.customer) {
					t.Errorf("a request of %s at %v has the answer %#v", o.customer, o.at, o.answer.Outcome)
				}
				refused, ok := o.answer.Outcome.(Refused)
				if !ok || o.sends > 0 || refused.RetryAfter < service {
					t.Errorf("a request that was sent %d times has the answer %#v", o.sends, o.answer.Outcome)
				}
				switch refused.Reason {
				case Hopeless, Displaced:
					atOnce++
				default:
					waited++
				}
			}
			total := 0
			for _, n := range served {
				total += n
			}
			if total < c.least {
				t.Errorf("%d requests are served, want at least %d: %v", total, c.least, served)
			}
			if atOnce <= waited {
				t.Errorf("%d requests are refused at once and %d only at the end of their wait", atOnce, waited)
			}
			if m := &h.machine; m.Order.Hopeless+m.Order.Displaced != uint64(atOnce) {
				t.Errorf("%d requests are refused at once, counted %+v", atOnce, m.Order)
			}
			t.Logf("served %v of %d, refused at once %d, after waiting %d, %+v", served, len(load), atOnce, waited, h.machine.Order)
		})
	}
}

// TestScarceToken guards against a request with its minimum coverage that takes the only token while one waits for it which fails without it.
func TestScarceToken(t *testing.T) {
	h := newCustomerHarness(t, nil, 3, "a")
	setTokens := func(n float64) {
		for _, name := range shardNames(4) {
			h.machine.services[name].budget.Configure(10*time.Second, 0, n)
		}
	}
	setTokens(0)
	h.keys = []string{"a"}
	h.request("/all/x", 0)
	for _, name := range shardNames(3) {
		h.reply(name)
	}
	h.advance(time.Millisecond)
	short := h.request("/all/x", 0)
	for _, name := range shardNames(2) {
		h.reply(name)
	}
	sent := len(h.sent)
	h.advance(50 * time.Millisecond)
	setTokens(1)
	h.advance(30 * time.Millisecond)
	services := map[string]RequestID{}
	for _, s := range h.sent[sent:] {
		id, err := strconv.ParseUint(s.Message.RequestID, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		services[s.Service] = RequestID(id)
	}
	if diff := gocmp.Diff(map[string]RequestID{"shard2": short, "shard3": short}, services); diff != "" {
		t.Errorf("requests with an extra send, by shard (-want +got):\n%s", diff)
	}
}
