package forwarder

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// kind names an outcome in tests.
func kind(o Outcome) string {
	switch o := o.(type) {
	case Gathered:
		return "gathered"
	case Relayed:
		return "relayed"
	case Refused:
		return "refused " + o.Reason.String()
	case Unknown:
		return "unknown " + o.Reason.String()
	default:
		return "none"
	}
}

// TestOutcomes guards against answers that promise too much or too little: a refusal only when nothing has run, an upstream's own
// failure unchanged, and no second run of a request that must run at most once.
func TestOutcomes(t *testing.T) {
	turnedAway := Failed{Failure: ConnectionRejected, Written: true}
	cases := []struct {
		name  string
		path  string
		ends  []Result // of the sends to the service, in turn
		want  string
		sends int
	}{
		{"success", "/one/x", []Result{Replied{Reply: &Reply{Status: 200, Signature: "s"}}}, "relayed", 1},
		{"an upstream that sheds is replaced", "/one/x", []Result{shed(), Replied{Reply: &Reply{Status: 200, Signature: "s"}}}, "relayed", 2},
		{"all upstreams shed", "/one/x", []Result{shed(), shed(), shed()}, "refused shed", 3},
		{"a failure is tried again", "/one/x", []Result{failure(500), Replied{Reply: &Reply{Status: 200, Signature: "s"}}}, "relayed", 2},
		{"a second failure is passed on", "/one/x", []Result{failure(500), failure(500)}, "relayed", 2},
		{"the caller's mistake is not tried again", "/one/x", []Result{failure(400)}, "relayed", 1},
		{"a success without a signature is none", "/one/x", []Result{Replied{Reply: &Reply{Status: 500}}, Failed{Failure: Mismatched, Written: true}}, "relayed", 2},
		{"lost twice", "/one/x", []Result{Failed{Failure: Reset, Written: true}, Failed{Failure: Reset, Written: true}}, "unknown lost", 2},
		{"nothing listens", "/one/x", []Result{Failed{Failure: Unreachable}, Failed{Failure: Unreachable}, Failed{Failure: Unreachable}}, "refused lost", 3},
		{"turned away", "/one/x", []Result{turnedAway, turnedAway, Replied{Reply: &Reply{Status: 200, Signature: "s"}}}, "relayed", 3},
		{"turned away and lost", "/one/x", []Result{turnedAway, Failed{Failure: Reset, Written: true}, Replied{Reply: &Reply{Status: 200, Signature: "s"}}},
			"relayed", 3},
		{"turned away everywhere", "/one/x", []Result{turnedAway, turnedAway, turnedAway}, "unknown busy", 3},
		{"at most once: turned away", "/once/x", []Result{turnedAway}, "unknown lost", 1},
		{"at most once: lost", "/once/x", []Result{Failed{Failure: Reset, Written: true}}, "unknown lost", 1},
		{"at most once: failure", "/once/x", []Result{failure(500)}, "relayed", 1},
		{"at most once: shed and run elsewhere", "/once/x", []Result{shed(), Replied{Reply: &Reply{Status: 200, Signature: "s"}}}, "relayed", 2},
		{"at most once: unsent and shed", "/once/x", []Result{Failed{Failure: Unreachable}, shed(), shed()}, "refused shed", 3},
		{"at most once: shed and lost", "/once/x", []Result{shed(), Failed{Failure: Reset, Written: true}}, "unknown lost", 2},
	}
	for _, c := range cases {
		w := calm(t, 4)
		id := w.request(c.path, 0)
		for _, r := range c.ends {
			w.end(w.take("point"), r)
		}
		if diff := cmp.Diff(c.want, kind(w.answers[id].Outcome)); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", c.name, diff)
		}
		if len(w.sent) != c.sends {
			t.Errorf("%s: %d sends, want %d", c.name, len(w.sent), c.sends)
		}
	}
}

// TestUnroutable guards against a 404 while no manifest is known, and against requests that wait for a route that does not exist.
func TestUnroutable(t *testing.T) {
	w := newWorld(t, Config{})
	if got := kind(w.answers[w.request("/all/x", 0)].Outcome); got != "refused no_manifest" {
		t.Errorf("without a manifest: %s", got)
	}
	w.step(ManifestAdopted{Manifest: standard(1, 4)})
	if got := kind(w.answers[w.request("/none/x", 0)].Outcome); got != "refused no_route" {
		t.Errorf("without a route: %s", got)
	}
	if got := kind(w.answers[w.request("/one/x", 0)].Outcome); got != "refused no_upstream" {
		t.Errorf("without upstreams: %s", got)
	}
}

