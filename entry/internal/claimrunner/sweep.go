package claimrunner

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
	bucketLength  = 1 << 16 * time.Millisecond
	sweepLookBack = time.Hour       // of a VM that starts to sweep: claims that were left while no VM swept
	sweepDelay    = 3 * time.Minute // after the retention; a VM whose clock is behind may still add to a bucket before
	sweepInterval = 20 * time.Second
	sweepPageSize = 100
)

// Sweep deletes claims whose keys no VM accepts any more.
type Sweep struct {
	Sweeper claimer.Sweeper
	Pacer   pacer.Pacer
	// IsSweeper tells whether this VM sweeps. More than one at once costs only calls.
	IsSweeper func() bool

	nextBucket int64 // bucket, 0 before the first sweep
}

// runSweeps runs until the context ends.
func (cr *Runner) runSweeps(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			if cr.Sweep.IsSweeper() {
				cr.sweepOnce(ctx, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// sweepOnce deletes the expired claims of the buckets that are due. A bucket is read again until it is empty.
func (cr *Runner) sweepOnce(ctx context.Context, now time.Time) {
	s := &cr.Sweep
	last := bucketOf(now.Add(-s.Sweeper.KeyRetention-sweepDelay)) - 1
	if first := bucketOf(now.Add(-s.Sweeper.KeyRetention - sweepLookBack)); s.nextBucket < first {
		s.nextBucket = first
	}
	for s.nextBucket <= last && s.Pacer.Allow(time.Now()) {
		l := cr.KVClient.Range(ctx, fmt.Sprintf("%s%08x", claimer.KeyPrefix, s.nextBucket), sweepPageSize)
		measurer.CountPlatformCalls("read", len(l.Items)/sweepPageSize+1)
		if l.Status != kvclient.OK {
			s.Pacer.RecordFailure(time.Now())
			return
		}
		s.Pacer.RecordAnswer(time.Now())
		listed := make([]claimer.ListedClaim, len(l.Items))
		for i, kv := range l.Items {
			listed[i] = claimer.ListedClaim{Key: strings.TrimPrefix(kv.Key, claimer.KeyPrefix), Revision: kv.Revision}
		}
		expired, _ := s.Sweeper.Expired(now, listed)
		if !cr.deleteClaims(ctx, expired) || len(expired) < len(listed) {
			return
		}
		s.nextBucket++
	}
}

// deleteClaims deletes claims within the budget. It returns false when some are left.
func (cr *Runner) deleteClaims(ctx context.Context, claims []claimer.ListedClaim) bool {
	for _, c := range claims {
		if !cr.Sweep.Pacer.Allow(time.Now()) {
			return false
		}
		measurer.CountPlatformCalls("write", 1)
		if w := cr.KVClient.Delete(ctx, claimer.KeyPrefix+c.Key, c.Revision); w.Status != kvclient.OK && w.Status != kvclient.Conflict {
			cr.Log.Warn("claimrunner: a claim was not deleted", zap.Stringer("status", w.Status), logger.Cause(w.Err))
			cr.Sweep.Pacer.RecordFailure(time.Now())
			return false
		}
	}
	return true
}

func bucketOf(t time.Time) int64 { return t.UnixMilli() / bucketLength.Milliseconds() }
