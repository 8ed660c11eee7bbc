// Package registrar keeps the entry of this VM in the platform's store, so that the VMs of the fleet know each other.
package registrar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

const (
	// leaseTime is how long the entry of a VM that died remains. A renewal costs a tenth of a call; three of them fit into the time.
	leaseTime  = time.Minute
	renewShare = 3
	// callTimeout bounds one call, and releaseTimeout the one that a VM makes while it stops.
	callTimeout    = 2 * time.Second
	releaseTimeout = 500 * time.Millisecond
	// retryPause is the pause after a failed call; up to as much again is added, so that the VMs do not return together. Nothing waits
	// for the entry.
	retryPause = 2 * time.Second
)

// Store is the platform's store.
type Store interface {
	RegisterVM(ctx context.Context, m elector.Member, ttl time.Duration) (lease uint64, held time.Duration, err error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
}

// Registrar keeps the entry of one VM. Its fields are set before Run.
type Registrar struct {
	Store   Store
	Self    elector.Member
	Removed <-chan struct{} // tells that the entry is gone; the store may take it away while the lease goes on
	Log     *logger.Logger
}

// Run keeps the entry until the context ends, and removes it then.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		lease, held, err := r.Store.RegisterVM(bounded, r.Self, leaseTime)
		cancel()
		if err != nil {
			r.Log.Warn("registrar: not registered", zap.String("error", err.Error()))
			r.pause(ctx, retryPause+rand.N(retryPause))
			continue
		}
		r.Log.Info("registrar: registered", zap.Stringer("address", r.Self.Address), zap.Duration("lease", held))
		r.renew(ctx, lease, max(held, time.Second))
	}
}

// renew renews a lease until it has ended or the entry is gone, or releases it when the context ends.
func (r *Registrar) renew(ctx context.Context, lease uint64, held time.Duration) {
	next := held / renewShare
	for {
		if removed := r.pause(ctx, next); removed {
			r.Log.Info("registrar: the entry is gone, registering again")
			r.pause(ctx, rand.N(retryPause)) // the entries of other VMs are gone too
			return
		}
		if ctx.Err() != nil {
			break
		}
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.Store.RenewLease(bounded, lease)
		cancel()
		next = held / renewShare
		if errors.Is(err, translator.ErrLeaseNotFound) {
			r.Log.Info("registrar: the lease has ended, registering again")
			return
		}
		if err != nil {
			next = min(next, retryPause+rand.N(retryPause))
			r.Log.Info("registrar: lease not renewed", zap.String("error", err.Error()), zap.Duration("again", next))
		}
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := r.Store.RevokeLease(bounded, lease); err != nil {
		r.Log.Info("registrar: the entry remains until its lease ends", zap.String("error", err.Error()))
	}
}

// pause waits until the time or the context ends, or the entry is gone, which it tells.
func (r *Registrar) pause(ctx context.Context, d time.Duration) (removed bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-r.Removed:
		return true
	}
	return false
}
