package quarantiner

import "time"

// Defaults of the settings.
const (
	DefaultInterval = 30 * time.Second
	DefaultLife     = 10 * time.Minute
	DefaultTracked  = 1024
)

const (
	// evidenceWindow is how long a reset and the refused connection or new incarnation that explains it may lie apart, and
	// how long crashes are compared with each other.
	evidenceWindow = 5 * time.Second
	// settleTime is how long a reset without an explanation holds back its signature.
	settleTime = time.Second
	// outageUpstreams is the least number of upstreams of one failure domain that fail together in an outage.
	outageUpstreams = 3
	// explainedShare is the part of these failures at which a single signature must be present to explain them.
	explainedShare = 0.75
	// unrelatedSignatures is how many signatures that each explain the failures are too many for a coincidence.
	unrelatedSignatures = 3
	// replyMemory is how long a reply vouches for its signature.
	replyMemory = time.Minute
	// nonOwnerRetry is the least retry hint for a probe that this VM does not run.
	nonOwnerRetry = time.Second
)

// Settings bound the quarantine. Zero fields take the defaults.
type Settings struct {
	Interval time.Duration // between probes of one signature over the fleet
	Life     time.Duration // of a suspicion
	Tracked  int           // signatures tracked at most
}

func (s Settings) withDefaults() Settings {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.Life <= 0 {
		s.Life = DefaultLife
	}
	if s.Tracked <= 0 {
		s.Tracked = DefaultTracked
	}
	return s
}
