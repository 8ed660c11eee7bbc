package forwarder

import "time"

// Config holds what a VM knows before its first manifest. The zero value allows no extra sends.
type Config struct {
	FailureDomain  string
	FleetMax       int     // most VMs that share the connections and the budget; 0 takes the size of the fleet, or the default of the table if that is larger
	ExtraSendRatio float64 // extra sends to a service for each request, over all VMs
	ExtraSendSlack int     // extra sends in each budget window on top of the share, over all VMs
	Seed           uint64
}

const (
	// budgetPart is the part of the allowed extra sends that is used. Requests are counted here when they arrive and by the
	// service's owner in sliding windows, so that a whole share could exceed the bound at the edge of a window.
	budgetPart = 0.9
	// burstTokens is how many extra sends to a service a VM may save up. The slack of the budget grows by two for each VM on all
	// the platform's sites, so that a VM need not know how many others there are.
	burstTokens = 2

	// answerMargin is how long before its deadline a request is answered at the latest: the way to the caller (1 to 3 ms), and
	// the delay of a timer on a small VM.
	answerMargin = 10 * time.Millisecond
	// targetMargin is how long before the latency objective a gathered answer goes out without its last shards. It covers the
	// way from and to a caller that opens a connection for the request (four times 3 ms), and the delay of a timer.
	targetMargin = 16 * time.Millisecond
	// marginShare bounds both margins to a part of the time that is left.
	marginShare = 5

	// maxSends bounds the sends of one sub-request, those included that did not run.
	maxSends = 5
	// maxLive bounds the attempts of one sub-request that run at once: one and its hedge.
	maxLive = 2
	// defaultAttempts holds for a route that sets none.
	defaultAttempts = 1
	// defaultTimeout holds for a request without a deadline on a route without a timeout.
	defaultTimeout = 30 * time.Second

	// hedgeQuantile of the latencies of a route is its hedge delay. One sub-request in twenty is sent twice, a quarter of the usual
	// budget; the rest is left for pauses and retries.
	hedgeQuantile = 0.95
	// hedgeLeast and hedgeMost bound the hedge delay to parts of the latency objective, so that a hedge has time to reply.
	hedgeLeast = 0.08
	hedgeMost  = 0.35
	// minSamples is the number of latencies below which hedgeMost is the delay.
	minSamples = 50
	// delayLife is how long the hedge delay is used before it is computed again.
	delayLife = 50 * time.Millisecond

	// waitShare is the part of the latency objective for which a sub-request waits for an upstream that is not full. A refusal
	// within a quarter of the objective leaves the caller time for another try.
	waitShare = 0.22

	// retryShare is the part of the latency objective after which a refused caller may come back, and a random part of the
	// same length is added, so that callers do not return together.
	retryShare = 0.1
	// retryUnknown is when callers come back that were refused because this VM knows no manifest yet: the store is away then, and
	// a caller has few tries.
	retryUnknown = time.Second
	// minRetryAfter bounds the time of a return from below.
	minRetryAfter = 5 * time.Millisecond

	// idleForget is how long the latencies of a route that left the manifest are kept: a route often comes back under its name.
	idleForget = time.Minute
)
