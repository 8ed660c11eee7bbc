package forwarder

import "time"

// observeNotice follows what a reply says of the upstream at a position: that it leaves, or wants no requests for a while.
func (m *Machine) observeNotice(now time.Time, s *service, i int, r *Reply) {
	if r.Leaving {
		m.markLeaving(now, s, i)
	}
	if r.Pause > 0 && s.set.RecordPause(now, i, now.Add(r.Pause)) {
		m.emit(NoticeReceived{Service: s.name, Upstream: s.set.At(i).Row.Upstream, Pause: r.Pause})
	}
}

// markLeaving keeps requests from an upstream that leaves.
func (m *Machine) markLeaving(now time.Time, s *service, i int) {
	if !s.set.RecordLeaving(now, i) {
		return
	}
	name := s.set.At(i).Row.Upstream
	m.emit(Retire{Upstream: name})
	m.emit(NoticeReceived{Service: s.name, Upstream: name, Leaving: true})
}

// markLeavingByName keeps requests from upstreams that a peer has heard of.
func (m *Machine) markLeavingByName(now time.Time, names []string) {
	for _, name := range names {
		for _, s := range m.servicesByName() {
			if i, ok := s.set.Index(name); ok {
				m.markLeaving(now, s, i)
			}
		}
	}
}
