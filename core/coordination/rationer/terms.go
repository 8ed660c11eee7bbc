package rationer

import "time"

// Terms say by how much the fleet may exceed a Limit. The zero value allows no excess.
type Terms struct {
	Window  time.Duration // any span of this length is bounded; 0 means defaultWindow
	Overage float64       // as a share of what the limit allows in a window
	Slack   float64       // in requests per window
}

// Limit is the rate of one customer.
type Limit struct {
	Rate  float64 // in requests per second; 0 for no limit
	Burst float64 // requests that may come at once on top of the rate
}

const (
	// defaultWindow applies to Terms without a window.
	defaultWindow = 5 * time.Second

	// The allowed excess of a window is divided among the ways in which the VMs may exceed the limit. The rest covers grants that are used
	// a moment after they were given, and shares of VMs that start again within contactLifetime and are counted by two granters.

	// depthShare is added to the burst that a granter stores.
	depthShare = 0.3
	// joinShare is brought along by VMs that join a granter, because a granter that starts has nothing stored.
	joinShare = 0.2
	// loneShare is for VMs that reach no granter. Their own share of a burst is less than one request.
	loneShare = 0.25
)

func (t Terms) window() time.Duration {
	if t.Window <= 0 {
		return defaultWindow
	}
	return t.Window
}

// margin returns the requests by which the fleet may exceed a limit in a window.
func (t Terms) margin(l Limit) float64 {
	return t.Overage*(l.Rate*t.window().Seconds()+l.Burst) + t.Slack
}

// depth returns the requests that the fleet may store.
func (t Terms) depth(l Limit) float64 { return max(1, l.Burst+depthShare*t.margin(l)) }
