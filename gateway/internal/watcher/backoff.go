package watcher

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"comfreyroute/gateway/internal/logger"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call, which doubles with each failure. Jitter of half to one and a half
	// times the delay keeps the VMs from retrying together.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// startupBackoff is the constant delay while no manifest is known, because the VM cannot serve callers until then.
	startupBackoff = 200 * time.Millisecond
)

// storeBackoff logs when the store becomes unavailable and available again, and computes the delay after a failed call.
type storeBackoff struct {
	unavailable bool
	since       time.Time // when the store became unavailable
	delay       time.Duration
}

// recordFailure records a failed call and returns the delay before the next one. Starting is true while no manifest
// is known.
func (b *storeBackoff) recordFailure(log *logger.Logger, err error, starting bool) time.Duration {
	if !b.unavailable {
		b.unavailable, b.since = true, time.Now()
		log.Warn("watcher: store unavailable", zap.String("error", err.Error()))
	}
	b.delay = min(max(minBackoff, 2*b.delay), maxBackoff)
	if starting {
		b.delay = startupBackoff
	}
	return b.delay/2 + rand.N(b.delay)
}

// recordSuccess records an answered call and resets the delay.
func (b *storeBackoff) recordSuccess(log *logger.Logger) {
	if b.unavailable {
		log.Info("watcher: store available again", zap.Duration("after", time.Since(b.since)))
	}
	*b = storeBackoff{}
}
