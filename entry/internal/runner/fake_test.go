package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/settler"
	"comfreyroute/core/state/tabler"
)

// platform is a small key-value service with one VM in its list.
type platform struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]encoder.KeyValue
	gate     chan struct{} // writes wait until it is closed; nil lets them pass
	writing  chan struct{} // gets a value when a write arrives
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == encoder.PathVMs:
		answer(w, encoder.VMList{VMs: []encoder.ListedVM{}})
	case r.URL.Path == encoder.PathWatch:
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		answer(w, encoder.WatchReply{Revision: p.revision})
	case r.URL.Path == encoder.PathRange:
		p.mu.Lock()
		defer p.mu.Unlock()
		reply := encoder.RangeReply{Revision: p.revision}
		for _, service := range []string{"ledger", "matching"} {
			if kv := p.items[tabler.Key(service)]; kv.Key > r.URL.Query().Get("after") {
				reply.Items = append(reply.Items, kv)
			}
		}
		answer(w, reply)
	case r.Method == http.MethodPut:
		var put encoder.PutRequest
		_ = json.NewDecoder(r.Body).Decode(&put)
		if p.gate != nil {
			p.writing <- struct{}{}
			<-p.gate
		}
		answer(w, encoder.WriteReply{Revision: p.put(strings.TrimPrefix(r.URL.Path, encoder.PathKeys), put.Value)})
	}
}

func (p *platform) put(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.items[key] = encoder.KeyValue{Key: key, Value: value, Revision: p.revision}
	return p.revision
}

func answer(w io.Writer, v any) { _ = json.NewEncoder(w).Encode(v) }

// upstream answers sub-requests when its gate is open.
type upstream struct {
	name    string
	gate    chan struct{}
	running chan string // gets the id of each sub-request
	ended   chan string // gets the id of each sub-request that was cancelled or whose connection was closed
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply := encoder.SubReply{
		RequestID: r.Header.Get(encoder.HeaderRequestID), Upstream: u.name, Incarnation: 1, Status: encoder.StatusOK,
		Load: encoder.Load{Slots: 4}, Held: []encoder.HeldVersion{{Version: 1, Layout: "l", ShardsTotal: 1, Shards: []int{0}}},
	}
	if r.URL.Path == encoder.PathSub {
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
	answer(w, reply)
}

// site is a daemon with its platform and upstreams.
type site struct {
	*daemon
	platform *platform
	upstream *upstream
	signals  chan os.Signal
	ended    chan error
	client   *http.Client
}

// startSite starts everything and waits until the daemon is ready.
func startSite(t *testing.T, change func(*settler.Settings)) *site {
	t.Helper()
	s := &site{
		platform: &platform{items: map[string]encoder.KeyValue{}},
		upstream: &upstream{gate: make(chan struct{}), running: make(chan string, 10), ended: make(chan string, 10)},
		signals:  make(chan os.Signal, 2), ended: make(chan error, 1),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var addresses []netip.AddrPort
	for _, h := range []http.Handler{s.platform, s.upstream, s.upstream} {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		addresses = append(addresses, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	}
	s.upstream.name = "u"
	for i, service := range []string{"matching", "ledger"} {
		v := &tabler.Value{Service: tabler.NewServiceRow(service)}
		v.Service.Kind, v.Service.Deadline = tabler.Kind(i), 20*time.Second
		v.Upstreams = []tabler.UpstreamRow{{
			Service: service, Upstream: "u", Address: addresses[1+i], FailureDomain: "d", Weight: 100, Connections: 48, Slots: 4,
		}}
		data, err := tabler.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		s.platform.put(tabler.Key(service), data)
	}
	settings := settler.Defaults()
	settings.VM = settler.VM{
		ID: "vm", FailureDomain: "d", CallerAddress: netip.MustParseAddrPort("127.0.0.1:0"), PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"),
	}
	settings.Platform.Address, settings.Platform.Timeout, settings.Platform.Calls = addresses[0], 20*time.Second, 1000
	settings.Shutdown = settler.Shutdown{HardLimit: time.Minute}
	if change != nil {
		change(&settings)
	}
	s.daemon = &daemon{settings: &settings, log: zap.NewNop()}
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	go func() { s.ended <- s.wait(s.signals) }()
	for s.status("/readyz") != http.StatusOK {
		time.Sleep(5 * time.Millisecond)
	}
	return s
}

func (s *site) status(path string) int {
	reply, err := s.client.Get("http://" + s.callers.String() + path)
	if err != nil {
		return 0
	}
	defer func() { _ = reply.Body.Close() }()
	return reply.StatusCode
}

// post sends a request in the background and returns the channel of its answer.
func (s *site) post(ctx context.Context, path, body string) <-chan string {
	answers := make(chan string, 1)
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers.String()+path, strings.NewReader(body))
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

// stop ends a daemon that has nothing in flight.
func (s *site) stop(t *testing.T) {
	t.Helper()
	s.signals <- os.Interrupt
	if err := <-s.ended; err != nil {
		t.Errorf("end: %v", err)
	}
}
