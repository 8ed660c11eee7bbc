package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. While it is cut, bytes stay where they are in both directions and new connections hang, as in a
// partition. The connections of a cut stay silent afterwards.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	open  map[*pipe]bool
}

type pipe struct {
	mu     sync.Mutex
	silent bool
}

func startProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{listener: l, target: target, open: map[*pipe]bool{}}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(nc)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

func (p *proxy) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	c := &pipe{}
	p.mu.Lock()
	c.silent = p.isCut
	p.open[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, c)
		p.mu.Unlock()
	}()
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	transfer := func(to, from net.Conn) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			c.mu.Lock()
			silent := c.silent
			c.mu.Unlock()
			if n > 0 && !silent {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF || !silent {
					break
				}
				time.Sleep(10 * time.Second) // the end of a silent connection does not get through
				break
			}
		}
		done <- struct{}{}
	}
	go transfer(out, nc)
	go transfer(nc, out)
	<-done
}
