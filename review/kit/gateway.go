package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the system, started with the command of the deploy file.
type gateway struct {
	name          string
	front, ready  string
	settings      string
	command       *exec.Cmd
	exited        chan struct{}
	memoryMB      int
	internalPorts [2]int
}

// runCommand returns the command of the only role in the deploy file.
func runCommand() []string {
	b, err := os.ReadFile("deploy/system.toml")
	check(err)
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`))
		}
	}
	panic("deploy/system.toml names no command")
}

// firstPort and ports are below the range from which outgoing connections take theirs.
const (
	firstPort = 20000
	ports     = 10000
)

// freePorts returns the first of n adjacent free ports.
func freePorts(n int) int {
	for range 200 {
		first := firstPort + rand.IntN(ports)
		ok := true
		for p := first; ok && p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if ok = err == nil; ok {
				_ = l.Close()
			}
		}
		if ok {
			return first
		}
	}
	panic("no free ports")
}

// startGateway starts a gateway with the settings of a machine of a small site.
func startGateway(folder, name, storeAddress string, stdout *os.File) *gateway {
	port := freePorts(6)
	g := &gateway{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1), exited: make(chan struct{}),
		settings: filepath.Join(folder, name+".json"), memoryMB: 284, internalPorts: [2]int{port + 2, port + 5},
	}
	b, err := json.Marshal(map[string]any{
		"node": name, "role": "gateway", "machine-class": "frontend", "serves": []string{"frontend"}, "ip": "127.0.0.1", "zone": "zone-a",
		"region": "region", "zones": map[string]string{"zone-a": "region"}, "listen": map[string]string{"front": g.front, "ready": g.ready},
		"internal-ports": g.internalPorts, "seeds": []string{}, "bootstrap": true, "in-fault-budget": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": g.memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6,
			"loss-slack-ms": 200, "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000, "retry-budget-ratio": 0.2,
			"budget-window-s": 10, "retry-slack": 54, "recovery-s": 12,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000,
		},
	})
	check(err)
	check(os.WriteFile(g.settings, b, 0o600))
	words := runCommand()
	g.command = exec.Command(words[0], words[1:]...)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYROUTE_SETTINGS=" + g.settings}
	g.command.Stdout, g.command.Stderr = stdout, stdout
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.command.Start())
	go func() {
		_ = g.command.Wait()
		close(g.exited)
	}()
	return g
}

// awaitReady waits until the gateway takes requests.
func (g *gateway) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + g.ready + "/ready")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func (g *gateway) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

func (g *gateway) stop() {
	if g.alive() {
		_ = g.command.Process.Kill()
		<-g.exited
	}
}
