package runner

import (
	"math"
	"syscall"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/transport/acceptor"
	"comfreyroute/entry/internal/measurer"
	"comfreyroute/entry/internal/receiver"
)

const (
	// softMemoryRatio is the fraction of the allowed memory that is set as the soft limit of the garbage collector. The rest is for what it does not
	// know, and for garbage that arrives while it runs.
	softMemoryRatio = 0.6
	// bodyMemoryRatio is the fraction of the allowed memory for the heads and bodies of all requests and answers at once.
	bodyMemoryRatio = 0.2
)

// callerBounds returns the bounds on callers' connections. Without a setting their number is what fits into the memory and the descriptors.
func (d *daemon) callerBounds() acceptor.Bounds {
	most := d.settings.Limits.Callers
	if most == 0 {
		most = acceptor.Capacity(maxDescriptors(), d.settings.Limits.Memory)
	}
	return acceptor.Bounds{
		MaxConns: most, Memory: &d.memory, StallTime: func() time.Duration { return stallTimeout }, Refusal: []byte(receiver.Overloaded), OnDepart: d.recordDeparture,
	}
}

// maxDescriptors returns how many descriptors the process may have open, 0 if that is not known.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// recordDeparture counts and logs a caller that is turned away.
func (d *daemon) recordDeparture(a acceptor.Departure) {
	measurer.CountDeparture(a.Cause.String())
	d.log.Info("entry: caller turned away", zap.Stringer("from", a.Address), zap.Stringer("cause", a.Cause), zap.Stringer("state", a.State),
		zap.Int64("held", a.Held), zap.Duration("after", a.Age))
}
