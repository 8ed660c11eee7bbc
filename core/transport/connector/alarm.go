package connector

import (
	"sync"
	"time"
)

// alarms notices that connections to several upstreams become silent at the same time, as after a fault of a switch. Then
// the idle connections to all upstreams are suspect. Without it each of them would be found by a request that is late, and
// the hedges of these requests would use up the budget.
type alarms struct {
	raised chan struct{} // tells the maintenance to ping all idle connections

	mu   sync.Mutex // taken last
	from key
	at   time.Time
	last time.Time // when the last alarm was raised
}

// note records that a connection to an upstream was late while the upstream answered on another one.
func (a *alarms) note(now time.Time, from key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := a.from != from && now.Sub(a.at) < alarmWindow
	a.from, a.at = from, now
	if !others || now.Sub(a.last) < alarmPause {
		return
	}
	a.last = now
	select {
	case a.raised <- struct{}{}:
	default:
	}
}

// suspectAll makes all connections suspect and pings the idle ones. A request that comes meanwhile waits for the ping.
func (p *pool) suspectAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pingSuspects(time.Now())
}