// TestManifestNeverReverts guards against an old manifest that arrives late.
func TestManifestNeverReverts(t *testing.T) {
	w := calm(t, 4)
	w.step(ManifestAdopted{Manifest: NewManifest(5, nil, nil, Limits{})})
	w.step(ManifestAdopted{Manifest: standard(4, 4)})
	if got := kind(w.answers[w.request("/one/x", 0)].Outcome); got != "refused no_route" {
		t.Errorf("a route of an older manifest is used: %s", got)
	}
}

// TestMatch guards against a shorter prefix that wins over a longer one, and against a port in the host.
func TestMatch(t *testing.T) {
	m := NewManifest(1, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"}, {Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z", "long"},
		{"A.example:80", "/x/y/", "long"},
		{"b.example", "/x/y/", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
	}
	for _, c := range cases {
		got := ""
		if r := m.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s leads to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestGatherWaitsForAllShards guards against answers without a shard that would have replied in time.
func TestGatherWaitsForAllShards(t *testing.T) {
	w := calm(t, 4)
	id := w.request("/all/x", 0)
	for _, s := range shards(3) {
		w.reply(s)
	}
	if a, ok := w.answers[id]; ok {
		t.Fatalf("answered without the last shard: %v", a)
	}
	w.reply("shard3")
	got, ok := w.answers[id].Outcome.(Gathered)
	if !ok || got.Missing != 0 || len(got.Signatures) != 4 {
		t.Fatalf("answer %+v", w.answers[id])
	}
	want := "shard3          shard2          shard1          "
	if diff := cmp.Diff(want, string(got.Body)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

// TestGatherCut guards against a whole answer that comes too late to be of use when a shard pauses.
func TestGatherCut(t *testing.T) {
	w := calm(t, 4)
	id := w.request("/all/x", 0)
	for _, s := range shards(3) {
		w.reply(s)
	}
	began := w.now
	w.run(100 * time.Millisecond)
	got, ok := w.answers[id].Outcome.(Gathered)
	if !ok || got.Missing != 1 {
		t.Fatalf("answer %+v", w.answers[id])
	}
	if missing := w.answers[id].Report.Missing; len(missing) != 1 || missing[0].Service != "shard3" || missing[0].Reason != Late {
		t.Errorf("the report names %+v", missing)
	}
	if took := w.answers[id].Report.Elapsed; took > 100*time.Millisecond || took < 80*time.Millisecond {
		t.Errorf("answered after %v of 100ms; began %v", took, began)
	}
}

// TestGatherBelowCoverage guards against an answer below the least coverage, and against waiting when it cannot be reached.
func TestGatherBelowCoverage(t *testing.T) {
	w := calm(t, 4)
	id := w.request("/all/x", 0)
	w.reply("shard0")
	w.reply("shard1")
	w.run(500 * time.Millisecond)
	if a, ok := w.answers[id]; ok {
		t.Fatalf("answered with two of four shards: %+v", a)
	}
	w.reply("shard2")
	if got, ok := w.answers[id].Outcome.(Gathered); !ok || got.Missing != 1 {
		t.Fatalf("the third shard is late but enough: %+v", w.answers[id])
	}

	w = calm(t, 4)
	w.step(UpstreamsListed{Upstreams: upstreams("shard0", "shard1", "point")})
	id = w.request("/all/x", 0)
	if got := kind(w.answers[id].Outcome); got != "refused no_upstream" && got != "unknown too_few_shards" {
		t.Errorf("two of four shards have no upstream: %s", got)
	}
}

// TestHedge guards against a request that waits for a paused upstream while another one is free.
func TestHedge(t *testing.T) {
	w := calm(t, 4)
	id := w.request("/one/x", 0)
	first := w.take("point")
	w.run(50 * time.Millisecond)
	second := w.take("point")
	if first.Upstream == second.Upstream {
		t.Fatal("the hedge goes to the same upstream")
	}
	w.end(second, Replied{Reply: success(second)})
	if got := kind(w.answers[id].Outcome); got != "relayed" {
		t.Fatalf("outcome %s", got)
	}
	w.end(first, Replied{Reply: success(first)}) // the late reply changes nothing
}

// TestLaterThanTarget guards against an answer without a reply: a request to one upstream whose hedge falls due after its latency
// objective was answered with nothing, and its caller's connection was closed.
func TestLaterThanTarget(t *testing.T) {
	w := newWorld(t, Config{}) // without a token the hedge is looked at again and again
	w.step(ManifestAdopted{Manifest: standard(1, 4)})
	w.step(UpstreamsListed{Upstreams: upstreams("point")})
	id := w.request("/one/x", 0)
	w.run(200 * time.Millisecond)
	if a, ok := w.answers[id]; ok {
		t.Fatalf("answered without a reply: %+v", a.Outcome)
	}
	w.reply("point")
	if got, ok := w.answers[id].Outcome.(Relayed); !ok || got.Reply == nil {
		t.Errorf("outcome %+v", w.answers[id].Outcome)
	}
}

// TestNoHedgeAtMostOnce guards against a second send of a request that must not run twice.
func TestNoHedgeAtMostOnce(t *testing.T) {
	w := calm(t, 4)
	id := w.request("/once/x", 0)
	w.run(2 * time.Second)
	if len(w.sent) != 1 {
		t.Errorf("%d sends", len(w.sent))
	}
	if got := kind(w.answers[id].Outcome); got != "unknown expired" {
		t.Errorf("outcome %s", got)
	}
}

// TestBudget guards against hedges beyond the budget when every upstream is slow.
func TestBudget(t *testing.T) {
	w := calm(t, 4)
	const requests = 60
	for range requests {
		w.request("/all/x", 0)
		w.run(20 * time.Millisecond)
		for _, s := range w.sends {
			w.step(AttemptEnded{Attempt: s.Attempt, Result: shed()})
		}
		w.sends = nil
	}
	extra := map[string]int{}
	for _, s := range w.sent {
		extra[s.Service]++
	}
	for _, s := range shards(4) {
		if most := requests + int(0.2*requests) + 54/12; extra[s] > most {
			t.Errorf("%d sends to %s, at most %d are allowed", extra[s], s, most)
		}
	}
}

// TestSplitKeepsShares guards against shares that drift from their weights, also while one service sheds.
func TestSplitKeepsShares(t *testing.T) {
	w := calm(t, 4)
	first := map[string]int{}
	for range 100 {
		before := len(w.sent)
		w.request("/split/x", 0)
		first[w.sent[before].Service]++
		for _, s := range w.sends {
			w.end(s, Replied{Reply: success(s)})
		}
		w.sends = nil
	}
	if diff := cmp.Diff(map[string]int{"left": 75, "right": 25}, first); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// TestDraining guards against work for an upstream that leaves, and against connections to it that stay open.
func TestDraining(t *testing.T) {
	w := calm(t, 4)
	all := upstreams("point")
	all[0].Draining = true
	w.step(UpstreamsListed{Upstreams: all})
	for range 50 {
		w.request("/one/x", 0)
		s := w.take("point")
		if s.Upstream == all[0].Name {
			t.Fatal("a request goes to an upstream that leaves")
		}
		w.end(s, Replied{Reply: success(s)})
	}
	found := false
	for _, name := range w.retired {
		found = found || name == all[0].Name
	}
	if !found {
		t.Error("the connections to the leaving upstream stay open")
	}
}

// TestMisdirected guards against more requests to an address that another upstream has taken.
func TestMisdirected(t *testing.T) {
	w := calm(t, 4)
	w.request("/one/x", 0)
	moved := w.take("point")
	w.end(moved, Replied{Reply: &Reply{Status: 421, NotRun: true, Misdirected: true}})
	s := w.take("point")
	w.end(s, Replied{Reply: success(s)})
	for range 30 {
		w.request("/one/x", 0)
		s := w.take("point")
		if s.Upstream == moved.Upstream {
			t.Fatal("a request goes to an address that belongs to another upstream")
		}
		w.end(s, Replied{Reply: success(s)})
	}
}

// TestCallerGone guards against work for a caller that has left.
func TestCallerGone(t *testing.T) {
	w := calm(t, 4)
	id := w.request("/all/x", 0)
	w.step(CallerGone{Request: id})
	if w.cancels != 4 {
		t.Errorf("%d attempts cancelled, want 4", w.cancels)
	}
	for len(w.sends) > 0 {
		w.end(w.take(w.sends[0].Service), Failed{Failure: Cancelled, Written: true})
	}
	w.run(time.Second)
	if len(w.sent) != 4 || len(w.answers) != 0 || w.machine.PendingRequests() != 0 || len(w.machine.attempts) != 0 {
		t.Errorf("%d sends, %d answers, %d requests, %d attempts are left", len(w.sent), len(w.answers), w.machine.PendingRequests(), len(w.machine.attempts))
	}
}

// TestWaiting guards against requests that wait in vain: the higher rank first, and a refusal early enough for another try.
func TestWaiting(t *testing.T) {
	w := newWorld(t, Config{FailureDomain: "d0"})
	point := Split{Services: []WeightedService{{Service: "point", Weight: 1}}}
	w.step(ManifestAdopted{Manifest: NewManifest(1, []Route{
		{Name: "low", Host: "h.example", Prefix: "/low/", Idempotent: true, LatencyTarget: time.Second, Priority: 2, MaxAttempts: 1, Destination: point},
		{Name: "high", Host: "h.example", Prefix: "/high/", Idempotent: true, LatencyTarget: time.Second, Priority: 1, MaxAttempts: 1, Destination: point},
	}, []Service{{Name: "point", MaxConnections: 1}}, Limits{})})
	w.step(UpstreamsListed{Upstreams: upstreams("point")[:1]})
	w.request("/low/0", 0)
	low, high, last := w.request("/low/1", 0), w.request("/high/2", 0), w.request("/low/3", 0)
	w.run(50 * time.Millisecond)
	w.reply("point")
	if got := w.sends[0].Message.Path; got != "/high/2" {
		t.Errorf("%s is sent first", got)
	}
	w.reply("point")
	if kind(w.answers[high].Outcome) != "relayed" || w.sends[0].Message.Path != "/low/1" {
		t.Errorf("then %s is sent", w.sends[0].Message.Path)
	}
	w.run(400 * time.Millisecond)
	a := w.answers[last]
	if o, ok := a.Outcome.(Refused); !ok || o.Reason != Busy || o.RetryAfter <= 0 || a.Report.Elapsed > 250*time.Millisecond {
		t.Errorf("the last one got %+v after %v", a.Outcome, a.Report.Elapsed)
	}
	w.reply("point")
	if kind(w.answers[low].Outcome) != "relayed" {
		t.Errorf("the second one got %s", kind(w.answers[low].Outcome))
	}
}

// TestMergeTop guards against records in the wrong order, lost equal records and a remainder that is taken for a record.
func TestMergeTop(t *testing.T) {
	a, b, c := "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb", "cccccccccccccccc"
	cases := []struct {
		name  string
		parts []string
		top   int
		want  string
	}{
		{"order", []string{a + c, b}, 3, c + b + a},
		{"equal records all count", []string{b, b, a}, 2, b + b},
		{"remainder", []string{a + "zzz"}, 5, a},
		{"fewer than asked", []string{a}, 5, a},
		{"none", nil, 5, ""},
		{"zero", []string{a}, 0, ""},
	}
	for _, c := range cases {
		var parts [][]byte
		for _, p := range c.parts {
			parts = append(parts, []byte(p))
		}
		if diff := cmp.Diff(c.want, string(mergeTop(parts, c.top))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestFleetSized guards against a fleet whose VMs together open more connections to an upstream than it accepts.
func TestFleetSized(t *testing.T) {
	cases := []struct{ vms, want int }{{0, 6}, {7, 6}, {37, 2}, {74, 1}, {300, 1}}
	now := time.Unix(1000, 0)
	for _, c := range cases {
		m := &Machine{}
		m.Step(now, ManifestAdopted{NewManifest(1, []Route{{
			Name: "r", Host: "h", Prefix: "/", Idempotent: true, Destination: Split{Services: []WeightedService{{Service: "s", Weight: 1}}},
		}}, []Service{{Name: "s", MaxConnections: 74}}, Limits{})})
		m.Step(now, UpstreamsListed{[]Upstream{{Name: "u", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4}}})
		m.Step(now, FleetResized{VMs: c.vms})
		got := 0
		for _, a := range m.Step(now, RequestArrived{Request: 1, Message: &Message{Host: "h", Path: "/"}}) {
			if s, ok := a.(Send); ok {
				got = s.MaxConnections
			}
		}
		if got != c.want {
			t.Errorf("%d VMs: a VM opens %d connections, want %d", c.vms, got, c.want)
		}
	}
}
