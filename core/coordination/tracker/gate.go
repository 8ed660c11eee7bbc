package tracker

import "time"

// IsolationTimeout is the time without contact after which a VM that knows of peers takes no new work. It is below the 3 s
// within which an accepted change must be in effect everywhere.
const IsolationTimeout = 2500 * time.Millisecond

// Isolated reports whether the VM had no contact with the platform or any peer for IsolationAfter although it knows of peers.
// A peer that is only silent stays known: otherwise a VM that is cut off would forget its peers and take work again.
func (m *Machine) Isolated(now time.Time) bool {
	if now.Sub(m.contact) <= IsolationTimeout {
		return false
	}
	for _, e := range m.entries {
		if !e.left {
			return true
		}
	}
	return false
}

// Admitted reports whether this VM has passed the start gate: it knew of fewer other VMs than the fleet row allows. A VM
// that was not admitted is not ready and opens no connections to upstreams. Once passed, the gate stays open, because closing
// it would take a VM with requests in flight out of service.
func (m *Machine) Admitted() bool { return m.admitted }

// passGate opens the gate as soon as the VM knows the fleet row and has heard of the other VMs from the list or a peer.
func (m *Machine) passGate() {
	if m.admitted || !m.informed || m.fleetMax < 1 {
		return
	}
	others := 0
	for _, e := range m.entries {
		if e.state != Gone {
			others++
		}
	}
	m.admitted = others < m.fleetMax
}
