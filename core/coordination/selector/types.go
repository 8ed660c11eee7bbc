package selector

import "time"

// Policy says how a replica is chosen among the allowed ones.
type Policy int

// The policies.
const (
	Score  Policy = iota // score
	P2C                  // p2c
	Least                // least
	Random               // random
	Near                 // near
)

// ResultKind says how a sub-request ended.
type ResultKind int

// The results of a sub-request. Unattributed is a failure that does not count against the upstream, such as a connection
// that stopped responding while others work.
const (
	OK           ResultKind = iota // ok
	Shed                           // shed
	Refused                        // refused
	Reset                          // reset
	TimedOut                       // timed_out
	Cancelled                      // cancelled
	Unattributed                   // unattributed
	Errored                        // errored
)

// Result is the end of a sub-request. Latency is the time since Started, whatever the kind.
type Result struct {
	Latency time.Duration
	Kind    ResultKind
}

// Query says which upstreams are allowed.
type Query struct {
	Group   int    // -1 allows any group
	Version uint64 // 0 allows any index version
	Exclude []int
	Policy  Policy
}
