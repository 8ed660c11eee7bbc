package server

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
)

// host is one upstream server.
type host struct {
	fleet  *Fleet
	server describer.Server
	slots  chan struct{} // holds one element for each sub-request that runs

	mu          sync.Mutex
	random      *rand.Rand
	faults      faults
	held        []encoder.HeldVersion // replaced as a whole
	incarnation uint64
	served      int  // sub-requests run since the last start
	cold        bool // the last start was not the first one
	queued      int
	inFlight    map[string]context.CancelCauseFunc // by request id
	life        context.Context                    // ends at a crash or stop
	end         context.CancelFunc
	listener    net.Listener
	open        map[*connection]struct{}
	setup       time.Time     // when the last accepted connection is set up
	light       chan struct{} // closed when the server is reachable again; nil while it is reachable
	reported    encoder.Load
	reportedAt  time.Time
	previous    []byte // last reply, for the swap fault
	stats       Stats
}

// faults are the faults of one server that a command switches on and off.
type faults struct {
	stragglerShare float64
	stragglerDelay time.Duration
	shed           float64 // share of sub-requests
	draining       bool
	wrongID        float64 // share of replies
	swap           bool
	lag            time.Duration // age of the reported load
	crashOn        string
}

func newHost(f *Fleet, s describer.Server, seed uint64) *host {
	h := &host{
		fleet:    f,
		server:   s,
		slots:    make(chan struct{}, s.Service.Slots),
		random:   rand.New(rand.NewPCG(seed, 0)),
		inFlight: make(map[string]context.CancelCauseFunc),
		open:     make(map[*connection]struct{}),
	}
	h.stats.Upstream, h.stats.Service, h.stats.Group, h.stats.FailureDomain = s.Name, s.Service.Name, s.Group, s.FailureDomain
	if s.Service.IsSearch {
		h.hold(s.Service.Version, s.Service.Layout, s.Service.Shards)
	}
	return h
}

// start opens the listener. A host that crashed, restarted or left comes back with a new incarnation; one that only refused
// connections, or listens already, keeps its own.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		return nil
	}
	if err := h.listen(); err != nil {
		return err
	}
	if h.life != nil && h.life.Err() == nil {
		return nil
	}
	h.cold = h.incarnation != 0
	h.incarnation = max(h.incarnation+1, uint64(time.Now().UnixMilli()))
	h.served = 0
	h.life, h.end = context.WithCancel(context.Background())
	return nil
}

// listen opens the listener. The caller holds the lock.
func (h *host) listen() error {
	l, err := net.Listen("tcp", h.server.Address.String())
	if err != nil {
		return eris.Wrapf(err, "upstream %s", h.server.Name)
	}
	h.listener = &listener{Listener: l, host: h, closed: make(chan struct{})}
	go func(l net.Listener) { _ = h.fleet.http.Serve(l) }(h.listener) // ends when the listener is closed
	return nil
}

// stop closes the listener and all connections; with reset, peers get a reset instead of an orderly close.
func (h *host) stop(reset bool) {
	h.mu.Lock()
	h.refuse()
	if h.end != nil {
		h.end()
	}
	open := slices.Collect(maps.Keys(h.open))
	h.mu.Unlock()
	for _, c := range open {
		if t, ok := c.Conn.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// refuse closes the listener only. The caller holds the lock.
func (h *host) refuse() {
	if h.listener != nil {
		_ = h.listener.Close()
		h.listener = nil
	}
}

// crash resets all connections and comes back after a time with a new incarnation and a cold start.
func (h *host) crash(down time.Duration) {
	h.count(func(s *Stats) { s.Crashes++ })
	h.restart(true, down)
}

func (h *host) restart(reset bool, down time.Duration) {
	h.count(func(s *Stats) { s.Restarts++ })
	h.stop(reset)
	time.AfterFunc(down, func() {
		h.mu.Lock()
		h.faults.draining = false
		h.mu.Unlock()
		if err := h.start(); err != nil {
			panic(err) // another process took the address of the deployment
		}
	})
}
