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

// A key starts with its creation time in milliseconds, so its first 8 hexadecimal digits identify a bucket of 65.5 s. The sweep
// reads one bucket at a time, because a range over all claims would also read those that must be kept.
const (
	bucketLength  = 1 << 16 * time.Millisecond
	sweepLookBack = time.Hour       // how far beyond the retention a VM starts, to find claims that expired while no VM swept
	sweepDelay    = 3 * time.Minute // wait after the retention, because a VM whose clock is slow may still add claims to a bucket
	sweepInterval = 20 * time.Second
	sweepPageSize = 100
)

// Sweep deletes the claims whose keys no VM accepts any longer.
type Sweep struct {
	Sweeper claimer.Sweeper
	Pacer   pacer.Pacer
	// IsSweeper reports whether this VM sweeps. Several VMs that sweep at once only make superfluous calls.
	IsSweeper func() bool

	nextBucket int64 // 0 before the first sweep
}

// runSweeps deletes expired claims every sweepInterval until the context ends.
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

// sweepOnce deletes the expired claims of the buckets that are due. The next sweep reads a bucket again in which claims are left.
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

// deleteClaims deletes claims as the call budget allows. It returns false when some are left.
func (cr *Runner) deleteClaims(ctx context.Context, claims []claimer.ListedClaim) bool {
	for _, c := range claims {
		if !cr.Sweep.Pacer.Allow(time.Now()) {
			return false
		}
		measurer.CountPlatformCalls("write", 1)
		if w := cr.KVClient.Delete(ctx, claimer.KeyPrefix+c.Key, c.Revision); w.Status != kvclient.OK && w.Status != kvclient.Conflict {
			cr.Log.Warn("claimrunner: could not delete an expired claim", zap.Stringer("status", w.Status), logger.ErrorField(w.Err))
			cr.Sweep.Pacer.RecordFailure(time.Now())
			return false
		}
	}
	return true
}

func bucketOf(t time.Time) int64 { return t.UnixMilli() / bucketLength.Milliseconds() }
