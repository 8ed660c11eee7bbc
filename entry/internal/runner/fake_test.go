package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/configloader"
	"comfreyroute/core/state/tabler"
)

// fakePlatform is a key-value service in memory with a VM list.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]encoder.KeyValue
	list     []encoder.ListedVM
	gate     chan struct{} // writes block until it is closed; nil blocks none
	writing  chan struct{} // receives a value when a write arrives
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == encoder.PathVMs:
		p.mu.Lock()
		defer p.mu.Unlock()
		writeReply(w, encoder.VMList{VMs: p.list})
	case r.URL.Path == encoder.PathWatch:
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		var reply encoder.WatchReply
		for range 100 {
			p.mu.Lock()
			reply.Revision, reply.Items = p.revision, p.values(func(kv encoder.KeyValue) bool { return kv.Revision > after })
			p.mu.Unlock()
			if len(reply.Items) > 0 || r.Context().Err() != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		writeReply(w, reply)
	case r.URL.Path == encoder.PathRange:
		p.mu.Lock()
		defer p.mu.Unlock()
		after := r.URL.Query().Get("after")
		writeReply(w, encoder.RangeReply{Revision: p.revision, Items: p.values(func(kv encoder.KeyValue) bool { return kv.Key > after })})
	case r.Method == http.MethodPut:
		var put encoder.PutRequest
		_ = json.NewDecoder(r.Body).Decode(&put)
		if p.gate != nil {
			p.writing <- struct{}{}
			<-p.gate
		}
		writeReply(w, encoder.WriteReply{Revision: p.put(strings.TrimPrefix(r.URL.Path, encoder.PathKeys), put.Value)})
	}
}

// values returns the table values for which want returns true, in key order.
func (p *fakePlatform) values(want func(encoder.KeyValue) bool) []encoder.KeyValue {
	var list []encoder.KeyValue
	for _, service := range []string{"ledger", "matching"} {
		if kv := p.items[tabler.Key(service)]; want(kv) {
			list = append(list, kv)
		}
	}
	return list
}

func (p *fakePlatform) put(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.items[key] = encoder.KeyValue{Key: key, Value: value, Revision: p.revision}
	return p.revision
}

func writeReply(w io.Writer, v any) { _ = json.NewEncoder(w).Encode(v) }

// fakeUpstream answers sub-requests once its gate channel is closed.
type fakeUpstream struct {
	name    string
	gate    chan struct{}
	running chan string // receives the ID of each sub-request
	ended   chan string // receives the ID of each sub-request that was cancelled or whose connection was closed
}

func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply := encoder.SubReply{
		RequestID: r.Header.Get(encoder.HeaderRequestID), Upstream: u.name, Incarnation: 1, Status: encoder.StatusOK,
		Load: encoder.Load{Slots: 4}, Held: []encoder.HeldVersion{{Version: 1, Layout: "l", ShardsTotal: 1, Shards: []int{0}}},
	}
	if r.URL.Path == encoder.PathSubRequest {
		_, _ = io.ReadAll(r.Body)
		u.running <- reply.RequestID
		select {
		case <-u.gate:
		case <-r.Context().Done():
			u.ended <- reply.RequestID
			return
		}
		reply.Version, reply.Layout, reply.Results = 1, "l", []encoder.ShardResult{{Shard: 0}}
		reply.Result = json.RawMessage(`"booked"`)
	}
	writeReply(w, reply)
}

// testDaemon is a daemon with a fake platform and a fake upstream.
type testDaemon struct {
	*daemon
	address  netip.AddrPort // of the platform
	platform *fakePlatform
	upstream *fakeUpstream
	signals  chan os.Signal
	ended    chan error
	client   *http.Client
}

// startTestDaemon starts a platform, an upstream and a daemon, and waits until the daemon is ready.
func startTestDaemon(t *testing.T, change func(*configloader.Settings)) *testDaemon {
	t.Helper()
	s := &testDaemon{
		platform: &fakePlatform{items: map[string]encoder.KeyValue{}},
		upstream: &fakeUpstream{name: "u", gate: make(chan struct{}), running: make(chan string, 10), ended: make(chan string, 10)},
	}
	s.address = startServer(t, s.platform)
	for i, service := range []string{"matching", "ledger"} {
		s.platform.put(tabler.Key(service), encodeTable(t, service, tabler.Kind(i), startServer(t, s.upstream)))
	}
	s.launch(t, "vm", change)
	return s
}

func startServer(t *testing.T, h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// encodeTable returns the stored table value of a service with one upstream.
func encodeTable(t *testing.T, service string, kind tabler.Kind, upstream netip.AddrPort) []byte {
	t.Helper()
	v := &tabler.Value{Service: tabler.NewServiceRow(service)}
	v.Service.Kind, v.Service.Deadline = kind, 20*time.Second
	v.Upstreams = []tabler.UpstreamRow{{
		Service: service, Upstream: "u", Address: upstream, FailureDomain: "d", Weight: 100, Connections: 48, Slots: 4,
	}}
	data, err := tabler.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// launch starts a daemon and waits until it is ready.
func (s *testDaemon) launch(t *testing.T, id string, change func(*configloader.Settings)) {
	t.Helper()
	s.signals, s.ended = make(chan os.Signal, 2), make(chan error, 1)
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	settings := configloader.Defaults()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings.VM = configloader.VM{ID: id, FailureDomain: "d", CallerAddress: anyPort, PeerAddress: anyPort}
	settings.Platform.Address, settings.Platform.Timeout, settings.Platform.CallRate = s.address, 20*time.Second, 1000
	settings.Shutdown = configloader.Shutdown{HardLimit: time.Minute}
	if change != nil {
		change(&settings)
	}
	s.daemon = &daemon{settings: &settings, log: zap.NewNop()}
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	s.platform.mu.Lock()
	s.platform.list = append(s.platform.list, encoder.ListedVM{
		Name: id, Role: "entry", Address: s.messenger.Address().String(), FailureDomain: "d", State: encoder.VMLive,
	})
	s.platform.mu.Unlock()
	d, signals, ended := s.daemon, s.signals, s.ended
	go func() { ended <- d.awaitShutdown(signals) }()
	for s.status("/readyz") != http.StatusOK {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *testDaemon) status(path string) int {
	reply, err := s.client.Get("http://" + s.callerAddress.String() + path)
	if err != nil {
		return 0
	}
	defer func() { _ = reply.Body.Close() }()
	return reply.StatusCode
}

// post sends a request in a goroutine and returns the channel that receives its answer or the text of its error.
func (s *testDaemon) post(ctx context.Context, path, body string) <-chan string {
	answers := make(chan string, 1)
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callerAddress.String()+path, strings.NewReader(body))
		reply, err := s.client.Do(r)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer func() { _ = reply.Body.Close() }()
		data, _ := io.ReadAll(reply.Body)
		answers <- string(data)
	}()
	return answers
}

// stop shuts down a daemon that has no request in flight.
func (s *testDaemon) stop(t *testing.T) {
	t.Helper()
	s.signals <- os.Interrupt
	if err := <-s.ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}
