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

// upstream is one fake upstream server.
type upstream struct {
	fleet  *Fleet
	server describer.Server
	slots  chan struct{} // holds one element per running sub-request

	mu            sync.Mutex
	random        *rand.Rand
	faults        faults
	heldVersions  []encoder.HeldVersion // replaced, never modified, because replies that are being encoded read it
	incarnation   uint64
	runCount      int  // number of sub-requests run since the last start
	isRestarted   bool // the upstream has been started more than once
	queued        int
	inFlight      map[string]context.CancelCauseFunc // running and queued sub-requests by request id
	lifetime      context.Context                    // cancelled when the upstream stops or crashes
	endLifetime   context.CancelFunc
	listener      net.Listener
	connections   map[*connection]struct{}
	setupDone     time.Time     // time at which the last accepted connection is set up
	reachable     chan struct{} // closed when the dark fault ends; nil while the upstream is reachable
	reportedLoad  encoder.Load
	reportedAt    time.Time
	previousReply []byte // last encoded reply, for the swap fault
	stats         Stats
}

// faults are the lasting faults of one upstream, except those of its listener and connections.
type faults struct {
	stragglerShare float64
	stragglerDelay time.Duration
	shedShare      float64 // share of sub-requests that are shed
	isDraining     bool
	wrongIDShare   float64 // share of replies with a wrong request id
	swapsReplies   bool
	loadLag        time.Duration // maximum age of the reported load
	crashText      string        // query, or part of the body, of a sub-request that crashes the upstream
}

func newUpstream(f *Fleet, s describer.Server, seed uint64) *upstream {
	u := &upstream{
		fleet:       f,
		server:      s,
		slots:       make(chan struct{}, s.Service.Slots),
		random:      rand.New(rand.NewPCG(seed, 0)),
		inFlight:    make(map[string]context.CancelCauseFunc),
		connections: make(map[*connection]struct{}),
	}
	u.stats.Upstream, u.stats.Service, u.stats.Group, u.stats.FailureDomain = s.Name, s.Service.Name, s.Group, s.FailureDomain
	if s.Service.IsSearch {
		u.addVersion(s.Service.Version, s.Service.Layout, s.Service.Shards)
	}
	return u
}

// start opens the listener. After a crash, a restart or a leave, the upstream gets a new incarnation. If it only refused
// connections, or is listening already, it keeps its incarnation.
func (u *upstream) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil {
		return nil
	}
	if err := u.listen(); err != nil {
		return err
	}
	if u.lifetime != nil && u.lifetime.Err() == nil {
		return nil
	}
	u.isRestarted = u.incarnation != 0
	u.incarnation = max(u.incarnation+1, uint64(time.Now().UnixMilli()))
	u.runCount = 0
	u.lifetime, u.endLifetime = context.WithCancel(context.Background())
	return nil
}

// listen opens the listener. u.mu must be held.
func (u *upstream) listen() error {
	l, err := net.Listen("tcp", u.server.Address.String())
	if err != nil {
		return eris.Wrapf(err, "upstream %s", u.server.Name)
	}
	u.listener = &listener{Listener: l, upstream: u, closed: make(chan struct{})}
	go func(l net.Listener) { _ = u.fleet.http.Serve(l) }(u.listener) // returns when the listener is closed
	return nil
}

// stop closes the listener and all connections. If reset is set, the connections are reset instead of closed in order.
func (u *upstream) stop(reset bool) {
	u.mu.Lock()
	u.closeListener()
	if u.endLifetime != nil {
		u.endLifetime()
	}
	open := slices.Collect(maps.Keys(u.connections))
	u.mu.Unlock()
	for _, c := range open {
		if t, ok := c.Conn.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// closeListener closes the listener and leaves the connections open. u.mu must be held.
func (u *upstream) closeListener() {
	if u.listener != nil {
		_ = u.listener.Close()
		u.listener = nil
	}
}

// crash resets all connections and starts the upstream again after the downtime, with a new incarnation and a cold start.
func (u *upstream) crash(downtime time.Duration) {
	u.updateStats(func(s *Stats) { s.Crashes++ })
	u.restart(true, downtime)
}

func (u *upstream) restart(reset bool, downtime time.Duration) {
	u.updateStats(func(s *Stats) { s.Restarts++ })
	u.stop(reset)
	time.AfterFunc(downtime, func() {
		u.mu.Lock()
		u.faults.isDraining = false
		u.mu.Unlock()
		if err := u.start(); err != nil {
			panic(err) // another process took the address
		}
	})
}
