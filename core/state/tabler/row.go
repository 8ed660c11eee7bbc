package tabler

import (
	"net/netip"
	"time"
)

// Kind is the way in which requests of a service reach its upstreams.
type Kind int

// The kinds of services. A search reaches every shard group; a point service sends each lookup or call to one upstream.
const (
	KindSearch Kind = iota // search
	KindPoint              // point
)

// Preference is what a service keeps when a shard is late: the coverage of its answers or their latency.
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

// CallerWeight sets a caller's share of the capacity of a service. A caller without an entry has weight 1.
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

// ServiceRow sets the policy of one service. Limits apply to the whole fleet; 0 means no limit.
type ServiceRow struct {
	Service       string
	Kind          Kind
	Prefer        Preference
	Deadline      time.Duration
	HedgeBudget   float64 // hedges and retries per primary sub-request
	RequestLimit  float64 // requests per second in the whole fleet
	InFlightLimit int     // requests in flight in the whole fleet
	Queue         int     // maximum number of queued requests in one VM
	Callers       []CallerWeight
	Objective     Objective
}

// UpstreamRow describes one upstream. Weight 0 means that the upstream is leaving.
type UpstreamRow struct {
	Service       string
	Group         int
	Upstream      string
	Address       netip.AddrPort
	FailureDomain string
	Weight        int
	Connections   int // connections that the upstream accepts from all entry VMs together
	Slots         int
	ConnectCost   time.Duration
}

// Fleet sets the bounds of the entry fleet.
type Fleet struct {
	Max int // maximum number of entry VMs at once, including replacements
}

// Edit is one accepted edit of a table value.
type Edit struct {
	ID      string
	Who     string
	When    time.Time
	Summary string
}

// Value is the table value of one service, or the fleet row under the service name FleetService. Revision is the revision of
// the key in the store and is not part of the stored value.
type Value struct {
	Revision  uint64
	Removed   bool
	Fleet     Fleet // set only under FleetService
	Service   ServiceRow
	Upstreams []UpstreamRow
	Edits     []Edit // newest last
}
