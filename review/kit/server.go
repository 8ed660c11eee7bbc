package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// server stands in for one server of a service, after the section "Servers" of PROTOCOL.md.
type server struct {
	id, service, zone string
	slots             int
	born              int64
	listener          net.Listener
	store             *store
	slot              chan struct{}
	serial            atomic.Int64
	seq               atomic.Int64

	// handle answers one request whose head was read. It returns false if the connection ends.
	handle func(*server, *serverConn, *http.Request) bool

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

// startServer starts a server and registers it. A segment size above 0 is what the server announces on its connections, as the
// link of a real network makes it; receive is the size of the receive buffer, 0 for the default.
func startServer(s *store, service, id string, slots, segment, receive int, handle func(*server, *serverConn, *http.Request) bool) *server {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if segment > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			}
			if receive > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
			}
		})
	}}
	config.SetMultipathTCP(false) // its sockets ignore TCP_MAXSEG
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	check(err)
	v := &server{
		id: id, service: service, zone: "zone-a", slots: slots, born: time.Now().UnixMilli(), listener: l, store: s,
		slot: make(chan struct{}, slots), handle: handle, conns: map[net.Conn]bool{},
	}
	go v.accept()
	v.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			if !v.isClosed() {
				v.beat()
			}
		}
	}()
	return v
}

func (v *server) isClosed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
}

// beat writes the entry of the server.
func (v *server) beat() {
	v.store.put("servers/"+v.id, map[string]any{
		"service": v.service, "address": v.listener.Addr().String(), "zone": v.zone, "version": "v1", "slots": v.slots, "state": "ready",
		"cold-ms": 0, "seq": v.seq.Add(1), "born": v.born,
	})
}

func (v *server) accept() {
	for {
		nc, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[nc] = true
		v.mu.Unlock()
		go v.serve(nc)
	}
}

// crash ends all connections with a reset and closes the listener. The entry stays, as that of a crashed server does.
func (v *server) crash() {
	v.mu.Lock()
	v.closed = true
	conns := v.conns
	v.conns = map[net.Conn]bool{}
	v.mu.Unlock()
	_ = v.listener.Close()
	for nc := range conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
}

func (v *server) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		v.mu.Lock()
		delete(v.conns, nc)
		v.mu.Unlock()
	}()
	c := &serverConn{Conn: nc, reader: bufio.NewReader(nc)}
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != v.id {
			_, _ = io.Copy(io.Discard, r.Body)
			if !v.answer(c, r, 421, "Instance-Id: "+v.id+"\r\n", "") {
				return
			}
			continue
		}
		if !v.handle(v, c, r) {
			return
		}
	}
}

// stamp returns the signature of a new answer.
func (v *server) stamp(r *http.Request) string {
	return fmt.Sprintf("%s.%x.%s", v.id, v.serial.Add(1), r.Header.Get("Request-Id"))
}

// answer writes a complete answer with the id of its request.
func (v *server) answer(c *serverConn, r *http.Request, status int, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		r.Header.Get("Request-Id"), head, len(body), body)
	return err == nil
}
