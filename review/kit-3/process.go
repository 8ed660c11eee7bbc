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
	"sync"
	"syscall"
	"time"
)

const (
	// firstPort and portCount are below the range of ephemeral ports, so that no outgoing connection takes a port of a gateway that restarts.
	firstPort = 20000
	portCount = 10000
	// startTime bounds the wait for a gateway to become ready.
	startTime = 10 * time.Second
	// internalPorts is how many internal ports a gateway gets, as in the settings of a deployment.
	internalPorts = 16
)

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// givenPorts are the ports that were given to gateways, which listen on them later.
var givenPorts = map[int]bool{}

// freePorts returns the first of several consecutive free ports.
func freePorts(count int) int {
	for range 1000 {
		first, free := firstPort+rand.IntN(portCount), 0
		for free < count && !givenPorts[first+free] {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+free))
			if err != nil {
				break
			}
			_ = l.Close()
			free++
		}
		if free == count {
			for n := range count {
				givenPorts[first+n] = true
			}
			return first
		}
	}
	panic("no free ports")
}

// gateway is one machine that runs the gateway.
type gateway struct {
	name, zone string
	front      string // address for clients
	ready      string
	settings   string // path
	log        *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet starts gateways and ends them.
type fleet struct {
	binary, folder string
	gateways       []*gateway
}

// add prepares a gateway with the settings of a small deployment.
func (f *fleet) add(name, zone, storeAddress string, bounds map[string]any, linkMbps float64) (*gateway, error) {
	first := freePorts(internalPorts + 3)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	g := &gateway{name: name, zone: zone, front: at(0), ready: at(1), settings: filepath.Join(f.folder, name+".json")}
	settings := map[string]any{
		"node": name, "role": "gateway", "machine-class": "frontend", "serves": []string{"frontend"}, "ip": "127.0.0.1", "zone": zone, "region": "north",
		"listen":         map[string]any{"front": at(0), "ready": at(1), "control": at(2)},
		"internal-ports": []int{first + 3, first + 2 + internalPorts}, "seeds": []string{}, "bootstrap": true, "in-fault-budget": false,
		"limits":   map[string]any{"cpu-share": 0.8, "cores": 1, "memory-mb": 536, "max-fds": 8192, "link-mbps": linkMbps, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"bounds":   bounds,
		"platform": map[string]any{"address": storeAddress, "form": "kv", "writes-per-s": 1200, "reads-per-s": 6000, "history-s": 20, "value-bytes": 1 << 20, "min-ttl-ms": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(f.folder, name+".log")); err != nil {
		return nil, err
	}
	f.gateways = append(f.gateways, g)
	return g, nil
}

// start starts the process of a gateway with the command of the deploy file.
func (f *fleet) start(g *gateway) error {
	c := exec.Command(f.binary, "run")
	c.Env = []string{"COMFREYROUTE_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C"}
	c.Stdout, c.Stderr = g.log, g.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait() // the case judges what clients and servers see
		close(ended)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.command, g.ended = c, ended
	return nil
}

// signal sends a signal to the process of a gateway.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s) // it may have ended
	}
}

// kill ends the process of a gateway and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks the readiness port.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(f.gateways) {
			return nil
		}
	}
	return fmt.Errorf("not all of %d gateways are ready after %v", len(f.gateways), startTime)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.kill()
		_ = g.log.Close()
	}
}
