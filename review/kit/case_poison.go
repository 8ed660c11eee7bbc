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

func init() { cases["poison"] = playPoison }

const (
	poisonFrom  = 4 * time.Second
	poisonEvery = 1500 * time.Millisecond // the consumer sends the request again
	backAfter   = 3 * time.Second         // a crashed server starts again
	entryEnds   = 3600 * time.Millisecond // three heartbeats of silence
	poisonRun   = 35 * time.Second
	poisonLimit = 3 // retries that may still reach servers
)

// playPoison sends a request again and again that crashes each server that begins to run it, beside bookings that must not run twice.
func playPoison(r *run) int {
	s := startStore()
	begin := time.Now()
	var mu sync.Mutex
	crashes, starts := 0, 0
	var third time.Time              // when the third server crashed
	reached := map[string]int{}      // servers by retry, for those sent stable-window-ms after the third crash
	ran := map[string]bool{}         // bookings
	sentAt := map[string]time.Time{} // of each retry
	var handle func(*server, *serverConn, *http.Request) bool
	start := func(n int) {
		mu.Lock()
		starts++
		id := fmt.Sprintf("i-desk-%d-%d", n, starts)
		mu.Unlock()
		startServer(s, "desk", id, 2, 0, 0, handle)
	}
	handle = func(v *server, c *serverConn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		if strings.HasPrefix(q.URL.Path, "/read/poison") && r.trouble {
			mu.Lock()
			crashes++
			if crashes == 3 {
				third = time.Now()
			}
			if !third.IsZero() && sentAt[id].After(third.Add(stableWindow)) {
				reached[id]++
			}
			r.logf("%s: crashes as it begins to run %s, crash %d", v.id, id, crashes)
			mu.Unlock()
			v.crash()
			time.AfterFunc(entryEnds, func() { s.remove("servers/" + v.id) })
			var n int
			_, _ = fmt.Sscanf(v.id, "i-desk-%d-", &n)
			time.AfterFunc(backAfter, func() { start(n) })
			return false
		}
		v.slot <- struct{}{}
		if strings.HasPrefix(q.URL.Path, "/book/") {
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			r.logf("%s: runs booking %s", v.id, id)
		}
		time.Sleep(100 * time.Millisecond)
		<-v.slot
		if v.isClosed() {
			return false
		}
		return v.answer(c, q, http.StatusOK, "Server-Stamp: "+v.stamp(q)+"\r\n", "done")
	}
	for n := range 9 {
		start(n)
	}
	s.put("op/config", manifest(7, []map[string]any{
		{"name": "read", "host": "a.example", "prefix": "/read/", "kind": "idempotent", "timeout-ms": 5000, "target-latency-ms": 800, "priority": 2, "service": "desk", "max-attempts": 2},
		{"name": "book", "host": "a.example", "prefix": "/book/", "kind": "non_idempotent", "timeout-ms": 5000, "target-latency-ms": 800, "priority": 1, "service": "desk", "max-attempts": 1},
	}, "desk"))
	gateways := []*gateway{startGateway(r.folder, "frontend-a-1", s.address(), nil), startGateway(r.folder, "frontend-a-2", s.address(), nil)}
	for _, g := range gateways {
		defer g.stop()
		if !g.awaitReady(10 * time.Second) {
			r.logf("%s does not get ready", g.name)
			return exitNoRun
		}
	}
	var wg sync.WaitGroup
	lost := 0
	for n := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{address: gateways[n%2].front}
			defer c.close()
			for time.Since(begin) < poisonRun {
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
				id, at := newID(), time.Now()
				a := c.send(http.MethodPost, "a.example", "/book/x", id, 5*time.Second, 6*time.Second, []byte("slot=friday"))
				r.logf("consumer %d: POST /book/x %s at %s: %d %v", n, id, gateways[n%2].name, a.status, a.err)
				mu.Lock()
				if ran[id] && a.status != http.StatusOK && !third.IsZero() && at.After(third.Add(stableWindow)) {
					lost++
					r.logf("consumer %d: booking %s ran and its answer is lost: %d %v", n, id, a.status, a.err)
				}
				mu.Unlock()
			}
		}()
	}
	for k := 0; time.Since(begin) < poisonRun; k++ {
		if time.Since(begin) > poisonFrom {
			id := newID()
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			c := &caller{address: gateways[k%2].front}
			a := c.send(http.MethodGet, "a.example", "/read/poison", id, 5*time.Second, 6*time.Second, nil)
			c.close()
			r.logf("consumer p: GET /read/poison %s at %s: %d %v", id, gateways[k%2].name, a.status, a.err)
		}
		time.Sleep(poisonEvery)
	}
	wg.Wait()
	r.logf("%d crashes; %d retries sent %v after the third crash reached servers; %d bookings ran and their answers are lost", crashes, len(reached), stableWindow, lost)
	if len(reached) > poisonLimit {
		r.logf("broken: BUDGET, a request that crashes servers reaches them in more than three retries")
		return exitBroken
	}
	return exitHeld
}
