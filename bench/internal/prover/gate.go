package prover

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// gate passes TCP connections on to an address until it is cut: then it closes them and refuses new ones.
type gate struct {
	target   netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]struct{}
}

// openGate opens the gate between a VM and the platform.
func (t *trial) openGate(_ int, platform netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "gate")
	}
	g := &gate{target: platform, listener: l, open: map[net.Conn]struct{}{}}
	t.gates = append(t.gates, g)
	go g.serve()
	return netip.ParseAddrPort(l.Addr().String())
}

func (g *gate) serve() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.pass(c)
	}
}

// add remembers a connection, or closes it when the gate is cut.
func (g *gate) add(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		_ = c.Close()
		return false
	}
	g.open[c] = struct{}{}
	return true
}

func (g *gate) drop(c net.Conn) {
	g.mu.Lock()
	delete(g.open, c)
	g.mu.Unlock()
	_ = c.Close()
}

func (g *gate) pass(c net.Conn) {
	if !g.add(c) {
		return
	}
	defer g.drop(c)
	out, err := net.Dial("tcp", g.target.String())
	if err != nil || !g.add(out) {
		return
	}
	defer g.drop(out)
	go func() {
		_, _ = io.Copy(out, c)
		_ = out.Close()
	}()
	_, _ = io.Copy(c, out)
}

// set cuts the gate or opens it again.
func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	if cut {
		for c := range g.open {
			_ = c.Close()
		}
	}
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.set(true)
}
