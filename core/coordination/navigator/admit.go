package navigator

import "time"

const (
	// maxDetoured bounds the requests of other VMs that a VM serves at once. It bounds their memory.
	maxDetoured = 256
	// lagShare is the part of a latency target by which a VM may be behind with its own work when it takes requests of other VMs, and
	// minLag the least such time.
	lagShare = 0.1
	minLag   = 4 * time.Millisecond
)

// Load is the load of a VM when a request of another VM arrives.
type Load struct {
	Detoured int           // requests of other VMs in progress
	Waiting  bool          // requests of its own callers wait for an upstream that the request needs
	Lag      time.Duration // how late its timers fire
	Target   time.Duration // latency target of the request
}

// Admit decides whether a VM takes a request of another VM. It answers the load of a fleet of which most VMs have lost their upstreams: the
// callers of the VMs that are left come first, and what does not fit beside them is refused at once.
func Admit(l Load) bool {
	return l.Detoured < maxDetoured && !l.Waiting && l.Lag <= max(minLag, time.Duration(float64(l.Target)*lagShare))
}
