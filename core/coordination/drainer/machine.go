package drainer

import "time"

// Time limits and intervals of a shutdown.
const (
	TickInterval             = 100 * time.Millisecond
	DefaultLoadBalancerDelay = 5 * time.Second
	DefaultHardLimit         = time.Minute
	notifyTimeout            = 500 * time.Millisecond
)

// Phase is a phase of the shutdown.
type Phase int

// The phases of a shutdown, in order.
const (
	Running   Phase = iota // running
	Waiting                // waiting for the load balancer
	Closing                // closing admission
	Finishing              // finishing work in flight
	Notifying              // notifying peers
	Ended                  // ended
)

// Machine is the state machine of the shutdown of one process. The zero value uses the default times.
type Machine struct {
	LoadBalancerDelay time.Duration // time for the load balancer to notice that the VM is not ready; negative means none
	HardLimit         time.Duration // limit for the whole shutdown

	phase       Phase
	signalledAt time.Time
	notifiedAt  time.Time // time of the NotifyPeers action
	work        Work
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Step handles one event and returns the actions to perform, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.phase == Ended {
		return nil
	}
	switch e := ev.(type) {
	case Ticked:
	case Signalled:
		if m.phase != Running {
			return m.exit("second signal")
		}
		m.phase, m.signalledAt = Waiting, now
		return []Action{MarkUnready{}}
	case AdmissionClosed:
		if m.phase == Closing {
			m.phase = Finishing
		}
	case WorkCounted:
		m.work = e.Work
		// A count taken before admission was closed may miss a request that was admitted afterwards.
		if m.phase == Finishing && e.Work.Empty() {
			m.phase, m.notifiedAt = Notifying, now
			return []Action{NotifyPeers{}}
		}
	case PeersNotified:
		if m.phase == Notifying {
			return m.exit("")
		}
	}
	return m.checkTimeouts(now)
}

func (m *Machine) checkTimeouts(now time.Time) []Action {
	wait, limit := m.LoadBalancerDelay, m.HardLimit
	if wait == 0 {
		wait = DefaultLoadBalancerDelay
	}
	if limit == 0 {
		limit = DefaultHardLimit
	}
	switch {
	case m.phase == Running:
	case m.phase == Notifying && now.Sub(m.notifiedAt) >= notifyTimeout:
		// Peers also detect the stop by missing heartbeats, so nothing is lost.
		return m.exit("")
	case m.phase != Notifying && now.Sub(m.signalledAt) >= limit:
		return m.exit("hard limit")
	case m.phase == Waiting && now.Sub(m.signalledAt) >= wait:
		m.phase = Closing
		return []Action{CloseAdmission{}}
	}
	return nil
}

func (m *Machine) exit(reason string) []Action {
	m.phase = Ended
	return []Action{Exit{Reason: reason, Unfinished: m.work}}
}
