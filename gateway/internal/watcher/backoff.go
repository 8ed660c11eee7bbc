package watcher

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"comfreyroute/gateway/internal/logger"
)

const (
	// minBackoff and lastPause bound the pause after a failed call; it doubles with each failure. Jitter keeps the VMs apart.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// startupBackoff is the pause while no manifest is known: the VM serves nobody until then.
	startupBackoff = 200 * time.Millisecond
)

// storeBackoff tells when the store is lost and regained, and how long to pause after a failure.
type storeBackoff struct {
	lost   bool
	lostAt time.Time
	delay  time.Duration
}

// recordFailure returns the pause before the next call.
func (l *storeBackoff) recordFailure(log *logger.Logger, err error, starting bool) time.Duration {
	if !l.lost {
		l.lost, l.lostAt = true, time.Now()
		log.Warn("watcher: store lost", zap.String("error", err.Error()))
	}
	l.delay = min(max(minBackoff, 2*l.delay), maxBackoff)
	if starting {
		l.delay = startupBackoff
	}
	return l.delay/2 + rand.N(l.delay)
}

// recordSuccess records a call that was answered.
func (l *storeBackoff) recordSuccess(log *logger.Logger) {
	if l.lost {
		log.Info("watcher: store regained", zap.Duration("after", time.Since(l.lostAt)))
	}
	*l = storeBackoff{}
}
