package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unsigned"] = playUnsigned }

const (
	spoilFrom  = 5 * time.Second
	spoilFor   = 5500 * time.Millisecond // the site's longest "garble"
	spoilShare = 0.02                    // of the answers of a faulty server
	spoilRun   = 14 * time.Second
)

// playUnsigned lets a third of the servers of a service spoil one byte in a fiftieth of their answers. In these the name of the signature's
// header is no longer right, so that the answer bears no signature.
func playUnsigned(r *run) int {
	s := startStore()
	begin := time.Now()
	var mu sync.Mutex
	spoiled := map[string]string{} // server by request id
	handle := func(v *server, c *serverConn, q *http.Request) bool {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		time.Sleep(5 * time.Millisecond)
		id := q.Header.Get("Request-Id")
		head := "Server-Stamp: " + v.stamp(q) + "\r\n"
		at := time.Since(begin)
		if r.trouble && strings.HasSuffix(v.id, "-faulty") && at > spoilFrom && at < spoilFrom+spoilFor && rand.Float64() < spoilShare {
			head = strings.Replace(head, "Stamp", "Stanp", 1)
			mu.Lock()
			spoiled[id] = v.id
			mu.Unlock()
			r.logf("%s: spoils one byte of the answer to %s", v.id, id)
		}
		r.logf("%s: ran %s", v.id, id)
		return v.answer(c, q, http.StatusOK, head, "the bytes of "+v.id)
	}
	for n := range 9 {
		id := fmt.Sprintf("i-desk-%d", n)
		if n < 3 {
			id += "-faulty"
		}
		startServer(s, "desk", id, 8, 0, 0, handle)
	}
	s.put("op/config", manifest(7, []map[string]any{
		{"name": "desk", "host": "a.example", "prefix": "/desk/", "kind": "idempotent", "timeout-ms": 5000, "target-latency-ms": 800, "priority": 2, "service": "desk", "max-attempts": 2},
	}, "desk"))
	g := startGateway(r.folder, "frontend-a-1", s.address(), nil)
	defer g.stop()
	if !g.awaitReady(10 * time.Second) {
		r.logf("the gateway does not get ready")
		return exitNoRun
	}
	var wg sync.WaitGroup
	sent, served, unsigned := 0, 0, 0
	for n := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{address: g.front}
			defer c.close()
			for time.Since(begin) < spoilRun {
				time.Sleep(time.Duration(50+rand.IntN(50)) * time.Millisecond)
				id := newID()
				a := c.send(http.MethodGet, "a.example", "/desk/x", id, 5*time.Second, 6*time.Second, nil)
				mu.Lock()
				sent++
				if a.status >= 200 && a.status < 300 {
					served++
					if a.header.Get("Server-Stamp") == "" {
						unsigned++
						r.logf("consumer %d: %s: a success without Server-Stamp: %d %v %q", n, id, a.status, a.header, a.body)
					}
				}
				mu.Unlock()
				r.logf("consumer %d: GET /desk/x %s: %d %v", n, id, a.status, a.err)
			}
		}()
	}
	wg.Wait()
	r.logf("%d requests, %d successes, %d answers spoiled, %d successes without Server-Stamp", sent, served, len(spoiled), unsigned)
	if unsigned > 0 {
		r.logf("broken: MIXED, a success (2xx) without the server's Server-Stamp")
		return exitBroken
	}
	return exitHeld
}
