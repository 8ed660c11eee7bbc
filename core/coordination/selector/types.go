package selector

import "time"

// Policy is the rule by which an upstream is selected among the eligible ones.
type Policy int

// The selection policies.
const (
	Score  Policy = iota // score
	P2C                  // p2c
	Least                // least
	Random               // random
	Near                 // near
)

// ResultKind says how a sub-request ended.
type ResultKind int

// The results of a sub-request. Unattributed is a failure that does not count against the upstream, such as that of a
// connection that stopped responding while others work.
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

// Result is the result of a sub-request. Latency is the time since RecordStart, for every kind.
type Result struct {
	Latency time.Duration
	Usual   time.Duration // what such a sub-request usually takes at the upstreams of any service; 0 if unknown
	Kind    ResultKind
}

// Query restricts the upstreams that may be selected and sets the policy.
type Query struct {
	Group   int    // -1 means any group
	Version uint64 // 0 means any index version
	Exclude []int  // positions
	Policy  Policy

	Unlimited bool // leaves out the upstreams that declare a rate, or limit it while they are cold
}
