package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The limits of a small machine of the large deployment.
const smallMemoryMB = 184

func smallMachine(settings map[string]any) {
	settings["limits"] = map[string]any{"cpu-share": 0.192, "cores": 1, "memory-mb": smallMemoryMB, "max-fds": 4100, "link-mbps": 20.0, "disk-mb": 0}
}

// residentKB returns the memory of a process that is resident, 0 if it has ended.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}

// manifestRoutes returns the routes of a manifest that has grown.
func manifestRoutes(version, grown int) []map[string]any {
	all := []map[string]any{route("r-cards", "/card/", "idempotent", map[string]any{"service": "cards", "timeout-ms": 4000 + version%100, "target-latency-ms": 400})}
	for n := range grown {
		all = append(all, route(fmt.Sprintf("r-%07d", n), fmt.Sprintf("/nono%d/no%d/", n%1000, n), "idempotent", map[string]any{"service": "cards"}))
	}
	return all
}

// configStorms: the manifest has grown by many routes and changes in quick succession, some storms in a row.
func configStorms() {
	const (
		machines    = 2
		growth      = 1400 // routes that one big_config adds
		growths     = 3
		storms      = 22
		stormTime   = 4 * time.Second
		stormGap    = 330 * time.Millisecond
		calmTime    = 500 * time.Millisecond
		askInterval = 50 * time.Millisecond
	)
	r := newRun()
	s := startStore()
	services := map[string]int{"cards": 1200}
	version, grown := 7, 0
	publish(s, version, manifestRoutes(version, grown), services)
	for n := range 2 {
		startServer(s, fmt.Sprintf("i-%04d", n), "cards", "tw-north-a", 0, func(x *exchange) bool {
			time.Sleep(5 * time.Millisecond)
			return x.answer(200, "", "card") == nil
		})
	}
	var gateways []*gateway
	for n := range machines {
		gateways = append(gateways, r.startGateway(s, fmt.Sprintf("frontend-tw-north-a-%d", n+1), "tw-north-a", smallMachine))
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	ends, served, failed := make([]int, machines), make([]int, machines), make([]int, machines)
	for n, g := range gateways {
		watching.Go(func() { // the platform: it ends a process that exceeds the memory of its machine
			for peak := 0; ; time.Sleep(askInterval) {
				select {
				case <-done:
					r.note("%s: resident memory at most %d MB", g.name, peak/1024)
					return
				default:
				}
				kb := residentKB(g.cmd.Process.Pid)
				peak = max(peak, kb)
				if kb > smallMemoryMB<<10 || g.ended() {
					r.note("%s ends: %d kB resident, the machine has %d kB", g.name, kb, smallMemoryMB<<10)
					ends[n]++
					_ = g.cmd.Process.Signal(syscall.SIGKILL)
					<-g.done
					return
				}
			}
		})
		watching.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(askInterval):
				}
				text := "GET /card/1 HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: " + newID() + "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n\r\n"
				a, err := send(g.front, text, 5*time.Second)
				switch {
				case err != nil:
					failed[n]++
					r.note("%s: no answer: %v", g.name, err)
				case a.status != 200:
					failed[n]++
					r.note("%s: answered %d", g.name, a.status)
				default:
					served[n]++
					r.note("%s: answered 200 by %s", g.name, a.header.Get("Server-Stamp"))
				}
			}
		})
	}
	change := func() {
		version++
		publish(s, version, manifestRoutes(version, grown), services)
		r.note("manifest %d written", version)
	}
	changes := 0
	if r.trouble {
		for range growths {
			grown += growth
			change()
			time.Sleep(2 * time.Second)
		}
		r.note("the manifest has %d bytes", len(s.value("op/config")))
	}
	for range storms {
		if !slices.ContainsFunc(gateways, func(g *gateway) bool { return !g.ended() }) {
			break
		}
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
			if r.trouble {
				change()
				changes++
			}
		}
		memory := ""
		for _, g := range gateways {
			memory += fmt.Sprintf(" %d", residentKB(g.cmd.Process.Pid)/1024)
		}
		r.note("%d changes, resident memory in MB:%s", changes, memory)
		time.Sleep(calmTime)
	}
	close(done)
	watching.Wait()
	broken := 0
	for n, g := range gateways {
		broken += ends[n]
		r.note("%s: %d requests served, %d not; ended %d times", g.name, served[n], failed[n], ends[n])
	}
	r.finish("Fault (memory over the limit)", broken, fmt.Sprintf("of %d processes", machines))
}
