package prover

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// platformProxy forwards TCP connections from one VM to the platform. While it is cut, all its connections are closed and new ones
// are closed at once.
type platformProxy struct {
	target   netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	conns    map[net.Conn]struct{}
}

// startProxy starts a proxy between a VM and the platform and returns its address.
func (t *trial) startProxy(_ int, platform netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "gate")
	}
	p := &platformProxy{target: platform, listener: l, conns: map[net.Conn]struct{}{}}
	t.proxies = append(t.proxies, p)
	go p.serve()
	return netip.ParseAddrPort(l.Addr().String())
}

func (p *platformProxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// addConn registers a connection and reports whether it may be used. It closes the connection when the proxy is cut.
func (p *platformProxy) addConn(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// closeConn closes a connection and removes it from the registered ones.
func (p *platformProxy) closeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *platformProxy) forward(c net.Conn) {
	if !p.addConn(c) {
		return
	}
	defer p.closeConn(c)
	out, err := net.Dial("tcp", p.target.String())
	if err != nil || !p.addConn(out) {
		return
	}
	defer p.closeConn(out)
	go func() {
		_, _ = io.Copy(out, c)
		_ = out.Close()
	}()
	_, _ = io.Copy(c, out)
}

// setCut cuts the proxy, which closes all open connections, or restores it.
func (p *platformProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	if cut {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *platformProxy) close() {
	_ = p.listener.Close()
	p.setCut(true)
}
