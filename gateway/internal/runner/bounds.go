package runner

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/doorkeeper"
	"comfreyroute/core/transport/acceptor"
	"comfreyroute/platform/translator"
)

const (
	// peerShare is the part of the sockets that requests of other VMs may have, followerShare that of followers and asks for grants, as their inverses.
	peerShare     = 8
	followerShare = 4
	// maxProbeConns bounds the connections to the readiness port and to the port of metrics and profiles.
	maxProbeConns       = 32
	maxProbeHeaderBytes = 1 << 10 // net/http allows 4 KB more
	maxProbeTime        = 3 * time.Second
)

// bounds returns the bounds of a listener that takes at most a number of connections. Without limits in the settings the number has none.
func (g *Gateway) bounds(port string, maxConns int) acceptor.Bounds {
	if g.Settings.MaxSockets == 0 && g.Settings.MemoryBytes == 0 {
		maxConns = 0
	}
	return acceptor.Bounds{MaxConns: maxConns, Memory: &g.memory, Refusal: translator.Overloaded(), OnDepart: g.departureRecorder(port)}
}

// boundListeners sets the bounds of the ports for callers and probes.
func (g *Gateway) boundListeners() {
	g.callers.Bounds = g.bounds("callers", acceptor.Capacity(g.Settings.MaxSockets, g.Settings.MemoryBytes))
	g.callers.Bounds.StallTime = g.receiver.StallTime
	g.probes.Bounds = g.bounds("readiness", maxProbeConns)
	g.metrics.NewGauge("comfreyroute_gateway_caller_connections", func() float64 { return float64(g.callers.Conns()) })
}

// serveInternal serves requests of operators or other VMs with at most a number of connections.
func (g *Gateway) serveInternal(h *http.Server, address netip.AddrPort, maxConns int) error {
	l, err := g.listenInternal(address, maxConns)
	if err != nil {
		return err
	}
	serveOn(h, l)
	return nil
}

// listenInternal listens for operators or other VMs.
func (g *Gateway) listenInternal(address netip.AddrPort, maxConns int) (*acceptor.Listener, error) {
	l, err := acceptor.Listen(address)
	if err != nil {
		return nil, err
	}
	l.Bounds = g.bounds("internal", maxConns)
	g.internal.mu.Lock()
	defer g.internal.mu.Unlock()
	g.internal.listeners = append(g.internal.listeners, l)
	return l, nil
}

// internalPorts are the ports for operators and other VMs.
type internalPorts struct {
	mu        sync.Mutex
	listeners []*acceptor.Listener
}

// makeRoom gives up connections that hold memory.
func (p *internalPorts) makeRoom(size int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.listeners, func(l *acceptor.Listener) bool { return l.MakeRoom(size) })
}

// makeRoom gives up connections that hold memory.
func (g *Gateway) makeRoom(size int64) bool {
	return g.callers.MakeRoom(size) || g.probes.MakeRoom(size) || g.internal.makeRoom(size)
}

// departureRecorder counts and logs the callers that are turned away at a port.
func (g *Gateway) departureRecorder(port string) func(acceptor.Departure) {
	counters := make([]interface{ Inc() }, doorkeeper.LastCause+1)
	for cause := range counters {
		counters[cause] = g.metrics.GetOrCreateCounter(`comfreyroute_gateway_callers_turned_away_total{port="` + port + `",cause="` + doorkeeper.Cause(cause).String() + `"}`)
	}
	return func(d acceptor.Departure) {
		counters[d.Cause].Inc()
		g.log.InfoLimited("acceptor: caller turned away", zap.String("port", port), zap.Stringer("from", d.Address), zap.Stringer("cause", d.Cause),
			zap.Stringer("state", d.State), zap.Int64("held", d.Held), zap.Duration("after", d.Age))
	}
}
