package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/indexer"
)

const testDeployment = `
[deployment]
network = 127.99.1.0
[failure_domains]
names = d1, d2
[service.find]
kind = search
groups = 2
replicas = 2
slots = 1
queue = 1
connections = 3
median = 1ms
sigma = 0
shards = 5
[service.book]
kind = point
replicas = 1
slots = 1
median = 1ms
`

// noReplyTimeout is the time for which a test waits for a reply that must not arrive.
const noReplyTimeout = 200 * time.Millisecond

func startFleet(t *testing.T) *Fleet {
	t.Helper()
	d, err := describer.Parse([]byte(testDeployment))
	if err != nil {
		t.Fatal(err)
	}
	for attempt := 0; ; attempt++ {
		l, err := net.Listen("tcp", "127.99.1.1:0")
		if err != nil {
			t.Fatal(err)
		}
		d.Port = netip.MustParseAddrPort(l.Addr().String()).Port()
		_ = l.Close()
		f := NewFleet(d)
		err = f.Listen()
		if err == nil {
			t.Cleanup(f.Close)
			return f
		}
		if attempt == 5 { // the port was free on the first address, but not on all
			t.Fatal(err)
		}
	}
}

func applyCommand(t *testing.T, f *Fleet, command string) {
	t.Helper()
	var c Command
	if err := encoder.DecodeBytes([]byte(command), 1000, &c); err != nil {
		t.Fatal(err)
	}
	if _, err := f.ApplyCommand(c); err != nil {
		t.Fatal(err)
	}
}

// testClient sends sub-requests to one upstream over its own keep-alive connections.
type testClient struct {
	upstream *upstream
	http     http.Client
}

func newTestClient(t *testing.T, u *upstream) *testClient {
	c := &testClient{upstream: u, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}}}
	t.Cleanup(c.http.CloseIdleConnections)
	return c
}

func (c *testClient) send(wait time.Duration, path, id string, deadline time.Duration, version uint64, body any) (*encoder.SubReply, error) {
	data, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.upstream.server.Address.String()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set(encoder.HeaderRequestID, id)
	r.Header.Set(encoder.HeaderDeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set(encoder.HeaderIndexVersion, strconv.FormatUint(version, 10))
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply encoder.SubReply
	return &reply, encoder.Decode(response.Body, encoder.MaxReplyBytes, &reply)
}

func (c *testClient) search(wait time.Duration, id string, version uint64, query string) (*encoder.SubReply, error) {
	return c.send(wait, encoder.PathSubRequest, id, 10*time.Second, version, encoder.SubRequest{Service: "find", Kind: encoder.SubSearch, Query: query})
}

// TestFaults guards against a command that does not cause its fault, or does not end it. Each case starts with a new fleet. want
// is the status of the second search, "error" if the connection was reset or refused, or "silent" if there was no reply.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		before  string // command before the first search
		after   string // command between the two searches
		id      string // request id of the second reply if it isn't "r2"
		version uint64
		want    string
		state   string // "draining" if the second reply must report it
	}{
		{name: "no fault", want: "ok"},
		{name: "version not held", version: 9, want: "version_not_held"},
		{name: "version added", after: `{"target":{"all":true},"action":"hold","version":9,"layout":"l9","shards":7}`, version: 9, want: "ok"},
		{name: "version dropped", after: `{"target":{"all":true},"action":"drop","version":1}`, version: 1, want: "version_not_held"},
		{name: "shed", after: `{"target":{"service":"find"},"action":"shed"}`, want: "shed"},
		{name: "drain", after: `{"target":{"group":0},"action":"drain"}`, want: "draining", state: "draining"},
		{name: "drain of another group", after: `{"target":{"service":"find","group":1},"action":"drain"}`, want: "ok"},
		{name: "leave", after: `{"target":{"group":0},"action":"leave"}`, want: "draining", state: "draining"},
		{name: "restart", after: `{"target":{"group":0},"action":"restart","for_ms":60000}`, want: "draining", state: "draining"},
		{name: "refuse keeps existing connections", after: `{"target":{"group":0},"action":"refuse"}`, want: "ok"},
		{name: "wrong id", after: `{"target":{"replica":0},"action":"wrong_id"}`, want: "ok", id: "r2-wrong"},
		{name: "swap", before: `{"target":{"upstream":"find-g00-r0"},"action":"swap"}`, want: "ok", id: "r1"},
		{name: "dark", after: `{"target":{"failure_domain":"d1"},"action":"dark"}`, want: "silent"},
		{name: "silence", after: `{"target":{"all":true},"action":"silence"}`, want: "silent"},
		{name: "crash", after: `{"target":{"all":true},"action":"crash","for_ms":60000}`, want: "error"},
		{name: "crash on", before: `{"target":{"all":true},"action":"crash_on","query":"q2"}`, want: "error"},
		{name: "fault ended", before: `{"target":{"all":true},"action":"shed"}`, after: `{"target":{"all":true},"action":"shed","off":true}`, want: "ok"},
		{name: "dark fault ended", before: `{"target":{"failure_domain":"d2"},"action":"dark"}`, after: `{"target":{"all":true},"action":"dark","off":true}`, want: "ok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t)
			client := newTestClient(t, f.upstreams[0])
			if c.before != "" {
				applyCommand(t, f, c.before)
			}
			if _, err := client.search(10*time.Second, "r1", 0, "q1"); err != nil {
				t.Fatal(err)
			}
			if c.after != "" {
				applyCommand(t, f, c.after)
			}
			wait := 10 * time.Second
			if c.want == "silent" {
				wait = noReplyTimeout
			}
			reply, err := client.search(wait, "r2", c.version, "q2")
			var got string
			switch {
			case errors.Is(err, context.DeadlineExceeded):
				got = "silent"
			case err != nil:
				got = "error"
			default:
				got = string(reply.Status)
			}
			if got != c.want {
				t.Fatalf("result %s, want %s (error %v)", got, c.want, err)
			}
			if c.id == "" {
				c.id = "r2"
			}
			if err == nil && (reply.RequestID != c.id || reply.Draining != (c.state == "draining")) {
				t.Errorf("request id %q, want %q; draining %v", reply.RequestID, c.id, reply.Draining)
			}
		})
	}
}

