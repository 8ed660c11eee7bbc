package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// burstRun counts what consumers on kept connections see.
type burstRun struct {
	*run
	front string

	mu   sync.Mutex
	runs map[string]string // server by request

	sent, served, refused, unread, lost atomic.Int64
}

// bursts: consumers send lists of short lines, many of them at once for some seconds, again and again.
func bursts() {
	const (
		usual     = 24 // consumers
		more      = 36 // consumers in a burst: 2.5 times as many in all
		count     = 8
		burstTime = 7 * time.Second
		calmTime  = 3 * time.Second
		work      = 220 * time.Millisecond
		servers   = 40
	)
	b := &burstRun{run: newRun(), runs: map[string]string{}}
	s := startStore()
	publish(s, 7, []map[string]any{route("r-history", "/history/", "idempotent", map[string]any{"service": "prize-desk"})}, map[string]int{"prize-desk": 35})
	for n := range servers {
		startServer(s, fmt.Sprintf("i-%04d", n), "prize-desk", "shreveport", 0, func(x *exchange) bool {
			if x.readBody(x.left) != nil {
				return false
			}
			b.mu.Lock()
			b.runs[x.id()] = x.server.id
			b.mu.Unlock()
			time.Sleep(work)
			return x.answer(200, "", "history") == nil
		})
	}
	g := b.startGateway(s, "frontend-shreveport-1", "shreveport", nil)
	b.front = g.front
	var all sync.WaitGroup
	end := time.Now().Add(count * (burstTime + calmTime))
	for range usual {
		all.Go(func() { b.consume(end) })
	}
	for n := range count {
		burst := time.Now().Add(burstTime)
		if b.trouble {
			b.note("burst %d", n+1)
			for range more {
				all.Go(func() { b.consume(burst) })
			}
		}
		time.Sleep(burstTime + calmTime)
	}
	all.Wait()
	b.note("%d requests sent, %d served, %d refused, %d closed unread, %d closed after a server has run them; %d MB resident", b.sent.Load(), b.served.Load(),
		b.refused.Load(), b.unread.Load(), b.lost.Load(), residentKB(g.cmd.Process.Pid)/1024)
	const allowed = 3
	b.finish("LOST", max(0, int(b.lost.Load())-allowed), fmt.Sprintf("requests beyond %d", allowed))
}

// list is the body of a request: short lines, within max-body-bytes.
var list = strings.Repeat("cat-0017\n", 250_000/9)

// consume sends requests on kept connections until a time.
func (b *burstRun) consume(end time.Time) {
	for time.Now().Before(end) {
		nc, err := net.DialTimeout("tcp", b.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(nc)
		for kept := false; time.Now().Before(end); kept = true {
			if !b.request(nc, r, kept) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		_ = nc.Close()
	}
}

// request sends one request. It returns false when the connection has ended.
func (b *burstRun) request(nc net.Conn, r *bufio.Reader, kept bool) bool {
	id := newID()
	b.sent.Add(1)
	head := fmt.Sprintf("POST /history/1 HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", id, len(list))
	_ = nc.SetDeadline(time.Now().Add(6 * time.Second))
	_, err := io.WriteString(nc, head+list)
	var a *answer
	if err == nil {
		a, err = readAnswer(r)
	}
	b.mu.Lock()
	server := b.runs[id]
	b.mu.Unlock()
	if err == nil {
		b.note("%s ran at %q, answered %d", id, server, a.status)
	} else {
		b.note("%s ran at %q, kept connection %v, closed: %v", id, server, kept, err)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.note("%s has no answer in 6 s", id)
		return false
	case err != nil && server != "" && kept:
		b.lost.Add(1)
		b.note("LOST %s ran at %s and its kept connection was closed without an answer: %v", id, server, err)
		return false
	case err != nil:
		b.unread.Add(1)
		return false
	case a.status == 200:
		b.served.Add(1)
	case a.status == 503 || a.status == 429:
		b.refused.Add(1)
		time.Sleep(200 * time.Millisecond) // Retry-After
	}
	return !strings.EqualFold(a.header.Get("Connection"), "close")
}
