package server

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"

	"comfreyroute/upstreams/describer"
)

// Fleet is the set of all servers of a deployment.
type Fleet struct {
	deployment *describer.Deployment
	hosts      []*host
	http       *http.Server

	mu       sync.Mutex
	executed map[string]map[string]int // by service and body of the call
}

type hostKey struct{}

// NewFleet prepares the servers of a deployment. Listen starts them.
func NewFleet(d *describer.Deployment) *Fleet {
	f := &Fleet{deployment: d, executed: make(map[string]map[string]int)}
	f.http = &http.Server{
		Handler: http.HandlerFunc(f.handle),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, hostKey{}, c.(*connection).host)
		},
	}
	for i, s := range d.Servers() {
		f.hosts = append(f.hosts, newHost(f, s, d.Seed+uint64(i)))
	}
	return f
}

// Listen opens the address of each server. It closes all of them when one fails.
func (f *Fleet) Listen() error {
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			f.Close()
			return err
		}
	}
	return nil
}

// Close closes all listeners and connections.
func (f *Fleet) Close() {
	for _, h := range f.hosts {
		h.stop(true)
	}
	_ = f.http.Close()
}

// execute records one run of a call.
func (f *Fleet) execute(service, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executed[service] == nil {
		f.executed[service] = make(map[string]int)
	}
	f.executed[service][body]++
}

// Executed returns how often each call has run, by service and body.
func (f *Fleet) Executed() map[string]map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]map[string]int, len(f.executed))
	for s, m := range f.executed {
		all[s] = maps.Clone(m)
	}
	return all
}
