package quarantiner

import "time"

// Decision is what becomes of a request before it reaches any upstream.
type Decision int

// The decisions of a check. Probe lets the request run on one upstream of one group, without retries or hedges.
const (
	Clear  Decision = iota // clear
	Probe                  // probe
	Reject                 // reject
)

// EndKind says how an attempt ended. Other says nothing about the upstream: cancellation, time-out, refusal.
type EndKind int

// The ends of an attempt.
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

// Verdict is the answer to a check. Reason and RetryAfter are set on a rejection. Group is the group for a probe, -1 when
// any will do.
type Verdict struct {
	Decision   Decision
	Reason     string
	RetryAfter time.Duration
	Group      int
}

// anyGroup stands for a probe in whichever group.
const anyGroup = -1

// Suspicion is what VMs tell each other about a signature. Crashes is the number of distinct upstreams that crashed, 0
// while a reset has no explanation yet. One without crashes whose Expires is not in the future clears the signature.
type Suspicion struct {
	Signature uint64
	Service   string
	Confirmed bool
	Crashes   int
	Expires   time.Time
	NextProbe time.Time
}
