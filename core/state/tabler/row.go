package tabler

import (
	"net/netip"
	"time"
)

// Kind says how requests of a service reach its upstreams.
type Kind int

// The kinds of services. A search reaches every shard group; a point service sends each lookup or call to one upstream.
const (
	KindSearch Kind = iota // search
	KindPoint              // point
)

// Preference says what a service gives up first when a shard is late.
type Preference int

// The preferences of a service.
const (
	PreferCoverage Preference = iota // coverage
	PreferLatency                    // latency
)

// Defaults of a service row and an upstream row.
const (
	DefaultDeadline    = 72 * time.Millisecond
	DefaultHedgeBudget = 0.05
	DefaultQueue       = 256
	DefaultWeight      = 100
	DefaultFleetMax    = 12
)

// CallerWeight gives a caller its share of a service. A caller without a weight has weight 1.
type CallerWeight struct {
	Caller string
	Weight int
}

// Objective is the service-level objective of a service. Shares are between 0 and 1.
type Objective struct {
	Latency       time.Duration
	LatencyShare  float64 // share of answers within Latency
	CoverageShare float64 // share of answers that cover every shard
}

// ServiceRow sets the policy of one service. Limits hold over the fleet; 0 means no limit.
type ServiceRow struct {
	Service       string
	Kind          Kind
	Prefer        Preference
	Deadline      time.Duration
	HedgeBudget   float64 // hedges and retries per primary sub-request
	RequestLimit  float64 // requests per second over the fleet
	InFlightLimit int     // requests in flight over the fleet
	Queue         int     // waiting requests in one VM
	Callers       []CallerWeight
	Objective     Objective
}

// UpstreamRow describes one upstream. Weight 0 means that it is leaving.
type UpstreamRow struct {
	Service       string
	Group         int
	Upstream      string
	Address       netip.AddrPort
	FailureDomain string
	Weight        int
	Connections   int // limit of the upstream over all entry VMs
	Slots         int
	ConnectCost   time.Duration
}

// Fleet sets the bounds of the entry fleet.
type Fleet struct {
	Max int // the most entry VMs that may exist at once, replacement included
}

// Edit is one accepted edit of a table value.
type Edit struct {
	ID      string
	Who     string
	When    time.Time
	Summary string
}

// Value is the table value of one service, or the fleet row under the service name FleetService. Revision is the store's
// revision of the key and is not part of the stored value.
type Value struct {
	Revision  uint64
	Removed   bool
	Fleet     Fleet // set only under FleetService
	Service   ServiceRow
	Upstreams []UpstreamRow
	Edits     []Edit // newest last
}
