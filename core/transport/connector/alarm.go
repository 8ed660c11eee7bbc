package connector

import (
	"sync"
	"time"
)

// silenceAlarm detects that connections to several upstreams become silent at the same time, as after a fault of a network
// switch. It then makes the idle connections to all upstreams suspect. Without it, each silent connection would be found by a
// late request, and the hedges of these requests would use up the budget.
type silenceAlarm struct {
	raised chan struct{} // makes maintain ping all idle connections

	mu          sync.Mutex // locked after all other locks
	lastKey     poolKey
	lastSilence time.Time
	lastAlarm   time.Time
}

// recordSilence records that a connection to an upstream is silent. It raises an alarm when a connection to another upstream
// became silent within alarmWindow.
func (a *silenceAlarm) recordSilence(now time.Time, from poolKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := a.lastKey != from && now.Sub(a.lastSilence) < alarmWindow
	a.lastKey, a.lastSilence = from, now
	if !others || now.Sub(a.lastAlarm) < minAlarmInterval {
		return
	}
	a.lastAlarm = now
	select {
	case a.raised <- struct{}{}:
	default:
	}
}

// suspectAll makes the connections of the pool suspect and pings the idle ones. A request that arrives meanwhile waits for the
// reply to a ping.
func (p *pool) suspectAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pingSuspects(time.Now())
}
