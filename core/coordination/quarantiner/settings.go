package quarantiner

import "time"

// Defaults of the settings.
const (
	DefaultInterval = 30 * time.Second
	DefaultLife     = 10 * time.Minute
	DefaultTracked  = 1024
)

const (
	// evidenceWindow is how far a reset and the refused connection or new incarnation that explains it may lie apart, and
	// how far crashes may lie apart that are compared with each other.
	evidenceWindow = 5 * time.Second
	// settleTime is how long a reset without an explanation holds back its signature.
	settleTime = time.Second
	// outageUpstreams is the least number of upstreams of one failure domain that fail together in an outage.
	outageUpstreams = 3
	// explainedShare is the part of these failures at which a single signature must be present to explain them.
	explainedShare = 0.75
	// unrelatedSignatures is how many signatures that each explain the failures are too many for a coincidence.
	unrelatedSignatures = 3
	// explainingFactor is how many times more crashes a signature needs to explain away another one that was present at them.
	explainingFactor = 2
	// replyMemory is how long a reply counts for a signature that was present at one crash.
	replyMemory = time.Minute
	// runTime bounds the time of one run of a request. For a signature that was present at several
	// crashes, only a reply of the same run or later counts: a request may begin to crash upstreams with a new index version.
	runTime = time.Second
	// repliesTracked is the size of the table of replies; a newer reply replaces an older one.
	repliesTracked = 32 << 10
	// restartTime is how long an upstream that went down counts as restarting, so that no probe is sent to its group.
	// One that is down for longer is lost for other reasons and must not block probes.
	restartTime = 2 * time.Minute
	// minRetry is the least retry hint of a rejected suspect.
	minRetry = time.Second
	// maxCrashes and maxUpstreams bound the crashes and upstreams that are remembered.
	maxCrashes   = 128
	maxUpstreams = 32 << 10
)

// Settings bound the quarantine. Zero fields take the defaults.
type Settings struct {
	Interval time.Duration // between probes of one signature over the fleet
	Life     time.Duration // of a suspicion
	Tracked  int           // signatures tracked at most
}

func (s Settings) interval() time.Duration {
	if s.Interval <= 0 {
		return DefaultInterval
	}
	return s.Interval
}

func (s Settings) life() time.Duration {
	if s.Life <= 0 {
		return DefaultLife
	}
	return s.Life
}

func (s Settings) tracked() int {
	if s.Tracked <= 0 {
		return DefaultTracked
	}
	return s.Tracked
}
