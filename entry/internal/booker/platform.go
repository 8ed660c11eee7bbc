package booker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/measurer"
)

// paced runs a platform call when the budget allows it. Without budget, refused is posted.
func (b *Booker) paced(now time.Time, refused claimer.Event, call func(context.Context) claimer.Event) {
	if !b.Pacer.Allow(now) {
		b.workers.Go(func() { b.post(refused) })
		return
	}
	b.work(call)
}

func (b *Booker) claim(now time.Time, a claimer.CreateClaim) {
	ev := claimer.ClaimWritten{Key: a.Key, Nonce: a.Nonce, Result: claimer.WriteUnavailable}
	b.paced(now, ev, func(ctx context.Context) claimer.Event {
		sent := time.Now()
		measurer.Platform("write", 1)
		w := b.Keeper.Put(ctx, claimer.KeyPrefix+a.Key, a.Value, a.Expect, 0)
		ev.Result, ev.Revision = b.result(sent, w.Status, w.Err), w.Revision
		if w.Current != nil {
			ev.Revision, ev.Current = w.Current.Revision, w.Current.Value
		}
		return ev
	})
}

func (b *Booker) record(now time.Time, a claimer.WriteOutcome) {
	ev := claimer.OutcomeWritten{Key: a.Key, Nonce: a.Nonce, Result: claimer.WriteUnavailable}
	b.paced(now, ev, func(ctx context.Context) claimer.Event {
		sent := time.Now()
		measurer.Platform("write", 1)
		w := b.Keeper.Put(ctx, claimer.KeyPrefix+a.Key, a.Value, a.Expect, 0)
		ev.Result, ev.Revision = b.result(sent, w.Status, w.Err), w.Revision
		return ev
	})
}

func (b *Booker) read(now time.Time, a claimer.ReadClaim) {
	ev := claimer.ClaimRead{Key: a.Key, Nonce: a.Nonce}
	b.paced(now, ev, func(ctx context.Context) claimer.Event {
		sent := time.Now()
		measurer.Platform("read", 1)
		r := b.Keeper.Get(ctx, claimer.KeyPrefix+a.Key)
		ev.Available = b.result(sent, r.Status, r.Err) == claimer.WriteDone
		ev.Found, ev.Revision, ev.Value = r.Item.Revision > 0, r.Item.Revision, r.Item.Value
		return ev
	})
}

// result converts the status of a platform call.
func (b *Booker) result(sent time.Time, s kvclient.Status, err error) claimer.WriteResult {
	switch s {
	case kvclient.OK:
		b.Contacted(sent)
		return claimer.WriteDone
	case kvclient.Conflict:
		b.Contacted(sent)
		return claimer.WriteConflict
	case kvclient.Uncertain:
		b.Log.Warn("booker: the end of a platform call is not known", logger.Cause(err))
		return claimer.WriteUncertain
	default:
		b.Log.Warn("booker: a platform call failed", zap.Stringer("status", s), logger.Cause(err))
		return claimer.WriteUnavailable
	}
}
