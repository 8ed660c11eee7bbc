package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its record and the processes that it started.
type run struct {
	trouble bool
	dir     string // for settings and logs
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	commands []*exec.Cmd
	done     []chan struct{}
}

// exitBroken, exitHeld and exitUnable are the exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// fail ends a case that cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.note(format, args...)
		current.stop()
	}
	os.Exit(exitUnable)
}

var current *run

func newRun() *run {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fail("record: %v", err)
	}
	current = &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	current.note("trouble: %v", current.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		fail("interrupted")
	}()
	return current
}

// note writes a line with the time since the start to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// stop ends all processes that the run started.
func (r *run) stop() {
	for i, c := range r.commands {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		<-r.done[i]
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Sync()
}

// finish ends the case with the rule's verdict.
func (r *run) finish(rule string, broken int, what string) {
	verdict, code := "held", exitHeld
	if broken > 0 {
		verdict, code = "broken", exitBroken
	}
	r.note("%s %s: %d %s", rule, verdict, broken, what)
	fmt.Printf("%s %s: %d %s\n", rule, verdict, broken, what)
	r.stop()
	os.Exit(code)
}

// listen listens on a free loopback port.
func listen(control func(network, address string, c syscall.RawConn) error) net.Listener {
	l, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

// limitWindow gives the connections of a listener a small window and short segments; 0 leaves them as they are.
func limitWindow(bytes int) func(network, address string, c syscall.RawConn) error {
	if bytes == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		control := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
			if err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
			}
		})
		if control != nil {
			return control
		}
		return err
	}
}

// gateway is one process of the system.
type gateway struct {
	name, front, ready string
	settings           string
	internal           int
	cmd                *exec.Cmd
	done               chan struct{}
}

// freePorts returns the first of several consecutive free ports, below those that the system gives to outgoing connections. Another run may take them
// at the same time, so the caller tries others if a process cannot listen.
func freePorts(count int) int {
	const firstPort, ports, tries = 20_000, 12_000, 200
	for range tries {
		first, free := firstPort+rand.IntN(ports), true
		for n := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+n))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	fail("no free ports")
	return 0
}

// runCommand returns the words that start the gateway, from the deploy file.
func runCommand() []string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("deploy file: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`))
		}
	}
	fail("the deploy file has no run line")
	return nil
}

// startGateway starts a gateway with the settings of a small deployment and waits until it is ready. More replaces settings.
func (r *run) startGateway(s *store, name, zone string, more func(settings map[string]any)) *gateway {
	const tries = 5
	for range tries {
		if g := r.tryGateway(s, name, zone, more); g != nil {
			return g
		}
	}
	fail("%s is not ready", name)
	return nil
}

// tryGateway is startGateway with one set of ports. It returns nil if the gateway ends, as it does if another process has taken one of them.
func (r *run) tryGateway(s *store, name, zone string, more func(settings map[string]any)) *gateway {
	ports := freePorts(6)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports+n) }
	g := &gateway{name: name, front: at(0), ready: at(1), internal: ports + 2, settings: filepath.Join(r.dir, name+".json")}
	settings := map[string]any{
		"node": name, "role": "gateway", "machine-class": "frontend", "serves": []string{"frontend"}, "ip": "127.0.0.1", "zone": zone, "region": "gulf-south",
		"zones":  map[string]string{"shreveport": "gulf-south", "mobile": "gulf-south", "jackson": "gulf-south"},
		"listen": map[string]string{"front": g.front, "ready": g.ready}, "internal-ports": []int{g.internal, g.internal + 3}, "seeds": []string{},
		"bootstrap": true, "in-fault-budget": false,
		"limits":    map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 54, "recovery-s": 12,
		},
		"platform": map[string]any{
			"address": s.address(), "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000,
		},
	}
	if more != nil {
		more(settings)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		fail("settings: %v", err)
	}
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		fail("settings: %v", err)
	}
	r.launch(g)
	if !r.awaitReady(g) {
		return nil
	}
	return g
}

// launch starts the process of a gateway.
func (r *run) launch(g *gateway) {
	words := runCommand()
	log, err := os.OpenFile(filepath.Join(r.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	g.cmd = exec.Command(words[0], words[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYROUTE_SETTINGS=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		fail("start %s: %v", g.name, err)
	}
	done := make(chan struct{})
	g.done = done
	r.mu.Lock()
	r.commands, r.done = append(r.commands, g.cmd), append(r.done, done)
	r.mu.Unlock()
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}(g.cmd)
	r.note("%s starts as process %d", g.name, g.cmd.Process.Pid)
}

// awaitReady waits until a gateway says that it is ready. It returns false if the process ends.
func (r *run) awaitReady(g *gateway) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !g.ended(); time.Sleep(20 * time.Millisecond) {
		a, err := send(g.ready, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", time.Second)
		if err == nil && a.status == 200 {
			return true
		}
	}
	return false
}

// ended reports whether the process of a gateway has ended.
func (g *gateway) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// route returns a route of a manifest.
func route(name, prefix, kind string, more map[string]any) map[string]any {
	m := map[string]any{
		"name": name, "host": "leno12.example", "prefix": prefix, "kind": kind, "timeout-ms": 5000, "target-latency-ms": 800, "priority": 2, "max-attempts": 2,
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}

// publish writes a manifest.
func publish(s *store, version int, routes []map[string]any, services map[string]int) {
	var all []map[string]any
	for name, conns := range services {
		all = append(all, map[string]any{"name": name, "health-path": "/health", "max-conns": conns, "protocol": "h1", "tls": false})
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
