package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stall"] = playStall }

const (
	quickTimeout  = 500 * time.Millisecond  // timeout-ms of the route /quick/
	longTimeout   = 5000 * time.Millisecond // timeout-ms of the route /desk/
	overdue       = 500 * time.Millisecond  // RULES.md: no answer half a second after the timeout
	workTime      = 10 * time.Millisecond   // of a server
	longBody      = 32 << 10                // bodies from this size are long
	readLater     = 2500 * time.Millisecond // after which a server goes on reading a long body
	burstEvery    = 9 * time.Second         // from one burst of requests with bodies to the next
	bursts        = 6
	earlyFor      = 5500 * time.Millisecond // the site's longest "garble"; it comes with each burst
	shortFrom     = 60 * time.Millisecond   // of a burst: shorter bodies follow
	keepAlive     = 3                       // seconds after which a server closes an idle connection, as it says
	deskConsumers = 40
	longConsumers = 8 // of these begin with a long body
	longSpacing   = 2 * time.Millisecond
	deskServers   = 40 // as prize-desk of magnolia-lines has
	earlyServers  = 14 // the site's share of 0.35
)

// answersEarly reports whether a server answers long requests early in a burst. It is another third of the servers each time.
func answersEarly(id string, burst int) bool {
	var n int
	_, err := fmt.Sscanf(id, "i-desk-%d", &n)
	return err == nil && (n+burst*earlyServers)%deskServers < earlyServers
}

// playStall lets a third of the servers of one service answer long requests before they have read the body. They keep the connection and read on
// later. The requests to another service must still be answered within their route's timeout.
func playStall(r *run) int {
	s := startStore()
	begin := time.Now()
	handle := func(v *server, c *serverConn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		at := time.Since(begin)
		inBurst := at > burstEvery && at%burstEvery < earlyFor
		head := fmt.Sprintf("Server-Stamp: %s\r\nKeep-Alive: timeout=%d\r\n", v.stamp(q), keepAlive)
		r.logf("%s: request %s on the connection from %v, body of %d bytes", v.id, id, c.RemoteAddr(), q.ContentLength)
		if r.trouble && q.ContentLength > longBody && inBurst && answersEarly(v.id, int(at/burstEvery)) {
			time.Sleep(workTime)
			r.logf("%s: answers %s with 413, its body of %d bytes is not read yet", v.id, id, q.ContentLength)
			ok := v.answer(c, q, http.StatusRequestEntityTooLarge, head, "too long")
			time.Sleep(readLater)
			n, err := io.Copy(io.Discard, q.Body)
			r.logf("%s: read the rest of %s, %d bytes, %v", v.id, id, n, err)
			return ok && err == nil
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		r.logf("%s: runs %s", v.id, id)
		time.Sleep(workTime)
		return v.answer(c, q, http.StatusOK, head, "done")
	}
	const segment, receive = 1448, 2 << 10 // of an Ethernet link, with a small window
	for n := range deskServers {
		id := fmt.Sprintf("i-desk-%d", n)
		startServer(s, "desk", id, 8, segment, receive, handle)
	}
	for _, id := range []string{"i-quick-1", "i-quick-2", "i-quick-3"} {
		startServer(s, "quick", id, 8, segment, receive, handle)
	}
	s.put("op/config", manifest(7, []map[string]any{
		{"name": "desk", "host": "a.example", "prefix": "/desk/", "kind": "idempotent", "timeout-ms": longTimeout.Milliseconds(), "target-latency-ms": 800, "priority": 2, "service": "desk", "max-attempts": 2},
		{"name": "quick", "host": "a.example", "prefix": "/quick/", "kind": "idempotent", "timeout-ms": quickTimeout.Milliseconds(), "target-latency-ms": 80, "priority": 1, "service": "quick", "max-attempts": 2},
	}, "desk", "quick"))
	g := startGateway(r.folder, "frontend-a-1", s.address(), nil)
	defer g.stop()
	if !g.awaitReady(10 * time.Second) {
		r.logf("the gateway does not get ready")
		return exitNoRun
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, unanswered, late := 0, 0, 0
	// The consumers of /quick/ keep their connections.
	for n := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{address: g.front}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(700+rand.IntN(200)) * time.Millisecond):
				}
				id := newID()
				a := c.send(http.MethodGet, "a.example", "/quick/x", id, quickTimeout, quickTimeout+overdue+100*time.Millisecond, nil)
				mu.Lock()
				sent++
				if a.took > quickTimeout {
					unanswered++
				}
				if a.took > quickTimeout+overdue {
					late++
				}
				mu.Unlock()
				r.logf("consumer %d: GET /quick/x %s: %d after %v %v", n, id, a.status, a.took.Round(time.Millisecond), a.err)
			}
		}()
	}
	// The consumers of /desk/ send bodies of up to a quarter of max-body-bytes, first a long one and then shorter ones in each burst.
	for n := range deskConsumers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{address: g.front}
			defer c.close()
			random := rand.New(rand.NewPCG(1, uint64(n)))
			post := func(size int) {
				id := newID()
				a := c.send(http.MethodPost, "a.example", "/desk/x", id, longTimeout, longTimeout+overdue+100*time.Millisecond, make([]byte, size))
				r.logf("consumer d%d: POST /desk/x %s with %d bytes: %d after %v %v", n, id, size, a.status, a.took.Round(time.Millisecond), a.err)
			}
			for k := 1; k <= bursts; k++ {
				start := begin.Add(time.Duration(k) * burstEvery)
				if n < longConsumers {
					time.Sleep(time.Until(start.Add(time.Duration(n) * longSpacing)))
					post(44000 + random.IntN(17000))
				}
				time.Sleep(time.Until(start.Add(shortFrom)))
				for time.Since(start) < earlyFor {
					time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
					post(14000 + random.IntN(1900))
				}
			}
		}()
	}
	time.Sleep(time.Until(begin.Add((bursts + 1) * burstEvery)))
	close(stop)
	wg.Wait()
	r.logf("%d requests to /quick/, %d without an answer at timeout-ms, %d of these without one half a second later", sent, unanswered, late)
	if late >= 8 && 2*late > unanswered {
		r.logf("broken: CONFIG, requests without an answer half a second after timeout-ms")
		return exitBroken
	}
	return exitHeld
}
