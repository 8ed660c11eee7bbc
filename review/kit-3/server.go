package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// arrival is one request that reached a server.
type arrival struct {
	at  time.Time
	id  string // Request-Id
	run bool   // the server began to work on it
}

// server stands in for one server of a service.
type server struct {
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	store             *store
	born              int64

	coldCrash float64 // requests in a second under which it crashes while it is cold; 0 for never
	onCrash   func(s *server, lost []string)

	mu        sync.Mutex
	conns     map[net.Conn]bool
	running   map[string]bool // by Request-Id
	seq       int
	coldUntil time.Time
	state     string
	last      string // what the entry said, without seq
	arrivals  []arrival
	listener  net.Listener
}

// downTime is how long a server that has crashed is away.
const downTime = 3 * time.Second

// startServer starts a server and registers it.
func startServer(st *store, id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, work: work, store: st, born: time.Now().UnixMilli(), state: "ready", listener: l, conns: map[net.Conn]bool{}, running: map[string]bool{}}
	s.serve()
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.beat()
		}
	}()
	return s, nil
}

// serve serves the listener until the server crashes.
func (s *server) serve() {
	h := &http.Server{Handler: s, ConnState: func(nc net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[nc] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, nc)
		}
	}}
	l := s.listener
	go func() { _ = h.Serve(l) }() // ends with the listener
}

// crash ends the server as a process that dies, and starts it again after downTime. The caller holds s.mu.
func (s *server) crash() {
	_ = s.listener.Close()
	var lost []string
	for id := range s.running {
		lost = append(lost, id)
	}
	for nc := range s.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset
		}
		_ = nc.Close()
	}
	s.state = "down"
	if s.onCrash != nil {
		s.onCrash(s, lost)
	}
	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return // another process has the port; the server stays away
		}
		s.mu.Lock()
		s.listener, s.state, s.last, s.seq = l, "ready", "", 0
		s.born, s.coldUntil = time.Now().UnixMilli(), time.Time{}
		s.mu.Unlock()
		s.serve()
		s.beat()
	})
}

// overloaded reports whether a cold server gets more than it tolerates. The caller holds s.mu.
func (s *server) overloaded(now time.Time) bool {
	if s.coldCrash == 0 || s.state == "down" || !now.Before(s.coldUntil) {
		return false
	}
	n := 0
	for k := len(s.arrivals) - 1; k >= 0 && now.Sub(s.arrivals[k].at) < time.Second; k-- {
		n++
	}
	return float64(n) > s.coldCrash
}

// beat writes the entry. The store keeps the old one if nothing but the count of writes has changed.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "down" {
		return
	}
	s.seq++
	cold := max(0, time.Until(s.coldUntil).Milliseconds())
	text := fmt.Sprint(s.state, cold)
	if text == s.last {
		return
	}
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state, "cold-ms": cold, "seq": s.seq, "born": s.born,
	})
	s.last = text
}

// becomeCold makes the server cold for a time, and says so in its entry at once.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(d + time.Millisecond/2) // so that the entry names the whole time
	s.mu.Unlock()
	s.beat()
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := arrival{at: time.Now(), id: r.Header.Get("Request-Id")}
	h := w.Header()
	h.Set("Request-Id", a.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	n := len(s.running)
	full := n >= s.slots+4*s.slots // slots and a queue of a few more
	a.run = !full
	if a.run {
		s.running[a.id] = true
	}
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(n, s.slots), max(0, n-s.slots), s.slots))
	s.arrivals = append(s.arrivals, a)
	if s.overloaded(a.at) {
		s.crash()
	}
	s.mu.Unlock()
	if full {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, a.id)
	}()
	ctx, cancel := context.WithTimeout(r.Context(), s.work)
	defer cancel()
	<-ctx.Done()
	answer := fmt.Sprintf("%s %s %d", s.id, a.id, len(body))
	h.Set("Server-Stamp", s.id+"."+a.id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // fails if the caller has left
}

// arrived returns a copy of the arrivals.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
