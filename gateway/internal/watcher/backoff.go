package watcher

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"comfreyroute/gateway/internal/logger"
)

const (
	// firstPause and lastPause bound the pause after a failed call; it doubles with each failure. Jitter keeps the VMs apart.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// startPause is the pause while no manifest is known: the VM serves nobody until then.
	startPause = 200 * time.Millisecond
)

// link tells when the store is lost and regained, and how long to pause after a failure.
type link struct {
	lost  bool
	since time.Time
	pause time.Duration
}

// failed returns the pause before the next call.
func (l *link) failed(log *logger.Logger, err error, starting bool) time.Duration {
	if !l.lost {
		l.lost, l.since = true, time.Now()
		log.Warn("watcher: store lost", zap.String("error", err.Error()))
	}
	l.pause = min(max(firstPause, 2*l.pause), lastPause)
	if starting {
		l.pause = startPause
	}
	return l.pause/2 + rand.N(l.pause)
}

// worked records a call that was answered.
func (l *link) worked(log *logger.Logger) {
	if l.lost {
		log.Info("watcher: store regained", zap.Duration("after", time.Since(l.since)))
	}
	*l = link{}
}
