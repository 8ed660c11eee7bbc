package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// unroutedRequests: clients ask for what no route serves, also for the server as a whole.
func unroutedRequests() {
	const rounds = 20
	r := newRun()
	s := startStore()
	publish(s, 7, []map[string]any{route("r-cards", "/card/", "idempotent", map[string]any{"service": "cards"})}, map[string]int{"cards": 35})
	startServer(s, "i-0000", "cards", "shreveport", 0, func(x *exchange) bool { return x.answer(200, "", "card") == nil })
	g := r.startGateway(s, "frontend-shreveport-1", "shreveport", nil)
	lines := []string{"GET /card/1", "GET /none/1", "OPTIONS /none/1"}
	if r.trouble {
		lines = append(lines, "OPTIONS *")
	}
	nc, err := net.Dial("tcp", g.front)
	if err != nil {
		fail("connect: %v", err)
	}
	defer func() { _ = nc.Close() }()
	reader, broken := bufio.NewReader(nc), 0
	for n := range rounds * len(lines) {
		line, id := lines[n%len(lines)], newID()
		a, err := sendOn(nc, reader, fmt.Sprintf("%s HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", line, id), 6*time.Second)
		if err != nil {
			fail("%s: %v", line, err)
		}
		stamp := a.header.Get("Server-Stamp")
		r.note("%s, id %s: answered %d with Server-Stamp %q", line, id, a.status, stamp)
		if a.status/100 == 2 && stamp == "" {
			broken++
			r.note("MIXED %s: a success that no server gave", id)
		}
	}
	r.finish("MIXED", broken, "answers")
}
