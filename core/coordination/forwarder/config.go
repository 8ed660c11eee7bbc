package forwarder

import (
	"time"

	"comfreyroute/core/coordination/rationer"
)

// Config holds the settings that do not come from a manifest. The zero value allows no extra sends (hedges and retries).
type Config struct {
	VM             string // name of this VM
	FailureDomain  string
	FleetMax       int     // most VMs that share connections and budget; 0 means the larger of the fleet's size and the default
	ExtraSendRatio float64 // extra sends to a service per request, over all VMs
	ExtraSendSlack int     // extra sends allowed on top of the ratio in each budget window, over all VMs
	BudgetWindow   time.Duration
	RateTerms      rationer.Terms // by how much customers may exceed their rates
	ReplyBytes     int64          // memory for the bodies of all replies at once; 0 if it is not limited
	Seed           uint64
}

const (
	// budgetUse is the part of the allowed extra sends that is used. Requests are counted here on arrival but by the service's
	// owner in sliding windows, so using all of it could exceed the bound at the edge of a window.
	budgetUse = 0.9
	// maxSlackPerVM is the largest part of the slack that a VM uses. The slack of the platform's sites grows by two for each VM, and a
	// VM that starts during a fault of the store may find too few others registered.
	maxSlackPerVM = 2

	// answerMargin is how long before its deadline a request is answered at the latest. It covers the network delay to the caller
	// (1 to 3 ms) and the timer delay on a small VM.
	answerMargin = 10 * time.Millisecond
	// latencyTargetMargin is how long before the latency target a gathered answer is sent without its last shards. It covers the
	// network delay of a caller that sends no deadline and opens a connection for the request (four trips of 3 ms), and the timer delay.
	latencyTargetMargin = 16 * time.Millisecond
	// marginDivisor limits both margins to the remaining time divided by it.
	marginDivisor = 5

	// maxSends bounds the sends of one sub-request, including those that the upstream did not run.
	maxSends = 5
	// maxInFlight bounds the concurrent attempts of one sub-request: the first one and its hedge.
	maxInFlight = 2
	// defaultMaxAttempts applies to a route without a limit of its own.
	defaultMaxAttempts = 1
	// defaultTimeout applies to a request without a deadline on a route without a timeout.
	defaultTimeout = 30 * time.Second

	// connectPatienceShare is the part of the hedge delay after which a request goes to another upstream while its connection does not
	// open, and minConnectPatience the shortest such time. It is several round trips between failure domains.
	connectPatienceShare = 0.75
	minConnectPatience   = 15 * time.Millisecond

	// crashProbeTimeout is how long a connection to an upstream that has reset a request may take. A host that lives answers within a round trip
	// (1 to 3 ms), also that nothing accepts connections.
	crashProbeTimeout = 100 * time.Millisecond
	// maxResetHold is how long a sub-request waits at most until it is known whether the upstream that reset it has crashed.
	maxResetHold = 20 * time.Millisecond
	// contactTime is how long after a reset this VM must reach another upstream for the crash to count. It covers two probes and the replies of
	// some requests; a VM that has lost its connections reaches none.
	contactTime = 250 * time.Millisecond
	// maxOtherProbes bounds the upstreams that are probed for one reset to find out whether this VM reaches any. Others may have crashed too.
	maxOtherProbes = 6
	// resetLifetime is how long a reset waits for the evidence of a crash. An upstream that has started again is listed with another start
	// time some seconds later.
	resetLifetime = 5 * time.Second
	// maxPendingResets bounds the resets that wait for evidence.
	maxPendingResets = 512

	// hedgeQuantile is the quantile of a route's latencies that becomes its hedge delay. One sub-request in twenty is then sent
	// twice, which takes a quarter of the usual budget and leaves the rest for upstream pauses and retries.
	hedgeQuantile = 0.95
	// usualQuantile is the quantile of a route's latencies with which the latency of one upstream is compared. The replies of a minority of slow
	// upstreams do not move it.
	usualQuantile = 0.5
	// minUsualSamples is the fewest latencies from which that quantile is computed. The first gathered request of a route yields as many before
	// its slow sub-requests end.
	minUsualSamples = 20
	// settleTime is how long after its start a VM chooses by what it sees itself. After the loss of all VMs, upstreams count the connections of the
	// dead ones for about so long, and reset those that a move to another upstream opens.
	settleTime = 10 * time.Second
	// minHedgeShare and maxHedgeShare bound the hedge delay to parts of the latency target, so that a hedge has time to reply.
	minHedgeShare = 0.08
	maxHedgeShare = 0.35
	// minHedgeSamples is the fewest latencies from which the hedge delay is computed; with fewer it is set by maxHedgeShare.
	minHedgeSamples = 50
	// minHedgeDelay is the shortest hedge delay. With a shorter one a hedge that has to wait is due again before the clock has moved. The shortest work
	// of the platform's services takes 3.8 ms on average.
	minHedgeDelay = time.Millisecond
	// hedgeDelayLifetime is how long a computed hedge delay is reused.
	hedgeDelayLifetime = 50 * time.Millisecond

	// maxWaitShare is the part of the latency target for which a sub-request waits for an upstream with free capacity. A refusal
	// within a quarter of the target leaves the caller time for a retry.
	maxWaitShare = 0.22

	// retryAfterShare is the part of the latency target after which a refused caller may retry. A random delay of up to the same
	// length is added so that callers do not retry at the same time.
	retryAfterShare = 0.1
	// noManifestRetryAfter is when callers may retry that were refused because this VM has no manifest yet. The store is unavailable
	// then, and a caller has only a few retries.
	noManifestRetryAfter = time.Second
	// minRetryAfter is the shortest delay after which a refused caller may retry.
	minRetryAfter = 5 * time.Millisecond

	// routeStateLifetime is how long the state of a route that left the manifest is kept, because a route often returns under its name.
	routeStateLifetime = time.Minute
)

// recheckDelays are the times from one accepted probe of an upstream that has reset a request to the next. A host under load takes some milliseconds to
// close all that a process had open. The first delay is within maxResetHold, because requests wait for it.
var recheckDelays = [...]time.Duration{10 * time.Millisecond, 40 * time.Millisecond}
