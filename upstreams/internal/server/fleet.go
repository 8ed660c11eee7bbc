package server

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"

	"comfreyroute/upstreams/describer"
)

// Fleet is the set of all fake upstream servers of a deployment.
type Fleet struct {
	deployment *describer.Deployment
	upstreams  []*upstream
	http       *http.Server

	mu       sync.Mutex
	executed map[string]map[string]int // number of runs of each call, by service and body
}

type upstreamKey struct{}

// NewFleet creates the upstreams of a deployment. Listen starts them.
func NewFleet(d *describer.Deployment) *Fleet {
	f := &Fleet{deployment: d, executed: make(map[string]map[string]int)}
	f.http = &http.Server{
		Handler: http.HandlerFunc(f.handleRequest),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, upstreamKey{}, c.(*connection).upstream)
		},
	}
	for i, s := range d.Servers() {
		f.upstreams = append(f.upstreams, newUpstream(f, s, d.Seed+uint64(i)))
	}
	return f
}

// Listen starts all upstreams. If one fails to start, it closes all of them and returns the error.
func (f *Fleet) Listen() error {
	for _, u := range f.upstreams {
		if err := u.start(); err != nil {
			f.Close()
			return err
		}
	}
	return nil
}

// Close closes all listeners and connections.
func (f *Fleet) Close() {
	for _, u := range f.upstreams {
		u.stop(true)
	}
	_ = f.http.Close()
}

// recordExecution counts one run of a call.
func (f *Fleet) recordExecution(service, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executed[service] == nil {
		f.executed[service] = make(map[string]int)
	}
	f.executed[service][body]++
}

// ExecutedCalls returns the number of runs of each call, by service and body.
func (f *Fleet) ExecutedCalls() map[string]map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]map[string]int, len(f.executed))
	for s, m := range f.executed {
		all[s] = maps.Clone(m)
	}
	return all
}
