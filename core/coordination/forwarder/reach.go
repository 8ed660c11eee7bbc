package forwarder

import "time"

// recordReach records what the result of an attempt says about the connection of this VM to its upstreams.
func (m *Machine) recordReach(now time.Time, a *attempt, result Result) {
	if f, ok := result.(Failed); ok {
		switch f.Failure {
		case Unreachable, Reset:
			m.reach.RecordFailure(now, a.service.name, a.upstream)
			return
		case NoConnection, TimedOut, SlowConnect, Cancelled:
			return // the upstream may be silent
		case ConnectionRejected, Mismatched, Oversized: // its host has answered
		}
	}
	if m.reach.RecordReply() {
		m.emit(ReachChanged{Age: now.Sub(m.reach.LostSince())})
	}
}

// checkReach notices the loss of all upstreams.
func (m *Machine) checkReach(now time.Time) {
	lost := m.reach.Lost(now)
	if lost && !m.reachReported {
		m.emit(ReachChanged{Lost: true})
	}
	m.reachReported = lost
}

// UpstreamsLost returns 1 while this VM reaches no upstream, and 0 otherwise.
func (m *Machine) UpstreamsLost() uint64 {
	if m.reachReported {
		return 1
	}
	return 0
}
