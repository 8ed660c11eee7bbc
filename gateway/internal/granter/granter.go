// Package granter carries asks for grants of the customers' rates between the VMs, and answers those of other VMs. The decisions are those of
// package rationer.
package granter

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/rationer"
	"comfreyroute/gateway/internal/invoker"
	"comfreyroute/gateway/internal/logger"
)

const (
	// method is the name of the RPC.
	method = "/granter.Rates/Ask"
	// reportInterval is how often a customer that has used up its rate is logged.
	reportInterval = 5 * time.Second
)

// Granter answers asks of all VMs. Its exported fields must be set before the first ask. It is safe for concurrent use.
type Granter struct {
	Log *logger.Logger

	mu       sync.Mutex
	rates    rationer.Granter
	reported map[string]time.Time
}

// Configure sets by how much customers may exceed their rates.
func (g *Granter) Configure(t rationer.Terms) { g.rates.Terms = t }

// SetFleet sets the number of VMs among which rates are divided.
func (g *Granter) SetFleet(vms int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.SetFleet(time.Now(), vms)
}

// SetManifest sets the customers.
func (g *Granter) SetManifest(m *forwarder.Manifest) {
	limits, _ := m.RateLimits()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.SetLimits(time.Now(), limits)
}

// StartShutdown makes the VMs take their shares to another granter.
func (g *Granter) StartShutdown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.Stop()
}

// Contacts returns the number of VMs whose shares are counted here.
func (g *Granter) Contacts() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return uint64(g.rates.Contacts(time.Now()))
}

// Answer answers an ask. It never returns an error.
func (g *Granter) Answer(_ context.Context, q *rationer.Ask) (*rationer.Offer, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.rates.Answer(now, *q)
	for _, grant := range o.Grants {
		if grant.After > 0 {
			g.report(now, grant)
		}
	}
	return &o, nil
}

// report logs that a customer has used up its rate. The caller holds g.mu.
func (g *Granter) report(now time.Time, grant rationer.Grant) {
	if at, ok := g.reported[grant.Customer]; ok && now.Sub(at) < reportInterval {
		return
	}
	if g.reported == nil || len(g.reported) > maxReported {
		g.reported = map[string]time.Time{}
	}
	g.reported[grant.Customer] = now
	g.Log.InfoLimited("granter: customer has used up its rate", zap.String("customer", grant.Customer),
		zap.Duration("retry_after", grant.After), zap.Int("vms", g.rates.Contacts(now)))
}

// maxReported bounds the customers whose last log line is remembered.
const maxReported = 1024

// Method describes the RPC for other VMs.
func (g *Granter) Method() invoker.Method[rationer.Ask, rationer.Offer] {
	return invoker.Method[rationer.Ask, rationer.Offer]{Name: method, Serve: g.Answer}
}

// Client asks granters. Its exported fields must be set before Run.
type Client struct {
	Self    netip.AddrPort // of this VM, which is asked without a message
	Local   *Granter
	Handle  func(forwarder.Event)
	Timeout time.Duration // of an ask; 0 means rationer.AskTimeout
	asks    chan forwarder.AskGrants
	probes  chan forwarder.AskGrants
	stopped chan struct{}
}

// NewClient returns a client of the VM whose granter is local.
func NewClient(self netip.AddrPort, local *Granter, handle func(forwarder.Event)) *Client {
	return &Client{
		Self: self, Local: local, Handle: handle,
		// At most one ask and one probe are in flight, so that a send never waits.
		asks: make(chan forwarder.AskGrants, 1), probes: make(chan forwarder.AskGrants, 1), stopped: make(chan struct{}),
	}
}

// Ask sends an ask. It does not wait for the answer.
func (c *Client) Ask(a forwarder.AskGrants) {
	if a.Probe {
		c.probes <- a
		return
	}
	c.asks <- a
}

// Run carries asks until the context is done.
func (c *Client) Run(ctx context.Context) {
	defer close(c.stopped)
	var probing sync.WaitGroup
	probing.Go(func() { c.serve(ctx, c.probes) })
	c.serve(ctx, c.asks)
	probing.Wait()
}

// serve carries the asks of one channel, one after the other.
func (c *Client) serve(ctx context.Context, asks <-chan forwarder.AskGrants) {
	var (
		conn  invoker.Conn
		asked string // over conn
	)
	defer func() { conn.Close() }()
	for {
		select {
		case a := <-asks:
			if a.To.Address != c.Self {
				asked = a.To.Name
			}
			c.Handle(c.exchange(ctx, &conn, a))
		case <-conn.Closed():
			conn.Close()
			c.Handle(forwarder.GranterDisconnected{Name: asked})
		case <-ctx.Done():
			return
		}
	}
}

// exchange returns the end of an ask.
func (c *Client) exchange(ctx context.Context, conn *invoker.Conn, a forwarder.AskGrants) forwarder.GrantsOffered {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, rationer.AskTimeout))
	defer cancel()
	if a.To.Address == c.Self {
		o, _ := c.Local.Answer(ctx, &a.Ask) // never an error
		return forwarder.GrantsOffered{Offer: o, Probe: a.Probe}
	}
	var o rationer.Offer
	if err := conn.Invoke(ctx, a.To.Address, method, &a.Ask, &o); err != nil {
		c.Local.Log.InfoLimited("granter: ask failed", zap.String("granter", a.To.Name), zap.Bool("probe", a.Probe), zap.String("error", err.Error()))
		return forwarder.GrantsOffered{Probe: a.Probe, Unsent: errors.Is(err, invoker.ErrUnsent)}
	}
	return forwarder.GrantsOffered{Offer: &o, Probe: a.Probe}
}
