package claimrunner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/measurer"
)

// runPaced runs a platform call if the call budget allows it, and posts the event refused otherwise.
func (cr *Runner) runPaced(now time.Time, refused claimer.Event, call func(context.Context) claimer.Event) {
	if !cr.Pacer.Allow(now) {
		cr.workers.Go(func() { cr.postEvent(refused) })
		return
	}
	cr.runAsync(call)
}

func (cr *Runner) createClaim(now time.Time, a claimer.CreateClaim) {
	ev := claimer.ClaimWritten{Key: a.Key, Nonce: a.Nonce, Result: claimer.WriteUnavailable}
	cr.runPaced(now, ev, func(ctx context.Context) claimer.Event {
		sent := time.Now()
		measurer.CountPlatformCalls("write", 1)
		w := cr.KVClient.Put(ctx, claimer.KeyPrefix+a.Key, a.Value, a.Expect, 0)
		ev.Result, ev.Revision = cr.recordResult(sent, w.Status, w.Err), w.Revision
		if w.Current != nil {
			ev.Revision, ev.Current = w.Current.Revision, w.Current.Value
		}
		return ev
	})
}

func (cr *Runner) writeOutcome(now time.Time, a claimer.WriteOutcome) {
	ev := claimer.OutcomeWritten{Key: a.Key, Nonce: a.Nonce, Result: claimer.WriteUnavailable}
	cr.runPaced(now, ev, func(ctx context.Context) claimer.Event {
		sent := time.Now()
		measurer.CountPlatformCalls("write", 1)
		w := cr.KVClient.Put(ctx, claimer.KeyPrefix+a.Key, a.Value, a.Expect, 0)
		ev.Result, ev.Revision = cr.recordResult(sent, w.Status, w.Err), w.Revision
		return ev
	})
}

func (cr *Runner) readClaim(now time.Time, a claimer.ReadClaim) {
	ev := claimer.ClaimRead{Key: a.Key, Nonce: a.Nonce}
	cr.runPaced(now, ev, func(ctx context.Context) claimer.Event {
		sent := time.Now()
		measurer.CountPlatformCalls("read", 1)
		r := cr.KVClient.Get(ctx, claimer.KeyPrefix+a.Key)
		ev.Available = cr.recordResult(sent, r.Status, r.Err) == claimer.WriteDone
		ev.Found, ev.Revision, ev.Value = r.Item.Revision > 0, r.Item.Revision, r.Item.Value
		return ev
	})
}

// recordResult converts the status of a platform call. It records the contact or logs the failure.
func (cr *Runner) recordResult(sent time.Time, s kvclient.Status, err error) claimer.WriteResult {
	switch s {
	case kvclient.OK:
		cr.RecordContact(sent)
		return claimer.WriteDone
	case kvclient.Conflict:
		cr.RecordContact(sent)
		return claimer.WriteConflict
	case kvclient.Uncertain:
		cr.Log.Warn("claimrunner: the result of a platform call is unknown", logger.ErrorField(err))
		return claimer.WriteUncertain
	default:
		cr.Log.Warn("claimrunner: platform call failed", zap.Stringer("status", s), logger.ErrorField(err))
		return claimer.WriteUnavailable
	}
}
