package quarantiner

import "time"

// Default values of Settings.
const (
	DefaultProbeInterval     = 30 * time.Second
	DefaultSuspicionLifetime = 10 * time.Minute
	DefaultMaxSuspects       = 1024
)

const (
	// evidenceWindow is the maximum time between a reset and the refused connection or new incarnation that explains it, and
	// between crashes that are compared with each other.
	evidenceWindow = 5 * time.Second
	// unexplainedResetHold is how long a reset without an explanation blocks its signature.
	unexplainedResetHold = time.Second
	// minOutageUpstreams is the number of upstreams of one failure domain that must fail together to count as an outage.
	minOutageUpstreams = 3
	// minExplainedShare is the share of these failures at which a single signature must be present to explain them.
	minExplainedShare = 0.75
	// minOutageSignatures is the number of explaining signatures from which the failures still count as an outage, because
	// so many requests that crash upstreams at the same time would be an unlikely coincidence.
	minOutageSignatures = 3
	// explainingCrashFactor is the ratio of two signatures' crashes from which the one with more crashes explains those of the
	// other.
	explainingCrashFactor = 2
	// replyRetention is how long a reply exonerates a signature that was present at a single crash.
	replyRetention = time.Minute
	// maxRunTime bounds the duration of one run of a request. For a signature that was present at several crashes, only a reply
	// of the same run or of a later one counts, because a new index version may turn a harmless request into a crashing one.
	maxRunTime = time.Second
	// replyTableSize is the number of entries of the reply table; a newer reply replaces an older one.
	replyTableSize = 32 << 10
	// maxRestartTime is how long an upstream that went down counts as restarting, so that no probe is sent to its group.
	// An upstream that is down for longer has another fault and must not block probes.
	maxRestartTime = 2 * time.Minute
	// minRetryAfter is the minimum retry hint for a rejected suspect.
	minRetryAfter = time.Second
	// maxCrashes and maxUpstreams bound the crashes and upstreams that are kept in memory.
	maxCrashes   = 128
	maxUpstreams = 32 << 10
)

// Settings configures the quarantine. Zero fields take the defaults.
type Settings struct {
	ProbeInterval     time.Duration // minimum time between probes of one signature in the whole fleet
	SuspicionLifetime time.Duration // how long a suspicion lasts without new evidence
	MaxSuspects       int           // maximum number of signatures tracked
}

func (s Settings) probeInterval() time.Duration {
	if s.ProbeInterval <= 0 {
		return DefaultProbeInterval
	}
	return s.ProbeInterval
}

func (s Settings) suspicionLifetime() time.Duration {
	if s.SuspicionLifetime <= 0 {
		return DefaultSuspicionLifetime
	}
	return s.SuspicionLifetime
}

func (s Settings) maxSuspects() int {
	if s.MaxSuspects <= 0 {
		return DefaultMaxSuspects
	}
	return s.MaxSuspects
}
