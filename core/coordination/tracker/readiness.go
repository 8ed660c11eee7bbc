package tracker

import "time"

// IsolationTimeout is the time without contact after which a VM that knows peers accepts no new work. It is below the 3 s within
// which an accepted change must be in effect everywhere.
const IsolationTimeout = 2500 * time.Millisecond

// Isolated reports whether the VM had no contact with the platform or any peer for IsolationTimeout although it knows peers. A peer
// that is only silent stays known: otherwise an isolated VM would forget its peers and accept work again.
func (m *Machine) Isolated(now time.Time) bool {
	if now.Sub(m.lastContact) <= IsolationTimeout {
		return false
	}
	for _, e := range m.entries {
		if !e.hasLeft {
			return true
		}
	}
	return false
}

// Admitted reports whether this VM may join the fleet because it knew fewer other VMs than the fleet row allows. Until then it is
// not ready and opens no connections to upstreams. The admission is permanent, because withdrawing it would take a VM with requests
// in flight out of service.
func (m *Machine) Admitted() bool { return m.isAdmitted }

// checkAdmission admits the VM if the fleet has room. It waits until the VM knows the fleet row and has received the VM list or a
// record of a peer.
func (m *Machine) checkAdmission() {
	if m.isAdmitted || !m.knowsFleet || m.fleetMax < 1 {
		return
	}
	others := 0
	for _, e := range m.entries {
		if e.state != Gone {
			others++
		}
	}
	m.isAdmitted = others < m.fleetMax
}
