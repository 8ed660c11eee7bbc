package main

import (
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"time"
)

// Long requests. A manifest allows bodies of 262,144 bytes. The servers read the beginning of one and begin to work, as the pages allow, and read on
// later. Their connections have small windows, so that a server that does not read blocks the writer.
const (
	longBytes   = 250_000
	earlyBytes  = 4_000
	longWork    = 15 * time.Millisecond
	smallWindow = 4 << 10
)

// longRun is a run with long requests to one service.
type longRun struct {
	*run
	front string

	mu       sync.Mutex
	runs     map[string][]string // servers by request
	troubled map[string]bool     // requests at least one answer to which was lost or spoiled
	count    map[string]int      // answers of each server in trouble
	answers  map[string]*answer
}

// startLong starts a gateway and servers. Serve answers one request of which the server has read the beginning; it returns false to close the
// connection. Troubled says whether the server is one of those in trouble.
func startLong(kind string, servers int, serve func(l *longRun, x *exchange, troubled bool) bool) *longRun {
	l := &longRun{run: newRun(), runs: map[string][]string{}, troubled: map[string]bool{}, count: map[string]int{}, answers: map[string]*answer{}}
	s := startStore()
	publish(s, 7, []map[string]any{route("r-orders", "/book/", kind, map[string]any{"service": "orders"})}, map[string]int{"orders": 35})
	for n := range servers {
		troubled := l.trouble && n%2 == 0 // half of the servers
		startServer(s, fmt.Sprintf("i-%04d", n), "orders", "shreveport", smallWindow, func(x *exchange) bool {
			if x.readBody(earlyBytes) != nil {
				return false
			}
			l.mu.Lock()
			l.runs[x.id()] = append(l.runs[x.id()], x.server.id)
			l.mu.Unlock()
			l.note("%s runs %s", x.server.id, x.id())
			time.Sleep(longWork)
			return serve(l, x, troubled)
		})
	}
	l.front = l.startGateway(s, "frontend-shreveport-1", "shreveport", nil).front
	return l
}

// strike says whether an answer is lost or spoiled, for a share of the answers of each server.
func (l *longRun) strike(x *exchange, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := float64(l.count[x.server.id])
	l.count[x.server.id]++
	if math.Floor((n+1)*share) == math.Floor(n*share) {
		return false
	}
	l.troubled[x.id()] = true
	return true
}

// send sends long requests, one after the other has begun, and waits for all answers.
func (l *longRun) send(requests int, spacing time.Duration) {
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			id := newID()
			text := fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", id, longBytes,
				strings.Repeat("x", longBytes))
			a, err := send(l.front, text, 6*time.Second)
			if err != nil {
				l.note("%s has no answer: %v", id, err)
				return
			}
			l.note("%s answered %d by %q with %d bytes", id, a.status, a.header.Get("Server-Stamp"), len(a.body))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers[id] = a
		})
		time.Sleep(spacing)
	}
	all.Wait()
}

// lostAnswers: servers lose answers to requests that must not run twice.
func lostAnswers() {
	const share = 0.4 // of the answers of half of the servers
	l := startLong("non_idempotent", 6, func(l *longRun, x *exchange, troubled bool) bool {
		if troubled && l.strike(x, share) {
			l.note("%s loses its answer to %s", x.server.id, x.id())
			_ = x.nc.CloseWrite() // the answer is lost: the connection ends without it
			time.Sleep(longWork)
			return false
		}
		return x.answer(200, "", "booked") == nil
	})
	l.send(200, 25*time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := 0
	for id, servers := range l.runs {
		status := 0
		if a := l.answers[id]; a != nil {
			status = a.status
		}
		if len(servers) > 1 {
			broken++
			l.note("TWICE %s ran at %s, answered %d", id, strings.Join(servers, " and "), status)
		}
		if status == 503 || status == 429 {
			broken++
			l.note("REFUSED %s ran at %s, answered %d", id, strings.Join(servers, " and "), status)
		}
	}
	l.note("%d requests ran, %d lost an answer", len(l.runs), len(l.troubled))
	l.finish("TWICE, REFUSED", broken, "requests")
}

// brokenAnswers: servers break off answers that have no length.
func brokenAnswers() {
	const (
		share     = 0.05 // of the answers of half of the servers
		bodyBytes = 4_800
	)
	l := startLong("idempotent", 6, func(l *longRun, x *exchange, troubled bool) bool {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nConnection: close\r\n\r\n", x.id(), x.stamp())
		body := strings.Repeat("0123456789abcdef", bodyBytes/16)
		if troubled && l.strike(x, share) {
			l.note("%s breaks off its answer to %s", x.server.id, x.id())
			_, _ = io.WriteString(x.nc, head+body[:bodyBytes/2])
			time.Sleep(longWork)
			_ = x.nc.SetLinger(0) // a reset
			return false
		}
		if _, err := io.WriteString(x.nc, head+body); err != nil {
			return false
		}
		_ = x.nc.CloseWrite()
		_ = x.readBody(x.left)
		return false
	})
	l.send(600, 12*time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := 0
	for id, a := range l.answers {
		if a.status/100 == 2 && len(a.body) != bodyBytes {
			broken++
			l.note("MIXED %s ran at %s, answered %d with %d of %d bytes", id, strings.Join(l.runs[id], " and "), a.status, len(a.body), bodyBytes)
		}
	}
	l.note("%d requests ran, %d had an answer broken off", len(l.runs), len(l.troubled))
	l.finish("MIXED", broken, "answers")
}
