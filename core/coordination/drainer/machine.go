package drainer

import "time"

// Times of the machine.
const (
	TickInterval             = 100 * time.Millisecond
	DefaultLoadBalancerDelay = 5 * time.Second
	DefaultHardLimit         = time.Minute
	notifyTimeout            = 500 * time.Millisecond
)

// Phase is a step of the shutdown.
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

// Machine is the shutdown of one process. The zero value uses the default times.
type Machine struct {
	LoadBalancerDelay time.Duration // for the load balancer to notice that the VM is not ready; negative means none
	HardLimit         time.Duration // for the whole shutdown

	phase     Phase
	signalled time.Time
	notified  time.Time // when NotifyPeers was asked for
	work      Work
}

// Phase returns the current step.
func (m *Machine) Phase() Phase { return m.phase }

// Step handles one event.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.phase == Ended {
		return nil
	}
	switch e := ev.(type) {
	case Ticked:
	case Signalled:
		if m.phase != Running {
			return m.end("second signal")
		}
		m.phase, m.signalled = Waiting, now
		return []Action{MarkUnready{}}
	case AdmissionClosed:
		if m.phase == Closing {
			m.phase = Finishing
		}
	case WorkCounted:
		m.work = e.Work
		// A count from before admission was closed may miss a request that was admitted after it.
		if m.phase == Finishing && e.Work.Empty() {
			m.phase, m.notified = Notifying, now
			return []Action{NotifyPeers{}}
		}
	case PeersNotified:
		if m.phase == Notifying {
			return m.end("")
		}
	}
	return m.checkTime(now)
}

func (m *Machine) checkTime(now time.Time) []Action {
	wait, limit := m.LoadBalancerDelay, m.HardLimit
	if wait == 0 {
		wait = DefaultLoadBalancerDelay
	}
	if limit == 0 {
		limit = DefaultHardLimit
	}
	switch {
	case m.phase == Running:
	case m.phase == Notifying && now.Sub(m.notified) >= notifyTimeout:
		// Peers learn of the end by missing heartbeats; nothing is lost.
		return m.end("")
	case m.phase != Notifying && now.Sub(m.signalled) >= limit:
		return m.end("hard limit")
	case m.phase == Waiting && now.Sub(m.signalled) >= wait:
		m.phase = Closing
		return []Action{CloseAdmission{}}
	}
	return nil
}

func (m *Machine) end(reason string) []Action {
	m.phase = Ended
	return []Action{Exit{Reason: reason, Unfinished: m.work}}
}
