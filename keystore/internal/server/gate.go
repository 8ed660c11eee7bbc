package server

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type outage string

// The outages. Both cut established connections, with their waiting watches.
const (
	outageNone   outage = ""
	outageClose  outage = "close"  // new connections are accepted and closed
	outageRefuse outage = "refuse" // the listener is closed
)

// gate owns the listener of the service address, so that an outage can close it and open it again.
type gate struct {
	mu       sync.Mutex
	address  netip.AddrPort
	server   *http.Server
	listener net.Listener
	open     map[net.Conn]struct{}
	outage   outage
	until    *time.Timer
}

// Listen opens the service address and serves it until Close.
func (s *Server) Listen(address netip.AddrPort) error {
	g := &s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server = &http.Server{Handler: s, ConnState: g.track, ReadHeaderTimeout: 10 * time.Second}
	g.open = make(map[net.Conn]struct{})
	g.address = address
	return g.listen()
}

// Address returns the address that the service listens on.
func (s *Server) Address() netip.AddrPort {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.address
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if s.gate.until != nil {
		s.gate.until.Stop()
	}
	_ = s.gate.server.Close()
}

func (g *gate) listen() error {
	l, err := net.Listen("tcp", g.address.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", g.address)
	}
	g.listener = l
	g.address = l.Addr().(*net.TCPAddr).AddrPort()
	go func() { _ = g.server.Serve(l) }() // ends when the listener is closed
	return nil
}

func (g *gate) track(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew:
		g.open[c] = struct{}{}
		if g.outage != outageNone {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(g.open, c)
	}
}

// set starts or ends an outage. A positive duration ends it by itself.
func (g *gate) set(o outage, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.until != nil {
		g.until.Stop()
		g.until = nil
	}
	if g.server == nil {
		return
	}
	if o != outageRefuse && g.outage == outageRefuse {
		if err := g.listen(); err != nil && !errors.Is(err, net.ErrClosed) {
			// The address was free a moment ago; another process took it and no test can go on.
			panic(err)
		}
	}
	if o == outageRefuse && g.outage != outageRefuse {
		_ = g.listener.Close()
	}
	g.outage = o
	if o != outageNone {
		for c := range g.open {
			_ = c.Close()
		}
		if d > 0 {
			g.until = time.AfterFunc(d, func() { g.set(outageNone, 0) })
		}
	}
}
