package server

// Stats holds the counters of one upstream since the start of the process.
type Stats struct {
	Upstream       string `json:"upstream"`
	Service        string `json:"service"`
	Group          int    `json:"group"`
	FailureDomain  string `json:"failure_domain"`
	Incarnation    uint64 `json:"incarnation"`
	Received       uint64 `json:"received"` // sub-requests
	Run            uint64 `json:"run"`      // sub-requests that got a slot
	Shed           uint64 `json:"shed"`
	Drained        uint64 `json:"drained"` // rejected while draining
	Cancelled      uint64 `json:"cancelled"`
	Expired        uint64 `json:"expired"`
	NotHeld        uint64 `json:"not_held"`
	Accepted       uint64 `json:"accepted"` // connections
	Connections    int    `json:"connections"`
	MaxConnections int    `json:"max_connections"`
	Violations     uint64 `json:"violations"` // connections above the limit, which are closed immediately
	Crashes        uint64 `json:"crashes"`
	Restarts       uint64 `json:"restarts"` // including crashes
}

// Stats returns the counters of all upstreams, in the order of the deployment.
func (f *Fleet) Stats() []Stats {
	all := make([]Stats, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		u.mu.Lock()
		s := u.stats
		s.Incarnation, s.Connections = u.incarnation, len(u.connections)
		u.mu.Unlock()
		all = append(all, s)
	}
	return all
}
