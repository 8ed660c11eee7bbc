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

// newCustomerHarness returns a harness whose manifest names customers, with the route /once/ less urgent than others. Only so many upstreams of each
// service are left.
func newCustomerHarness(t testing.TB, left int) *harness {
	h := newReadyHarness(t, 4)
	m := testManifest(2, 4)
	m.Match("h.example", "/once/x").Priority = 1
	m.Customers = customersOf(map[string]authenticator.Customer{"hot": {Name: "hot"}, "a": {Name: "a"}, "b": {Name: "b"}})
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

// playLoad sends requests at their times, the first with the id 1, to upstreams with two slots that reply after a service time.
func (h *harness) playLoad(arrivals []arrival, service time.Duration) {
	start, next := h.now, 0
	ends := map[AttemptID]time.Time{}
	freeAt := map[string][]time.Time{} // of the slots of an upstream, the next one first
	for h.now.Sub(start) < arrivals[len(arrivals)-1].at+2*time.Second {
		for _, s := range slices.Clone(h.pending) {
			if _, known := ends[s.Attempt]; !known {
				slots := append(freeAt[s.Upstream], h.now, h.now)[:2]
				ends[s.Attempt] = slices.MaxFunc([]time.Time{h.now, slots[0]}, time.Time.Compare).Add(service)
				freeAt[s.Upstream] = []time.Time{slots[1], ends[s.Attempt]}
			}
			if !ends[s.Attempt].After(h.now) {
				h.pending = slices.DeleteFunc(h.pending, func(o Send) bool { return o.Attempt == s.Attempt })
				h.endAttempt(s, Replied{Reply: successReply(s)})
			}
		}
		for ; next < len(arrivals) && arrivals[next].at <= h.now.Sub(start); next++ {
			h.keys = []string{arrivals[next].customer}
			h.request(arrivals[next].path, 0)
		}
		h.advance(time.Millisecond)
	}
}

// every returns arrivals of a customer at a path for a second, one in each interval.
func every(interval time.Duration, customer, path string) (all []arrival) {
	for at := time.Duration(0); at < time.Second; at += interval {
		all = append(all, arrival{at, customer, path})
	}
	return all
}

// TestShortage guards against callers who get less than is due to them when there is too little room: two upstreams with two slots each take 400
// requests per second.
func TestShortage(t *testing.T) {
	const service = 10 * time.Millisecond
	cases := []struct {
		name  string
		left  int // upstreams of the three
		load  []arrival
		whole []string // customers of whose requests all are served
		least int      // requests served in all
	}{
		{"hot customer beside others", 2, slices.Concat(
			every(time.Millisecond, "hot", "/one/x"), every(20*time.Millisecond, "a", "/one/x"), every(20*time.Millisecond, "b", "/one/x"),
		), []string{"a", "b"}, 400},
		{"patient burst beside urgent requests", 2, slices.Concat(every(time.Millisecond, "a", "/once/x"), every(4*time.Millisecond, "b", "/one/x")),
			[]string{"b"}, 400},
		{"two thirds of the upstreams gone", 1, slices.Concat(every(4*time.Millisecond, "a", "/one/x"), every(4*time.Millisecond, "b", "/one/x")), nil, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			slices.SortStableFunc(c.load, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
			h := newCustomerHarness(t, c.left)
			h.playLoad(c.load, service)
			sent := map[string]bool{}
			for _, s := range h.sent {
				sent[s.Message.RequestID] = true
			}
			served, total, atOnce, waited := map[string]int{}, 0, 0, 0
			for i, l := range c.load {
				o := h.answers[RequestID(i+1)].Outcome
				refused, ok := o.(Refused)
				switch _, relayed := o.(Relayed); {
				case relayed:
					served[l.customer]++
					total++
				case !ok || slices.Contains(c.whole, l.customer) || sent[strconv.Itoa(i+1)] || refused.RetryAfter < service:
					t.Errorf("a request of %s at %v has the answer %#v", l.customer, l.at, o)
				case refused.Reason == Hopeless || refused.Reason == Displaced:
					atOnce++
				default:
					waited++
				}
			}
			if total < c.least {
				t.Errorf("%d requests are served, want at least %d: %v", total, c.least, served)
			}
			if atOnce <= waited {
				t.Errorf("%d requests are refused at once and %d only at the end of their wait", atOnce, waited)
			}
			t.Logf("served %v of %d, refused at once %d, after waiting %d, %+v", served, len(c.load), atOnce, waited, h.machine.Order)
		})
	}
}

// TestScarceToken guards against a request with its minimum coverage that takes the only token while one waits for it which fails without it.
func TestScarceToken(t *testing.T) {
	h := newCustomerHarness(t, 3)
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
	h.request("/all/x", 0)
	for _, name := range shardNames(2) {
		h.reply(name)
	}
	sent := len(h.sent)
	h.advance(50 * time.Millisecond)
	setTokens(1)
	h.advance(30 * time.Millisecond)
	extra := map[string]string{}
	for _, s := range h.sent[sent:] {
		extra[s.Service] = s.Message.RequestID
	}
	if diff := gocmp.Diff(map[string]string{"shard2": "2", "shard3": "2"}, extra); diff != "" {
		t.Errorf("requests with an extra send, by shard (-want +got):\n%s", diff)
	}
}
