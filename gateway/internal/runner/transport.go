package runner

import (
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/requester"
)

// transport executes the actions on upstreams and on peers.
type transport struct{ upstreams, peers *requester.Client }

// Do implements driver.Transport.
func (t *transport) Do(a forwarder.Action) forwarder.Event {
	switch a := a.(type) {
	case forwarder.Send:
		if a.Detour != nil {
			return t.peers.Do(a)
		}
	case forwarder.Cancel: // no attempt is known to both
		_ = t.peers.Do(a) // only a Send returns an event
	}
	return t.upstreams.Do(a)
}
