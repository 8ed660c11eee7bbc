// Package registrar keeps the entry of this VM registered in the platform's store, so that the VMs of the fleet find each other.
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
	// leaseTTL is how long the entry of a crashed VM remains.
	leaseTTL = time.Minute
	// renewalsPerLease is how often a lease is renewed within its TTL. The platform prices a renewal at a tenth of a call.
	renewalsPerLease = 3
	// callTimeout bounds one call to the store, and revokeTimeout the call that revokes the lease during shutdown.
	callTimeout   = 2 * time.Second
	revokeTimeout = 500 * time.Millisecond
	// retryDelay is the minimum delay after a failed call. A random delay of up to the same length is added, so that the VMs do not
	// retry at the same time. Nothing waits for the entry, so the delay may be long.
	retryDelay = 2 * time.Second
)

// Store is the platform's store.
type Store interface {
	RegisterVM(ctx context.Context, m elector.Member, ttl time.Duration) (translator.Lease, error)
	RenewLease(ctx context.Context, lease translator.Lease) error
	RevokeLease(ctx context.Context, lease translator.Lease) error
}

// Registrar keeps one VM registered. Its fields must be set before Run.
type Registrar struct {
	Store   Store
	Self    elector.Member
	Removed <-chan struct{} // receives a value when the entry is gone; the store may delete it while the lease is still valid
	Log     *logger.Logger
}

// Run registers the VM and renews its lease until the context is done. Then it revokes the lease, which deletes the entry.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		lease, err := r.Store.RegisterVM(callCtx, r.Self, leaseTTL)
		cancel()
		if err != nil {
			r.Log.Warn("registrar: failed to register this VM", zap.String("error", err.Error()))
			r.wait(ctx, retryDelay+rand.N(retryDelay))
			continue
		}
		r.Log.Info("registrar: VM registered", zap.Stringer("address", r.Self.Address), zap.Duration("lease", lease.TTL), zap.Uint64("era", lease.Era))
		r.maintainLease(ctx, lease)
	}
}

// maintainLease renews a lease until it has expired or the entry is gone. When the context is done, it revokes the lease.
func (r *Registrar) maintainLease(ctx context.Context, lease translator.Lease) {
	ttl := max(lease.TTL, time.Second)
	next := ttl / renewalsPerLease
	for {
		if removed := r.wait(ctx, next); removed {
			r.Log.Info("registrar: entry deleted from the store, registering again")
			r.wait(ctx, rand.N(retryDelay)) // the entries of other VMs are probably gone too
			return
		}
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.Store.RenewLease(callCtx, lease)
		cancel()
		next = ttl / renewalsPerLease
		if errors.Is(err, translator.ErrLeaseNotFound) {
			r.Log.Info("registrar: lease expired or lost, registering again")
			return
		}
		if err != nil {
			next = min(next, retryDelay+rand.N(retryDelay))
			r.Log.Info("registrar: failed to renew the lease", zap.String("error", err.Error()), zap.Duration("again", next))
		}
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.Store.RevokeLease(callCtx, lease); err != nil {
		r.Log.Info("registrar: failed to revoke the lease, the entry remains until the lease expires", zap.String("error", err.Error()))
	}
}

// wait waits for a duration, the end of the context or the removal of the entry. It reports whether the entry was removed.
func (r *Registrar) wait(ctx context.Context, d time.Duration) (removed bool) {
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
