package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["logs"] = playLogs }

const (
	logPauseFrom = 10 * time.Second // when the reader of the log stops reading
	logPauseFor  = 25 * time.Second
	logRun       = 45 * time.Second
	logTimeout   = 1200 * time.Millisecond // timeout-ms of the route
	logConsumers = 30
)

// playLogs reads the log of a gateway through a pipe. The reader stops for a while, as a log collector does that is restarted or behind.
func playLogs(r *run) int {
	s := startStore()
	begin := time.Now()
	handle := func(v *server, c *serverConn, q *http.Request) bool {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		r.logf("%s: runs %s", v.id, q.Header.Get("Request-Id"))
		time.Sleep(5 * time.Millisecond)
		return v.answer(c, q, http.StatusOK, "Server-Stamp: "+v.stamp(q)+"\r\n", "done")
	}
	for n := range 9 {
		startServer(s, "desk", fmt.Sprintf("i-desk-%d", n), 8, 0, 0, handle)
	}
	s.put("op/config", manifest(7, []map[string]any{
		{"name": "desk", "host": "a.example", "prefix": "/desk/", "kind": "idempotent", "timeout-ms": logTimeout.Milliseconds(), "target-latency-ms": 200, "priority": 2, "service": "desk", "max-attempts": 2},
	}, "desk"))
	from, to, err := os.Pipe()
	check(err)
	g := startGateway(r.folder, "frontend-a-1", s.address(), to)
	defer g.stop()
	_ = to.Close()
	logged := make(chan int64, 1)
	go func() {
		b, total := make([]byte, 32<<10), int64(0)
		defer func() { logged <- total }()
		for paused := false; ; {
			if at := time.Since(begin); r.trouble && !paused && at > logPauseFrom {
				r.logf("the reader of the log stops for %v, after %d bytes", logPauseFor, total)
				paused = true
				time.Sleep(logPauseFor)
				r.logf("the reader of the log goes on")
			}
			n, err := from.Read(b)
			total += int64(n)
			if err != nil {
				return
			}
		}
	}()
	if !g.awaitReady(10 * time.Second) {
		r.logf("the gateway does not get ready")
		return exitNoRun
	}
	go func() {
		client := http.Client{Timeout: time.Second}
		for range time.Tick(time.Second) {
			if q, err := client.Get("http://" + g.ready + "/ready"); err != nil {
				r.logf("platform: GET /ready: %v", err)
			} else {
				_ = q.Body.Close()
				r.logf("platform: GET /ready: %d", q.StatusCode)
			}
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, unanswered, late := 0, 0, 0
	for n := range logConsumers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{address: g.front}
			defer c.close()
			for time.Since(begin) < logRun {
				time.Sleep(time.Duration(500+rand.IntN(500)) * time.Millisecond)
				id := newID()
				a := c.send(http.MethodGet, "a.example", "/desk/x", id, logTimeout, logTimeout+overdue+100*time.Millisecond, nil)
				mu.Lock()
				sent++
				if a.took > logTimeout {
					unanswered++
				}
				if a.took > logTimeout+overdue {
					late++
				}
				mu.Unlock()
				r.logf("consumer %d: GET /desk/x %s: %d after %v %v", n, id, a.status, a.took.Round(time.Millisecond), a.err)
			}
		}()
	}
	wg.Wait()
	g.stop()
	r.logf("%d bytes of log", <-logged)
	r.logf("%d requests, %d without an answer at timeout-ms, %d of these without one half a second later", sent, unanswered, late)
	if late >= 8 && 2*late > unanswered {
		r.logf("broken: CONFIG, requests without an answer half a second after timeout-ms")
		return exitBroken
	}
	return exitHeld
}
