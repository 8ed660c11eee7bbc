package booker

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/coordination/pacer"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/measurer"
)

// A key begins with its time in milliseconds; its first 8 digits name a bucket of 65.5 s. The sweep reads bucket by bucket,
// because a range over all claims would also read those that are kept.
const (
	bucketLength = 1 << 16 * time.Millisecond
	lookBack     = time.Hour       // of a VM that starts to sweep: claims that were left while no VM swept
	sweepDelay   = 3 * time.Minute // after the retention; a VM whose clock is behind may still add to a bucket before
	sweepPause   = 20 * time.Second
	sweepPage    = 100
)

// Sweep deletes claims whose keys no VM accepts any more.
type Sweep struct {
	Rule  claimer.Sweeper
	Pacer pacer.Pacer
	// Chosen tells whether this VM sweeps. More than one at once costs only calls.
	Chosen func() bool

	next int64 // bucket, 0 before the first sweep
}

// sweep runs until the context ends.
func (b *Booker) sweep(ctx context.Context) {
	t := time.NewTicker(sweepPause)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			if b.Sweep.Chosen() {
				b.sweepOnce(ctx, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// sweepOnce deletes the expired claims of the buckets that are due. A bucket is read again until it is empty.
func (b *Booker) sweepOnce(ctx context.Context, now time.Time) {
	s := &b.Sweep
	last := bucketOf(now.Add(-s.Rule.KeyRetention-sweepDelay)) - 1
	if first := bucketOf(now.Add(-s.Rule.KeyRetention - lookBack)); s.next < first {
		s.next = first
	}
	for s.next <= last && s.Pacer.Allow(time.Now()) {
		l := b.Keeper.Range(ctx, fmt.Sprintf("%s%08x", claimer.KeyPrefix, s.next), sweepPage)
		measurer.Platform("read", len(l.Items)/sweepPage+1)
		if l.Status != kvclient.OK {
			s.Pacer.RecordFailure(time.Now())
			return
		}
		s.Pacer.RecordAnswer(time.Now())
		listed := make([]claimer.ListedClaim, len(l.Items))
		for i, kv := range l.Items {
			listed[i] = claimer.ListedClaim{Key: strings.TrimPrefix(kv.Key, claimer.KeyPrefix), Revision: kv.Revision}
		}
		expired, _ := s.Rule.Expired(now, listed)
		if !b.remove(ctx, expired) || len(expired) < len(listed) {
			return
		}
		s.next++
	}
}

// remove deletes claims within the budget. It returns false when some are left.
func (b *Booker) remove(ctx context.Context, claims []claimer.ListedClaim) bool {
	for _, c := range claims {
		if !b.Sweep.Pacer.Allow(time.Now()) {
			return false
		}
		measurer.Platform("write", 1)
		if w := b.Keeper.Delete(ctx, claimer.KeyPrefix+c.Key, c.Revision); w.Status != kvclient.OK && w.Status != kvclient.Conflict {
			b.Log.Warn("booker: a claim was not deleted", zap.Stringer("status", w.Status), logger.Cause(w.Err))
			b.Sweep.Pacer.RecordFailure(time.Now())
			return false
		}
	}
	return true
}

func bucketOf(t time.Time) int64 { return t.UnixMilli() / bucketLength.Milliseconds() }
