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

// The outages. Close and refuse also close the established connections, including those with a waiting watch.
const (
	outageNone   outage = ""
	outageClose  outage = "close"  // new connections are accepted and closed
	outageRefuse outage = "refuse" // the listener is closed
)

// endpoint owns the listener and the connections of the service address, so that an outage can close and reopen the listener.
type endpoint struct {
	mu          sync.Mutex
	address     netip.AddrPort
	server      *http.Server
	listener    net.Listener
	connections map[net.Conn]struct{}
	outage      outage
	outageTimer *time.Timer
}

// Listen starts to serve the service address. It serves until Close is called.
func (s *Server) Listen(address netip.AddrPort) error {
	e := &s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: s, ConnState: e.trackConnection, ReadHeaderTimeout: 10 * time.Second}
	e.connections = make(map[net.Conn]struct{})
	e.address = address
	return e.listen()
}

// Address returns the service address, with the port that was chosen if Listen was given port 0.
func (s *Server) Address() netip.AddrPort {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	return s.endpoint.address
}

// Close closes the listener and all connections of the service address.
func (s *Server) Close() {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	if s.endpoint.outageTimer != nil {
		s.endpoint.outageTimer.Stop()
	}
	_ = s.endpoint.server.Close()
}

func (e *endpoint) listen() error {
	l, err := net.Listen("tcp", e.address.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", e.address)
	}
	e.listener = l
	e.address = l.Addr().(*net.TCPAddr).AddrPort()
	go func() { _ = e.server.Serve(l) }() // returns when the listener is closed
	return nil
}

func (e *endpoint) trackConnection(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.connections[c] = struct{}{}
		if e.outage != outageNone {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(e.connections, c)
	}
}

// setOutage starts an outage, or ends it if o is outageNone. If d is positive, the outage ends after d.
func (e *endpoint) setOutage(o outage, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outageTimer != nil {
		e.outageTimer.Stop()
		e.outageTimer = nil
	}
	if e.server == nil {
		return
	}
	if o != outageRefuse && e.outage == outageRefuse {
		if err := e.listen(); err != nil && !errors.Is(err, net.ErrClosed) {
			// Another process took the address during the outage, so no test can continue.
			panic(err)
		}
	}
	if o == outageRefuse && e.outage != outageRefuse {
		_ = e.listener.Close()
	}
	e.outage = o
	if o != outageNone {
		for c := range e.connections {
			_ = c.Close()
		}
		if d > 0 {
			e.outageTimer = time.AfterFunc(d, func() { e.setOutage(outageNone, 0) })
		}
	}
}