// TestResults guards against results that bench can't verify, and against shards that no group or more than one group holds.
func TestResults(t *testing.T) {
	f := startFleet(t)
	applyCommand(t, f, `{"target":{"all":true},"action":"hold","version":2,"layout":"l2","shards":7}`)
	got, want := map[int][]string{}, map[int][]string{}
	for _, u := range []*upstream{f.upstreams[0], f.upstreams[2]} { // one replica of each group
		reply, err := newTestClient(t, u).search(10*time.Second, "r", 2, "q")
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range reply.Results {
			got[s.Shard] = append(got[s.Shard], s.Items...)
		}
	}
	for s := range 7 {
		want[s] = indexer.Items("find", 2, "l2", s, "q")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestSlots guards against a sub-request that bypasses the slots and the queue, is not counted, or runs after its cancellation or
// deadline.
func TestSlots(t *testing.T) {
	f := startFleet(t)
	u := f.upstreams[0]
	applyCommand(t, f, `{"target":{"all":true},"action":"straggler","delay_ms":60000}`)
	c := newTestClient(t, u)
	running, waiting := make(chan encoder.SubStatus), make(chan encoder.SubStatus)
	search := func(id string, deadline time.Duration, status chan<- encoder.SubStatus) {
		reply, err := c.send(time.Minute, encoder.PathSubRequest, id, deadline, 0, encoder.SubRequest{Service: "find", Kind: encoder.SubSearch})
		if err != nil {
			t.Error(err)
			reply = &encoder.SubReply{}
		}
		status <- reply.Status
	}
	waitForLoad := func(running, queued int) {
		for {
			u.mu.Lock()
			ok := len(u.slots) == running && u.queued == queued
			u.mu.Unlock()
			if ok {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	go search("running", time.Minute, running)
	waitForLoad(1, 0)
	go search("waiting", 50*time.Millisecond, waiting)
	got := []encoder.SubStatus{<-waiting}
	go search("waiting", time.Minute, waiting)
	waitForLoad(1, 1)
	full := make(chan encoder.SubStatus, 1)
	search("full", time.Minute, full)
	got = append(got, <-full)
	for _, id := range []string{"waiting", "running"} {
		if _, err := c.send(time.Minute, encoder.PathCancel, "", time.Minute, 0, encoder.CancelRequest{RequestID: id}); err != nil {
			t.Fatal(err)
		}
	}
	got = append(got, <-waiting, <-running)
	want := []encoder.SubStatus{encoder.StatusExpired, encoder.StatusShed, encoder.StatusCancelled, encoder.StatusCancelled}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	s := f.Stats()[0]
	if diff := cmp.Diff([]uint64{4, 1, 1, 1, 2}, []uint64{s.Received, s.Run, s.Shed, s.Expired, s.Cancelled}); diff != "" {
		t.Errorf("received, run, shed, expired, cancelled (-want +got):\n%s", diff)
	}
}

// TestConnectionLimit guards against connections above the limit that are accepted or not counted as violations.
func TestConnectionLimit(t *testing.T) {
	f := startFleet(t)
	u := f.upstreams[0]
	for range u.server.Service.Connections + 2 {
		c, err := net.Dial("tcp", u.server.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	for {
		if s := f.Stats()[0]; s.Accepted+s.Violations == uint64(u.server.Service.Connections+2) {
			if s.MaxConnections != u.server.Service.Connections || s.Violations != 2 {
				t.Errorf("%+v", s)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionLimitAfterDark guards against connections that their peers closed during a dark fault and that count against the
// limit afterwards.
func TestConnectionLimitAfterDark(t *testing.T) {
	f := startFleet(t)
	u := f.upstreams[0]
	dial := func() net.Conn {
		c, err := net.Dial("tcp", u.server.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	var beforeDark []net.Conn
	for range u.server.Service.Connections {
		beforeDark = append(beforeDark, dial())
	}
	for f.Stats()[0].Accepted < uint64(len(beforeDark)) {
		time.Sleep(time.Millisecond)
	}
	applyCommand(t, f, `{"target":{"all":true},"action":"dark"}`)
	for _, c := range beforeDark {
		// A request that arrives during the dark fault blocks the server's Read, so that the server does not notice the close.
		if _, err := c.Write([]byte("GET /v1/ping HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	for range 2 * u.server.Service.Connections {
		_ = dial().Close()
	}
	applyCommand(t, f, `{"target":{"all":true},"action":"dark","off":true}`)
	c := newTestClient(t, u)
	for range 5 {
		if _, err := c.search(10*time.Second, "r", 0, "q"); err != nil {
			t.Fatal(err)
		}
	}
	if s := f.Stats()[0]; s.Violations != 0 {
		t.Errorf("%d connections above the limit, want 0", s.Violations)
	}
}

// TestExecutedCalls guards against executed calls that are not counted, or not by their body.
func TestExecutedCalls(t *testing.T) {
	f := startFleet(t)
	u := f.upstreams[len(f.upstreams)-1]
	c := newTestClient(t, u)
	for _, body := range []string{`{"seat":1}`, `{"seat":2}`, `{"seat":1}`} {
		request := encoder.SubRequest{Service: "book", Kind: encoder.SubCall, Body: json.RawMessage(body)}
		reply, err := c.send(time.Minute, encoder.PathSubRequest, "c", time.Minute, 0, request)
		if err != nil || string(reply.Result) != body {
			t.Fatalf("%+v, error %v", reply, err)
		}
	}
	want := map[string]map[string]int{"book": {`{"seat":1}`: 2, `{"seat":2}`: 1}}
	if diff := cmp.Diff(want, f.ExecutedCalls()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestNewIncarnation guards against a crashed upstream that starts again with its old incarnation or without a cold start.
func TestNewIncarnation(t *testing.T) {
	f := startFleet(t)
	u := f.upstreams[0]
	before := f.Stats()[0].Incarnation
	applyCommand(t, f, `{"target":{"upstream":"find-g00-r0"},"action":"crash","for_ms":1}`)
	for f.Stats()[0].Incarnation == before {
		time.Sleep(time.Millisecond)
	}
	reply, err := newTestClient(t, u).search(10*time.Second, "r", 0, "q")
	if err != nil || reply.Incarnation <= before {
		t.Fatalf("%+v, error %v", reply, err)
	}
	serviceTime := u.drawServiceTime(time.Now())
	if want := time.Duration(u.server.Service.ColdFactor) * u.server.Service.ServiceTimeMedian; serviceTime != want {
		t.Errorf("service time %v after the restart, want %v", serviceTime, want)
	}
}

// TestCloseDuringDark guards against a Close that hangs while an upstream has the dark fault, because http.Server.Close waits for
// each Accept to return.
func TestCloseDuringDark(t *testing.T) {
	f := startFleet(t)
	if _, err := newTestClient(t, f.upstreams[0]).search(10*time.Second, "r", 0, "q"); err != nil {
		t.Fatal(err)
	}
	applyCommand(t, f, `{"target":{"all":true},"action":"dark"}`)
	// An Accept that is already running does not wait for the end of the fault, so one connection lets it return.
	for _, u := range f.upstreams {
		c, err := net.Dial("tcp", u.server.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	for f.Stats()[len(f.upstreams)-1].Accepted == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Close() // if Close hangs, the timeout of the test run reports it
}

// BenchmarkSubRequest measures the rate of sub-requests without service time, including the cost of the client.
func BenchmarkSubRequest(b *testing.B) {
	d, err := describer.Parse([]byte(strings.NewReplacer("slots = 1", "slots = 100", "connections = 3", "connections = 100", "median = 1ms", "median = 0s").Replace(testDeployment)))
	if err != nil {
		b.Fatal(err)
	}
	f := NewFleet(d)
	if err := f.Listen(); err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	c := &testClient{upstream: f.upstreams[0], http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := c.search(10*time.Second, "r", 0, "q"); err != nil {
				b.Error(err)
			}
		}
	})
}

// TestStopAndStart guards against an upstream that still accepts connections after a refuse, leave or crash command, that doesn't
// serve again afterwards, or that serves with the wrong incarnation.
func TestStopAndStart(t *testing.T) {
	cases := []struct {
		stop, start     string // commands
		sameIncarnation bool
	}{
		{`{"target":{"all":true},"action":"refuse"}`, `{"target":{"all":true},"action":"refuse","off":true}`, true},
		{`{"target":{"all":true},"action":"leave"}`, `{"target":{"all":true},"action":"leave","off":true}`, false},
		{`{"target":{"all":true},"action":"crash","for_ms":60000}`, `{"target":{"all":true},"action":"refuse","off":true}`, false},
	}
	f := startFleet(t)
	address := f.upstreams[0].server.Address.String()
	for _, c := range cases {
		before := f.Stats()[0].Incarnation
		applyCommand(t, f, c.stop)
		for { // a leaving upstream drains first
			conn, err := net.Dial("tcp", address)
			if err != nil {
				break
			}
			_ = conn.Close()
			time.Sleep(time.Millisecond)
		}
		applyCommand(t, f, c.start)
		reply, err := newTestClient(t, f.upstreams[0]).search(10*time.Second, "r", 0, "q")
		if err != nil || reply.Status != encoder.StatusOK {
			t.Fatalf("%s: %+v, error %v", c.stop, reply, err)
		}
		if (reply.Incarnation == before) != c.sameIncarnation {
			t.Errorf("%s: incarnation %d, before %d", c.stop, reply.Incarnation, before)
		}
	}
}

// FuzzCommand guards against a command that makes the server panic.
func FuzzCommand(f *testing.F) {
	f.Add([]byte(`{"target":{"all":true},"action":"hold","version":2,"layout":"l2","shards":7}`))
	f.Add([]byte(`{"target":{"group":-1},"action":"straggler","share":0.5,"delay_ms":10}`))
	d, err := describer.Parse([]byte(testDeployment))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c Command
		if encoder.DecodeBytes(data, 1000, &c) != nil || c.Action == Crash || c.Action == Restart || c.Action == Leave || c.Action == Refuse {
			return // these need listeners, which this fleet doesn't open
		}
		c.ForMS = 0
		_, _ = NewFleet(d).ApplyCommand(c)
	})
}
