package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["catchup"] = playCatchUp }

const (
	grownRoutes  = 872                     // two times "big_config" with 436 routes, the most on mlc-glossary
	shardsListed = 25                      // shards of the later index, as on a small site
	cutFrom      = 8 * time.Second         // when one machine is partitioned from the store
	cutFor       = 5500 * time.Millisecond // the site's longest "core_cut"
	stormFor     = 4 * time.Second         // the site's longest "config_storm"; it comes twice
	stormGap     = 330 * time.Millisecond  // its gap_s
	applyTime    = 3 * time.Second         // config-apply-ms
	stableWindow = 4 * time.Second         // stable-window-ms
	catchUpRun   = 45 * time.Second
)

// playCatchUp partitions one of two machines from the store while manifests come in quick succession. The last one moves a route to another
// service. Once the machine is in touch again, it must not follow the old manifest.
func playCatchUp(r *run) int {
	s := startStore()
	begin := time.Now()
	handle := func(v *server, c *serverConn, q *http.Request) bool {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		r.logf("%s: runs %s", v.id, q.Header.Get("Request-Id"))
		time.Sleep(5 * time.Millisecond)
		return v.answer(c, q, http.StatusOK, "Server-Stamp: "+v.stamp(q)+"\r\n", v.service)
	}
	for _, service := range []string{"old", "new"} {
		for n := range 3 {
			startServer(s, service, fmt.Sprintf("i-%s-%d", service, n), 8, 0, 0, handle)
		}
	}
	shards := []string{}
	for n := range shardsListed {
		shards = append(shards, fmt.Sprintf("shard%02dk", n))
	}
	services := append([]string{"old", "new"}, shards...)
	write := func(version int, service string, timeout int) time.Time {
		routes := []map[string]any{{
			"name": "moved", "host": "a.example", "prefix": "/moved/", "kind": "idempotent", "timeout-ms": timeout, "target-latency-ms": 800, "priority": 2, "service": service, "max-attempts": 2,
		}}
		for n := range grownRoutes {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-grown%04d", n), "host": "b.example", "prefix": fmt.Sprintf("/grown%04d/part/", n), "kind": "idempotent", "timeout-ms": 1200, "target-latency-ms": 200,
				"priority": 1, "gather": shards, "max-attempts": 2, "top-k": 50, "min-coverage": 0.89,
			})
		}
		s.put("op/config", manifest(version, routes, services...))
		at := time.Now()
		s.mu.Lock()
		size := len(s.items["op/config"].Value)
		s.mu.Unlock()
		r.logf("operator: version %d with %d bytes sends /moved/ to %s", version, size, service)
		return at
	}
	version := 7
	write(version, "old", 5000)
	p := startProxy(s.address())
	a := startGateway(r.folder, "frontend-a-1", p.address(), nil)
	defer a.stop()
	b := startGateway(r.folder, "frontend-a-2", s.address(), nil)
	defer b.stop()
	if !a.awaitReady(10*time.Second) || !b.awaitReady(10*time.Second) {
		r.logf("a gateway does not get ready")
		return exitNoRun
	}
	var mu sync.Mutex
	var acked, inTouch time.Time // of the version that moves the route; of the first gateway
	stale := map[string]int{}
	var wg sync.WaitGroup
	for _, g := range []*gateway{a, b} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{address: g.front}
			defer c.close()
			for time.Since(begin) < catchUpRun {
				time.Sleep(100 * time.Millisecond)
				id, sent := newID(), time.Now()
				x := c.send(http.MethodGet, "a.example", "/moved/x", id, 5*time.Second, 6*time.Second, nil)
				mu.Lock()
				late := !acked.IsZero() && sent.After(acked.Add(applyTime)) && !inTouch.IsZero() && sent.After(inTouch)
				if late && x.status == http.StatusOK && string(x.body) == "old" {
					stale[g.name]++
					r.logf("%s: %s, sent %v after the ack of version %d, was run by the old service", g.name, id, sent.Sub(acked).Round(time.Millisecond), version)
				} else {
					r.logf("%s: %s: %d %q %v", g.name, id, x.status, x.body, x.err)
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(time.Until(begin.Add(cutFrom)))
	healed := begin.Add(cutFrom)
	if r.trouble {
		p.cut()
		healed = begin.Add(cutFrom + cutFor)
		time.AfterFunc(cutFor, p.heal)
		r.logf("%s is partitioned from the store for %v", a.name, cutFor)
	}
	end := begin.Add(cutFrom + 2*stormFor)
	for time.Now().Before(end) {
		time.Sleep(stormGap)
		version++
		write(version, "old", 5000+version)
	}
	version++
	at := write(version, "new", 5000)
	mu.Lock()
	acked, inTouch = at, healed.Add(stableWindow)
	mu.Unlock()
	wg.Wait()
	r.logf("requests run by the old service, sent over %v after the ack by machines in touch: %v", applyTime, stale)
	if len(stale) > 0 {
		r.logf("broken: CONFIG, run by the old service")
		return exitBroken
	}
	return exitHeld
}
