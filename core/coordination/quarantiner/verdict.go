package quarantiner

import "time"

// Decision says whether a request may run.
type Decision int

// The decisions of CheckRequest. Probe lets the request run on one upstream of one group, without retries or hedges.
const (
	Clear  Decision = iota // clear
	Probe                  // probe
	Reject                 // reject
)

// EndKind says how an attempt ended. EndOther covers ends that say nothing about the upstream: cancellation, timeout, refusal.
type EndKind int

// The ways in which an attempt ends.
const (
	EndReplied EndKind = iota // replied
	EndReset                  // reset
	EndOther                  // other
)

// Reasons of a rejection.
const (
	ReasonSuspect   = "suspect"
	ReasonConfirmed = "crashes_upstreams"
)

// Verdict is the result of CheckRequest. Reason and RetryAfter are set on a rejection. Group is the group for a probe, or -1 for
// any group.
type Verdict struct {
	Decision   Decision
	Reason     string
	RetryAfter time.Duration
	Group      int
}

// anyGroup is the group of a probe that may go to any group.
const anyGroup = -1

// Suspicion is what VMs send each other about a signature. Crashes is the number of distinct upstreams that crashed, or 0 while
// a reset has no explanation yet. A Suspicion without crashes whose Expires is not in the future clears the signature.
type Suspicion struct {
	Signature uint64
	Service   string
	Confirmed bool
	Crashes   int
	Expires   time.Time
	NextProbe time.Time
}
