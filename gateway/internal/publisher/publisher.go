// Package publisher writes to the platform's store what this VM knows about requests that crash upstreams, so that all VMs learn of it.
package publisher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

const (
	// leaseTTL is how long what was published stays in the store: as long as a suspicion lives. A VM that starts again finds what it knew.
	leaseTTL = quarantiner.DefaultSuspicionLifetime
	// maxLeaseAge is the age from which a lease is replaced before the next write, as a fraction of leaseTTL.
	maxLeaseAge = 0.5
	// callTimeout bounds a call to the store.
	callTimeout = 700 * time.Millisecond
	// minRetryDelay is the delay after the first failed call. It doubles up to maxRetryDelay, and a random delay of up to the same length is
	// added: a store that was away gets the writes of all VMs.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Store is the platform's store.
type Store interface {
	GrantLease(ctx context.Context, ttl time.Duration) (translator.Lease, error)
	PublishEvidence(ctx context.Context, lease translator.Lease, p quarantiner.Publication) error
}

// Publisher publishes the evidence of one VM. Its exported fields must be set before Run.
type Publisher struct {
	Store Store
	VM    string
	Log   *logger.Logger

	once    sync.Once
	wake    chan struct{} // has a value while evidence waits
	mu      sync.Mutex
	waiting []quarantiner.Evidence
	lease   translator.Lease
	granted time.Time // when the lease was requested; zero for none
}

func (p *Publisher) initialize() { p.once.Do(func() { p.wake = make(chan struct{}, 1) }) }

// Publish replaces the evidence that waits for its publication. It never blocks.
func (p *Publisher) Publish(evidence []quarantiner.Evidence) {
	p.initialize()
	p.mu.Lock()
	p.waiting = evidence
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default: // the pending value stands for this evidence too
	}
}

// Run writes the evidence to the store until the context is done.
func (p *Publisher) Run(ctx context.Context) {
	p.initialize()
	delay := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		p.mu.Lock()
		evidence := p.waiting
		p.mu.Unlock()
		err := p.write(ctx, evidence)
		if err == nil {
			delay = minRetryDelay
			p.Log.InfoLimited("publisher: evidence about crashes published", zap.Int("signatures", len(evidence)))
			continue
		}
		wait := delay + rand.N(delay)
		p.Log.InfoLimited("publisher: failed to publish evidence about crashes", zap.String("error", err.Error()), zap.Duration("again", wait))
		delay = min(2*delay, maxRetryDelay)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		select {
		case p.wake <- struct{}{}:
		default: // newer evidence waits
		}
	}
}

// write writes evidence under a lease that lives for long enough.
func (p *Publisher) write(ctx context.Context, evidence []quarantiner.Evidence) error {
	if p.granted.IsZero() || time.Since(p.granted) > time.Duration(float64(p.lease.TTL)*maxLeaseAge) {
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		lease, err := p.Store.GrantLease(callCtx, leaseTTL)
		cancel()
		if err != nil {
			return err
		}
		p.lease, p.granted = lease, began
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.Store.PublishEvidence(callCtx, p.lease, quarantiner.Publication{VM: p.VM, Evidence: evidence})
	if errors.Is(err, translator.ErrLeaseNotFound) {
		p.granted = time.Time{}
	}
	return err
}
